// Interface of the platform's store: partitions of keyed records with
// conditional appends, and consumer groups that assign partitions to members.

#ifndef MULBERRYROAD_SRC_PLATFORM_PARTITION_STORE_H_
#define MULBERRYROAD_SRC_PLATFORM_PARTITION_STORE_H_

#include <chrono>
#include <compare>
#include <cstddef>
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

/// A record of a keyed partition. A record without a value is a tombstone that
/// deletes its key.
struct KeyedRecord {
  std::string key;
  std::optional<std::string> value;
  Offset offset = 0;
};

/// Condition that the partition ends at this offset.
struct ExpectedEnd {
  Offset end = 0;
};

/// Identifies an append of a fenced writer. The store rejects epochs lower than
/// the highest one received for the partition. A retry with the same sequence
/// number returns the result of the first attempt.
struct WriterFence {
  std::string writer;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
};

using AppendCondition = std::variant<std::monostate, ExpectedEnd, WriterFence>;

struct Appended {
  /// Offset of the first record.
  Offset first = 0;
  /// Offset after the last record.
  Offset end = 0;
};
/// The partition does not end at the expected offset.
struct EndMismatch {
  /// Actual end of the partition.
  Offset end = 0;
};
/// A writer with a higher epoch has written to the partition.
struct Fenced {};
/// The sequence number does not follow the last one.
struct OutOfSequence {};
/// A record or all records together are too large. Nothing was appended, and a
/// retry would be refused again.
struct TooLarge {};

using AppendOutcome = std::variant<Appended, EndMismatch, Fenced, OutOfSequence,
                                   TooLarge, PlatformFailure>;

/// Consecutive records of a partition.
struct RecordPage {
  /// Lowest retained offset.
  Offset first_retained = 0;
  /// Offset after the last record of the partition.
  Offset end = 0;
  std::vector<KeyedRecord> records;
  /// Offset after the last record of this page.
  Offset next = 0;
};
/// The requested records are no longer retained.
struct OffsetExpired {
  /// Lowest retained offset.
  Offset first_retained = 0;
};
using ReadOutcome = std::variant<RecordPage, OffsetExpired, PlatformFailure>;

/// The latest record of each key, ordered by key.
struct LatestPage {
  std::vector<KeyedRecord> records;
  /// Number of records that were left out, as their key is no text.
  std::size_t skipped = 0;
  bool has_more = false;
  Offset end = 0;
};
using NewestOutcome = std::variant<LatestPage, PlatformFailure>;

/// The partitions currently assigned to a group member.
struct GroupAssignment {
  std::uint64_t generation = 0;
  std::vector<PartitionId> partitions;
};
using JoinOutcome = std::variant<GroupAssignment, PlatformFailure>;

/// The name of the member that each partition is assigned to.
struct PartitionOwners {
  std::vector<std::pair<PartitionId, std::string>> owners;
};
using OwnersOutcome = std::variant<PartitionOwners, PlatformFailure>;

template <typename Outcome>
using OnOutcome = std::function<void(Outcome)>;

/// Asynchronous access to the store. Callbacks never run before the call
/// returns.
class PartitionStore {
 public:
  virtual ~PartitionStore() = default;
  /// Appends records atomically.
  /// @param records used until Append returns
  virtual void Append(const PartitionId& partition,
                      const std::vector<KeyedRecord>& records,
                      AppendCondition condition,
                      std::chrono::milliseconds timeout,
                      OnOutcome<AppendOutcome> on_outcome) = 0;
  /// Reads consecutive records, starting at an offset.
  /// @param wait maximum time to wait for a record if there is none yet
  virtual void Read(const PartitionId& partition, Offset from,
                    std::chrono::milliseconds wait,
                    std::chrono::milliseconds timeout,
                    OnOutcome<ReadOutcome> on_outcome) = 0;
  /// Reads a page of the latest records by key.
  /// @param after continues after this key; empty to start at the first key
  virtual void ReadLatest(const PartitionId& partition,
                          const std::string& after,
                          std::chrono::milliseconds timeout,
                          OnOutcome<NewestOutcome> on_outcome) = 0;
  /// Joins a group or renews the membership.
  /// @param ttl time after which the membership expires unless renewed
  virtual void Join(const std::string& group, const std::string& member,
                    const std::string& topic, std::chrono::milliseconds ttl,
                    std::uint64_t generation, std::chrono::milliseconds timeout,
                    OnOutcome<JoinOutcome> on_outcome) = 0;
  /// Leaves a group. Called on shutdown, so that the result is not reported.
  virtual void Leave(const std::string& group, const std::string& member,
                     std::chrono::milliseconds timeout) = 0;
  /// Lists the members that a group's partitions are assigned to.
  virtual void ListOwners(const std::string& group,
                          std::chrono::milliseconds timeout,
                          OnOutcome<OwnersOutcome> on_outcome) = 0;
};

}  // namespace mulberryroad::platform

#endif  // MULBERRYROAD_SRC_PLATFORM_PARTITION_STORE_H_
