// The operators' HTTP interface of a node: declaration, status, usage, metrics.

#ifndef MULBERRYROAD_SRC_DAEMON_ADMIN_API_H_
#define MULBERRYROAD_SRC_DAEMON_ADMIN_API_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/decision_log.h"
#include "base/metrics.h"
#include "config/configuration.h"
#include "http/server.h"
#include "lease/leases.h"
#include "log/journal.h"
#include "membership/members.h"
#include "mulberryroad/api.pb.h"
#include "mulberryroad/billing.pb.h"
#include "mulberryroad/verdict.h"

namespace mulberryroad::daemon {

/// What the interface reads from roles that have no interface class of their
/// own.
struct AdminSources {
  std::function<std::vector<v1::PoolStatus>()> pools;
  std::function<std::vector<v1::UsageCounter>()> usage;
  std::function<std::size_t()> open_requests;
  std::function<bool()> leaving;
};

class AdminApi {
 public:
  AdminApi(http::Server& server, config::Configuration& configuration,
           const membership::Members& members, const lease::Leases& leases,
           const log::Journal& journal, const base::DecisionLog& decisions,
           const base::Metrics& metrics, AdminSources sources);

  /// Serves GET /healthz on a server: 200 if the node takes requests, else 503
  /// with the cause.
  void ServeHealth(http::Server& server);

 private:
  using ExchangePointer = std::shared_ptr<http::Exchange>;

  void PutDeclaration(const ExchangePointer& exchange);
  void GetDeclaration(const ExchangePointer& exchange) const;
  void GetStatus(const ExchangePointer& exchange) const;
  void GetUsage(const ExchangePointer& exchange) const;
  void GetExplanation(const ExchangePointer& exchange) const;
  void GetHealth(const ExchangePointer& exchange) const;
  v1::NodeStatus Status() const;

  config::Configuration& configuration_;
  const membership::Members& members_;
  const lease::Leases& leases_;
  const log::Journal& journal_;
  const base::DecisionLog& decisions_;
  const base::Metrics& metrics_;
  AdminSources sources_;
};

}  // namespace mulberryroad::daemon

#endif  // MULBERRYROAD_SRC_DAEMON_ADMIN_API_H_
