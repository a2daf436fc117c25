// The platform's store: partitions of keyed records, with conditional appends
// and groups that share out partitions.

#ifndef MULBERRYROAD_SRC_PLATFORM_PARTITION_STORE_H_
#define MULBERRYROAD_SRC_PLATFORM_PARTITION_STORE_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "platform/log_service.h"

namespace mulberryroad::platform {

struct PartitionId {
  std::string topic;
  int number = 0;

  friend auto operator<=>(const PartitionId&, const PartitionId&) = default;
};

/// A record of a keyed partition. Without a value it drops its key.
struct KeyedRecord {
  std::string key;
  std::optional<std::string> value;
  Offset offset = 0;
};

/// The append holds only if the partition ends at this offset.
struct ExpectedEnd {
  Offset end = 0;
};

/// Numbers the appends of one writer. An append under a lower epoch than one
/// that the partition has seen is refused; a repeat under the same sequence
/// number gets its first answer.
struct FencedWriter {
  std::string writer;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
};

using AppendCondition = std::variant<std::monostate, ExpectedEnd, FencedWriter>;

struct Appended {
  /// Offset of the first record.
  Offset first = 0;
  /// Offset behind the last record.
  Offset end = 0;
};
/// The partition does not end where the append expected it.
struct EndMoved {
  Offset end = 0;
};
/// A higher epoch wrote to the partition.
struct Fenced {};
/// The sequence number does not follow the last one.
struct OutOfSequence {};

using AppendOutcome =
    std::variant<Appended, EndMoved, Fenced, OutOfSequence, PlatformFailure>;

/// Consecutive records of a partition.
struct RecordPage {
  Offset first_retained = 0;
  /// Offset behind the last record of the partition.
  Offset end = 0;
  std::vector<KeyedRecord> records;
  /// Offset behind the last record of this page.
  Offset next = 0;
};
/// The records asked for were dropped.
struct HistoryLost {
  Offset first_retained = 0;
};
using ReadOutcome = std::variant<RecordPage, HistoryLost, PlatformFailure>;

/// The newest record of each key, in the order of the keys.
struct NewestPage {
  std::vector<KeyedRecord> records;
  bool has_more = false;
  Offset end = 0;
};
using NewestOutcome = std::variant<NewestPage, PlatformFailure>;

/// What a member of a group holds at the moment.
struct GroupShare {
  std::uint64_t generation = 0;
  std::vector<PartitionId> partitions;
};
using JoinOutcome = std::variant<GroupShare, PlatformFailure>;

/// Who holds which partition, by member name.
struct GroupOwners {
  std::vector<std::pair<PartitionId, std::string>> owners;
};
using OwnersOutcome = std::variant<GroupOwners, PlatformFailure>;

template <typename Outcome>
using OnOutcome = std::function<void(Outcome)>;

/// No call calls back before it returns.
class PartitionStore {
 public:
  virtual ~PartitionStore() = default;
  /// Appends records, all or none.
  virtual void Append(const PartitionId& partition,
                      std::vector<KeyedRecord> records,
                      AppendCondition condition,
                      std::chrono::milliseconds timeout,
                      OnOutcome<AppendOutcome> on_outcome) = 0;
  /// Reads records from an offset on.
  /// @param wait how long to wait for a record if there is none yet
  virtual void Read(const PartitionId& partition, Offset from,
                    std::chrono::milliseconds wait,
                    std::chrono::milliseconds timeout,
                    OnOutcome<ReadOutcome> on_outcome) = 0;
  /// Reads a page of the newest records.
  /// @param after reads on behind this key; empty from the first key on
  virtual void ReadNewest(const PartitionId& partition,
                          const std::string& after,
                          std::chrono::milliseconds timeout,
                          OnOutcome<NewestOutcome> on_outcome) = 0;
  /// Joins a group or stays in it.
  /// @param lifetime how long the member keeps its share without a new call
  virtual void Join(const std::string& group, const std::string& member,
                    const std::string& topic,
                    std::chrono::milliseconds lifetime,
                    std::uint64_t generation, std::chrono::milliseconds timeout,
                    OnOutcome<JoinOutcome> on_outcome) = 0;
  /// Leaves a group; its answer is of no use to a process that ends.
  virtual void Leave(const std::string& group, const std::string& member,
                     std::chrono::milliseconds timeout) = 0;
  /// Lists the holders of a group's partitions.
  virtual void ListOwners(const std::string& group,
                          std::chrono::milliseconds timeout,
                          OnOutcome<OwnersOutcome> on_outcome) = 0;
};

}  // namespace mulberryroad::platform

#endif  // MULBERRYROAD_SRC_PLATFORM_PARTITION_STORE_H_
