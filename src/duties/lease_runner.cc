#include "duties/lease_runner.h"

#include <utility>
#include <variant>

namespace mulberryroad::duties {

namespace {

constexpr char kLeaseKey[] = "duties";

}  // namespace

LeaseRunner::LeaseRunner(base::EventLoop& loop, const Clock& clock,
                         base::StructuredLog& log,
                         platform::PartitionStore& store, DutyLease lease)
    : loop_(loop),
      clock_(clock),
      log_(log),
      store_(store),
      lease_(std::move(lease)) {
  store::TailHandler handler;
  handler.on_snapshot =
      [this](const std::vector<platform::KeyedRecord>& records) {
        for (const platform::KeyedRecord& record : records) {
          OnRecord(record);
        }
      };
  handler.on_record = [this](const platform::KeyedRecord& record) {
    OnRecord(record);
  };
  tail_ = std::make_shared<store::KeyedTail>(
      loop, clock, log, store,
      platform::PartitionId{kDutyTopic, kLeasePartition}, store::TailTiming{},
      std::move(handler));
}

LeaseRunner::~LeaseRunner() {
  *alive_ = false;
  tail_->Stop();
}

void LeaseRunner::Start() {
  tail_->Start();
  timer_ = loop_.Every(kTickInterval, [this] { Tick(); });
}

std::optional<std::uint64_t> LeaseRunner::epoch() const {
  return lease_.epoch(clock_.now());
}

void LeaseRunner::OnRecord(const platform::KeyedRecord& record) {
  v1::DutyRecord duty;
  if (record.key == kLeaseKey &&
      duty.ParseFromString(record.value.value_or(""))) {
    lease_.OnRecord(duty, clock_.now());
  }
}

void LeaseRunner::Tick() {
  const auto epoch = lease_.epoch(clock_.now());
  if (epoch != logged_epoch_) {
    logged_epoch_ = epoch;
    log_.Write("lease",
               {{"held", epoch.has_value()},
                {"holder", lease_.state().holder()},
                {"epoch", static_cast<std::int64_t>(lease_.state().epoch())}});
  }
  if (!tail_->caught_up()) {
    return;
  }
  const LeaseStep step = lease_.Tick(clock_.now());
  if (const auto* write = std::get_if<WriteLease>(&step)) {
    AppendRecord(write->record);
  }
}

void LeaseRunner::AppendRecord(const v1::DutyRecord& record) {
  // The outcome is ignored: if the append succeeded, the tail reads the record.
  store_.Append({kDutyTopic, kLeasePartition},
                {{kLeaseKey, record.SerializeAsString()}},
                platform::ExpectedEnd{tail_->position()}, kAppendTimeout,
                [](const platform::AppendOutcome&) {});
}

void LeaseRunner::Release() {
  timer_.Cancel();
  if (const auto record = lease_.Release(clock_.now())) {
    log_.Write("lease.release",
               {{"epoch", static_cast<std::int64_t>(record->epoch())}});
    AppendRecord(*record);
  }
}

}  // namespace mulberryroad::duties
