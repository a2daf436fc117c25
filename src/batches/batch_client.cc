#include "batches/batch_client.h"

#include <algorithm>
#include <utility>

namespace mulberryroad::batches {

using platform::KeyedRecord;
using platform::LatestPage;
using platform::NewestOutcome;
using platform::PlatformFailure;
using std::chrono::milliseconds;

BatchClient::BatchClient(base::EventLoop& loop, const Clock& clock,
                         platform::PartitionStore& store, int partitions)
    : loop_(loop), clock_(clock), store_(store), partitions_(partitions) {}

platform::PartitionId BatchClient::BatchPartition(const BatchRef& batch) const {
  return BatchPartitionOf(batch.organisation.value(), partitions_);
}

platform::PartitionId BatchClient::ResultPartition(
    const BatchRef& batch) const {
  return ResultPartitionOf(batch.id, partitions_);
}

void BatchClient::RunAfter(milliseconds delay, std::function<void()> step) {
  auto timer = std::make_shared<base::Timer>();
  *timer = loop_.After(
      delay, [self = shared_from_this(), timer, step = std::move(step)] {
        // The callback owns the timer and the timer owns the callback; moving
        // the timer out breaks the cycle.
        const base::Timer fired = std::move(*timer);
        step();
      });
}

void BatchClient::Submit(const BatchRef& batch,
                         std::vector<KeyedRecord> records, RetryLimits limits,
                         std::function<void(StoreResult)> on_result) {
  const Instant give_up = clock_.now() + limits.max_duration;
  Append(BatchPartition(batch),
         std::make_shared<const std::vector<KeyedRecord>>(std::move(records)),
         std::move(limits), give_up, /*maybe_stored=*/false,
         std::move(on_result));
}

void BatchClient::End(const BatchRef& batch, RetryLimits limits,
                      std::function<void(StoreResult)> on_result) {
  v1::BatchEnd end;
  end.set_ended_ms(UnixTime(clock_.wall_now()).count());
  const Instant give_up = clock_.now() + limits.max_duration;
  const std::vector<KeyedRecord> records = {
      {Encode(EndKey{batch.id}), end.SerializeAsString()}};
  Append(BatchPartition(batch),
         std::make_shared<const std::vector<KeyedRecord>>(records),
         std::move(limits), give_up, /*maybe_stored=*/false,
         std::move(on_result));
}

// Retrying is safe: the records have fixed keys and content, so that appending
// them twice is idempotent.
void BatchClient::Append(const platform::PartitionId& partition,
                         SharedRecords records, RetryLimits limits,
                         Instant give_up, bool maybe_stored,
                         std::function<void(StoreResult)> on_result) {
  const auto remaining =
      std::chrono::duration_cast<milliseconds>(give_up - clock_.now());
  store_.Append(
      partition, *records, {},
      std::clamp(remaining, kRetryInterval, kAppendTimeout),
      [self = shared_from_this(), partition, records,
       limits = std::move(limits), give_up, maybe_stored,
       on_result = std::move(on_result)](
          const platform::AppendOutcome& outcome) mutable {
        if (std::holds_alternative<platform::Appended>(outcome)) {
          on_result(Stored{});
          return;
        }
        if (std::holds_alternative<platform::TooLarge>(outcome)) {
          on_result(NotStored{"an item is too large for the store",
                              /*too_large=*/true});
          return;
        }
        std::string reason = "the store refused the append";
        if (const auto* failure = std::get_if<PlatformFailure>(&outcome)) {
          reason = failure->reason;
          maybe_stored = maybe_stored || failure->verdict != Verdict::kNotRun;
        }
        if (self->clock_.now() + kRetryInterval >= give_up ||
            (limits.stop_retrying && limits.stop_retrying())) {
          if (maybe_stored) {
            on_result(MaybeStored{std::move(reason)});
          } else {
            on_result(NotStored{std::move(reason)});
          }
          return;
        }
        self->RunAfter(
            kRetryInterval, [self, partition, records = std::move(records),
                             limits = std::move(limits), give_up, maybe_stored,
                             on_result = std::move(on_result)]() mutable {
              self->Append(partition, std::move(records), std::move(limits),
                           give_up, maybe_stored, std::move(on_result));
            });
      });
}

void BatchClient::CacheRecord(const std::string& id, v1::BatchRecord record) {
  if (record_cache_.size() >= kMaxCachedRecords) {
    // Evicts an arbitrary entry: it is read again when it is needed.
    record_cache_.erase(record_cache_.begin());
  }
  record_cache_[id] = std::move(record);
}

void BatchClient::Find(
    const BatchRef& batch,
    std::function<void(std::variant<v1::BatchRecord, NoSuchBatch, ReadFailed>)>
        on_result) {
  if (const auto found = record_cache_.find(batch.id);
      found != record_cache_.end()) {
    on_result(found->second);
    return;
  }
  store_.ReadLatest(
      BatchPartition(batch), batch.id + "/", kReadTimeout,
      [self = shared_from_this(), batch,
       on_result = std::move(on_result)](const NewestOutcome& outcome) {
        if (const auto* failure = std::get_if<PlatformFailure>(&outcome)) {
          on_result(ReadFailed{failure->reason});
          return;
        }
        const auto& page = std::get<LatestPage>(outcome);
        v1::BatchRecord record;
        if (page.records.empty() ||
            page.records.front().key != Encode(AcceptedKey{batch.id})) {
          on_result(NoSuchBatch{});
        } else if (!record.ParseFromString(
                       page.records.front().value.value_or(""))) {
          on_result(ReadFailed{"the record of the batch is malformed"});
        } else {
          self->CacheRecord(batch.id, record);
          on_result(std::move(record));
        }
      });
}

void BatchClient::Read(const BatchRef& batch, std::uint32_t position,
                       milliseconds wait,
                       std::function<void(ReadResult)> on_result) {
  ReadPage(batch, position, clock_.now() + wait, std::move(on_result));
}

void BatchClient::ReadPage(const BatchRef& batch, std::uint32_t position,
                           Instant until,
                           std::function<void(ReadResult)> on_result) {
  // The key that precedes the first requested result.
  const std::string after = position == 0
                                ? Encode(AcceptedKey{batch.id})
                                : Encode(ResultKey{batch.id, position - 1});
  store_.ReadLatest(
      ResultPartition(batch), after, kReadTimeout,
      [self = shared_from_this(), batch, position, until,
       on_result = std::move(on_result)](const NewestOutcome& outcome) mutable {
        if (const auto* failure = std::get_if<PlatformFailure>(&outcome)) {
          on_result(ReadFailed{failure->reason});
          return;
        }
        ResultPage page;
        std::size_t bytes = 0;
        for (const KeyedRecord& record :
             std::get<LatestPage>(outcome).records) {
          const BatchKey key = Decode(record.key);
          const auto* result_key = std::get_if<ResultKey>(&key);
          v1::ResultRecord result;
          if (result_key == nullptr || result_key->batch != batch.id ||
              result_key->position != position + page.results.size() ||
              !result.ParseFromString(record.value.value_or("")) ||
              (bytes > 0 && bytes + record.value->size() > kMaxPageBytes)) {
            break;
          }
          bytes += record.value->size();
          page.results.push_back(std::move(result));
        }
        if (page.results.empty() &&
            self->clock_.now() + kPollInterval < until) {
          self->RunAfter(
              kPollInterval, [self, batch, position, until,
                              on_result = std::move(on_result)]() mutable {
                self->ReadPage(batch, position, until, std::move(on_result));
              });
          return;
        }
        on_result(std::move(page));
      });
}

void BatchClient::ReadBody(const BatchRef& batch, const std::string& item,
                           std::function<void(BodyResult)> on_result) {
  ReadChunks(batch, item, Encode(EndKey{batch.id}), std::move(on_result));
}

void BatchClient::ReadChunks(const BatchRef& batch, const std::string& item,
                             const std::string& after,
                             std::function<void(BodyResult)> on_result) {
  store_.ReadLatest(
      BatchPartition(batch), after, kReadTimeout,
      [self = shared_from_this(), batch, item,
       on_result = std::move(on_result)](const NewestOutcome& outcome) mutable {
        if (const auto* failure = std::get_if<PlatformFailure>(&outcome)) {
          on_result(ReadFailed{failure->reason});
          return;
        }
        const auto& page = std::get<LatestPage>(outcome);
        for (const KeyedRecord& record : page.records) {
          const BatchKey key = Decode(record.key);
          const auto* chunk_key = std::get_if<ChunkKey>(&key);
          v1::BatchChunk chunk;
          if (chunk_key == nullptr || chunk_key->batch != batch.id) {
            on_result(NoSuchBatch{});
            return;
          }
          if (!chunk.ParseFromString(record.value.value_or(""))) {
            on_result(ReadFailed{"a record of the batch is malformed"});
            return;
          }
          for (const v1::BatchItem& stored : chunk.items()) {
            if (stored.id() == item) {
              on_result(ItemBody{stored.body()});
              return;
            }
          }
        }
        if (!page.has_more || page.records.empty()) {
          on_result(NoSuchBatch{});
          return;
        }
        self->ReadChunks(batch, item, page.records.back().key,
                         std::move(on_result));
      });
}

}  // namespace mulberryroad::batches
