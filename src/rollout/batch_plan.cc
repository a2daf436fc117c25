#include "rollout/batch_plan.h"

#include <algorithm>
#include <utility>

#include "rollout/version_ranges.h"

namespace mulberryroad::rollout {

namespace {

constexpr std::chrono::seconds kStaleCheckInterval{1};
constexpr double kAttemptLimitDecreaseFactor = 0.75;
constexpr std::uint32_t kMaxBackoffDoublings = 6;

}  // namespace

BatchPlan::BatchPlan(v1::BatchSpec spec, BatchPlanOptions options,
                     Freshness freshness, Instant now)
    : spec_(std::move(spec)),
      options_(options),
      freshness_(freshness),
      attempt_limit_(options.max_outstanding),
      last_trainer_call_(now),
      last_stale_check_(now) {
  groups_.resize(static_cast<std::size_t>(spec_.groups_size()));
  for (std::uint32_t group = 0; group < groups_.size(); ++group) {
    const v1::GroupSpec& group_spec = spec_.groups(static_cast<int>(group));
    group_indices_[group_spec.id()] = group;
    groups_[group].samples.resize(group_spec.samples());
    total_samples_ += group_spec.samples();
    for (std::uint32_t index = 0; index < group_spec.samples(); ++index) {
      waiting_.insert({group, index});
    }
  }
}

BatchDecisions BatchPlan::Tick(Instant now) {
  BatchDecisions out;
  if (closed_) {
    return out;
  }
  if (now - last_trainer_call_ > options_.abandon_timeout) {
    CloseAbandoned(&out);
    return out;
  }
  if (now - last_stale_check_ >= kStaleCheckInterval) {
    last_stale_check_ = now;
    DropStale(now, &out);
  }
  StartWaitingSamples(now, &out);
  HedgeStragglers(now, &out);
  return out;
}

void BatchPlan::OnTokens(AttemptId id, const AttemptTokens& tokens,
                         Instant now) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;
  }
  Attempt& attempt = found->second;
  if (!tokens.upstream.empty()) {
    attempt.upstream = tokens.upstream;
  }
  if (tokens.tokens == 0) {
    return;
  }
  if (attempt.partial.tokens == 0) {
    attempt.partial.first_token = now;
  }
  attempt.partial.versions = JoinRanges(
      attempt.partial.versions, attempt.partial.tokens, tokens.versions);
  attempt.partial.text += tokens.text;
  attempt.partial.tokens += tokens.tokens;
  AttemptProgress& progress = attempt.progress;
  progress.first_token = progress.first_token.value_or(now);
  progress.last_progress = now;
  progress.own_tokens += tokens.tokens;
  progress.total_tokens += tokens.tokens;
}

BatchDecisions BatchPlan::OnFinished(AttemptId id, const AttemptResult& result,
                                     Instant now) {
  BatchDecisions out;
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return out;
  }
  const Attempt attempt = found->second;
  attempts_.erase(found);
  const SampleKey key = attempt.sample;
  SampleState& sample = state(key);
  std::erase(sample.attempts, id);
  v1::Sample finished = MakeSample(attempt, result);
  const VersionRanges versions(finished.versions().begin(),
                               finished.versions().end());
  if (!Covers(versions, finished.tokens())) {
    sample.partial = {};
    CancelAttempts(key, "the other attempt ended without labels", &out);
    sample.excluded = {result.upstream};
    sample.phase = Phase::kWaiting;
    ++sample.failures;
    Enqueue(key, now + options_.min_backoff);
    out.emplace_back(DropSample{key, "a token has no version label"});
    return out;
  }
  AttemptProgress progress = attempt.progress;
  progress.total_tokens = finished.tokens();
  progress.own_tokens = result.tokens;
  run_time_estimator_.Add(progress, now);
  attempt_limit_ = std::min(attempt_limit_ + 1, options_.max_outstanding);
  CancelAttempts(key, "the other attempt was first", &out);
  sample.first_token = attempt.partial.tokens > 0 ? attempt.partial.first_token
                                                  : attempt.progress.started;
  sample.sample = std::move(finished);
  sample.sample.set_first_token_unix_ms(ToUnixMs(sample.first_token));
  sample.partial = {};
  sample.phase = Phase::kCopying;
  out.emplace_back(CopySample{key, sample.sample});
  StartWaitingSamples(now, &out);
  return out;
}

BatchDecisions BatchPlan::OnFailed(AttemptId id, const AttemptFailure& failure,
                                   Instant now) {
  BatchDecisions out;
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return out;
  }
  Attempt attempt = std::move(found->second);
  attempts_.erase(found);
  SampleState& sample = state(attempt.sample);
  std::erase(sample.attempts, id);
  if (failure.verdict == Verdict::kNotRun) {
    sample.excluded.clear();
    const auto reduced = static_cast<std::size_t>(
        static_cast<double>(attempt_limit_) * kAttemptLimitDecreaseFactor);
    attempt_limit_ = std::max(options_.min_outstanding, reduced);
  } else if (!failure.upstream.empty()) {
    sample.excluded = {failure.upstream};
  }
  ++sample.failures;
  if (attempt.partial.tokens > sample.partial.tokens) {
    sample.partial = std::move(attempt.partial);
  }
  if (sample.attempts.empty()) {
    sample.phase = Phase::kWaiting;
    Enqueue(attempt.sample, now + Backoff(sample, failure));
  }
  StartWaitingSamples(now, &out);
  return out;
}

