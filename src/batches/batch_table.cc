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
  if (!batch.ended && result.ParseFromString(*record.value)) {
    batch.listed.insert(result.item());
    batch.next_position = std::max(batch.next_position, key.position + 1);
  }
}

void BatchTable::ApplyValue(const ProgressKey& key,
                            const platform::KeyedRecord& record) {
  Batch& batch = batches_[key.batch];
  v1::ProgressRecord progress;
  if (!batch.ended && progress.ParseFromString(*record.value)) {
    batch.progress[key.item][key.number] = std::move(progress);
  }
}

void BatchTable::ApplyValue(const EndKey& key,
                            const platform::KeyedRecord& /*record*/) {
  Batch& batch = batches_[key.batch];
  batch.ended = true;
  batch.listed.clear();
  batch.progress.clear();
}

void BatchTable::ApplyValue(const ChunkKey& key,
                            const platform::KeyedRecord& /*record*/) {
  batches_[key.batch].stored_chunks.insert(key.number);
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

void BatchTable::DropProgress(const std::string& id) {
  if (const auto found = batches_.find(id); found != batches_.end()) {
    found->second.progress.clear();
  }
}

const Batch* BatchTable::find(const std::string& id) const {
  const auto found = batches_.find(id);
  return found == batches_.end() ? nullptr : &found->second;
}

RecordBuilder::RecordBuilder(std::string batch, std::size_t max_record_bytes)
    : batch_(std::move(batch)),
      max_record_bytes_(max_record_bytes),
      records_(1) {}

// The encoding of a message with a repeated field is the sequence of the
// encodings with one element each.
void RecordBuilder::Add(const v1::BatchItem& item) {
  v1::BatchChunk single;
  *single.add_items() = item;
  if (!chunk_.empty() &&
      chunk_.size() + item.ByteSizeLong() > max_record_bytes_) {
    CloseChunk();
  }
  const std::size_t before = chunk_.size();
  single.AppendToString(&chunk_);
  item_bytes_ += chunk_.size() - before;
  ++items_;
}

void RecordBuilder::CloseChunk() {
  chunk_.shrink_to_fit();
  records_.push_back({Encode(ChunkKey{batch_, chunks_++}),
                      std::exchange(chunk_, std::string())});
}

std::vector<platform::KeyedRecord> RecordBuilder::Build(
    v1::BatchRecord accepted) {
  CloseChunk();
  accepted.set_items(items_);
  accepted.set_chunks(chunks_);
  records_[0] = {Encode(AcceptedKey{batch_}), accepted.SerializeAsString()};
  return std::exchange(records_, std::vector<platform::KeyedRecord>(1));
}

std::vector<platform::KeyedRecord> MakeRecords(
    v1::BatchRecord accepted, const std::vector<v1::BatchItem>& items,
    std::size_t max_record_bytes) {
  RecordBuilder builder(accepted.batch(), max_record_bytes);
  for (const v1::BatchItem& item : items) {
    builder.Add(item);
  }
  return builder.Build(std::move(accepted));
}

}  // namespace mulberryroad::batches
