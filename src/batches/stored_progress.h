// Progress of unfinished items as the store has it.

#ifndef MULBERRYROAD_SRC_BATCHES_STORED_PROGRESS_H_
#define MULBERRYROAD_SRC_BATCHES_STORED_PROGRESS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "batches/item_progress.h"
#include "batches/item_scheduler.h"
#include "platform/partition_store.h"

namespace mulberryroad::batches {

/// Makes the records that store, replace and delete the progress of items, and
/// keeps track of what they store. The records must be appended in the order in
/// which they were taken. Performs no I/O.
class StoredProgress {
 public:
  /// Stored records of one item by their number.
  using Records = std::map<std::uint32_t, v1::ProgressRecord>;
  /// Progress of an item that an earlier owner stored.
  struct Restored {
    ItemProgress progress;
    /// Number of failed runs.
    int failures = 0;
  };

  /// @param max_record_bytes maximum size of a record
  explicit StoredProgress(std::size_t max_record_bytes)
      : max_record_bytes_(max_record_bytes) {}

  /// Reads the records of an item.
  /// @param records at least one
  Restored Restore(const ItemRef& item, const std::string& id,
                   const Records& records);
  /// Returns records of the events that are not stored yet, and of the number
  /// of failed runs.
  /// @param id id of the item
  std::vector<platform::KeyedRecord> TakeRecords(const ItemRef& item,
                                                 const std::string& id,
                                                 const ItemProgress& progress,
                                                 int failures);
  /// Returns records that delete the events of an item and keep its number of
  /// failed runs; none if no events are stored.
  std::vector<platform::KeyedRecord> TakeEventDeletions(const ItemRef& item,
                                                        int failures);
  /// Returns records that delete all that is stored of an item.
  std::vector<platform::KeyedRecord> TakeDeletions(const ItemRef& item);
  /// Returns records that delete all that is stored of the items of a batch.
  std::vector<platform::KeyedRecord> TakeBatchDeletions(
      const std::string& batch);

  /// Id of the last stored event of an item; 0 if there is none.
  std::uint64_t last_event(const ItemRef& item) const;
  /// Whether the stored events of an item are its whole output.
  bool complete(const ItemRef& item) const;

 private:
  struct Entry {
    std::string id;
    std::uint64_t last_event = 0;
    /// Number of records.
    std::uint32_t records = 0;
    bool complete = false;
  };

  std::size_t max_record_bytes_;
  std::map<ItemRef, Entry> entries_;
};

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_STORED_PROGRESS_H_