std::chrono::nanoseconds BatchPlan::Backoff(
    const SampleState& sample, const AttemptFailure& failure) const {
  // The first failure is retried at once if the attempt may have run, since an
  // interrupted generation does not indicate overload.
  if (failure.verdict != Verdict::kNotRun && sample.failures == 1) {
    return std::chrono::nanoseconds{0};
  }
  const std::uint32_t doublings =
      std::min(sample.failures - 1, kMaxBackoffDoublings);
  const auto delay =
      std::min(options_.min_backoff * (1U << doublings), options_.max_backoff);
  return std::max(delay, failure.retry_after);
}

BatchDecisions BatchPlan::OnNewestVersion(std::uint32_t version, Instant now) {
  BatchDecisions out;
  freshness_.SetNewest(version, now);
  std::vector<AttemptId> stale;
  for (const auto& [id, attempt] : attempts_) {
    const auto oldest = OldestVersion(attempt.partial.versions);
    if (oldest.has_value() && !freshness_.VersionAllowed(*oldest)) {
      stale.push_back(id);
    }
  }
  for (const AttemptId id : stale) {
    const auto found = attempts_.find(id);
    const SampleKey key = found->second.sample;
    counts_.wasted_tokens += found->second.progress.own_tokens;
    attempts_.erase(found);
    ++counts_.dropped_stale;
    out.emplace_back(
        CancelAttempt{id, key, "its tokens are past the staleness bound"});
    SampleState& sample = state(key);
    std::erase(sample.attempts, id);
    if (sample.attempts.empty()) {
      sample.partial = {};
      sample.phase = Phase::kWaiting;
      Enqueue(key, now);
    }
  }
  DropStale(now, &out);
  StartWaitingSamples(now, &out);
  return out;
}

void BatchPlan::Enqueue(SampleKey key, Instant not_before) {
  delayed_.emplace(not_before, key);
}

void BatchPlan::StartWaitingSamples(Instant now, BatchDecisions* out) {
  if (!starts_enabled_) {
    return;
  }
  while (!delayed_.empty() && delayed_.begin()->first <= now) {
    urgent_.insert(delayed_.begin()->second);
    delayed_.erase(delayed_.begin());
  }
  while (attempts_.size() < attempt_limit_ &&
         !(urgent_.empty() && waiting_.empty())) {
    std::set<SampleKey>& queue = urgent_.empty() ? waiting_ : urgent_;
    const SampleKey key = *queue.begin();
    queue.erase(queue.begin());
    out->emplace_back(CreateAttempt(key, state(key).partial, now));
  }
}

StartSample BatchPlan::CreateAttempt(SampleKey key, PartialSample resume,
                                     Instant now) {
  SampleState& sample = state(key);
  const std::uint32_t max_tokens =
      spec_.groups(static_cast<int>(key.group)).max_tokens();
  AttemptProgress progress;
  progress.started = now;
  progress.last_progress = now;
  progress.total_tokens = resume.tokens;
  progress.max_tokens = max_tokens;
  const auto expected =
      run_time_estimator_.has_estimate()
          ? run_time_estimator_.ExpectedOnOtherUpstream(progress)
          : std::chrono::nanoseconds{0};
  if (resume.tokens > 0 &&
      !freshness_.WillBeDeliverable(resume.versions, resume.first_token, now,
                                    expected)) {
    resume = {};
    sample.partial = {};
    progress.total_tokens = 0;
    ++counts_.dropped_stale;
  }
  StartSample start;
  start.attempt = next_attempt_++;
  start.sample = key;
  start.min_version = freshness_.MinVersionToStart(now, expected);
  start.excluded = sample.excluded;
  start.reason = resume.tokens > 0 ? "resume" : "start";
  start.resume = resume;
  counts_.resumes += resume.tokens > 0 ? 1 : 0;
  sample.phase = Phase::kRunning;
  sample.attempts.push_back(start.attempt);
  attempts_[start.attempt] = {key, resume, resume, progress, {}, false};
  return start;
}

void BatchPlan::HedgeStragglers(Instant now, BatchDecisions* out) {
  // While samples wait for a slot, a hedge would take a slot from one of them.
  const bool none_waiting = urgent_.empty() && waiting_.empty();
  if (!options_.hedge.enabled || !starts_enabled_ || !none_waiting) {
    return;
  }
  std::vector<AttemptId> stragglers;
  for (const auto& [id, attempt] : attempts_) {
    if (state(attempt.sample).attempts.size() == 1 &&
        IsStraggler(attempt, now)) {
      stragglers.push_back(id);
    }
  }
  for (const AttemptId id : stragglers) {
    if (IsHedgeWithinBudget(attempts_.at(id))) {
      StartHedge(id, now, out);
    }
  }
}

