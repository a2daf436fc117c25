#include "ledger/ledger_partition.h"

#include <chrono>
#include <utility>
#include <variant>

namespace mulberryroad::ledger {

namespace {

constexpr std::chrono::milliseconds kAppendTimeout = std::chrono::seconds{3};
constexpr std::chrono::hours kEntryLifetime{24};
constexpr std::uint64_t kRetryAfterMs = 500;
constexpr std::size_t kMaxGroupEntries = 256;

v1::LedgerReply NotHolder() {
  v1::LedgerReply reply;
  reply.set_outcome(v1::LedgerReply::NOT_HOLDER);
  reply.set_retry_after_ms(kRetryAfterMs);
  return reply;
}

v1::LedgerReply Reply(v1::LedgerReply::Outcome outcome) {
  v1::LedgerReply reply;
  reply.set_outcome(outcome);
  return reply;
}

}  // namespace

LedgerHost::Partition::Partition(lease::Leases& leases, log::Journal& journal,
                                 std::string name)
    : leases_(leases),
      journal_(journal),
      name_(std::move(name)),
      role_(name_) {}

void LedgerHost::Partition::Open(std::uint64_t epoch) {
  epoch_ = epoch;
  open_ = true;
  epoch_opened_ = false;
  opening_offset_.reset();
  Subscribe();
  AppendOpening();
}

void LedgerHost::Partition::Close() {
  open_ = false;
  epoch_opened_ = false;
  Refuse(std::exchange(next_, {}));
  UnsubscribeIfIdle();
}

void LedgerHost::Partition::Maintain(WallTime now) {
  table_.Forget(UnixTime(now - kEntryLifetime));
  if (open_ && !epoch_opened_ && !opening_) {
    AppendOpening();
  }
  UnsubscribeIfIdle();
}

void LedgerHost::Partition::Subscribe() {
  if (subscribed_) {
    return;
  }
  subscribed_ = true;
  table_ = LedgerTable();
  read_to_ = 0;
  journal_.Subscribe(name_,
                     [weak = weak_from_this()](platform::Offset offset,
                                               const v1::Record& record) {
                       if (const auto self = weak.lock()) {
                         self->TakeRecord(offset, record);
                       }
                     });
}

void LedgerHost::Partition::UnsubscribeIfIdle() {
  const bool idle = !open_ && !appending_ && !opening_ && appended_.empty();
  if (subscribed_ && idle) {
    subscribed_ = false;
    journal_.Unsubscribe(name_);
  }
}

// The opening record fences earlier holders: what they append behind it is
// void, and what stands before it has been read when it is read back.
void LedgerHost::Partition::AppendOpening() {
  opening_ = true;
  v1::Record record;
  record.mutable_ledger_commit()->set_epoch(epoch_);
  journal_.Append(
      name_, std::move(record), kAppendTimeout,
      [self = shared_from_this(), epoch = epoch_](
          std::optional<platform::Offset> offset, const std::string&) {
        self->opening_ = false;
        if (offset.has_value() && epoch == self->epoch_ && self->open_) {
          self->opening_offset_ = offset;
          self->epoch_opened_ = self->read_to_ > *offset;
        }
        self->UnsubscribeIfIdle();
      });
}

void LedgerHost::Partition::TakeRecord(platform::Offset offset,
                                       const v1::Record& record) {
  // A snapshot counts where it starts the stream; further on it repeats what
  // was read, less what has changed since.
  if (record.has_snapshot()) {
    if (record.snapshot().covered_offset() != offset) {
      return;
    }
    table_ = LedgerTable();
  }
  table_.Apply(record);
  read_to_ = offset + 1;
  if (open_ && opening_offset_.has_value() && read_to_ > *opening_offset_) {
    epoch_opened_ = true;
  }
  while (!appended_.empty() && appended_.begin()->first < read_to_) {
    Group group = std::move(appended_.begin()->second);
    appended_.erase(appended_.begin());
    Settle(std::move(group));
  }
}

void LedgerHost::Partition::Save(v1::Snapshot* snapshot) const {
  *snapshot->add_live_records()->mutable_ledger_commit() = table_.Snapshot();
  snapshot->add_live_offsets(snapshot->covered_offset());
}

bool LedgerHost::Partition::serving() const {
  const std::optional<lease::Term> term = leases_.term(role_);
  return open_ && epoch_opened_ && term.has_value() && term->epoch == epoch_ &&
         table_.epoch() == epoch_;
}

void LedgerHost::Partition::Begin(const v1::LedgerIntent& intent,
                                  OnLedgerReply on_reply) {
  if (!serving()) {
    on_reply(NotHolder());
    return;
  }
  if (pending_keys_.contains(KeyOf(intent))) {
    on_reply(Reply(v1::LedgerReply::MAY_HAVE_RUN));
    return;
  }
  const BeginDecision decision = table_.Begin(intent);
  if (const auto* known = std::get_if<Known>(&decision)) {
    on_reply(known->reply);
    return;
  }
  pending_keys_.insert(KeyOf(intent));
  PendingIntent pending{intent, std::move(on_reply)};
  pending.intent.set_epoch(epoch_);
  next_.intents.push_back(std::move(pending));
  AppendNext();
}

void LedgerHost::Partition::Finish(const v1::LedgerOutcome& outcome,
                                   OnLedgerReply on_reply) {
  if (!serving()) {
    on_reply(NotHolder());
    return;
  }
  if (!table_.Expects(outcome) && !pending_keys_.contains(KeyOf(outcome))) {
    on_reply(Reply(v1::LedgerReply::RECORDED));
    return;
  }
  PendingOutcome pending{outcome, std::move(on_reply)};
  pending.outcome.set_epoch(epoch_);
  next_.outcomes.push_back(std::move(pending));
  AppendNext();
}

// Entries that come while a record is on its way travel together in the next.
void LedgerHost::Partition::AppendNext() {
  if (appending_ || next_.empty()) {
    return;
  }
  appending_ = true;
  Group group = std::exchange(next_, {});
  if (group.intents.size() > kMaxGroupEntries) {
    const auto rest =
        group.intents.begin() + static_cast<std::ptrdiff_t>(kMaxGroupEntries);
    next_.intents.assign(std::make_move_iterator(rest),
                         std::make_move_iterator(group.intents.end()));
    group.intents.erase(rest, group.intents.end());
  }
  v1::Record record;
  v1::LedgerCommit& commit = *record.mutable_ledger_commit();
  commit.set_epoch(epoch_);
  for (const PendingIntent& pending : group.intents) {
    *commit.add_intents() = pending.intent;
  }
  for (const PendingOutcome& pending : group.outcomes) {
    *commit.add_outcomes() = pending.outcome;
  }
  journal_.Append(
      name_, std::move(record), kAppendTimeout,
      [self = shared_from_this(), group = std::move(group)](
          std::optional<platform::Offset> offset, const std::string&) mutable {
        self->TakeAppended(std::move(group), offset);
      });
}

void LedgerHost::Partition::TakeAppended(
    Group group, std::optional<platform::Offset> offset) {
  appending_ = false;
  if (!offset.has_value()) {
    Refuse(std::move(group));
  } else if (*offset < read_to_) {
    Settle(std::move(group));
  } else {
    appended_.emplace(*offset, std::move(group));
  }
  AppendNext();
  UnsubscribeIfIdle();
}

// The log's order decides, not the lease: a try that stands there is known to
// every later holder.
void LedgerHost::Partition::Settle(Group group) {
  for (PendingIntent& pending : group.intents) {
    pending_keys_.erase(KeyOf(pending.intent));
    const bool stands = table_.Stands(pending.intent);
    pending.on_reply(stands ? Reply(v1::LedgerReply::PROCEED) : NotHolder());
  }
  for (PendingOutcome& pending : group.outcomes) {
    const bool void_record = table_.epoch() != pending.outcome.epoch();
    pending.on_reply(void_record ? NotHolder()
                                 : Reply(v1::LedgerReply::RECORDED));
  }
}

void LedgerHost::Partition::Refuse(Group group) {
  for (PendingIntent& pending : group.intents) {
    pending_keys_.erase(KeyOf(pending.intent));
    pending.on_reply(NotHolder());
  }
  for (PendingOutcome& pending : group.outcomes) {
    pending.on_reply(NotHolder());
  }
}

}  // namespace mulberryroad::ledger
