// Scheduling and delivery decisions for one batch: which samples to start,
// hedge, resume and drop, and which samples a pull may return. Does no I/O and
// reads no clock: the caller passes in events with their times and executes the
// decisions that are returned.

#ifndef MULBERRYROAD_SRC_ROLLOUT_BATCH_PLAN_H_
#define MULBERRYROAD_SRC_ROLLOUT_BATCH_PLAN_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"
#include "mulberryroad/rollout.pb.h"
#include "mulberryroad/verdict.h"
#include "rollout/bindings.h"
#include "rollout/freshness.h"
#include "rollout/straggler.h"

namespace mulberryroad::rollout {

/// Number of an attempt at a sample, unique within one plan.
using AttemptId = std::uint64_t;

/// Identifies a sample by the index of its group in the specification and its
/// own index within the group.
struct SampleKey {
  std::uint32_t group = 0;
  std::uint32_t index = 0;

  friend auto operator<=>(const SampleKey&, const SampleKey&) = default;
};

/// Tokens generated so far for a sample, from which another attempt can resume.
struct PartialSample {
  std::string text;
  std::uint32_t tokens = 0;
  /// Token positions are relative to the start of the sample.
  VersionRanges versions;
  Instant first_token{};
};

/// Starts an attempt.
struct StartSample {
  AttemptId attempt = 0;
  SampleKey sample;
  PartialSample resume;
  std::uint32_t min_version = 0;
  std::vector<UpstreamId> excluded;
  bool hedge = false;
  std::string reason;
};
/// Cancels an attempt. Later events of the attempt are ignored.
struct CancelAttempt {
  AttemptId attempt = 0;
  SampleKey sample;
  std::string reason;
};
/// Copies a finished sample to the copy node. BatchPlan::OnCopied reports the
/// result.
struct CopySample {
  SampleKey key;
  v1::Sample sample;
};
/// Binds the next sequence numbers to complete groups by a record in the log.
/// BatchPlan::OnBound or BatchPlan::OnBindFailed reports the result.
struct BindGroups {
  std::uint64_t first_sequence = 0;
  std::vector<std::string> groups;
};
/// Returns a page of samples to a pull.
struct Deliver {
  std::vector<v1::Sample> samples;
  std::uint64_t next_cursor = 0;
  /// True if no sample of the batch follows next_cursor.
  bool complete = false;
};
/// Reports that a finished sample was discarded, because it is past the
/// staleness bound or lacks version labels. It is generated again.
struct DropSample {
  SampleKey sample;
  std::string reason;
};
/// Bills samples that were acknowledged for the first time.
struct Bill {
  std::uint64_t acknowledged = 0;
  std::uint64_t samples = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t generated_tokens = 0;
};
/// Closes the batch: every sample is acknowledged, or the trainer abandoned it.
struct CloseBatch {
  std::string reason;
};

using BatchDecision =
    std::variant<StartSample, CancelAttempt, CopySample, BindGroups, Deliver,
                 DropSample, Bill, CloseBatch>;
using BatchDecisions = std::vector<BatchDecision>;

struct BatchPlanOptions {
  /// Upper bound of concurrent attempts. The current limit is reduced, down to
  /// min_outstanding, by each failure with the verdict kNotRun, and raised by
  /// one by each finished attempt.
  std::size_t max_outstanding = 128;
  std::size_t min_outstanding = 4;
  HedgePolicy hedge;
  std::chrono::nanoseconds min_backoff = std::chrono::milliseconds(100);
  std::chrono::nanoseconds max_backoff = std::chrono::seconds(5);
  /// A batch without a pull or acknowledgement for longer than this is closed.
  std::chrono::nanoseconds abandon_timeout = std::chrono::hours(1);
  /// Unix time of Instant{}, to convert the times in sample labels.
  std::chrono::milliseconds unix_origin{0};
};

/// Tokens that a running attempt generated since its last report.
struct AttemptTokens {
  std::string text;
  std::uint32_t tokens = 0;
  /// Token positions are relative to the start of the sample.
  VersionRanges versions;
  /// Empty while unknown.
  UpstreamId upstream;
};
/// Result of a finished attempt. Text and tokens exclude the resumed part.
struct AttemptResult {
  UpstreamId upstream;
  std::string text;
  std::uint32_t tokens = 0;
  std::uint32_t prompt_tokens = 0;
  /// Token positions are relative to the start of the sample.
  VersionRanges versions;
};
/// Failure of an attempt. The tokens reported before the failure are kept for a
/// resume.
struct AttemptFailure {
  Verdict verdict = Verdict::kNotRun;
  std::string reason;
  std::chrono::nanoseconds retry_after{0};
  UpstreamId upstream;
};

/// Counters of one batch since its plan was created.
struct BatchCounts {
  std::uint64_t hedges = 0;
  std::uint64_t wasted_tokens = 0;
  std::uint64_t resumes = 0;
  std::uint64_t dropped_stale = 0;
  std::uint64_t delivered = 0;
};

/// State machine of one batch. Not thread-safe: the owner calls it on its event
/// loop. Decisions must be executed in the order in which they are returned.
class BatchPlan {
 public:
  BatchPlan(v1::BatchSpec spec, BatchPlanOptions options, Freshness freshness,
            Instant now);

