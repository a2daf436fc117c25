// The batches of this node: those that it owns, and copies of others'.

#ifndef MULBERRYROAD_SRC_ROLLOUT_BATCH_HOST_H_
#define MULBERRYROAD_SRC_ROLLOUT_BATCH_HOST_H_

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "rollout/copy_store.h"
#include "rollout/owned_batch.h"
#include "rollout/services.h"

namespace mulberryroad::rollout {

/// Serves trainers' calls and peers' calls about batches. The node that holds
/// the lease "batch/ORGANISATION/ID" owns a batch; every other node forwards to
/// it.
class BatchHost {
 public:
  BatchHost(base::EventLoop& loop, const Clock& clock,
            peer::Transport& transport, membership::Members& members,
            config::Configuration& config, lease::Leases& leases,
            log::Journal& journal, dispatch::Generator& generator,
            billing::Meter& meter, base::DecisionLog& decisions,
            BatchHostOptions options);
  ~BatchHost();
  BatchHost(const BatchHost&) = delete;
  BatchHost& operator=(const BatchHost&) = delete;

  /// Carries out a trainer's call at the owner, wherever that is. The batch is
  /// named as its organisation knows it. Calls back exactly once.
  void Call(v1::BatchCall call, OnBatchReply on_reply);

  /// Returns the number of batches that this node owns or strives for. A
  /// leaving node hands its batches over, down to zero.
  std::size_t owned() const { return owned_.size(); }

 private:
  struct ClosedBatch {
    Instant until{};
    std::uint64_t samples = 0;
    std::string digest;
  };

  void ServePeers();
  void CallHere(const v1::BatchCall& call, OnBatchReply on_reply);
  void Submit(const BatchId& id, const v1::BatchCall& call,
              OnBatchReply on_reply);
  void Forward(const v1::Member& owner, v1::BatchCall call,
               OnBatchReply on_reply);
  v1::BatchReply WithoutOwner(const BatchId& id);
  std::optional<v1::LeaseState> LeaseOf(const BatchId& id) const;
  std::optional<v1::Member> RemoteOwner(const BatchId& id) const;
  bool IsEligible(const std::string& node) const;
  void Own(const BatchId& id, const v1::BatchSpec& spec);
  void Tick();
  void TakeOverOrphans();
  void RetireBatches();
  bool ShouldGiveUp(const BatchId& id, const OwnedBatch& batch) const;

  Services services_;
  CopyStore copies_;
  std::map<BatchId, std::shared_ptr<OwnedBatch>> owned_;
  std::map<BatchId, ClosedBatch> closed_;
  // Since when a batch that a trainer asked for has been without an owner.
  std::map<BatchId, Instant> ownerless_;
  base::Timer tick_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::rollout

#endif  // MULBERRYROAD_SRC_ROLLOUT_BATCH_HOST_H_
