// Shares the partitions of batches out among the nodes and runs those that
// fall to this one.

#ifndef MULBERRYROAD_SRC_BATCHES_BATCH_HOST_H_
#define MULBERRYROAD_SRC_BATCHES_BATCH_HOST_H_

#include <chrono>
#include <map>
#include <memory>
#include <string>

#include "batches/part_owner.h"

namespace mulberryroad::batches {

class BatchHost {
 public:
  /// @param process name of the node, a slash, and what no earlier process of
  ///     the node had
  /// @param spare runs batches only while no other kind of node does: it has
  ///     too little processor time to keep up with a trainer
  BatchHost(BatchContext& context, const std::string& process, bool spare);
  ~BatchHost();
  BatchHost(const BatchHost&) = delete;
  BatchHost& operator=(const BatchHost&) = delete;

  void Start();
  /// Hands all partitions over to the other nodes.
  void Leave();

  std::size_t parts() const { return owners_.size(); }
  std::size_t running() const;
  std::size_t waiting() const;

  /// A node that is silent for longer loses its partitions: the store's least
  /// time is one second; half a second more bears one lost call.
  static constexpr std::chrono::milliseconds kLifetime{1'500};
  static constexpr std::chrono::milliseconds kJoinInterval{300};
  static constexpr std::chrono::milliseconds kJoinTimeout{800};
  /// After a start the partitions of the node's earlier process are given up
  /// after this time, in which the other nodes have joined too if all were
  /// started at once.
  static constexpr std::chrono::milliseconds kPredecessorDelay{150};
  /// A spare node looks this often whether others run the batches.
  static constexpr std::chrono::milliseconds kLookInterval{2'000};
  /// Items that wait for a place are looked at this often.
  static constexpr std::chrono::milliseconds kPumpInterval{50};
  /// Runs on slow upstreams are looked at this often.
  static constexpr std::chrono::milliseconds kMoveInterval{250};
  /// Events of long runs are stored this often: what a successor makes again at
  /// most.
  static constexpr std::chrono::milliseconds kSaveInterval{300};

 private:
  void Join();
  void LookForOthers();
  void ReleasePredecessor();
  void Release();
  void OnShare(const platform::GroupShare& share);
  void Acquire(const platform::PartitionId& partition, std::uint64_t epoch);

  BatchContext& context_;
  std::string member_;
  /// False while others run the batches.
  bool wanted_;
  std::uint64_t generation_ = 0;
  bool joining_ = false;
  bool left_ = false;
  std::map<platform::PartitionId, std::shared_ptr<PartOwner>> owners_;
  /// Epoch of the last owner of each partition in this process. None is used
  /// twice, as the appends of both owners would have the same numbers.
  std::map<platform::PartitionId, std::uint64_t> used_epochs_;
  base::Timer look_timer_;
  base::Timer predecessor_timer_;
  base::Timer join_timer_;
  base::Timer pump_timer_;
  base::Timer move_timer_;
  base::Timer save_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_BATCH_HOST_H_
