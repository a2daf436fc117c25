// Reachability of the store, readiness and metrics of a node.

#include <string>
#include <utility>

#include "node/node_impl.h"
#include "platform/names.h"

namespace mulberryroad::node {

namespace {

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;
// One line for each reason in this time, however many clients are closed.
constexpr std::chrono::seconds kClosedClientsLogInterval{5};

}  // namespace

void Node::Impl::CountUsage(const OrganisationId& organisation) {
  usage_counts_.Count(organisation, clock_.wall_now());
}

// Returns true if reads of the store fail and the last answered one was sent at
// least kMaxContactAge ago; a single failed read does not count.
bool Node::Impl::store_unreachable() const {
  const auto contact = operator_tail_->last_success_sent_at();
  return operator_tail_->failing() &&
         (!contact.has_value() ||
          clock_.now() >= *contact + ReachabilityTracker::kMaxContactAge);
}

// Returns true if this node owns a batch partition and no other node does: the
// membership was renewed recently, or the store is unreachable for all nodes
// and assigns no partitions.
bool Node::Impl::OwnsPartition(int partition) const {
  const auto renewed_at = batch_host_.renewed_at();
  const bool current =
      renewed_at.has_value() &&
      clock_.now() < *renewed_at + batches::BatchHost::kMembershipTtl;
  return batch_host_.holds(partition) &&
         (current || peers_.reachability() == StoreReachability::kOutage);
}

// Result of the readiness check. A node that does not reach the store stays
// ready if its peers do not reach it either, since no other node could serve
// the callers better.
bool Node::Impl::ready() const {
  const bool store_failing =
      store_unreachable() &&
      peers_.reachability() != StoreReachability::kOutage;
  return !drain_.begun() && catalog_.manifest() != nullptr &&
         upstream_watch_.has_snapshot() && !store_failing;
}

// Returns the reason why the node refuses all calls, or nullopt. An isolated
// node refuses them once its last store contact is key_revocation_delay ago: it
// might otherwise accept a revoked key for longer than allowed.
std::optional<std::string> Node::Impl::refusal_reason() const {
  if (stopping_) {
    return "the node is stopping";
  }
  const auto contact = operator_tail_->last_success_sent_at();
  const bool keys_outdated =
      contact.has_value() &&
      clock_.now() >= *contact + settings_.key_revocation_delay;
  if (keys_outdated && peers_.reachability() == StoreReachability::kIsolated) {
    return "the node reaches neither the store nor its peers";
  }
  return std::nullopt;
}

void Node::Impl::RegisterReadiness() {
  readiness_.Route(http::Method::kGet, platform_adapter::kReadyPath,
                   [this](const std::shared_ptr<http::Exchange>& exchange) {
                     exchange->Reply(ready() ? kOk : kServiceUnavailable, "{}");
                   });
  const auto serve_metrics =
      [this](const std::shared_ptr<http::Exchange>& exchange) {
        exchange->Reply(kOk, metrics_.ToPrometheus(),
                        {{"Content-Type", "text/plain; version=0.0.4"}});
      };
  readiness_.Route(http::Method::kGet, "/metrics", serve_metrics);
  if (settings_.metrics_address.has_value()) {
    metrics_server_.emplace(loop_, http::ServerLimits{});
    metrics_server_->Route(http::Method::kGet, "/metrics", serve_metrics);
  }
  metrics_.Gauge("batch_partitions", [this] {
    return static_cast<double>(batch_host_.partitions());
  });
  metrics_.Gauge("items_running",
                 [this] { return static_cast<double>(batch_host_.running()); });
  metrics_.Gauge("items_waiting",
                 [this] { return static_cast<double>(batch_host_.waiting()); });
  metrics_.Gauge("items_scoring",
                 [this] { return static_cast<double>(batch_host_.scoring()); });
  metrics_.Gauge("item_bytes_held",
                 [this] { return static_cast<double>(item_memory_.held()); });
  metrics_.Gauge("output_bytes_held",
                 [this] { return static_cast<double>(output_memory_.held()); });
  metrics_.Gauge("crashing_contents", [this] {
    return static_cast<double>(crash_evidence_.size());
  });
  metrics_.Gauge("upstream_statements",
                 [this] { return static_cast<double>(statements_.size()); });
  metrics_.Gauge("log_lines_dropped",
                 [this] { return static_cast<double>(log_.dropped()); });
  metrics_.Gauge("evacuated_domains", [this] {
    return static_cast<double>(directory_.evacuations().size());
  });
  metrics_.Gauge("manifest_version",
                 [this] { return static_cast<double>(catalog_.version()); });
}

void Node::Impl::GuardServers() {
  const http::BudgetLimits limits =
      http::LimitsFor(settings_.memory_mb, settings_.max_fds);
  if (!limits.enabled()) {
    return;
  }
  guard_ = std::make_shared<http::ConnectionGuard>(
      loop_, limits, [this](http::CloseReason reason) {
        metrics_.Count("connections_closed_total",
                       {{"reason", std::string(http::ToString(reason))}});
        ++closed_clients_[reason];
      });
  callers_.SetGuard(guard_, /*protected_peer=*/false);
  readiness_.SetGuard(guard_, /*protected_peer=*/true);
  if (peer_server_.has_value()) {
    peer_server_->SetGuard(guard_, /*protected_peer=*/true);
  }
  if (metrics_server_.has_value()) {
    metrics_server_->SetGuard(guard_, /*protected_peer=*/true);
  }
  metrics_.Gauge("connection_bytes_held", [this] {
    return static_cast<double>(guard_->budget().held());
  });
  metrics_.Gauge("response_bytes_held", [this] {
    return static_cast<double>(guard_->budget().responses());
  });
  metrics_.Gauge("connections_open", [this] {
    return static_cast<double>(guard_->budget().connections());
  });
  closed_clients_timer_ = loop_.Every(kClosedClientsLogInterval, [this] {
    for (const auto& [reason, count] : closed_clients_) {
      log_.Write(
          "clients.closed",
          {{"reason", std::string(http::ToString(reason))},
           {"connections", count},
           {"bytes_held", static_cast<std::int64_t>(guard_->budget().held())}});
    }
    closed_clients_.clear();
  });
}

}  // namespace mulberryroad::node
