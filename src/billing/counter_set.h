// The counters of one node: what was counted, copied to a partner and appended
// to the log; and the copies that a node keeps for others.

#ifndef MULBERRYROAD_SRC_BILLING_COUNTER_SET_H_
#define MULBERRYROAD_SRC_BILLING_COUNTER_SET_H_

#include <cstdint>
#include <map>
#include <vector>

#include "billing/meter.h"
#include "billing/window_book.h"
#include "mulberryroad/billing.pb.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::billing {

/// Cumulative counters of this node.
class CounterSet {
 public:
  CounterSet(NodeId node, std::uint64_t incarnation);

  /// Adds usage to a window. A window before the latest one counted is taken
  /// for the latest, so that a clock that steps back reopens nothing.
  void Count(const OrganisationId& organisation, const Usage& usage,
             WindowStart window);

  /// Returns the counters that grew since they were last seen in the log.
  Counters Unappended() const;
  /// Returns the counters that are neither in the log nor with the partner.
  Counters Uncopied() const;
  /// Takes note of counters read in the log.
  void MarkAppended(const Counters& counters);
  /// Takes note of counters that the partner keeps.
  void MarkCopied(const Counters& counters);
  /// Starts over with another partner.
  void ForgetCopies();
  /// Drops counters of windows before one that are in the log.
  void Forget(WindowStart before);

  /// Returns all counters held.
  Counters all() const;

 private:
  struct Entry {
    v1::UsageCounter counter;
    std::uint64_t growths = 0;
    std::uint64_t appended = 0;
    std::uint64_t copied = 0;
  };

  NodeId node_;
  std::uint64_t incarnation_;
  WindowStart latest_window_ = 0;
  std::map<CounterKey, Entry> entries_;
};

/// Copies of other nodes' counters, until they are seen in the log.
class CopyKeeper {
 public:
  /// Names one run of a node.
  struct Run {
    std::string node_id;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const Run&, const Run&) = default;
  };

  /// Keeps the highest counts of each counter.
  void Keep(const v1::UsageCopy& copy);
  /// Drops the counters that a log record covers.
  void Seen(const v1::UsageAppend& append);
  /// Returns the runs that counters are kept of.
  std::vector<Run> runs() const;
  /// Returns the counters kept of one run.
  Counters Of(const Run& run) const;

 private:
  std::map<CounterKey, v1::UsageCounter> kept_;
};

/// Returns true if `counter` is at least as high as `other` in every count.
bool Covers(const v1::UsageCounter& counter, const v1::UsageCounter& other);

}  // namespace mulberryroad::billing

#endif  // MULBERRYROAD_SRC_BILLING_COUNTER_SET_H_