  /// Restores the bindings read from the log. Call first, before any event.
  void Restore(const Bindings& bindings);
  /// Restores a copied sample. Ignored if the sample is not in the
  /// specification, is already restored or acknowledged, or is past the
  /// staleness bound.
  void Restore(const v1::Sample& sample, Instant now);
  /// Restores the acknowledged cursor. All samples below it were billed
  /// already. Call after the bindings and before the samples are restored.
  void RestoreAcknowledged(std::uint64_t cursor);

  /// Stops starting attempts. Running attempts continue.
  void DisableStarts() { starts_enabled_ = false; }
  /// Starts waiting samples as far as the attempt limit allows, hedges
  /// stragglers, drops stale samples and closes an abandoned batch.
  BatchDecisions Tick(Instant now);
  /// Records tokens of a running attempt. This method, OnFinished and OnFailed
  /// ignore attempts that are unknown or were cancelled.
  void OnTokens(AttemptId attempt, const AttemptTokens& tokens, Instant now);
  /// Records the result of an attempt and requests the copy of its sample. A
  /// result that lacks version labels is dropped and regenerated.
  BatchDecisions OnFinished(AttemptId attempt, const AttemptResult& result,
                            Instant now);
  /// Keeps the tokens of a failed attempt and retries its sample after a
  /// backoff, unless another attempt at it is running.
  BatchDecisions OnFailed(AttemptId attempt, const AttemptFailure& failure,
                          Instant now);
  /// Marks samples as copied and requests the binding of complete groups.
  BatchDecisions OnCopied(const std::vector<SampleKey>& samples, Instant now);
  /// Applies a binding record that was read back from the log and found valid.
  BatchDecisions OnBound(const BoundGroups& bound);
  /// Requests the binding of complete groups again after their record was not
  /// appended or was ignored.
  BatchDecisions OnBindFailed();
  /// Sets the newest version of the model, cancels attempts with tokens past
  /// the staleness bound and drops stale samples.
  BatchDecisions OnNewestVersion(std::uint32_t version, Instant now);
  /// Sets the staleness bound. Applies from the next check on.
  void SetBound(FreshnessBound bound) { freshness_.SetBound(bound); }

  /// Returns decisions that include exactly one Deliver, with no samples if
  /// none is ready at the cursor.
  BatchDecisions Pull(std::uint64_t cursor, std::uint32_t max_samples,
                      Instant now);
  /// Acknowledges all samples below the cursor. The cursor is clamped to
  /// bound_samples().
  BatchDecisions Acknowledge(std::uint64_t cursor, Instant now);

