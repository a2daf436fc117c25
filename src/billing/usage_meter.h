// Counts usage at this node, copies it to a partner and appends it to the log.

#ifndef MULBERRYROAD_SRC_BILLING_USAGE_METER_H_
#define MULBERRYROAD_SRC_BILLING_USAGE_METER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "billing/counter_set.h"
#include "billing/meter.h"
#include "config/configuration.h"
#include "log/journal.h"
#include "membership/members.h"
#include "mulberryroad/clock.h"
#include "peer/transport.h"

namespace mulberryroad::billing {

/// Name of the stream that carries usage and its windows.
inline constexpr char kUsageStream[] = "usage";

/// Usage is cumulative, so that copies and appends may be repeated by anybody
/// without changing the sum. If this node dies, its partner appends what it
/// keeps.
class UsageMeter final : public Meter {
 public:
  UsageMeter(base::EventLoop& loop, const Clock& clock, log::Journal& journal,
             peer::Transport& transport, membership::Members& members,
             config::Configuration& configuration, NodeId node,
             std::uint64_t incarnation);

  void Count(const OrganisationId& organisation, const Usage& usage) override;

  /// Appends everything now, for a graceful stop.
  void Flush();
  /// Returns true once everything counted was read back from the log.
  bool settled() const;
  /// Returns this node's counters, recent windows included.
  std::vector<v1::UsageCounter> counters() const;
  /// Does the work that is due; a timer calls it.
  void Tick();

  /// Appends to the usage stream that all nodes may make together.
  static constexpr double kAppendsPerSecond = 10;
  static constexpr std::chrono::milliseconds kShortestAppendInterval{1'000};
  static constexpr std::chrono::milliseconds kLongestAppendInterval{45'000};
  static constexpr std::chrono::milliseconds kTickInterval{200};

 private:
  void SendCopies();
  void Append();
  Counters Orphans() const;
  bool IsGone(const CopyKeeper::Run& run) const;
  std::chrono::milliseconds append_interval() const;
  void ForgetOldWindows();

  const Clock& clock_;
  log::Journal& journal_;
  peer::Transport& transport_;
  membership::Members& members_;
  config::Configuration& configuration_;
  NodeId node_;
  CounterSet counters_;
  CopyKeeper keeper_;
  std::string partner_;
  bool copying_ = false;
  bool appending_ = false;
  bool flushing_ = false;
  Instant last_append_;
  base::Timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::billing

#endif  // MULBERRYROAD_SRC_BILLING_USAGE_METER_H_
