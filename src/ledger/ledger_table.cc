#include "ledger/ledger_table.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"

namespace mulberryroad::ledger {

namespace {

Known Reply(v1::LedgerReply::Outcome outcome) {
  Known known;
  known.reply.set_outcome(outcome);
  return known;
}

}  // namespace

void LedgerTable::Apply(const v1::Record& record) {
  if (record.has_ledger_commit()) {
    Apply(record.ledger_commit());
  }
  if (record.has_snapshot()) {
    for (const v1::Record& live : record.snapshot().live_records()) {
      Apply(live);
    }
  }
}

// A commit of an epoch older than the highest one comes from a holder that was
// succeeded; its requests are never sent.
void LedgerTable::Apply(const v1::LedgerCommit& commit) {
  if (commit.epoch() < epoch_) {
    return;
  }
  epoch_ = commit.epoch();
  for (const v1::LedgerIntent& intent : commit.intents()) {
    Apply(intent);
  }
  for (const v1::LedgerOutcome& outcome : commit.outcomes()) {
    Apply(outcome);
  }
}

void LedgerTable::Apply(const v1::LedgerIntent& intent) {
  entries_.try_emplace(KeyOf(intent), Entry{intent, std::nullopt});
}

void LedgerTable::Apply(const v1::LedgerOutcome& outcome) {
  if (!Expects(outcome)) {
    return;
  }
  const auto found = entries_.find(KeyOf(outcome));
  if (outcome.not_run()) {
    entries_.erase(found);
  } else {
    found->second.outcome = outcome;
  }
}

bool LedgerTable::Expects(const v1::LedgerOutcome& outcome) const {
  const auto found = entries_.find(KeyOf(outcome));
  return found != entries_.end() && !found->second.outcome.has_value() &&
         found->second.intent.attempt() == outcome.attempt();
}

BeginDecision LedgerTable::Begin(const v1::LedgerIntent& intent) const {
  const auto found = entries_.find(KeyOf(intent));
  if (found == entries_.end()) {
    return AppendIntent{};
  }
  const Entry& entry = found->second;
  if (entry.intent.body_sha256() != intent.body_sha256()) {
    return Reply(v1::LedgerReply::MISMATCH);
  }
  if (!entry.outcome.has_value()) {
    // A repeated call of the very same try, whose answer was lost.
    const bool same_try = entry.intent.attempt() == intent.attempt();
    return Reply(same_try ? v1::LedgerReply::PROCEED
                          : v1::LedgerReply::MAY_HAVE_RUN);
  }
  Known known = Reply(v1::LedgerReply::REPLAY);
  known.reply.set_status(entry.outcome->status());
  known.reply.set_body(entry.outcome->body());
  known.reply.set_content_type(entry.outcome->content_type());
  return known;
}

bool LedgerTable::Stands(const v1::LedgerIntent& intent) const {
  const auto found = entries_.find(KeyOf(intent));
  return found != entries_.end() &&
         found->second.intent.attempt() == intent.attempt();
}

void LedgerTable::Forget(std::chrono::milliseconds created_before) {
  const auto limit = static_cast<std::uint64_t>(created_before.count());
  std::erase_if(entries_, [limit](const auto& item) {
    return item.second.intent.created_unix_ms() < limit;
  });
}

v1::LedgerCommit LedgerTable::Snapshot() const {
  v1::LedgerCommit commit;
  commit.set_epoch(epoch_);
  for (const auto& [key, entry] : entries_) {
    *commit.add_intents() = entry.intent;
    if (entry.outcome.has_value()) {
      *commit.add_outcomes() = *entry.outcome;
    }
  }
  return commit;
}

std::uint32_t PartitionOf(const EntryKey& key, std::uint32_t partitions) {
  const std::uint64_t hash =
      base::StableHash(key.idempotency_key, base::StableHash(key.organisation));
  return static_cast<std::uint32_t>(hash % std::max(partitions, 1U));
}

}  // namespace mulberryroad::ledger
