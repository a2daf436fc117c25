// The decisions of a batch's owner: which samples to start, hedge, resume and
// drop, and what a trainer may be given. Pure: events and instants come in,
// decisions go out.

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

/// A sample by the position of its group in the specification.
struct SampleKey {
  std::uint32_t group = 0;
  std::uint32_t index = 0;

  friend auto operator<=>(const SampleKey&, const SampleKey&) = default;
};

/// Tokens of a sample that exist already, for a resume elsewhere.
struct PartialSample {
  std::string text;
  std::uint32_t tokens = 0;
  /// Positions count from the start of the sample.
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
/// Ends an attempt; what it may still report is ignored.
struct CancelAttempt {
  AttemptId attempt = 0;
  SampleKey sample;
  std::string reason;
};
/// Has a finished sample copied to the other node. Answered by OnCopied.
struct CopySample {
  SampleKey key;
  v1::Sample sample;
};
/// Has the sequence numbers of whole groups bound in the log. Answered by
/// OnBound or OnBindFailed.
struct BindGroups {
  std::uint64_t first_sequence = 0;
  std::vector<std::string> groups;
};
/// Answers a pull.
struct Deliver {
  std::vector<v1::Sample> samples;
  std::uint64_t next_cursor = 0;
  /// Nothing follows next_cursor.
  bool complete = false;
};
/// A finished sample is too old; it is generated again.
struct DropSample {
  SampleKey sample;
  std::string reason;
};
/// Samples were acknowledged for the first time.
struct Bill {
  std::uint64_t acknowledged = 0;
  std::uint64_t samples = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t generated_tokens = 0;
};
/// The batch is over.
struct CloseBatch {
  std::string reason;
};

using BatchDecision =
    std::variant<StartSample, CancelAttempt, CopySample, BindGroups, Deliver,
                 DropSample, Bill, CloseBatch>;
using BatchDecisions = std::vector<BatchDecision>;

struct BatchPlanOptions {
  /// Attempts running at once.
  std::size_t max_outstanding = 128;
  std::size_t min_outstanding = 4;
  HedgePolicy hedge;
  std::chrono::nanoseconds min_backoff = std::chrono::milliseconds(100);
  std::chrono::nanoseconds max_backoff = std::chrono::seconds(5);
  /// A batch whose trainer is silent for longer is closed.
  std::chrono::nanoseconds abandoned_after = std::chrono::hours(1);
  /// Unix time of the instant zero, for the samples' labels.
  std::chrono::milliseconds unix_origin{0};
};

/// More tokens of a running attempt.
struct AttemptTokens {
  std::string text;
  std::uint32_t tokens = 0;
  /// Positions count from the start of the sample.
  VersionRanges versions;
  /// Empty if it is not known yet.
  UpstreamId upstream;
};
/// A whole attempt: what it generated itself, without the resumed tokens.
struct AttemptResult {
  UpstreamId upstream;
  std::string text;
  std::uint32_t tokens = 0;
  std::uint32_t prompt_tokens = 0;
  /// Positions count from the start of the sample.
  VersionRanges versions;
};
/// An attempt that did not end. Its tokens are those that were reported.
struct AttemptFailure {
  Verdict verdict = Verdict::kNotRun;
  std::string reason;
  std::chrono::nanoseconds retry_after{0};
  UpstreamId upstream;
};

/// Sums for the measures of a batch.
struct BatchCounts {
  std::uint64_t hedges = 0;
  std::uint64_t wasted_tokens = 0;
  std::uint64_t resumes = 0;
  std::uint64_t dropped_stale = 0;
  std::uint64_t delivered = 0;
};

class BatchPlan {
 public:
  BatchPlan(v1::BatchSpec spec, BatchPlanOptions options, Freshness freshness,
            Instant now);

  /// Recovery, before the first event: what the log binds.
  void Restore(const Bindings& bindings);
  /// Recovery: a copied sample. Ignored if it is unknown, acknowledged or too
  /// old.
  void Restore(const v1::Sample& sample, Instant now);
  /// Recovery: all samples below this are acknowledged and billed.
  void RestoreAcknowledged(std::uint64_t cursor);

