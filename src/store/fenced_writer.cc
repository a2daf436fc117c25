#include "store/fenced_writer.h"

#include <iterator>
#include <utility>
#include <variant>

namespace mulberryroad::store {

FencedWriter::FencedWriter(base::EventLoop& loop, base::StructuredLog& log,
                           platform::PartitionStore& store,
                           platform::PartitionId partition, std::string writer,
                           std::uint64_t epoch, std::function<void()> on_ready,
                           std::function<void()> on_fenced)
    : loop_(loop),
      log_(log),
      store_(store),
      partition_(std::move(partition)),
      writer_(std::move(writer)),
      epoch_(epoch),
      on_ready_(std::move(on_ready)),
      on_fenced_(std::move(on_fenced)) {}

void FencedWriter::Start() { Send(); }

void FencedWriter::Stop() {
  stopped_ = true;
  retry_timer_.Cancel();
  queued_.clear();
  in_flight_.clear();
}

void FencedWriter::Append(std::vector<platform::KeyedRecord> records,
                          std::function<void()> on_appended) {
  if (stopped_) {
    return;
  }
  queued_.push_back({std::move(records), std::move(on_appended)});
  SendNext();
}

void FencedWriter::SendNext() {
  if (!ready_ || append_in_flight_ || stopped_ || queued_.empty()) {
    return;
  }
  std::size_t bytes = 0;
  const bool alone = sent_alone_ > 0;
  sent_alone_ -= alone ? 1 : 0;
  while (!queued_.empty() &&
         (in_flight_.empty() || (!alone && bytes < kMaxAppendBytes))) {
    for (const platform::KeyedRecord& record : queued_.front().records) {
      bytes += record.key.size() + (record.value ? record.value->size() : 0);
    }
    in_flight_.push_back(std::move(queued_.front()));
    queued_.pop_front();
  }
  ++sequence_;
  Send();
}

void FencedWriter::OnTooLarge() {
  append_in_flight_ = false;
  // The store has not used the number.
  --sequence_;
  if (in_flight_.size() > 1) {
    sent_alone_ = in_flight_.size();
    queued_.insert(queued_.begin(), std::make_move_iterator(in_flight_.begin()),
                   std::make_move_iterator(in_flight_.end()));
  } else {
    log_.Write("append.dropped",
               {{"topic", partition_.topic},
                {"part", static_cast<std::int64_t>(partition_.number)},
                {"records",
                 static_cast<std::int64_t>(in_flight_.front().records.size())},
                {"first_key", in_flight_.front().records.front().key},
                {"reason", "a record is too large for the store"}});
  }
  in_flight_.clear();
  SendNext();
}

void FencedWriter::Send() {
  append_in_flight_ = true;
  std::vector<platform::KeyedRecord> records;
  for (const QueuedAppend& entry : in_flight_) {
    records.insert(records.end(), entry.records.begin(), entry.records.end());
  }
  store_.Append(
      partition_, records, platform::WriterFence{writer_, epoch_, sequence_},
      kAppendTimeout,
      [self = shared_from_this()](const platform::AppendOutcome& outcome) {
        self->OnOutcome(outcome);
      });
}

void FencedWriter::OnOutcome(const platform::AppendOutcome& outcome) {
  if (stopped_) {
    return;
  }
  if (std::holds_alternative<platform::Appended>(outcome)) {
    OnAppended();
    return;
  }
  if (std::holds_alternative<platform::TooLarge>(outcome) &&
      !in_flight_.empty()) {
    OnTooLarge();
    return;
  }
  if (const auto* failure = std::get_if<platform::PlatformFailure>(&outcome)) {
    log_.Write("append.retry",
               {{"topic", partition_.topic},
                {"part", static_cast<std::int64_t>(partition_.number)},
                {"epoch", static_cast<std::int64_t>(epoch_)},
                {"sequence", static_cast<std::int64_t>(sequence_)},
                {"reason", failure->reason}});
    retry_timer_ =
        loop_.After(kRetryDelay, [self = shared_from_this()] { self->Send(); });
    return;
  }
  log_.Write("append.fenced",
             {{"topic", partition_.topic},
              {"part", static_cast<std::int64_t>(partition_.number)},
              {"epoch", static_cast<std::int64_t>(epoch_)},
              {"sequence", static_cast<std::int64_t>(sequence_)},
              {"by_sequence",
               std::holds_alternative<platform::OutOfSequence>(outcome)}});
  const std::function<void()> on_fenced = on_fenced_;
  Stop();
  on_fenced();
}

void FencedWriter::OnAppended() {
  append_in_flight_ = false;
  const std::vector<QueuedAppend> appended = std::exchange(in_flight_, {});
  const auto self = shared_from_this();
  if (!std::exchange(ready_, true)) {
    on_ready_();
  }
  for (const QueuedAppend& entry : appended) {
    if (entry.on_appended && !stopped_) {
      entry.on_appended();
    }
  }
  SendNext();
}

}  // namespace mulberryroad::store
