// Counts the requests that upstreams began to run, by usage window and
// organisation.

#ifndef MULBERRYROAD_SRC_DUTIES_USAGE_COUNTS_H_
#define MULBERRYROAD_SRC_DUTIES_USAGE_COUNTS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"
#include "platform/partition_store.h"

namespace mulberryroad::duties {

/// Number of requests by organisation.
using UsageByOrganisation = std::map<OrganisationId, std::uint64_t>;

/// Topic of the counts of all processes.
inline constexpr char kUsageTopic[] = "keyed.usage";

/// Returns the index of the usage window that contains `time`. Window k begins
/// k times `length` after the Unix epoch.
std::int64_t WindowAt(WallTime time, std::chrono::seconds length);
/// Returns the partition that stores the counts of a window.
/// @param partitions number of partitions of the topic
platform::PartitionId UsagePartition(std::int64_t window, int partitions);
/// Returns the key prefix of the counts of a window; the process name follows.
std::string UsageKeyPrefix(std::int64_t window);

/// The counts of one process. Used on the event loop's thread.
class UsageCounts {
 public:
  /// @param process unique name of this process
  /// @param window length of a usage window
  UsageCounts(std::string process, std::chrono::seconds window);

  /// Counts one request in the window of `now`.
  void Count(const OrganisationId& organisation, WallTime now);
  /// Returns the records, by window, whose counts changed since the last call.
  /// Counts are cumulative, so that storing one twice is harmless.
  std::map<std::int64_t, platform::KeyedRecord> TakeChangedRecords();
  /// Marks a window as changed again, because its record was not stored.
  void MarkChanged(std::int64_t window) { changed_.insert(window); }
  /// Drops the windows that ended more than kKeptWindows windows ago.
  void Expire(WallTime now);

  /// Number of past windows that are kept.
  static constexpr std::int64_t kKeptWindows = 10;

 private:
  std::string process_;
  std::chrono::seconds window_;
  std::map<std::int64_t, UsageByOrganisation> counts_;
  std::set<std::int64_t> changed_;
};

}  // namespace mulberryroad::duties

#endif  // MULBERRYROAD_SRC_DUTIES_USAGE_COUNTS_H_
