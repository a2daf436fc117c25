#include "store/keyed_tail.h"

#include <utility>

namespace mulberryroad::store {

KeyedTail::KeyedTail(base::EventLoop& loop, const Clock& clock,
                     base::StructuredLog& log, platform::PartitionStore& store,
                     platform::PartitionId partition, TailTiming timing,
                     TailHandler handler)
    : loop_(loop),
      clock_(clock),
      log_(log),
      store_(store),
      partition_(std::move(partition)),
      timing_(timing),
      handler_(std::move(handler)) {}

void KeyedTail::Start() { ReadSnapshotPage({}); }

void KeyedTail::Stop() {
  stopped_ = true;
  timer_.Cancel();
}

void KeyedTail::RunAfter(std::chrono::milliseconds delay,
                         std::function<void()> step) {
  if (stopped_) {
    return;
  }
  if (delay == std::chrono::milliseconds(0)) {
    step();
    return;
  }
  timer_ = loop_.After(
      delay, [self = shared_from_this(), step = std::move(step)] { step(); });
}

void KeyedTail::ReadSnapshotPage(const std::string& after) {
  if (after.empty()) {
    snapshot_.clear();
    snapshot_end_.reset();
  }
  store_.ReadLatest(partition_, after, ReadTimeout(timing_.poll_wait),
                    [self = shared_from_this(),
                     sent = clock_.now()](platform::NewestOutcome outcome) {
                      self->OnSnapshotPage(sent, std::move(outcome));
                    });
}

void KeyedTail::OnSnapshotPage(Instant sent, platform::NewestOutcome outcome) {
  if (stopped_) {
    return;
  }
  if (const auto* failure = std::get_if<platform::PlatformFailure>(&outcome)) {
    OnReadFailed(failure->reason, [this] { ReadSnapshotPage({}); });
    return;
  }
  OnReadSucceeded(sent);
  auto& page = std::get<platform::LatestPage>(outcome);
  if (!snapshot_end_.has_value()) {
    // The pages are not read atomically: records written after the first page
    // are read again as later records.
    snapshot_end_ = page.end;
  }
  if (page.skipped > 0) {
    log_.Write("store.records_skipped",
               {{"topic", partition_.topic},
                {"part", static_cast<std::int64_t>(partition_.number)},
                {"records", static_cast<std::int64_t>(page.skipped)},
                {"reason", "the key is no text"}});
  }
  for (platform::KeyedRecord& record : page.records) {
    if (handler_.on_snapshot_read) {
      handler_.on_snapshot_read(&record);
    }
    snapshot_.push_back(std::move(record));
  }
  if (page.has_more && !page.records.empty()) {
    const std::string last = snapshot_.back().key;
    ReadSnapshotPage(last);
    return;
  }
  position_ = *snapshot_end_;
  caught_up_ = true;
  handler_.on_snapshot(std::exchange(snapshot_, {}));
  if (!stopped_) {
    ReadNext();
  }
}

std::chrono::milliseconds KeyedTail::ReadTimeout(
    std::chrono::milliseconds wait) const {
  return failing() ? timing_.probe_timeout : wait + timing_.response_margin;
}

void KeyedTail::ReadNext() {
  const auto wait =
      failing() ? std::chrono::milliseconds(0) : timing_.poll_wait;
  store_.Read(partition_, position_, wait, ReadTimeout(wait),
              [self = shared_from_this(),
               sent = clock_.now()](const platform::ReadOutcome& outcome) {
                self->OnRead(sent, outcome);
              });
}

void KeyedTail::OnRead(Instant sent, const platform::ReadOutcome& outcome) {
  if (stopped_) {
    return;
  }
  if (const auto* failure = std::get_if<platform::PlatformFailure>(&outcome)) {
    OnReadFailed(failure->reason, [this] { ReadNext(); });
    return;
  }
  OnReadSucceeded(sent);
  if (const auto* expired = std::get_if<platform::OffsetExpired>(&outcome)) {
    log_.Write("store.history_lost",
               {{"topic", partition_.topic},
                {"part", static_cast<std::int64_t>(partition_.number)},
                {"position", static_cast<std::int64_t>(position_)},
                {"first_retained",
                 static_cast<std::int64_t>(expired->first_retained)}});
    ReadSnapshotPage({});
    return;
  }
  const auto& page = std::get<platform::RecordPage>(outcome);
  for (const platform::KeyedRecord& record : page.records) {
    position_ = record.offset + 1;
    handler_.on_record(record);
    if (stopped_) {
      return;
    }
  }
  position_ = page.next;
  if (handler_.on_page_end) {
    handler_.on_page_end();
  }
  RunAfter(page.records.empty() ? std::chrono::milliseconds(0)
                                : timing_.min_read_interval,
           [this] { ReadNext(); });
}

void KeyedTail::OnReadSucceeded(Instant sent) {
  last_success_sent_at_ = sent;
  if (handler_.on_read_succeeded) {
    handler_.on_read_succeeded(sent);
  }
  if (std::exchange(failing_since_, std::nullopt).has_value()) {
    log_.Write("dependency.regained",
               {{"dependency", "store"}, {"topic", partition_.topic}});
  }
}

void KeyedTail::OnReadFailed(const std::string& reason,
                             std::function<void()> retry) {
  last_failure_ = clock_.now();
  if (!failing()) {
    failing_since_ = last_failure_;
    log_.Write("dependency.lost", {{"dependency", "store"},
                                   {"topic", partition_.topic},
                                   {"reason", reason}});
  }
  RunAfter(timing_.retry, std::move(retry));
}

}  // namespace mulberryroad::store
