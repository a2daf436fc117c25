#include "daemon/node.h"

#include <csignal>
#include <functional>
#include <random>
#include <utility>
#include <vector>

#include "base/decision_log.h"
#include "base/drain.h"
#include "base/event_loop.h"
#include "base/metrics.h"
#include "billing/reporter.h"
#include "billing/usage_meter.h"
#include "config/config_store.h"
#include "control/controller.h"
#include "daemon/admin_api.h"
#include "daemon/measured.h"
#include "dispatch/dispatcher_host.h"
#include "dispatch/engine_generator.h"
#include "dispatch/peer_broker.h"
#include "entry/gateway.h"
#include "http/client.h"
#include "http/server.h"
#include "lease/lease_keeper.h"
#include "ledger/ledger_client.h"
#include "ledger/ledger_host.h"
#include "log/compactor.h"
#include "log/log_journal.h"
#include "membership/membership.h"
#include "peer/grpc_transport.h"
#include "platform/http_engine_control.h"
#include "platform/http_log_service.h"
#include "platform/http_ordering_service.h"
#include "platform/http_usage_service.h"
#include "platform/http_vm_directory.h"
#include "platform/http_weight_store.h"
#include "rollout/batch_host.h"
#include "rollout/trainer_api.h"

namespace mulberryroad::daemon {

namespace {

constexpr std::chrono::milliseconds kHandOverPoll{20};
// Time for the release records of leases to reach the log.
constexpr std::chrono::milliseconds kReleaseTime{200};

std::chrono::milliseconds Millis(std::uint32_t count) {
  return std::chrono::milliseconds(count);
}

Endpoint EndpointOf(const std::string& text) {
  return ParseEndpoint(text).value_or(Endpoint{});
}

Endpoint At(const std::string& address, std::uint32_t port) {
  return {address, static_cast<std::uint16_t>(port)};
}

std::uint64_t SeedOf(const v1::NodeSettings& settings) {
  return settings.seed() != 0 ? settings.seed() : std::random_device()();
}

/// Grows with each start of a process on the same VM.
std::uint64_t IncarnationAt(const Clock& clock) {
  return static_cast<std::uint64_t>(UnixTime(clock.wall_now()).count());
}

v1::Member SelfOf(const v1::NodeSettings& settings, std::uint64_t incarnation) {
  v1::Member self;
  self.set_node_id(settings.node_id());
  self.set_incarnation(incarnation);
  self.set_state(v1::MEMBER_ALIVE);
  self.set_peer_endpoint(
      ToString(At(settings.peer_address(), settings.peer_port())));
  self.set_failure_domain(settings.failure_domain());
  self.set_region(settings.region());
  return self;
}

http::ServerLimits LimitsOf(const v1::NodeSettings& settings) {
  http::ServerLimits limits;
  limits.max_body_bytes = settings.max_body_bytes();
  limits.client_timeout = Millis(settings.client_timeout_ms());
  return limits;
}

entry::GatewayOptions GatewayOptionsOf(const v1::NodeSettings& settings,
                                       std::uint64_t seed) {
  entry::GatewayOptions options;
  options.node = NodeId(settings.node_id());
  options.upstream_credential = settings.upstream_credential();
  options.request_timeout = Millis(settings.request_timeout_ms());
  options.seed = seed;
  return options;
}

}  // namespace

/// All objects of a node, in the order of their dependencies.
class Node::Parts {
 public:
  explicit Parts(const v1::NodeSettings& settings);

  bool Start(std::string* reason);
  void Run() { loop_.Run(); }

 private:
  AdminSources Sources();
  base::DrainSteps Steps();
  std::size_t OpenWork() const;
  void HandOver(std::function<void()> done);
  void RegisterGauges();
  void RegisterSnapshots();

  v1::NodeSettings settings_;
  SystemClock clock_;
  std::uint64_t incarnation_ = IncarnationAt(clock_);
  std::uint64_t seed_ = SeedOf(settings_);
  NodeId self_{settings_.node_id()};
  FailureDomainId failure_domain_{settings_.failure_domain()};

  base::EventLoop loop_;
  base::Metrics metrics_;
  base::DecisionLog decisions_{clock_, self_};

