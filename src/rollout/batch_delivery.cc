// Part of BatchPlan: binding, delivery, acknowledgement and recovery.

#include <algorithm>
#include <utility>

#include "rollout/batch_plan.h"

namespace mulberryroad::rollout {

void BatchPlan::Restore(const Bindings& bindings) {
  for (const BoundGroups& bound : bindings.bound()) {
    for (const std::string& id : bound.groups) {
      const std::optional<std::uint32_t> group = FindGroup(id);
      if (!group.has_value()) {
        continue;
      }
      groups_[*group].first_sequence = sequences_.size();
      for (std::uint32_t i = 0; i < groups_[*group].samples.size(); ++i) {
        sequences_.push_back({*group, i});
        // The trainer receives samples in sequence order, so a missing one
        // blocks all that follow.
        if (waiting_.erase({*group, i}) > 0) {
          urgent_.insert({*group, i});
        }
      }
    }
  }
}

void BatchPlan::Restore(const v1::Sample& copy, Instant now) {
  const std::optional<std::uint32_t> group = FindGroup(copy.group());
  if (!group.has_value() || copy.index() >= groups_[*group].samples.size()) {
    return;
  }
  const SampleKey key{*group, copy.index()};
  SampleState& sample = state(key);
  const Instant first_token = FromUnixMs(copy.first_token_unix_ms(), now);
  const VersionRanges versions(copy.versions().begin(), copy.versions().end());
  if (sample.phase != Phase::kWaiting ||
      !freshness_.Deliverable(versions, first_token, now)) {
    return;
  }
  urgent_.erase(key);
  waiting_.erase(key);
  sample.phase = Phase::kCopying;
  sample.sample = copy;
  sample.first_token = first_token;
}

void BatchPlan::RestoreAcknowledged(std::uint64_t cursor) {
  const std::uint64_t end = std::min<std::uint64_t>(cursor, sequences_.size());
  for (; acknowledged_ < end; ++acknowledged_) {
    const SampleKey key = sequences_[acknowledged_];
    urgent_.erase(key);
    waiting_.erase(key);
    SampleState& sample = state(key);
    sample.phase = Phase::kAcknowledged;
    sample.sample.Clear();
  }
}

std::vector<CopySample> BatchPlan::FinishedSamples() const {
  std::vector<CopySample> finished;
  for (std::uint32_t group = 0; group < groups_.size(); ++group) {
    const std::vector<SampleState>& samples = groups_[group].samples;
    for (std::uint32_t index = 0; index < samples.size(); ++index) {
      const Phase phase = samples[index].phase;
      if (phase == Phase::kCopying || phase == Phase::kReady) {
        finished.push_back({{group, index}, samples[index].sample});
      }
    }
  }
  return finished;
}

BatchDecisions BatchPlan::OnCopied(const std::vector<SampleKey>& samples,
                                   Instant now) {
  BatchDecisions out;
  for (const SampleKey key : samples) {
    SampleState& sample = state(key);
    if (sample.phase != Phase::kCopying) {
      continue;
    }
    sample.phase = Phase::kReady;
    undelivered_.insert(key);
    GroupState& group = groups_[key.group];
    ++group.ready;
    if (group.ready == group.samples.size() &&
        !group.first_sequence.has_value() &&
        !groups_being_bound_.contains(key.group)) {
      complete_groups_.push_back(key.group);
    }
  }
  DropStale(now, &out);
  Bind(&out);
  return out;
}

// At most one record is being appended at a time. Groups that complete in the
// meantime are bound by the next record.
void BatchPlan::Bind(BatchDecisions* out) {
  if (!groups_being_bound_.empty() || complete_groups_.empty() || closed_) {
    return;
  }
  BindGroups bind;
  bind.first_sequence = sequences_.size();
  for (const std::uint32_t group : std::exchange(complete_groups_, {})) {
    groups_being_bound_.insert(group);
    bind.groups.push_back(spec_.groups(static_cast<int>(group)).id());
  }
  out->emplace_back(std::move(bind));
}

BatchDecisions BatchPlan::OnBound(const BoundGroups& bound) {
  BatchDecisions out;
  for (const std::string& id : bound.groups) {
    const std::optional<std::uint32_t> found = FindGroup(id);
    if (!found.has_value() || groups_[*found].first_sequence.has_value()) {
      continue;
    }
    GroupState& group = groups_[*found];
    group.first_sequence = sequences_.size();
    for (std::uint32_t index = 0; index < group.samples.size(); ++index) {
      sequences_.push_back({*found, index});
    }
    groups_being_bound_.erase(*found);
    std::erase(complete_groups_, *found);
  }
  Bind(&out);
  return out;
}

BatchDecisions BatchPlan::OnBindFailed() {
  BatchDecisions out;
  for (const std::uint32_t group : std::exchange(groups_being_bound_, {})) {
    const GroupState& state = groups_[group];
    if (!state.first_sequence.has_value() &&
        state.ready == state.samples.size()) {
      complete_groups_.push_back(group);
    }
  }
  Bind(&out);
  return out;
}

BatchDecisions BatchPlan::Pull(std::uint64_t cursor, std::uint32_t max_samples,
                               Instant now) {
  BatchDecisions out;
  last_trainer_call_ = now;
  Deliver page;
  page.next_cursor = std::max(cursor, acknowledged_);
  while (page.next_cursor < sequences_.size() &&
         page.samples.size() < max_samples) {
    const SampleKey key = sequences_[page.next_cursor];
    SampleState& sample = state(key);
    if (sample.phase != Phase::kReady) {
      break;
    }
    const VersionRanges versions(sample.sample.versions().begin(),
                                 sample.sample.versions().end());
    if (!freshness_.Deliverable(versions, sample.first_token, now)) {
      Regenerate(key, "past the staleness bound at delivery", now, &out);
      break;
    }
    counts_.delivered += sample.pulled ? 0 : 1;
    sample.pulled = true;
    undelivered_.erase(key);
    page.samples.push_back(sample.sample);
    page.samples.back().set_sequence(page.next_cursor);
    ++page.next_cursor;
  }
  page.complete = page.next_cursor >= total_samples_;
  StartWaitingSamples(now, &out);
  out.emplace_back(std::move(page));
  return out;
}

BatchDecisions BatchPlan::Acknowledge(std::uint64_t cursor, Instant now) {
  BatchDecisions out;
  last_trainer_call_ = now;
  if (closed_) {
    return out;
  }
  Bill bill;
  const std::uint64_t end = std::min<std::uint64_t>(cursor, sequences_.size());
  const bool advanced = end > acknowledged_;
  for (; acknowledged_ < end; ++acknowledged_) {
    AcknowledgeSample(sequences_[acknowledged_], &bill, &out);
  }
  if (advanced) {
    bill.acknowledged = acknowledged_;
    out.emplace_back(bill);
  }
  if (acknowledged_ == total_samples_) {
    closed_ = true;
    out.emplace_back(CloseBatch{"every sample is acknowledged"});
  }
  return out;
}

void BatchPlan::AcknowledgeSample(SampleKey key, Bill* bill,
                                  BatchDecisions* out) {
  SampleState& sample = state(key);
  CancelAttempts(key, "the trainer has the sample", out);
  urgent_.erase(key);
  waiting_.erase(key);
  undelivered_.erase(key);
  std::erase_if(delayed_,
                [key](const auto& entry) { return entry.second == key; });
  if (sample.phase == Phase::kReady || sample.phase == Phase::kCopying) {
    ++bill->samples;
    bill->prompt_tokens += sample.sample.prompt_tokens();
    bill->generated_tokens += sample.sample.tokens();
  }
  sample.phase = Phase::kAcknowledged;
  sample.partial = {};
  sample.sample.Clear();
}

void BatchPlan::DropStale(Instant now, BatchDecisions* out) {
  std::vector<SampleKey> stale;
  for (const SampleKey key : undelivered_) {
    const SampleState& sample = state(key);
    const VersionRanges versions(sample.sample.versions().begin(),
                                 sample.sample.versions().end());
    if (!freshness_.Deliverable(versions, sample.first_token, now)) {
      stale.push_back(key);
    }
  }
  for (const SampleKey key : stale) {
    Regenerate(key, "past the staleness bound before delivery", now, out);
  }
}

// A bound sequence number is kept for the regenerated sample. This is safe
// because a trainer does not pull a sample again after it has received it.
void BatchPlan::Regenerate(SampleKey key, const std::string& reason,
                           Instant now, BatchDecisions* out) {
  SampleState& sample = state(key);
  GroupState& group = groups_[key.group];
  --group.ready;
  std::erase(complete_groups_, key.group);
  undelivered_.erase(key);
  counts_.wasted_tokens += sample.sample.tokens();
  ++counts_.dropped_stale;
  sample.sample.Clear();
  sample.partial = {};
  sample.pulled = false;
  sample.phase = Phase::kWaiting;
  Enqueue(key, now);
  out->emplace_back(DropSample{key, reason});
}

std::uint64_t BatchPlan::ToUnixMs(Instant instant) const {
  const auto since_zero = std::chrono::duration_cast<std::chrono::milliseconds>(
      instant.time_since_epoch());
  return static_cast<std::uint64_t>(
      (options_.unix_origin + since_zero).count());
}

// Converts a Unix time and limits the result to `now`, since another node's
// clock may be ahead.
Instant BatchPlan::FromUnixMs(std::uint64_t unix_ms, Instant now) const {
  const std::chrono::milliseconds unix_time(unix_ms);
  return std::min(now, Instant{} + (unix_time - options_.unix_origin));
}

}  // namespace mulberryroad::rollout
