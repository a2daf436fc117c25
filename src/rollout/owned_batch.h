// One batch at the node that owns it or strives to: runs the decisions of its
// BatchPlan under the batch's lease.

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

/// Returns the digest that tells specifications apart; the cursor of a repeated
/// submission is no part of it.
std::string SpecDigest(const v1::BatchSpec& spec);

class OwnedBatch : public std::enable_shared_from_this<OwnedBatch> {
 public:
  /// @param id names the batch among those of all organisations
  /// @param copies what this node keeps as a copy node
  OwnedBatch(const Services& services, const CopyStore& copies, BatchId id,
             v1::BatchSpec spec);

  /// Strives for the lease.
  void Start();
  /// Answers once the batch runs here, or why it does not.
  void Submit(const v1::BatchSpec& spec, OnBatchReply on_reply);
  void Pull(const v1::BatchPull& pull, OnBatchReply on_reply);
  void Acknowledge(const v1::BatchAck& ack, OnBatchReply on_reply);

  void OnGained(std::uint64_t epoch);
  void OnLost();
  /// Looks after everything that waits for time to pass.
  void Tick();
  /// Returns what a later owner may ask for.
  HeldCopy Snapshot() const;
  /// Ends all work here, answering whoever waits.
  void GiveUp();

  /// True once nothing is left to do here.
  bool finished() const { return stage_ == Stage::kFinished; }
  /// True once the batch is closed in the log.
  bool closed() const { return bindings_.closed(); }
  /// True while this node holds the lease under which it works.
  bool holds_lease() const;
  std::uint64_t total_samples() const;
  /// True once nothing runs here and the copy node has everything.
  bool drained() const;
  /// True if another node was seen to own the batch.
  bool deposed() const { return deposed_; }
  const v1::BatchSpec& spec() const { return spec_; }

 private:
  // In order; a lost lease leads back to kClaiming.
  enum class Stage { kClaiming, kOpening, kRecovering, kServing, kFinished };
  struct WaitingPull {
    v1::BatchPull pull;
    Instant until{};
    OnBatchReply on_reply;
  };
  struct WaitingSubmit {
    Instant until{};
    OnBatchReply on_reply;
  };

  std::string role() const { return "batch/" + id_.value(); }
  bool serving() const { return stage_ == Stage::kServing && holds_lease(); }
  void AppendOpened();
  void OnRecord(const v1::Record& record);
  void OnOpened(const v1::BatchOpened& opened);
  void OnSequenceBound(const v1::SequenceBound& bound);
  void Recover();
  void AskForCopies(const v1::Member& node);
  void TakeCopies(const v1::BatchReply& reply);
  void BuildPlan();
  void Serve();
  void SendFinished();
  void Refuse(const std::string& reason);
  std::uint64_t CountSamples(const v1::SequenceBound& bound) const;

  void Run(BatchDecisions decisions);
  void Execute(const StartSample& start);
  void Execute(const CancelAttempt& cancel);
  void Execute(const CopySample& copy);
  void Execute(const BindGroups& bind);
  void Execute(const Deliver& page);
  void Execute(const DropSample& drop);
  void Execute(const Bill& bill);
  void Execute(const CloseBatch& close);
  void OnGenerated(AttemptId attempt,
                   const std::variant<dispatch::Generated,
                                      dispatch::GenerationFailure>& outcome);
  void TryPulls();
  void AnswerSubmits(const v1::BatchReply& reply);
  void AnswerAll(const v1::BatchReply& reply);
  void ExpireWaiting();
  void AppendClosed();
  void Log(const std::string& kind, const std::string& request,
           const std::string& reason);
  std::string RequestName(AttemptId attempt, SampleKey sample) const;
  std::chrono::milliseconds TimeLeft() const;
  Freshness MakeFreshness() const;
  void FollowDeclaration();

  const Services& services_;
  const CopyStore& copies_;
  BatchId id_;
  v1::BatchSpec spec_;
  // Copies found for a takeover.
  HeldCopy recovered_;
  Instant submitted_{};
  Stage stage_ = Stage::kClaiming;
  bool deposed_ = false;
  std::uint64_t epoch_ = 0;
  Bindings bindings_;
  bool subscribed_ = false;
  bool appending_opened_ = false;
  // The nodes that the log named as holding the batch before this term.
  std::set<std::string> former_nodes_;
  std::size_t recoveries_left_ = 0;
  // Epoch of the opening that the plan was built on.
  std::uint64_t plan_epoch_ = 0;
  std::unique_ptr<BatchPlan> plan_;
  std::shared_ptr<CopySender> sender_;
  std::map<AttemptId, std::shared_ptr<dispatch::GenerationCall>> calls_;
  std::deque<BatchDecision> queue_;
  bool running_queue_ = false;
  std::optional<Deliver> page_;
  std::deque<WaitingPull> pulls_;
  std::deque<WaitingSubmit> submits_;
  bool bind_again_ = false;
  bool closing_ = false;
  bool appending_closed_ = false;
};

}  // namespace mulberryroad::rollout

#endif  // MULBERRYROAD_SRC_ROLLOUT_OWNED_BATCH_H_
