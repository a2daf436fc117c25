// One ledger partition at the node that holds its lease: group commit of
// intents and outcomes, each answered once it is read back.

#ifndef MULBERRYROAD_SRC_LEDGER_LEDGER_PARTITION_H_
#define MULBERRYROAD_SRC_LEDGER_LEDGER_PARTITION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ledger/ledger_host.h"
#include "ledger/ledger_table.h"

namespace mulberryroad::ledger {

class LedgerHost::Partition final
    : public std::enable_shared_from_this<Partition> {
 public:
  Partition(lease::Leases& leases, log::Journal& journal, std::string name);

  /// Begins to serve in an epoch: reads the stream and opens the epoch in it.
  void Open(std::uint64_t epoch);
  /// Stops to take calls; those whose records are on their way are still
  /// answered.
  void Close();
  /// Drops old entries and repeats an opening that failed.
  void Maintain(WallTime now);

  void Begin(const v1::LedgerIntent& intent, OnLedgerReply on_reply);
  void Finish(const v1::LedgerOutcome& outcome, OnLedgerReply on_reply);

  bool serving() const;
  /// Writes all entries as one record.
  void Save(v1::Snapshot* snapshot) const;
  const std::string& name() const { return name_; }

 private:
  struct PendingIntent {
    v1::LedgerIntent intent;
    OnLedgerReply on_reply;
  };
  struct PendingOutcome {
    v1::LedgerOutcome outcome;
    OnLedgerReply on_reply;
  };
  /// Entries that travel to the log in one record.
  struct Group {
    std::vector<PendingIntent> intents;
    std::vector<PendingOutcome> outcomes;

    bool empty() const { return intents.empty() && outcomes.empty(); }
  };

  void Subscribe();
  void TakeRecord(platform::Offset offset, const v1::Record& record);
  void AppendOpening();
  void AppendNext();
  void TakeAppended(Group group, std::optional<platform::Offset> offset);
  void Settle(Group group);
  void Refuse(Group group);
  void UnsubscribeIfIdle();

  lease::Leases& leases_;
  log::Journal& journal_;
  std::string name_;
  RoleId role_;
  LedgerTable table_;
  std::uint64_t epoch_ = 0;
  bool open_ = false;
  bool epoch_opened_ = false;
  bool opening_ = false;
  bool subscribed_ = false;
  bool appending_ = false;
  Group next_;
  std::set<EntryKey> pending_keys_;
  /// Groups whose record is in the log but not yet read back, by its offset.
  std::map<platform::Offset, Group> appended_;
  /// Offset behind the last record read.
  platform::Offset read_to_ = 0;
  std::optional<platform::Offset> opening_offset_;
};

}  // namespace mulberryroad::ledger

#endif  // MULBERRYROAD_SRC_LEDGER_LEDGER_PARTITION_H_
