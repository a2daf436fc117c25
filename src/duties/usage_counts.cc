#include "duties/usage_counts.h"

#include <cstdio>
#include <utility>

#include "mulberryroad/store.pb.h"

namespace mulberryroad::duties {

std::int64_t WindowAt(WallTime time, std::chrono::seconds length) {
  return UnixTime(time) /
         std::chrono::duration_cast<std::chrono::milliseconds>(length);
}

platform::PartitionId UsagePartition(std::int64_t window, int partitions) {
  return {kUsageTopic, static_cast<int>(window % partitions)};
}

std::string UsageKeyPrefix(std::int64_t window) {
  char text[32];
  std::snprintf(text, sizeof(text), "%014lld/",
                static_cast<long long>(window));  // NOLINT(google-runtime-int)
  return text;
}

UsageCounts::UsageCounts(std::string process, std::chrono::seconds window)
    : process_(std::move(process)), window_(window) {}

void UsageCounts::Count(const OrganisationId& organisation, WallTime now) {
  const std::int64_t window = WindowAt(now, window_);
  ++counts_[window][organisation];
  changed_.insert(window);
}

std::map<std::int64_t, platform::KeyedRecord>
UsageCounts::TakeChangedRecords() {
  std::map<std::int64_t, platform::KeyedRecord> records;
  for (const std::int64_t window : std::exchange(changed_, {})) {
    v1::UsageCount record;
    for (const auto& [organisation, count] : counts_[window]) {
      (*record.mutable_requests())[organisation.value()] = count;
    }
    records[window] = {UsageKeyPrefix(window) + process_,
                       record.SerializeAsString()};
  }
  return records;
}

void UsageCounts::Expire(WallTime now) {
  const std::int64_t oldest = WindowAt(now, window_) - kKeptWindows;
  counts_.erase(counts_.begin(), counts_.lower_bound(oldest));
  changed_.erase(changed_.begin(), changed_.lower_bound(oldest));
}

}  // namespace mulberryroad::duties