// A long sample is not a straggler: a second attempt would be no faster, and
// keeping the attempt that finishes first would bias the batch towards short
// samples.
bool BatchPlan::IsStraggler(const Attempt& attempt, Instant now) const {
  if (!run_time_estimator_.has_estimate()) {
    return false;
  }
  if (run_time_estimator_.Stalled(attempt.progress, options_.hedge, now)) {
    return true;
  }
  const auto remaining =
      run_time_estimator_.ExpectedRemaining(attempt.progress, now);
  const auto remaining_on_other =
      run_time_estimator_.ExpectedOnOtherUpstream(attempt.progress);
  if (remaining_on_other + options_.hedge.min_gain >= remaining) {
    return false;
  }
  std::chrono::nanoseconds group{0};
  for (const SampleState& other : groups_[attempt.sample.group].samples) {
    for (const AttemptId id : other.attempts) {
      const Attempt& running = attempts_.at(id);
      if (running.sample != attempt.sample) {
        group = std::max(group, run_time_estimator_.ExpectedRemaining(
                                    running.progress, now));
      }
    }
  }
  return remaining > group;
}

bool BatchPlan::IsHedgeWithinBudget(const Attempt& attempt) const {
  std::uint64_t committed = counts_.wasted_tokens;
  for (const auto& [id, running] : attempts_) {
    if (running.hedge) {
      committed += run_time_estimator_.RemainingTokens(running.progress);
    }
  }
  committed += run_time_estimator_.RemainingTokens(attempt.progress);
  return static_cast<double>(committed) <=
         options_.hedge.cost_share *
             static_cast<double>(run_time_estimator_.finished_tokens());
}

void BatchPlan::StartHedge(AttemptId straggler, Instant now,
                           BatchDecisions* out) {
  const Attempt slow = attempts_.at(straggler);
  StartSample start = CreateAttempt(slow.sample, slow.partial, now);
  start.hedge = true;
  start.reason = "hedge of a straggler";
  if (!slow.upstream.empty()) {
    start.excluded.push_back(slow.upstream);
  }
  attempts_.at(start.attempt).hedge = true;
  ++counts_.hedges;
  out->emplace_back(std::move(start));
}

void BatchPlan::CancelAttempts(SampleKey key, const std::string& reason,
                               BatchDecisions* out) {
  SampleState& sample = state(key);
  for (const AttemptId id : std::exchange(sample.attempts, {})) {
    counts_.wasted_tokens += attempts_.at(id).progress.own_tokens;
    attempts_.erase(id);
    out->emplace_back(CancelAttempt{id, key, reason});
  }
}

void BatchPlan::CloseAbandoned(BatchDecisions* out) {
  closed_ = true;
  for (const auto& [id, attempt] : std::exchange(attempts_, {})) {
    state(attempt.sample).attempts.clear();
    out->emplace_back(
        CancelAttempt{id, attempt.sample, "the batch is abandoned"});
  }
  // Samples returned by a pull count as received, even if the trainer did not
  // acknowledge them before it stopped calling.
  Bill bill;
  while (acknowledged_ < sequences_.size() &&
         state(sequences_[acknowledged_]).pulled) {
    AcknowledgeSample(sequences_[acknowledged_], &bill, out);
    ++acknowledged_;
  }
  bill.acknowledged = acknowledged_;
  out->emplace_back(bill);
  out->emplace_back(CloseBatch{"the trainer is silent"});
}

v1::Sample BatchPlan::MakeSample(const Attempt& attempt,
                                 const AttemptResult& result) const {
  v1::Sample sample;
  sample.set_group(spec_.groups(static_cast<int>(attempt.sample.group)).id());
  sample.set_index(attempt.sample.index);
  sample.set_text(attempt.resumed.text + result.text);
  sample.set_tokens(attempt.resumed.tokens + result.tokens);
  sample.set_prompt_tokens(result.prompt_tokens);
  const VersionRanges joined = JoinRanges(
      attempt.resumed.versions, attempt.resumed.tokens, result.versions);
  sample.mutable_versions()->Add(joined.begin(), joined.end());
  return sample;
}

BatchPlan::SampleState& BatchPlan::state(SampleKey key) {
  return groups_[key.group].samples[key.index];
}

const BatchPlan::SampleState& BatchPlan::state(SampleKey key) const {
  return groups_[key.group].samples[key.index];
}

std::optional<std::uint32_t> BatchPlan::FindGroup(const std::string& id) const {
  const auto found = group_indices_.find(id);
  return found == group_indices_.end() ? std::nullopt
                                       : std::optional(found->second);
}

}  // namespace mulberryroad::rollout