  /// Starts no attempt from now on; those that run go on.
  void StopStarting() { starting_ = false; }
  /// Starts what may start and hedges stragglers.
  BatchDecisions Tick(Instant now);
  void OnTokens(AttemptId attempt, const AttemptTokens& tokens, Instant now);
  BatchDecisions OnFinished(AttemptId attempt, const AttemptResult& result,
                            Instant now);
  BatchDecisions OnFailed(AttemptId attempt, const AttemptFailure& failure,
                          Instant now);
  BatchDecisions OnCopied(const std::vector<SampleKey>& samples, Instant now);
  /// Takes a valid binding as it is read back from the log.
  BatchDecisions OnBound(const BoundGroups& bound);
  BatchDecisions OnBindFailed();
  BatchDecisions OnNewestVersion(std::uint32_t version, Instant now);
  void SetBound(FreshnessBound bound) { freshness_.SetBound(bound); }

  /// Returns decisions with exactly one Deliver, which may be empty.
  BatchDecisions Pull(std::uint64_t cursor, std::uint32_t max_samples,
                      Instant now);
  /// All samples below the cursor have arrived. A cursor past the delivered
  /// ones counts as these.
  BatchDecisions Acknowledge(std::uint64_t cursor, Instant now);

  std::uint32_t newest_version() const { return freshness_.newest(); }
  const v1::BatchSpec& spec() const { return spec_; }
  std::uint64_t total_samples() const { return total_samples_; }
  std::uint64_t acknowledged() const { return acknowledged_; }
  /// Returns the number of sequence numbers bound so far.
  std::uint64_t bound_samples() const { return sequences_.size(); }
  const BatchCounts& counts() const { return counts_; }
  std::size_t running() const { return attempts_.size(); }
  /// Returns the samples that wait for a copy or for delivery, for a new
  /// partner.
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
    bool handed_out = false;
  };
  struct GroupState {
    std::vector<SampleState> samples;
    std::size_t ready = 0;
    std::optional<std::uint64_t> first_sequence;
  };
  struct Attempt {
    SampleKey sample;
    PartialSample resumed;
    // The resumed tokens and those that came since.
    PartialSample partial;
    AttemptProgress progress;
    UpstreamId upstream;
    bool hedge = false;
  };

  SampleState& state(SampleKey key);
  const SampleState& state(SampleKey key) const;
  void Enqueue(SampleKey key, Instant not_before);
  void StartWaiting(Instant now, BatchDecisions* out);
  StartSample MakeStart(SampleKey key, PartialSample resume, Instant now);
  void HedgeStragglers(Instant now, BatchDecisions* out);
  bool IsStraggler(const Attempt& attempt, Instant now) const;
  bool HedgeAffordable(const Attempt& attempt) const;
  void StartHedge(AttemptId straggler, Instant now, BatchDecisions* out);
  void CancelAttempts(SampleKey key, const std::string& reason,
                      BatchDecisions* out);
  void MarkReady(SampleKey key, BatchDecisions* out);
  void Bind(BatchDecisions* out);
  void DropStale(Instant now, BatchDecisions* out);
  void Regenerate(SampleKey key, const std::string& reason, Instant now,
                  BatchDecisions* out);
  void AcknowledgeSample(SampleKey key, Bill* bill, BatchDecisions* out);
  void Abandon(BatchDecisions* out);
  std::chrono::nanoseconds Backoff(const SampleState& sample,
                                   const AttemptFailure& failure) const;
  v1::Sample MakeSample(const Attempt& attempt,
                        const AttemptResult& result) const;
  std::uint64_t ToUnix(Instant instant) const;
  Instant FromUnix(std::uint64_t unix_ms, Instant now) const;
  std::optional<std::uint32_t> FindGroup(const std::string& id) const;

  v1::BatchSpec spec_;
  BatchPlanOptions options_;
  Freshness freshness_;
  RunTimes run_times_;
  BatchCounts counts_;
  std::vector<GroupState> groups_;
  std::map<std::string, std::uint32_t> group_positions_;
  std::uint64_t total_samples_ = 0;

  // Samples without an attempt: those that hold up a begun group go first.
  std::set<SampleKey> urgent_;
  std::set<SampleKey> waiting_;
  std::multimap<Instant, SampleKey> delayed_;
  std::map<AttemptId, Attempt> attempts_;
  AttemptId next_attempt_ = 1;
  std::size_t window_;

  // Finished samples that were not handed out yet.
  std::set<SampleKey> undelivered_;
  std::deque<std::uint32_t> complete_groups_;
  std::set<std::uint32_t> binding_;
  // Sample of each bound sequence number.
  std::vector<SampleKey> sequences_;
  std::uint64_t acknowledged_ = 0;
  Instant last_contact_{};
  Instant last_stale_check_{};
  bool starting_ = true;
  bool closed_ = false;
};

}  // namespace mulberryroad::rollout

#endif  // MULBERRYROAD_SRC_ROLLOUT_BATCH_PLAN_H_
