// Joins the group of nodes that divides the batch partitions among its members,
// and runs the partitions assigned to this node.

#ifndef MULBERRYROAD_SRC_BATCHES_BATCH_HOST_H_
#define MULBERRYROAD_SRC_BATCHES_BATCH_HOST_H_

#include <chrono>
#include <map>
#include <memory>
#include <string>

#include "batches/part_owner.h"

namespace mulberryroad::batches {

/// Group of the nodes that own batch partitions.
inline constexpr char kOwnersGroup[] = "batch-owners";

/// Must be used on the thread of the event loop.
class BatchHost {
 public:
  /// @param process node name, a slash, and a suffix that is unique among all
  ///     processes of the node
  /// @param spare a spare node runs batches only while no regular node does, as
  ///     it has too little processor time to keep up with a trainer
  BatchHost(BatchContext& context, const std::string& process, bool spare);
  ~BatchHost();
  BatchHost(const BatchHost&) = delete;
  BatchHost& operator=(const BatchHost&) = delete;

  /// Joins the group and starts the timers. Call once.
  void Start();
  /// Leaves the group permanently; other nodes take over the partitions.
  void Leave();
  /// Applies the manifest in force to the open batches. Call after each change.
  void OnManifestChanged();

  /// Returns whether this node runs a batch partition.
  bool holds(int partition) const {
    return owners_.contains({kBatchTopic, partition});
  }
  /// Returns the time at which the latest successful renewal of the membership
  /// was sent; nullopt before the first. The partitions are reassigned at the
  /// earliest kMembershipTtl later.
  std::optional<Instant> renewed_at() const { return renewed_at_; }
  /// Number of partitions that this node runs.
  std::size_t partitions() const { return owners_.size(); }
  /// Number of item runs in progress.
  std::size_t running() const;
  /// Number of items waiting for an upstream.
  std::size_t waiting() const;
  /// Number of items whose output is complete and has no score yet.
  std::size_t scoring() const;

  /// A member that does not renew its membership for this long loses its
  /// partitions. The store's minimum is one second; the additional half second
  /// tolerates one lost renewal.
  static constexpr std::chrono::milliseconds kMembershipTtl{1'500};
  /// Interval of the calls that renew the membership.
  static constexpr std::chrono::milliseconds kJoinInterval{300};
  /// Timeout of each call to the group.
  static constexpr std::chrono::milliseconds kJoinTimeout{800};
  /// Delay after a start before the partitions of the node's previous process
  /// are released. If all nodes start at once, the others have joined by then.
  static constexpr std::chrono::milliseconds kPredecessorReleaseDelay{150};
  /// Interval at which a spare node checks whether regular nodes own
  /// partitions.
  static constexpr std::chrono::milliseconds kRegularOwnerCheckInterval{2'000};
  /// Interval at which waiting items are placed.
  static constexpr std::chrono::milliseconds kScheduleInterval{50};
  /// Interval at which runs on slow upstreams are checked for moving them to
  /// faster ones.
  static constexpr std::chrono::milliseconds kMoveInterval{250};
  /// Interval at which the events of unfinished runs are stored. Limits the
  /// work that is repeated after a failover.
  static constexpr std::chrono::milliseconds kSaveInterval{300};

 private:
  void Join();
  void CheckForRegularOwners();
  void ReleasePredecessor();
  void ReleasePartitions();
  void OnAssignment(const platform::GroupAssignment& share);
  void StartOwner(const platform::PartitionId& partition, std::uint64_t epoch);

  BatchContext& context_;
  std::string member_;
  /// False on a spare node while regular nodes own partitions.
  bool active_;
  std::uint64_t generation_ = 0;
  bool joining_ = false;
  std::optional<Instant> renewed_at_;
  bool has_left_ = false;
  std::map<platform::PartitionId, std::shared_ptr<PartitionOwner>> owners_;
  /// Epoch of the last owner of each partition in this process. An epoch is not
  /// reused, as the appends of both owners would have the same sequence
  /// numbers.
  std::map<platform::PartitionId, std::uint64_t> used_epochs_;
  base::Timer regular_owner_check_timer_;
  base::Timer predecessor_timer_;
  base::Timer join_timer_;
  base::Timer schedule_timer_;
  base::Timer move_timer_;
  base::Timer save_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_BATCH_HOST_H_
