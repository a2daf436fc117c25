// Counts the requests that began to run, by usage window and organisation.

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

/// Requests by organisation.
using UsageByOrganisation = std::map<OrganisationId, std::uint64_t>;

/// Topic of the processes' counts.
inline constexpr char kUsageTopic[] = "keyed.usage";

/// Returns the window of an instant: window k begins k lengths after the Unix
/// epoch.
std::int64_t WindowAt(WallTime time, std::chrono::seconds length);
/// Returns where the counts of a window lie.
platform::PartitionId UsagePartition(std::int64_t window, int partitions);
/// Prefix of the keys of a window's counts.
std::string UsageKeyPrefix(std::int64_t window);

/// The counts of one process.
class UsageCounts {
 public:
  UsageCounts(std::string process, std::chrono::seconds window);

  void Count(const OrganisationId& organisation, WallTime now);
  /// Returns the counts that changed since they were last returned, as records
  /// by window. Counts are cumulative, so that storing them twice is harmless.
  std::map<std::int64_t, platform::KeyedRecord> TakeChanged();
  /// Has a window's counts returned again, as they were not stored.
  void Restore(std::int64_t window) { changed_.insert(window); }
  /// Forgets windows that ended long ago.
  void Expire(WallTime now);

  /// Windows that are kept after they ended.
  static constexpr std::int64_t kKept = 10;

 private:
  std::string process_;
  std::chrono::seconds window_;
  std::map<std::int64_t, UsageByOrganisation> counts_;
  std::set<std::int64_t> changed_;
};

}  // namespace mulberryroad::duties

#endif  // MULBERRYROAD_SRC_DUTIES_USAGE_COUNTS_H_
