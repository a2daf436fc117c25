// State of one ledger partition: which keyed requests were tried and what
// became of them. Every reader of the partition's stream computes the same.

#ifndef MULBERRYROAD_SRC_LEDGER_LEDGER_TABLE_H_
#define MULBERRYROAD_SRC_LEDGER_LEDGER_TABLE_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "mulberryroad/clock.h"
#include "mulberryroad/ledger.pb.h"
#include "mulberryroad/record.pb.h"

namespace mulberryroad::ledger {

/// A key as one organisation uses it.
struct EntryKey {
  std::string organisation;
  std::string idempotency_key;

  friend auto operator<=>(const EntryKey&, const EntryKey&) = default;
};

/// One tried request.
struct Entry {
  v1::LedgerIntent intent;
  /// Missing while the request may be under way or its fate is unknown.
  std::optional<v1::LedgerOutcome> outcome;
};

/// The intent is to be appended; the request may be sent once it is read back.
struct AppendIntent {};
/// The key is known; the reply says what is known of it.
struct Known {
  v1::LedgerReply reply;
};
using BeginDecision = std::variant<AppendIntent, Known>;

class LedgerTable {
 public:
  /// Applies a record of the stream; records must come in offset order.
  void Apply(const v1::Record& record);

  /// Decides on a try of a request.
  BeginDecision Begin(const v1::LedgerIntent& intent) const;
  /// True if the try stands in the log, so that its request may be sent.
  bool Stands(const v1::LedgerIntent& intent) const;
  /// True if an outcome belongs to a try that stands without one.
  bool Expects(const v1::LedgerOutcome& outcome) const;

  /// Forgets entries whose intents were created before a time.
  void Forget(std::chrono::milliseconds created_before);
  /// Returns the entries as one commit of the current epoch.
  v1::LedgerCommit Snapshot() const;

  /// Returns the highest epoch that was opened.
  std::uint64_t epoch() const { return epoch_; }
  std::size_t size() const { return entries_.size(); }

 private:
  void Apply(const v1::LedgerCommit& commit);
  void Apply(const v1::LedgerIntent& intent);
  void Apply(const v1::LedgerOutcome& outcome);

  std::uint64_t epoch_ = 0;
  std::map<EntryKey, Entry> entries_;
};

/// Returns the partition of a key.
std::uint32_t PartitionOf(const EntryKey& key, std::uint32_t partitions);

/// Returns the key of an intent or an outcome.
template <typename Message>
EntryKey KeyOf(const Message& message) {
  return {message.organisation(), message.idempotency_key()};
}

}  // namespace mulberryroad::ledger

#endif  // MULBERRYROAD_SRC_LEDGER_LEDGER_TABLE_H_
