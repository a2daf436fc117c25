// Applies the upstream registrations in the store to the upstream directory of
// this node.

#ifndef MULBERRYROAD_SRC_NODE_UPSTREAM_WATCH_H_
#define MULBERRYROAD_SRC_NODE_UPSTREAM_WATCH_H_

#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/structured_log.h"
#include "mulberryroad/clock.h"
#include "platform/partition_store.h"
#include "serving/cold_upstreams.h"
#include "serving/manifest.h"
#include "serving/upstream_statements.h"
#include "serving/upstreams.h"

namespace mulberryroad::node {

/// Updates the upstream directory from registration records, resets the load
/// data of restarted upstreams and logs health changes. Runs on the event loop
/// thread.
class UpstreamWatch {
 public:
  UpstreamWatch(const Clock& clock, base::StructuredLog& log,
                base::Metrics& metrics, serving::UpstreamDirectory& directory,
                serving::UpstreamLoads& request_loads,
                serving::UpstreamLoads& item_loads,
                serving::UpstreamStatements& statements,
                serving::ColdUpstreams& cold);

  /// Replaces the directory by a snapshot of all registrations.
  /// @param store_unstable true if the store was recently unreachable, so that
  ///     missing registrations may have expired during the outage
  void ApplySnapshot(const std::vector<platform::KeyedRecord>& records,
                     bool store_unstable);
  /// Applies one registration or its removal. A malformed one counts as
  /// removed.
  /// @param store_unstable see ApplySnapshot()
  void Apply(const platform::KeyedRecord& record, bool store_unstable);
  /// Returns true once a snapshot has been applied.
  bool has_snapshot() const { return has_snapshot_; }

  /// Limits slow starts to the services whose upstreams are cold after a start.
  void SetSlowStartServices(const serving::Manifest& manifest);
  /// Starts the slow start of the upstreams of a domain that was returned.
  void StartPaceOfDomain(const FailureDomainId& domain);

 private:
  /// Logs and counts ejections, and logs returns.
  /// @param work kind of work counted in the loads, for logs and metrics
  void LogHealth(serving::UpstreamLoads& loads, const std::string& work);
  /// Logs the begin and end of slow starts.
  void LogPace(serving::UpstreamLoads& loads, const std::string& work);
  /// Registers the gauge of upstreams limited by a slow start.
  void RegisterPaceGauge();
  /// Passes a registration to the loads.
  void RecordRegistration(const serving::Registration& registration);
  /// Logs and counts changes of the rate limits.
  void LogLimits();
  /// Marks upstreams that say that they leave, in the directory.
  void FollowLeaving();
  /// Logs cold periods and counts cold upstreams.
  void FollowCold();
  /// Records whether the process of a registration is cold.
  void RecordCold(const serving::Registration& registration,
                  platform::Offset offset);
  /// Discards the load data of an upstream whose process has restarted.
  /// @return true if it has restarted
  bool ResetLoadIfRestarted(const serving::Registration& registration);

  const Clock& clock_;
  base::StructuredLog& log_;
  base::Metrics& metrics_;
  serving::UpstreamDirectory& directory_;
  serving::UpstreamLoads& request_loads_;
  serving::UpstreamLoads& item_loads_;
  serving::UpstreamStatements& statements_;
  bool has_snapshot_ = false;
  serving::ColdUpstreams& cold_;
};

}  // namespace mulberryroad::node

#endif  // MULBERRYROAD_SRC_NODE_UPSTREAM_WATCH_H_
