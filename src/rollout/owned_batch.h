// One batch on the node that owns it or tries to acquire it. Executes the
// decisions of its BatchPlan while the node holds the lease of the batch.

#ifndef MULBERRYROAD_SRC_ROLLOUT_OWNED_BATCH_H_
#define MULBERRYROAD_SRC_ROLLOUT_OWNED_BATCH_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rollout/batch_plan.h"
#include "rollout/copy_sender.h"
#include "rollout/copy_store.h"
#include "rollout/services.h"

namespace mulberryroad::rollout {

using OnBatchReply = std::function<void(v1::BatchReply)>;

/// Returns the SHA-256 digest of a specification in hex. The cursor is
/// excluded, since it differs when a trainer submits the same batch again.
std::string SpecDigest(const v1::BatchSpec& spec);

/// Acquires the lease, opens the batch in the log, recovers the state left by a
/// previous owner and then serves trainers. All methods run on the event loop.
class OwnedBatch : public std::enable_shared_from_this<OwnedBatch> {
 public:
  /// @param id globally unique id: organisation and batch id
  /// @param copies copies stored on this node, read at recovery
  OwnedBatch(const Services& services, const CopyStore& copies, BatchId id,
             v1::BatchSpec spec);

  /// Requests the lease. Called once, after construction.
  void Start();
  /// Submits the batch, or repeats a submission. Replies with OK once the batch
  /// is served here, CONFLICT if its id is in use for another specification, or
  /// REFUSED after the open timeout.
  void Submit(const v1::BatchSpec& spec, OnBatchReply on_reply);
  /// Replies with OK as soon as samples are ready at the cursor, or without
  /// samples when the pull's wait time ends. Replies with REFUSED if the batch
  /// is not served here when the wait time ends.
  void Pull(const v1::BatchPull& pull, OnBatchReply on_reply);
  /// Replies with OK, with REFUSED if the batch is not served here, or with
  /// INVALID if the cursor is above the bound sequence numbers.
  void Acknowledge(const v1::BatchAck& ack, OnBatchReply on_reply);

  /// Called when this node gains the lease. Opens the batch in the given epoch.
  void OnGained(std::uint64_t epoch);
  /// Called when this node loses the lease. Attempts keep running.
  void OnLost();
  /// Expires waiting calls, retries appends and copies, and advances the plan.
  /// Called by BatchHost at every tick.
  void Tick();
  /// Returns the state that a new owner needs for recovery.
  StoredCopy Snapshot() const;
  /// Cancels all attempts, replies NOT_OWNER to waiting calls and releases the
  /// lease.
  void Relinquish();

  /// Returns true once the batch is closed, rejected or relinquished.
  bool finished() const { return stage_ == Stage::kFinished; }
  /// Returns true once the log holds a valid record that closes the batch.
  bool closed() const { return bindings_.closed(); }
  /// Returns true while this node holds the lease in the epoch of this batch.
  bool holds_lease() const;
  std::uint64_t total_samples() const;
  /// Returns true if no attempt is running and the copy node is up to date.
  bool drained() const;
  /// Returns true if another node has been seen to own the batch in a higher
  /// epoch.
  bool superseded() const { return superseded_; }
  const v1::BatchSpec& spec() const { return spec_; }

 private:
  // In order of progress. Losing the lease returns the batch to kClaiming.
  enum class Stage { kClaiming, kOpening, kRecovering, kServing, kFinished };
  struct PendingPull {
    v1::BatchPull pull;
    Instant expires_at{};
    OnBatchReply on_reply;
  };
  struct PendingSubmit {
    Instant expires_at{};
    OnBatchReply on_reply;
  };

  std::string role() const { return "batch/" + id_.value(); }
  bool serving() const { return stage_ == Stage::kServing && holds_lease(); }
  void AppendOpened();
  void OnRecord(const v1::Record& record);
  void OnOpened(const v1::BatchOpened& opened);
  void OnSequenceBound(const v1::SequenceBound& bound);
  void Recover();
  void RequestCopies(const v1::Member& node);
  void MergeCopies(const v1::BatchReply& reply);
  void BuildPlan();
  void Serve();
  void SendFinished();
  void FinishWithConflict(const std::string& reason);
  std::uint64_t CountSamples(const v1::SequenceBound& bound) const;

  void ExecuteDecisions(BatchDecisions decisions);
  void Execute(const StartSample& start);
  void Execute(const CancelAttempt& cancel);
  void Execute(const CopySample& copy);
  void Execute(const BindGroups& bind);
  void Execute(const Deliver& page);
  void Execute(const DropSample& drop);
  void Execute(const Bill& bill);
  void Execute(const CloseBatch& close);
  void OnGenerationDone(
      AttemptId attempt,
      const std::variant<dispatch::GenerationResult,
                         dispatch::GenerationFailure>& outcome);
  void ReplyToReadyPulls();
  void ReplyToSubmits(const v1::BatchReply& reply);
  void ReplyToAll(const v1::BatchReply& reply);
  void ExpirePendingCalls();
  void AppendClosed();
  void LogDecision(const std::string& kind, const std::string& request,
                   const std::string& reason);
  std::string RequestName(AttemptId attempt, SampleKey sample) const;
  std::chrono::milliseconds RemainingTime() const;
  Freshness MakeFreshness() const;
  void ApplyDeclaration();

  const Services& services_;
  const CopyStore& copies_;
  BatchId id_;
  v1::BatchSpec spec_;
  // Copies collected for the recovery at a takeover.
  StoredCopy recovered_;
  Instant submitted_{};
  Stage stage_ = Stage::kClaiming;
  bool superseded_ = false;
  std::uint64_t epoch_ = 0;
  Bindings bindings_;
  bool subscribed_ = false;
  bool appending_opened_ = false;
  // Owner and copy node of the previous lease term, according to the log.
  std::set<std::string> previous_nodes_;
  std::size_t recoveries_left_ = 0;
  // Epoch of the BatchOpened record that the plan is based on.
  std::uint64_t plan_epoch_ = 0;
  std::unique_ptr<BatchPlan> plan_;
  std::shared_ptr<CopySender> sender_;
  std::map<AttemptId, std::shared_ptr<dispatch::GenerationCall>> calls_;
  std::deque<BatchDecision> decision_queue_;
  bool executing_decisions_ = false;
  std::optional<Deliver> page_;
  std::deque<PendingPull> pending_pulls_;
  std::deque<PendingSubmit> pending_submits_;
  bool retry_bind_ = false;
  bool closing_ = false;
  bool appending_closed_ = false;
};

}  // namespace mulberryroad::rollout

#endif  // MULBERRYROAD_SRC_ROLLOUT_OWNED_BATCH_H_
