#include "node/node.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <set>
#include <utility>

#include "base/digest.h"
#include "node/node_impl.h"
#include "platform/batch_codec.h"
#include "platform/names.h"

namespace mulberryroad::node {

namespace {

using std::chrono::milliseconds;

// Delay between SIGTERM and closing the listening socket: the platform checks
// readiness once a second and removes a node after two failed checks.
constexpr milliseconds kLeaveDelay{2'500};
// Part of the grace period that remains when open requests are abandoned. It
// has to cover the time for sending their failures, kFinalFlushTime.
constexpr milliseconds kStopMargin{500};
// Time for which results are retained after the promised period has ended.
constexpr milliseconds kResultRetentionMargin{10'000};
constexpr milliseconds kExpireInterval{100};
// Peers change as nodes start and stop.
constexpr milliseconds kPeersInterval{1'000};
// Interval at which the holder of the duties makes sure of its links: orders go
// to upstreams over them only.
constexpr milliseconds kDutyLinksInterval{500};
// The settings file may change without a SIGHUP. The interval can be long,
// since the seeds are needed only while the store is unreachable.
constexpr milliseconds kReloadInterval{10'000};
// Minimum time between reads of registrations, so that one read returns the
// heartbeats of several upstreams. Far below the time within which a departing
// upstream must be detected.
constexpr milliseconds kRegistrationReadInterval{150};

// The speed of an upstream that runs items stays the same for most of its life,
// and each one gets some of the items of most steps.
constexpr milliseconds kItemLatencyMaxAge{15'000};

// A training step of 150 items takes a tenth of a core. Store reads and callers
// add to that load, so a VM with less than a quarter of a core cannot keep up.
constexpr double kSmallVmCores = 0.25;
// Additional time that such a VM leaves other nodes to claim the duty lease.
constexpr milliseconds kSmallVmLeaseDelay{1'000};

bool IsSmallVm(const Settings& settings) {
  return settings.cores < kSmallVmCores;
}

// Returns a process name that differs from those of earlier processes of this
// node.
std::string MakeProcessName(const Settings& settings, const Clock& clock) {
  std::random_device random;
  return settings.node.value() + "/" +
         std::to_string(UnixTime(clock.wall_now()).count()) + "-" +
         std::to_string(random() % 100'000);
}

}  // namespace

std::vector<Endpoint> internal::SeedPeers(const Settings& settings) {
  std::vector<Endpoint> peers = settings.seeds;
  if (settings.peer_address.has_value()) {
    std::erase(peers, *settings.peer_address);
  }
  return peers;
}

Node::Impl::Impl(Settings settings,
                 std::function<SettingsResult()> reload_settings)
    : settings_(std::move(settings)),
      reload_settings_(std::move(reload_settings)),
      log_(clock_, settings_.node),
      process_(MakeProcessName(settings_, clock_)),
      random_(base::StableHash(process_)),
      client_(loop_,
              [this](std::size_t bytes) {
                return guard_ == nullptr || guard_->ReserveForResponses(bytes);
              }),
      cold_({settings_.cold_bound_factor, settings_.cold_bound_requests}),
      statements_(&cold_),
      store_relay_(loop_, clock_, log_, metrics_, client_, random_,
                   settings_.store_address, internal::SeedPeers(settings_)),
      store_(store_relay_, settings_.store_address),
      upstream_client_(client_, clock_, statements_),
      duty_client_(client_, clock_, statements_,
                   settings_.duty_services_address),
      request_loads_(statements_),
      item_loads_(statements_, kItemLatencyMaxAge),
      permits_(
          loop_, clock_, log_, metrics_, client_, store_, random_, statements_,
          settings_.partitions,
          [this](int partition) { return OwnsPartition(partition); }, &cold_),
      shared_(loop_, clock_, log_, store_),
      statement_exchange_(
          loop_, clock_, log_, metrics_, shared_, directory_, statements_,
          process_,
          [this] { return OwnsPartition(internal::kCleaningPartition); }),
      crashes_(loop_, clock_, log_, metrics_, shared_, crash_evidence_,
               settings_.node.value(),
               [this] { return OwnsPartition(internal::kCleaningPartition); }),
      origins_(loop_, clock_, log_, metrics_, store_, shared_, directory_,
               settings_.node.value(), settings_.partitions,
               [this] { return OwnsPartition(internal::kCleaningPartition); }),
      upstream_watch_(clock_, log_, metrics_, directory_, request_loads_,
                      item_loads_, statements_, cold_),
      upstreams_(loop_, clock_, log_, metrics_, client_, random_,
                 upstream_client_, directory_, statements_),
      forward_server_(clock_, log_, metrics_, upstreams_, directory_,
                      statements_,
                      [this] {
                        // Without the operator's records the node does not know
                        // to which upstreams nothing may be sent.
                        return drain_.begun() || catalog_.manifest() == nullptr;
                      }),
      admission_(loop_, clock_, metrics_, random_),
      serving_{loop_,
               clock_,
               log_,
               metrics_,
               catalog_,
               directory_,
               request_loads_,
               permits_,
               crash_evidence_,
               crashes_,
               origins_,
               upstreams_,
               settings_.node.value(),
               settings_.failure_domain,
               random_,
               [this](const OrganisationId& id) { CountUsage(id); },
               platform_adapter::RetryAfter,
               &admission_},
      item_memory_([this](std::size_t bytes) {
        return guard_ == nullptr || guard_->Reserve(bytes);
      }),
      output_memory_(
          [this](std::size_t bytes) {
            return guard_ == nullptr || guard_->ReserveForOutputs(bytes);
          },
          log_, metrics_),
      batch_context_{loop_,
                     clock_,
                     log_,
                     metrics_,
                     store_,
                     item_memory_,
                     output_memory_,
                     catalog_,
                     directory_,
                     item_loads_,
                     request_loads_,
                     scorer_limits_,
                     permits_,
                     upstreams_,
                     settings_.failure_domain,
                     random_,
                     platform_adapter::ReadItemHeaders,
                     settings_.partitions,
                     settings_.result_retention + kResultRetentionMargin,
                     settings_.max_record_bytes},
      batch_client_(std::make_shared<batches::BatchClient>(
          loop_, clock_, store_, settings_.partitions)),
      batch_host_(batch_context_, MemberName(process_, settings_.peer_address),
                  IsSmallVm(settings_)),
      usage_counts_(process_, settings_.usage_window),
      lease_(
          loop_, clock_, log_, store_,
          duties::DutyLease(
              settings_.node.value(), process_,
              {.reclaim_delay = settings_.lease_duration + milliseconds(500),
               .claim_delay =
                   IsSmallVm(settings_) ? kSmallVmLeaseDelay : milliseconds(0)},
              clock_.now()),
          [this] { return duty_client_.calls_in_flight(); },
          [this] { return !upstreams_.depends_on_peers(); }),
      weights_(
          loop_, clock_, log_, metrics_, duty_client_, directory_, catalog_,
          settings_.node.value(), [this] { return lease_.epoch(); },
          statements_, permits_),
      usage_(loop_, clock_, log_, store_, duty_client_, settings_.partitions,
             {.window = settings_.usage_window}, settings_.node.value(),
             usage_counts_, [this] { return lease_.epoch(); }),
      capacity_(
          loop_, clock_, log_, metrics_, duty_client_, directory_, catalog_,
          settings_.node.value(), [this] { return lease_.epoch(); },
          [this] { return store_unstable(); }),
      peers_(
          loop_, clock_, log_, client_, random_, internal::SeedPeers(settings_),
          [this](const std::vector<platform::KeyedRecord>& records) {
            ApplyOperatorSnapshot(records, peers_.operator_records().position);
          },
          [this](const std::vector<platform::KeyedRecord>& records) {
            upstream_watch_.ApplySnapshot(records, store_unstable());
          }),
      operator_tail_(std::make_shared<store::KeyedTail>(
          loop_, clock_, log_, store_,
          platform::PartitionId{platform_adapter::kOperatorTopic, 0},
          store::TailTiming{.poll_wait = ReachabilityTracker::kMaxReadWait},
          MakeOperatorHandler())),
      registration_tail_(std::make_shared<store::KeyedTail>(
          loop_, clock_, log_, store_,
          platform::PartitionId{platform_adapter::kRegistrationsTopic, 0},
          store::TailTiming{.min_read_interval = kRegistrationReadInterval},
          MakeRegistrationHandler())),
      callers_(loop_, internal::kInitialServerLimits),
      readiness_(loop_, {}),
      ingress_(
          serving_, batch_client_, settings_.max_record_bytes,
          http::LimitsFor(settings_.memory_mb, settings_.max_fds)
              .max_reserved(),
          [this] { return refusal_reason(); },
          [this](const base::RequestDuration& duration) {
            return drain_.Admits(duration);
          },
          [this] {
            return RetryAtOtherNode(operator_tail_->failing_since(),
                                    peers_.reachability(), clock_.now());
          }),
      drain_(loop_, clock_,
             {.leave_delay = kLeaveDelay,
              .drain_timeout = settings_.grace_period - kStopMargin,
              .min_refusal_time = internal::kFinalFlushTime},
             MakeDrainSteps()),
      slots_(loop_, clock_, log_, metrics_, client_, directory_, item_loads_,
             process_, settings_.peer_address,
             [this] { return batch_host_.waiting(); }) {}

void Node::Impl::CloseConnectionsToLeaving() {
  statements_.on_leaving().connect(
      [this](const serving::LeavingUpstream& leaving) {
        const serving::Registration* upstream =
            directory_.find(leaving.upstream);
        if (upstream != nullptr) {
          // Not inside the callback of one of the client's connections.
          loop_.Post([this, endpoint = upstream->endpoint] {
            client_.CloseIdleConnections(endpoint);
          });
        }
      });
}

bool Node::Impl::Start(std::string* reason) {
  request_loads_.set_node(settings_.node.value());
  item_loads_.set_node(settings_.node.value());
  CloseConnectionsToLeaving();
  RegisterReadiness();
  ingress_.Register(callers_);
  if (settings_.peer_address.has_value()) {
    peer_server_.emplace(loop_, http::ServerLimits{});
  }
  GuardServers();
  if (!callers_.Listen(settings_.caller_address)) {
    *reason = "cannot listen on " + ToString(settings_.caller_address);
    return false;
  }
  if (!readiness_.Listen(settings_.readiness_address)) {
    *reason = "cannot listen on " + ToString(settings_.readiness_address);
    return false;
  }
  if (peer_server_.has_value()) {
    peers_.Register(*peer_server_);
    store_relay_.Register(*peer_server_);
    permits_.Register(*peer_server_);
    forward_server_.Register(*peer_server_);
    if (settings_.share_slots) {
      slots_.Register(*peer_server_);
    }
    if (!peer_server_->Listen(*settings_.peer_address)) {
      *reason = "cannot listen on " + ToString(*settings_.peer_address);
      return false;
    }
  }
  if (metrics_server_.has_value() &&
      !metrics_server_->Listen(*settings_.metrics_address)) {
    *reason = "cannot listen on " + ToString(*settings_.metrics_address);
    return false;
  }
  loop_.OnSignal(SIGTERM, [this] { drain_.Begin(); });
  loop_.OnSignal(SIGHUP, [this] { Reload(ReloadCause::kSignal); });
  reload_timer_ =
      loop_.Every(kReloadInterval, [this] { Reload(ReloadCause::kTimer); });
  log_.Write("start", {{"process", process_},
                       {"failure_domain", settings_.failure_domain.value()},
                       {"first_start", settings_.first_start}});
  operator_tail_->Start();
  registration_tail_->Start();
  peers_.Start();
  lease_.Start();
  weights_.Start();
  usage_.Start();
  capacity_.Start();
  batch_host_.Start();
  permits_.Start();
  statement_exchange_.Start();
  crashes_.Start();
  origins_.Start();
  upstreams_.Start();
  UpdatePeers();
  peers_timer_ = loop_.Every(kPeersInterval, [this] { UpdatePeers(); });
  duty_links_timer_ = loop_.Every(kDutyLinksInterval, [this] {
    if (lease_.epoch().has_value()) {
      upstreams_.TryLinkIfIdle();
    }
  });
  shared_.Start();
  expire_timer_ = loop_.Every(kExpireInterval, [this] {
    directory_.Expire(clock_.now());
    cold_.Expire(clock_.now());
  });
  return true;
}

void Node::Impl::UpdatePeers() {
  std::set<Endpoint> peers = permits_.owner_addresses();
  if (settings_.share_slots) {
    slots_.Update(peers);
  }
  for (const Endpoint& seed : settings_.seeds) {
    peers.insert(seed);
  }
  if (settings_.peer_address.has_value()) {
    peers.erase(*settings_.peer_address);
  }
  upstreams_.SetPeers({peers.begin(), peers.end()});
}

Node::Node(Settings settings, std::function<SettingsResult()> reload_settings)
    : impl_(std::make_unique<Impl>(std::move(settings),
                                   std::move(reload_settings))) {}

Node::~Node() = default;

bool Node::Start(std::string* reason) { return impl_->Start(reason); }

void Node::Run() { impl_->Run(); }

}  // namespace mulberryroad::node