  std::uint32_t newest_version() const { return freshness_.newest(); }
  const v1::BatchSpec& spec() const { return spec_; }
  std::uint64_t total_samples() const { return total_samples_; }
  std::uint64_t acknowledged() const { return acknowledged_; }
  /// Returns the number of sequence numbers bound so far.
  std::uint64_t bound_samples() const { return sequences_.size(); }
  const BatchCounts& counts() const { return counts_; }
  std::size_t running() const { return attempts_.size(); }
  /// Returns the finished samples that are not acknowledged yet, to be sent to
  /// a new copy node.
  std::vector<CopySample> FinishedSamples() const;

 private:
  enum class Phase { kWaiting, kRunning, kCopying, kReady, kAcknowledged };

  struct SampleState {
    Phase phase = Phase::kWaiting;
    PartialSample partial;
    std::vector<AttemptId> attempts;
    std::vector<UpstreamId> excluded;
    std::uint32_t failures = 0;
    v1::Sample sample;
    Instant first_token{};
    bool pulled = false;
  };
  struct GroupState {
    std::vector<SampleState> samples;
    std::size_t ready = 0;
    std::optional<std::uint64_t> first_sequence;
  };
  struct Attempt {
    SampleKey sample;
    PartialSample resumed;
    // The resumed tokens and those generated since.
    PartialSample partial;
    AttemptProgress progress;
    UpstreamId upstream;
    bool hedge = false;
  };

  SampleState& state(SampleKey key);
  const SampleState& state(SampleKey key) const;
  void Enqueue(SampleKey key, Instant not_before);
  void StartWaitingSamples(Instant now, BatchDecisions* out);
  StartSample CreateAttempt(SampleKey key, PartialSample resume, Instant now);
  void HedgeStragglers(Instant now, BatchDecisions* out);
  bool IsStraggler(const Attempt& attempt, Instant now) const;
  bool IsHedgeWithinBudget(const Attempt& attempt) const;
  void StartHedge(AttemptId straggler, Instant now, BatchDecisions* out);
  void CancelAttempts(SampleKey key, const std::string& reason,
                      BatchDecisions* out);
  void MarkReady(SampleKey key, BatchDecisions* out);
  void Bind(BatchDecisions* out);
  void DropStale(Instant now, BatchDecisions* out);
  void Regenerate(SampleKey key, const std::string& reason, Instant now,
                  BatchDecisions* out);
  void AcknowledgeSample(SampleKey key, Bill* bill, BatchDecisions* out);
  void CloseAbandoned(BatchDecisions* out);
  std::chrono::nanoseconds Backoff(const SampleState& sample,
                                   const AttemptFailure& failure) const;
  v1::Sample MakeSample(const Attempt& attempt,
                        const AttemptResult& result) const;
  std::uint64_t ToUnixMs(Instant instant) const;
  Instant FromUnixMs(std::uint64_t unix_ms, Instant now) const;
  std::optional<std::uint32_t> FindGroup(const std::string& id) const;

  v1::BatchSpec spec_;
  BatchPlanOptions options_;
  Freshness freshness_;
  RunTimeEstimator run_time_estimator_;
  BatchCounts counts_;
  std::vector<GroupState> groups_;
  std::map<std::string, std::uint32_t> group_indices_;
  std::uint64_t total_samples_ = 0;

  // Samples without an attempt, by priority. Retried samples and samples of
  // bound groups are urgent, because they block a started group.
  std::set<SampleKey> urgent_;
  std::set<SampleKey> waiting_;
  std::multimap<Instant, SampleKey> delayed_;
  std::map<AttemptId, Attempt> attempts_;
  AttemptId next_attempt_ = 1;
  std::size_t attempt_limit_;

  // Copied samples that no pull has returned yet.
  std::set<SampleKey> undelivered_;
  std::deque<std::uint32_t> complete_groups_;
  std::set<std::uint32_t> groups_being_bound_;
  // Maps each bound sequence number to its sample.
  std::vector<SampleKey> sequences_;
  std::uint64_t acknowledged_ = 0;
  Instant last_trainer_call_{};
  Instant last_stale_check_{};
  bool starts_enabled_ = true;
  bool closed_ = false;
};

}  // namespace mulberryroad::rollout

#endif  // MULBERRYROAD_SRC_ROLLOUT_BATCH_PLAN_H_
