#include "batches/batch_table.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

namespace mulberryroad::batches {

std::optional<std::string> BatchTable::Apply(
    const platform::KeyedRecord& record) {
  const BatchKey key = Decode(record.key);
  return std::visit(
      [this, &record](const auto& typed_key) -> std::optional<std::string> {
        using Key = std::decay_t<decltype(typed_key)>;
        if constexpr (std::is_same_v<Key, UnrecognizedKey>) {
          return std::nullopt;
        } else {
          if (record.value.has_value()) {
            ApplyValue(typed_key, record);
          } else if (batches_.contains(typed_key.batch)) {
            ApplyTombstone(typed_key);
          }
          return typed_key.batch;
        }
      },
      key);
}

void BatchTable::ApplyValue(const AcceptedKey& key,
                            const platform::KeyedRecord& record) {
  Batch& batch = batches_[key.batch];
  v1::BatchRecord accepted;
  // A resubmitted batch keeps the record under which it was first accepted.
  if (!batch.accepted.has_value() && accepted.ParseFromString(*record.value)) {
    batch.accepted = std::move(accepted);
    batch.offset = record.offset;
  }
}

void BatchTable::ApplyValue(const ResultKey& key,
                            const platform::KeyedRecord& record) {
  Batch& batch = batches_[key.batch];
  v1::ResultRecord result;
  if (result.ParseFromString(*record.value)) {
    batch.listed.insert(result.item());
    batch.next_position = std::max(batch.next_position, key.position + 1);
  }
}

void BatchTable::ApplyValue(const ProgressKey& key,
                            const platform::KeyedRecord& record) {
  v1::ProgressRecord progress;
  if (progress.ParseFromString(*record.value)) {
    batches_[key.batch].progress[key.item][key.number] = std::move(progress);
  }
}

void BatchTable::ApplyValue(const EndKey& key,
                            const platform::KeyedRecord& /*record*/) {
  Batch& batch = batches_[key.batch];
  batch.ended = true;
  batch.chunks.clear();
}

void BatchTable::ApplyValue(const ChunkKey& key,
                            const platform::KeyedRecord& record) {
  Batch& batch = batches_[key.batch];
  batch.stored_chunks.insert(key.number);
  v1::BatchChunk chunk;
  if (!batch.ended && !batch.chunks.contains(key.number) &&
      chunk.ParseFromString(*record.value)) {
    batch.chunks[key.number] = std::move(chunk);
  }
}

void BatchTable::ApplyTombstone(const AcceptedKey& key) {
  batches_.erase(key.batch);
}

// The item stays listed, so that the owner does not run it again.
void BatchTable::ApplyTombstone(const ResultKey& /*key*/) {}

void BatchTable::ApplyTombstone(const ProgressKey& key) {
  batches_[key.batch].progress.erase(key.item);
}

void BatchTable::ApplyTombstone(const EndKey& /*key*/) {}

void BatchTable::ApplyTombstone(const ChunkKey& key) {
  batches_[key.batch].stored_chunks.erase(key.number);
}

const Batch* BatchTable::find(const std::string& id) const {
  const auto found = batches_.find(id);
  return found == batches_.end() ? nullptr : &found->second;
}

std::vector<platform::KeyedRecord> MakeRecords(
    v1::BatchRecord accepted, const std::vector<v1::BatchItem>& items,
    std::size_t max_record_bytes) {
  std::vector<platform::KeyedRecord> records(1);
  v1::BatchChunk chunk;
  std::uint32_t chunks = 0;
  const auto close_chunk = [&] {
    records.push_back({Encode(ChunkKey{accepted.batch(), chunks++}),
                       chunk.SerializeAsString()});
    chunk.Clear();
  };
  for (const v1::BatchItem& item : items) {
    if (chunk.items_size() > 0 &&
        chunk.ByteSizeLong() + item.ByteSizeLong() > max_record_bytes) {
      close_chunk();
    }
    *chunk.add_items() = item;
  }
  close_chunk();
  accepted.set_items(static_cast<std::uint32_t>(items.size()));
  accepted.set_chunks(chunks);
  records[0] = {Encode(AcceptedKey{accepted.batch()}),
                accepted.SerializeAsString()};
  return records;
}

}  // namespace mulberryroad::batches
