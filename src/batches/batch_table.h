// State of the batches of one partition, built by applying its records in
// order. The state depends on the records alone, so that all readers agree on
// it.

#ifndef MULBERRYROAD_SRC_BATCHES_BATCH_TABLE_H_
#define MULBERRYROAD_SRC_BATCHES_BATCH_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "batches/batch_keys.h"
#include "batches/item_memory.h"
#include "mulberryroad/store.pb.h"
#include "platform/partition_store.h"

namespace mulberryroad::batches {

/// State of one batch.
struct Batch {
  /// Nullopt until the record of the batch was read.
  std::optional<v1::BatchRecord> accepted;
  /// Offset of the record under which the batch was accepted.
  platform::Offset offset = 0;
  /// Numbers of the chunks of items that are in the store.
  std::set<std::uint32_t> stored_chunks;
  /// Ids of the items that have a result; empty once the batch has ended.
  std::set<std::string> listed;
  /// Stored events of unfinished items, by item id and record number.
  std::map<std::string, std::map<std::uint32_t, v1::ProgressRecord>> progress;
  /// First position without a result.
  std::uint32_t next_position = 0;
  bool ended = false;

  /// True if the batch record and all chunks of items were read.
  bool complete() const {
    return accepted.has_value() && stored_chunks.size() >= accepted->chunks();
  }
};

/// Does not hold the items.
class BatchTable {
 public:
  /// Applies a record; one without a value deletes its key.
  /// @return id of the record's batch, or nullopt if its key has another
  ///     format
  std::optional<std::string> Apply(const platform::KeyedRecord& record);

  /// Forgets the stored events of a batch's items.
  void DropProgress(const std::string& id);

  /// Returns a batch, or null if there is none with this id.
  const Batch* find(const std::string& id) const;
  /// All batches by id.
  const std::map<std::string, Batch>& all() const { return batches_; }

 private:
  void ApplyValue(const AcceptedKey& key, const platform::KeyedRecord& record);
  void ApplyValue(const ResultKey& key, const platform::KeyedRecord& record);
  void ApplyValue(const ProgressKey& key, const platform::KeyedRecord& record);
  void ApplyValue(const EndKey& key, const platform::KeyedRecord& record);
  void ApplyValue(const ChunkKey& key, const platform::KeyedRecord& record);

  void ApplyTombstone(const AcceptedKey& key);
  void ApplyTombstone(const ResultKey& key);
  void ApplyTombstone(const ProgressKey& key);
  void ApplyTombstone(const EndKey& key);
  void ApplyTombstone(const ChunkKey& key);

  std::map<std::string, Batch> batches_;
};

/// Encodes a batch as records for one append, item by item, so that the items
/// need not be in memory together.
class RecordBuilder {
 public:
  /// @param batch id of the batch
  /// @param max_record_bytes upper bound of a chunk's size, exceeded only by a
  ///     chunk with a single larger item
  RecordBuilder(std::string batch, std::size_t max_record_bytes);

  void Add(const v1::BatchItem& item);
  std::uint32_t items() const { return items_; }
  /// Estimate of the memory that an owner needs for the items, in bytes.
  std::size_t memory_need() const {
    return ItemMemoryNeed(item_bytes_, items_);
  }
  /// Returns the batch record, then the items in chunks. The builder is empty
  /// afterwards.
  /// @param accepted the batch record; its counts are filled in
  std::vector<platform::KeyedRecord> Build(v1::BatchRecord accepted);

 private:
  void CloseChunk();

  std::string batch_;
  std::size_t max_record_bytes_;
  /// The first record is the one of the batch.
  std::vector<platform::KeyedRecord> records_;
  /// Encoded items of the last chunk.
  std::string chunk_;
  std::uint32_t chunks_ = 0;
  std::uint32_t items_ = 0;
  /// Size of the encoded items.
  std::size_t item_bytes_ = 0;
};

/// Encodes a batch as records for one append: the batch record, then the items
/// in chunks.
/// @param max_record_bytes upper bound of a chunk's size, exceeded only by a
///     chunk with a single larger item
std::vector<platform::KeyedRecord> MakeRecords(
    v1::BatchRecord accepted, const std::vector<v1::BatchItem>& items,
    std::size_t max_record_bytes);

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_BATCH_TABLE_H_
