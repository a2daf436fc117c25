// The batches of one partition, as a fold over their records. Every reader
// comes to the same state.

#ifndef MULBERRYROAD_SRC_BATCHES_BATCH_TABLE_H_
#define MULBERRYROAD_SRC_BATCHES_BATCH_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "batches/batch_keys.h"
#include "mulberryroad/store.pb.h"
#include "platform/partition_store.h"

namespace mulberryroad::batches {

struct Batch {
  std::optional<v1::BatchRecord> accepted;
  /// Where in the partition it was accepted.
  platform::Offset offset = 0;
  std::map<std::uint32_t, v1::BatchChunk> chunks;
  /// Numbers of the chunks that the store holds.
  std::set<std::uint32_t> stored_chunks;
  /// Ids of the items with a listed result.
  std::set<std::string> listed;
  /// Stored events of unfinished items, by item and number.
  std::map<std::string, std::map<std::uint32_t, v1::ProgressRecord>> progress;
  /// First position without a result.
  std::uint32_t next_position = 0;
  bool ended = false;

  /// True once all items are known.
  bool complete() const {
    return accepted.has_value() && chunks.size() >= accepted->chunks();
  }
};

class BatchTable {
 public:
  /// Takes in a record.
  /// @return the batch that it is about, or nullopt if it is about none
  std::optional<std::string> Apply(const platform::KeyedRecord& record);

  /// Returns a batch, or null.
  const Batch* find(const std::string& id) const;
  const std::map<std::string, Batch>& all() const { return batches_; }

 private:
  void Take(const AcceptedKey& key, const platform::KeyedRecord& record);
  void Take(const ResultKey& key, const platform::KeyedRecord& record);
  void Take(const ProgressKey& key, const platform::KeyedRecord& record);
  void Take(const EndKey& key, const platform::KeyedRecord& record);
  void Take(const ChunkKey& key, const platform::KeyedRecord& record);

  void Drop(const AcceptedKey& key);
  void Drop(const ResultKey& key);
  void Drop(const ProgressKey& key);
  void Drop(const EndKey& key);
  void Drop(const ChunkKey& key);

  std::map<std::string, Batch> batches_;
};

/// Writes a batch as records for one append.
/// @param max_record_bytes no record gets longer, unless a single item is
std::vector<platform::KeyedRecord> MakeRecords(
    v1::BatchRecord accepted, const std::vector<v1::BatchItem>& items,
    std::size_t max_record_bytes);

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_BATCH_TABLE_H_
