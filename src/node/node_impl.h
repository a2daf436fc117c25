// Components of a node and their connections. Internal to the sources of Node.

#ifndef MULBERRYROAD_SRC_NODE_NODE_IMPL_H_
#define MULBERRYROAD_SRC_NODE_NODE_IMPL_H_

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/drain.h"
#include "base/event_loop.h"
#include "base/metrics.h"
#include "base/structured_log.h"
#include "batches/batch_host.h"
#include "duties/capacity_orders.h"
#include "duties/lease_runner.h"
#include "duties/usage_reporter.h"
#include "duties/weight_orders.h"
#include "http/client.h"
#include "http/connection_guard.h"
#include "http/server.h"
#include "node/crash_exchange.h"
#include "node/forward_server.h"
#include "node/forwarding_caller.h"
#include "node/node.h"
#include "node/peer_view.h"
#include "node/permit_exchange.h"
#include "node/shared_records.h"
#include "node/slot_exchange.h"
#include "node/statement_exchange.h"
#include "node/store_relay.h"
#include "node/stream_origin_exchange.h"
#include "node/upstream_watch.h"
#include "platform/duty_client.h"
#include "platform/ingress.h"
#include "platform/store_client.h"
#include "platform/upstream_client.h"
#include "serving/admission_queues.h"

namespace mulberryroad::node {

namespace internal {

// Limits until the first manifest is applied; also the lower bounds afterwards.
inline constexpr http::ServerLimits kInitialServerLimits{
    .max_body_bytes = 33'554'432,
    .max_header_bytes = 65'536,
    .client_timeout = std::chrono::milliseconds(30'000)};
// The owner of this batch partition deletes expired shared records.
inline constexpr int kCleaningPartition = 0;
// Time for sending the last responses and usage counts before the process
// exits.
inline constexpr std::chrono::milliseconds kFinalFlushTime{150};

/// Returns the seeds without this node.
std::vector<Endpoint> SeedPeers(const Settings& settings);

}  // namespace internal

class Node::Impl {
 public:
  Impl(Settings settings, std::function<SettingsResult()> reload_settings);

  bool Start(std::string* reason);
  void Run() { loop_.Run(); }

 private:
  store::TailHandler MakeOperatorHandler();
  store::TailHandler MakeRegistrationHandler();
  /// Closes idle connections to upstreams that say that they leave.
  void CloseConnectionsToLeaving();
  void ApplyOperatorRecord(const platform::KeyedRecord& record);
  /// Applies a listing of the operator's records.
  /// @param end offset up to which it is complete, exclusive
  void ApplyOperatorSnapshot(const std::vector<platform::KeyedRecord>& records,
                             platform::Offset end);
  /// Logs how many routes and organisations have no valid priority.
  void LogMissingPriorities(const serving::Manifest& manifest);
  void OnEvacuationChanged(const serving::EvacuationChange& change);
  std::optional<std::string> refusal_reason() const;
  bool store_unstable() const;
  bool store_unreachable() const;
  bool OwnsPartition(int partition) const;
  bool ready() const;
  base::DrainSteps MakeDrainSteps();
  void CountUsage(const OrganisationId& organisation);
  void RegisterReadiness();
  /// Bounds the memory and the connections of the callers' and other servers.
  void GuardServers();
  /// Updates the nodes that may forward requests to upstreams.
  void UpdatePeers();
  enum class ReloadCause { kSignal, kTimer };
  void Reload(ReloadCause cause);

  Settings settings_;
  std::function<SettingsResult()> reload_settings_;
  SystemClock clock_;
  base::EventLoop loop_;
  base::Metrics metrics_;
  base::StructuredLog log_;
  std::string process_;
  std::mt19937_64 random_;
  http::Client client_;
  serving::ColdUpstreams cold_;
  serving::UpstreamStatements statements_;
  StoreRelay store_relay_;
  platform_adapter::StoreClient store_;
  platform_adapter::UpstreamClient upstream_client_;
  platform_adapter::DutyClient duty_client_;
  serving::Catalog catalog_;
  serving::UpstreamDirectory directory_;
  serving::UpstreamLoads request_loads_;
  serving::UpstreamLoads item_loads_;
  batches::ScorerLimits scorer_limits_;
  PermitExchange permits_;
  SharedRecords shared_;
  StatementExchange statement_exchange_;
  serving::CrashEvidence crash_evidence_;
  CrashExchange crashes_;
  StreamOriginExchange origins_;
  UpstreamWatch upstream_watch_;
  ForwardingCaller upstreams_;
  ForwardServer forward_server_;
  serving::AdmissionQueues admission_;
  serving::ServingContext serving_;
  /// Null without limits.
  std::shared_ptr<http::ConnectionGuard> guard_;
  /// Closed connections by reason since the last log line.
  std::map<http::CloseReason, std::int64_t> closed_clients_;
  batches::ItemMemory item_memory_;
  batches::OutputMemory output_memory_;
  batches::BatchContext batch_context_;
  std::shared_ptr<batches::BatchClient> batch_client_;
  batches::BatchHost batch_host_;
  duties::UsageCounts usage_counts_;
  duties::LeaseRunner lease_;
  duties::WeightOrders weights_;
  duties::UsageReporter usage_;
  duties::CapacityOrders capacity_;
  PeerView peers_;
  std::shared_ptr<store::KeyedTail> operator_tail_;
  std::shared_ptr<store::KeyedTail> registration_tail_;
  http::Server callers_;
  http::Server readiness_;
  std::optional<http::Server> peer_server_;
  std::optional<http::Server> metrics_server_;
  platform_adapter::Ingress ingress_;
  bool stopping_ = false;
  base::Drain drain_;
  SlotExchange slots_;
  base::Timer expire_timer_;
  base::Timer reload_timer_;
  base::Timer peers_timer_;
  base::Timer duty_links_timer_;
  base::Timer closed_clients_timer_;
};

}  // namespace mulberryroad::node

#endif  // MULBERRYROAD_SRC_NODE_NODE_IMPL_H_
