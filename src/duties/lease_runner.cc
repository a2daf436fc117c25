#include "duties/lease_runner.h"

#include <utility>
#include <variant>

namespace mulberryroad::duties {

namespace {

constexpr char kLeaseKey[] = "duties";

}  // namespace

LeaseRunner::LeaseRunner(base::EventLoop& loop, const Clock& clock,
                         base::StructuredLog& log,
                         platform::PartitionStore& store, DutyLease lease,
                         std::function<int()> calls_in_flight,
                         std::function<bool()> able)
    : loop_(loop),
      clock_(clock),
      log_(log),
      store_(store),
      lease_(std::move(lease)),
      calls_in_flight_(std::move(calls_in_flight)),
      able_(std::move(able)) {
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
  if (!able_()) {
    if (epoch.has_value()) {
      log_.Write("lease.yield",
                 {{"epoch", static_cast<std::int64_t>(*epoch)},
                  {"reason", "the node reaches no upstream itself"}});
      pending_release_ = lease_.Yield(clock_.now());
      TryRelease();
    }
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
  pending_release_ = lease_.Release(clock_.now());
  TryRelease();
}

void LeaseRunner::TryRelease() {
  if (!pending_release_.has_value()) {
    return;
  }
  if (calls_in_flight_() > 0) {
    release_timer_ =
        loop_.After(kReleaseCheckInterval, [this] { TryRelease(); });
    return;
  }
  log_.Write("lease.release",
             {{"epoch", static_cast<std::int64_t>(pending_release_->epoch())}});
  AppendRecord(*std::exchange(pending_release_, std::nullopt));
}

}  // namespace mulberryroad::duties
