// Entry point of the rollout module on a node: hosts the batches that the node
// owns and stores copies of batches that other nodes own.

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

/// Serves batch calls from trainers and from peers. The node that holds the
/// lease "batch/ORGANISATION/ID" owns the batch; every other node forwards
/// calls to the owner. Must be used on the thread of the event loop.
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

  /// Executes a trainer's call on this node if it owns the batch, else forwards
  /// it to the owner.
  /// @param call its batch id is the one that the trainer chose, without the
  ///     organisation
  /// @param on_reply called exactly once, possibly before this returns. If the
  ///     owner cannot be reached, the outcome is REFUSED.
  void Call(v1::BatchCall call, OnBatchReply on_reply);

  /// Returns the number of batches that this node owns or tries to acquire. On
  /// a leaving node it falls to zero as the batches are handed over.
  std::size_t owned() const { return owned_.size(); }

 private:
  struct ClosedBatch {
    Instant expires_at{};
    std::uint64_t samples = 0;
    std::string digest;
  };

  void RegisterPeerHandlers();
  void CallLocal(const v1::BatchCall& call, OnBatchReply on_reply);
  void Submit(const BatchId& id, const v1::BatchCall& call,
              OnBatchReply on_reply);
  void Forward(const v1::Member& owner, v1::BatchCall call,
               OnBatchReply on_reply);
  v1::BatchReply MakeNoOwnerReply(const BatchId& id);
  std::optional<v1::LeaseState> FindLease(const BatchId& id) const;
  std::optional<v1::Member> RemoteOwner(const BatchId& id) const;
  bool IsEligible(const std::string& node) const;
  void StartOwnedBatch(const BatchId& id, const v1::BatchSpec& spec);
  void Tick();
  void TakeOverOrphans();
  void RetireBatches();
  bool ShouldRelinquish(const BatchId& id, const OwnedBatch& batch) const;

  Services services_;
  CopyStore copies_;
  std::map<BatchId, std::shared_ptr<OwnedBatch>> owned_;
  std::map<BatchId, ClosedBatch> closed_;
  // Time of the first trainer call that found a batch without a live owner.
  std::map<BatchId, Instant> ownerless_since_;
  base::Timer tick_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::rollout

#endif  // MULBERRYROAD_SRC_ROLLOUT_BATCH_HOST_H_