  http::Client http_client_{loop_};
  http::Server caller_server_{loop_, LimitsOf(settings_)};
  http::Server admin_server_{loop_, LimitsOf(settings_)};
  peer::GrpcTransport grpc_transport_{loop_};
  MeasuredTransport transport_{grpc_transport_, clock_, metrics_};

  platform::HttpLogService http_log_{loop_, http_client_,
                                     EndpointOf(settings_.log_service())};
  MeasuredLogService log_service_{http_log_, metrics_};
  platform::HttpVmDirectory vms_{http_client_, EndpointOf(settings_.vm_list())};
  platform::HttpOrderingService ordering_{
      loop_, http_client_, EndpointOf(settings_.ordering_service())};
  platform::HttpUsageService usage_service_{
      http_client_, EndpointOf(settings_.usage_service())};
  platform::HttpWeightStore weights_{http_client_,
                                     EndpointOf(settings_.weight_store())};
  platform::HttpEngineControl engines_{http_client_};

  log::LogJournal journal_{loop_, clock_, log_service_, self_, incarnation_};
  membership::Membership members_;
  lease::LeaseKeeper leases_;
  config::ConfigStore configuration_;

  billing::UsageMeter meter_{loop_,    clock_,         journal_, transport_,
                             members_, configuration_, self_,    incarnation_};
  billing::Reporter reporter_{loop_,     clock_,         journal_,
                              leases_,   configuration_, usage_service_,
                              decisions_};
  log::Compactor compactor_;
  dispatch::DispatcherHost dispatchers_;
  dispatch::PeerBroker broker_;
  dispatch::EngineGenerator generator_;
  ledger::LedgerHost ledger_host_;
  ledger::LedgerClient ledger_client_;
  rollout::BatchHost batches_;
  control::Controller controller_;
  entry::Gateway gateway_;
  rollout::TrainerApi trainer_api_;
  AdminApi admin_api_;
  base::Drain drain_;
  std::function<void()> hand_over_done_;
  base::Timer hand_over_poll_;
};

Node::Parts::Parts(const v1::NodeSettings& settings)
    : settings_(settings),
      members_(loop_, clock_, transport_, vms_, SelfOf(settings_, incarnation_),
               seed_,
               {.probe_interval = Millis(settings_.probe_interval_ms())}),
      leases_(loop_, clock_, journal_, decisions_, self_, incarnation_,
              {.ttl = Millis(settings_.lease_ttl_ms()),
               .margin = Millis(settings_.lease_margin_ms())}),
      configuration_(
          loop_, clock_, journal_, transport_, members_,
          {.isolation_limit = Millis(settings_.isolation_limit_ms())}),
      compactor_(loop_, clock_, journal_, leases_, {}),
      dispatchers_(loop_, clock_, transport_, members_, configuration_, vms_,
                   engines_, decisions_, seed_),
      broker_(loop_, clock_, transport_, members_, configuration_, dispatchers_,
              decisions_, failure_domain_, seed_),
      generator_(loop_, clock_, http_client_, broker_, decisions_,
                 {.credential = settings_.upstream_credential(),
                  .timeout = Millis(settings_.request_timeout_ms())}),
      ledger_host_(loop_, clock_, transport_, members_, leases_, journal_,
                   settings_.ledger_partitions()),
      ledger_client_(transport_, members_, ledger_host_,
                     settings_.ledger_partitions()),
      batches_(loop_, clock_, transport_, members_, configuration_, leases_,
               journal_, generator_, meter_, decisions_, {}),
      controller_(loop_, clock_, transport_, members_, configuration_, leases_,
                  journal_, vms_, ordering_, engines_, weights_, decisions_,
                  failure_domain_,
                  {.interval = Millis(settings_.control_interval_ms())}),
      gateway_(loop_, clock_, caller_server_, http_client_, configuration_,
               broker_, generator_, ledger_client_, meter_, decisions_,
               GatewayOptionsOf(settings_, seed_)),
      trainer_api_(caller_server_, configuration_, batches_, decisions_),
      admin_api_(admin_server_, configuration_, members_, leases_, journal_,
                 decisions_, metrics_, Sources()),
      drain_(loop_, clock_,
             {.leave_delay = Millis(settings_.leave_delay_ms()),
              .drain_timeout = Millis(settings_.drain_timeout_ms())},
             Steps()) {
  admin_api_.ServeHealth(caller_server_);
  RegisterGauges();
  RegisterSnapshots();
}

void Node::Parts::RegisterSnapshots() {
  compactor_.Add(config::kConfigStream, [this](v1::Snapshot* snapshot) {
    configuration_.Save(snapshot);
  });
  compactor_.Add(lease::kLeaseStream,
                 [this](v1::Snapshot* snapshot) { leases_.Save(snapshot); });
  compactor_.AddRecords(billing::kUsageStream,
                        [this] { return reporter_.book().live_offsets(); });
  compactor_.AddLed([this] { return controller_.led_streams(); });
  compactor_.AddLed([this] { return ledger_host_.led_streams(); });
}

AdminSources Node::Parts::Sources() {
  return {.pools = [this] { return dispatchers_.pools(); },
          .usage = [this] { return meter_.counters(); },
          .open_requests = [this] { return caller_server_.open_exchanges(); },
          .leaving = [this] { return drain_.begun(); }};
}

base::DrainSteps Node::Parts::Steps() {
  return {.announce =
              [this] {
                caller_server_.BeginDrain();
                members_.Leave();
              },
          .stop_accepting = [this] { caller_server_.StopAccepting(); },
          .open_requests = [this] { return OpenWork(); },
          .refuse = {},
          .hand_over =
              [this](std::function<void()> done) { HandOver(std::move(done)); },
          .stop = [this] { loop_.Stop(); }};
}

std::size_t Node::Parts::OpenWork() const {
  return caller_server_.open_exchanges() + caller_server_.unsent_responses() +
         gateway_.open_requests() + batches_.owned();
}

// Usage is appended and leases are released before the process ends, so that
// successors need not wait for a term to run out.
void Node::Parts::HandOver(std::function<void()> done) {
  controller_.Stop();
  reporter_.Stop();
  compactor_.Stop();
  meter_.Flush();
  hand_over_done_ = std::move(done);
  hand_over_poll_ = loop_.Every(kHandOverPoll, [this] {
    if (meter_.settled()) {
      // Kept until here: the release records need the loop as well.
      hand_over_poll_ = loop_.After(kReleaseTime, hand_over_done_);
    }
  });
}

void Node::Parts::RegisterGauges() {
  metrics_.Gauge("config_revision", [this] {
    return static_cast<double>(configuration_.revision());
  });
  metrics_.Gauge("open_requests", [this] {
    return static_cast<double>(caller_server_.open_exchanges());
  });
  metrics_.Gauge("eligible_nodes", [this] {
    return static_cast<double>(members_.eligible().size());
  });
  metrics_.Gauge("log_silence_seconds", [this] {
    return std::chrono::duration<double>(journal_.silence()).count();
  });
}

bool Node::Parts::Start(std::string* reason) {
  const Endpoint callers =
      At(settings_.listen_address(), settings_.listen_port());
  const Endpoint admin = At(settings_.listen_address(), settings_.admin_port());
  const Endpoint peers = At(settings_.peer_address(), settings_.peer_port());
  if (!caller_server_.Listen(callers)) {
    *reason = "cannot listen on " + ToString(callers);
    return false;
  }
  if (!admin_server_.Listen(admin)) {
    *reason = "cannot listen on " + ToString(admin);
    return false;
  }
  if (!grpc_transport_.Listen(peers)) {
    *reason = "cannot listen on " + ToString(peers);
    return false;
  }
  loop_.OnSignal(SIGTERM, [this] { drain_.Begin(); });
  loop_.OnSignal(SIGINT, [this] { drain_.Begin(); });
  base::LogInfo("start", "serving callers on " + ToString(callers));
  return true;
}

Node::Node(const v1::NodeSettings& settings)
    : parts_(std::make_unique<Parts>(settings)) {}

Node::~Node() = default;

bool Node::Start(std::string* reason) { return parts_->Start(reason); }

void Node::Run() { parts_->Run(); }

}  // namespace mulberryroad::daemon
