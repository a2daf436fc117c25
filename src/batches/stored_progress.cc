#include "batches/stored_progress.h"

#include <algorithm>
#include <utility>

#include "batches/batch_keys.h"

namespace mulberryroad::batches {

StoredProgress::Restored StoredProgress::Restore(const ItemRef& item,
                                                 const std::string& id,
                                                 const Records& records) {
  Restored restored;
  std::uint32_t failures = 0;
  bool in_order = true;
  for (const auto& [number, record] : records) {
    in_order = in_order && restored.progress.AppendRecord(record);
    failures = std::max(failures, record.failures());
  }
  restored.failures = static_cast<int>(failures);
  entries_[item] = {id, restored.progress.last_event,
                    records.rbegin()->first + 1, restored.progress.complete};
  return restored;
}

std::vector<platform::KeyedRecord> StoredProgress::TakeRecords(
    const ItemRef& item, const std::string& id, const ItemProgress& progress,
    int failures) {
  Entry& entry = entries_[item];
  entry.id = id;
  std::vector<platform::KeyedRecord> records;
  for (v1::ProgressRecord& record :
       progress.RecordsSince(entry.last_event, max_record_bytes_)) {
    record.set_failures(static_cast<std::uint32_t>(failures));
    records.push_back(
        {Encode(ProgressKey{item.batch, ProgressIdOf(id), entry.records}),
         record.SerializeAsString()});
    ++entry.records;
  }
  entry.last_event = progress.last_event;
  entry.complete = progress.complete;
  return records;
}

std::vector<platform::KeyedRecord> StoredProgress::TakeEventDeletions(
    const ItemRef& item, int failures) {
  if (last_event(item) == 0) {
    return {};
  }
  const std::string id = entries_.at(item).id;
  std::vector<platform::KeyedRecord> records = TakeDeletions(item);
  if (failures > 0) {
    for (platform::KeyedRecord& record : TakeRecords(item, id, {}, failures)) {
      records.push_back(std::move(record));
    }
  }
  return records;
}

std::vector<platform::KeyedRecord> StoredProgress::TakeDeletions(
    const ItemRef& item) {
  std::vector<platform::KeyedRecord> deletions;
  const auto entry = entries_.find(item);
  if (entry == entries_.end()) {
    return deletions;
  }
  const std::string id = ProgressIdOf(entry->second.id);
  for (std::uint32_t i = 0; i < entry->second.records; ++i) {
    deletions.push_back({Encode(ProgressKey{item.batch, id, i}), std::nullopt});
  }
  entries_.erase(entry);
  return deletions;
}

std::vector<platform::KeyedRecord> StoredProgress::TakeBatchDeletions(
    const std::string& batch) {
  std::vector<platform::KeyedRecord> deletions;
  while (true) {
    const auto entry = entries_.lower_bound({batch, 0});
    if (entry == entries_.end() || entry->first.batch != batch) {
      return deletions;
    }
    const ItemRef item = entry->first;
    for (platform::KeyedRecord& deletion : TakeDeletions(item)) {
      deletions.push_back(std::move(deletion));
    }
  }
}

std::uint64_t StoredProgress::last_event(const ItemRef& item) const {
  const auto entry = entries_.find(item);
  return entry == entries_.end() ? 0 : entry->second.last_event;
}

bool StoredProgress::complete(const ItemRef& item) const {
  const auto entry = entries_.find(item);
  return entry != entries_.end() && entry->second.complete;
}

}  // namespace mulberryroad::batches
