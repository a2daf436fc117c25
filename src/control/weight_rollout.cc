#include "control/weight_rollout.h"

#include <algorithm>
#include <set>

namespace mulberryroad::control {

namespace {

/// Loads at once in the first wave, before anything is known of the store.
constexpr std::size_t kInitialConcurrency = 8;

}  // namespace

WeightRollout::WeightRollout(RolloutOptions options)
    : options_(options), concurrency_(kInitialConcurrency) {}

std::vector<RolloutDecision> WeightRollout::Step(
    const RolloutTarget& target, const std::vector<EngineState>& engines,
    Instant now) {
  std::vector<RolloutDecision> decisions;
  ForgetGone(engines);
  for (const EngineState& engine : engines) {
    Observe(engine, now, decisions);
  }
  const bool proven = std::any_of(
      engines.begin(), engines.end(), [&target](const EngineState& engine) {
        return engine.version == target.version && !engine.swapping;
      });
  for (auto& [id, progress] : progress_) {
    GiveUp(id, progress, proven, now, decisions);
  }
  if (target.version == 0 ||
      target.newest_in_store.value_or(0) < target.version) {
    return decisions;
  }
  std::size_t room = Room(target, engines.size());
  for (const EngineState& engine : engines) {
    if (room == 0) {
      break;
    }
    if (!WantsSwap(engine, target, now)) {
      continue;
    }
    Progress& progress = progress_[engine.id];
    progress.phase = Progress::Phase::kSwapping;
    progress.version = target.version;
    progress.started = now;
    decisions.emplace_back(
        BeginSwap{engine.id, target.version,
                  "serves version " + std::to_string(*engine.version) +
                      ", attempt " + std::to_string(progress.attempts + 1)});
    --room;
  }
  return decisions;
}

void WeightRollout::ForgetGone(const std::vector<EngineState>& engines) {
  std::set<UpstreamId> present;
  for (const EngineState& engine : engines) {
    present.insert(engine.id);
  }
  std::erase_if(progress_, [&present](const auto& entry) {
    return !present.contains(entry.first);
  });
}

void WeightRollout::Observe(const EngineState& engine, Instant now,
                            std::vector<RolloutDecision>& decisions) {
  const auto found = progress_.find(engine.id);
  if (found == progress_.end()) {
    return;
  }
  Progress& progress = found->second;
  if (progress.phase == Progress::Phase::kSwapping) {
    const bool observed =
        engine.version == progress.version && !engine.swapping;
    if (observed) {
      decisions.emplace_back(EndSwap{engine.id, progress.version});
      progress = {};
      ++concurrency_;
      return;
    }
    if (now - progress.started > options_.swap_timeout) {
      Fail(progress, now);
    }
  }
}

void WeightRollout::GiveUp(const UpstreamId& engine, Progress& progress,
                           bool proven, Instant now,
                           std::vector<RolloutDecision>& decisions) {
  const bool exhausted = progress.attempts >= options_.max_attempts &&
                         progress.phase == Progress::Phase::kIdle;
  if (!exhausted) {
    return;
  }
  if (!proven) {
    progress.attempts = 0;
    progress.not_before = now + options_.unproven_pause;
    return;
  }
  progress.phase = Progress::Phase::kOut;
  decisions.emplace_back(
      TakeOut{engine, std::to_string(progress.attempts) + " swaps to version " +
                          std::to_string(progress.version) + " failed"});
}

void WeightRollout::Fail(Progress& progress, Instant now) {
  progress.phase = Progress::Phase::kIdle;
  ++progress.attempts;
  progress.not_before = now + options_.retry_pause;
  concurrency_ = std::max<std::size_t>(1, concurrency_ / 2);
}

void WeightRollout::LoadFailed(const UpstreamId& upstream, Instant now) {
  const auto found = progress_.find(upstream);
  if (found != progress_.end() &&
      found->second.phase == Progress::Phase::kSwapping) {
    Fail(found->second, now);
  }
}

bool WeightRollout::WantsSwap(const EngineState& engine,
                              const RolloutTarget& target, Instant now) {
  if (engine.leaving || engine.swapping || !engine.version ||
      *engine.version == target.version) {
    return false;
  }
  const auto found = progress_.find(engine.id);
  return found == progress_.end() ||
         (found->second.phase == Progress::Phase::kIdle &&
          now >= found->second.not_before);
}

std::size_t WeightRollout::Room(const RolloutTarget& target,
                                std::size_t engines) const {
  const std::size_t percent = target.max_swapping_percent > 0
                                  ? target.max_swapping_percent
                                  : options_.default_swapping_percent;
  const std::size_t share = std::max<std::size_t>(1, engines * percent / 100);
  const std::size_t limit = std::min(share, concurrency_);
  const auto out = static_cast<std::size_t>(
      std::count_if(progress_.begin(), progress_.end(), [](const auto& entry) {
        return entry.second.phase != Progress::Phase::kIdle;
      }));
  return limit > out ? limit - out : 0;
}

bool WeightRollout::swapping(const UpstreamId& upstream) const {
  const auto found = progress_.find(upstream);
  return found != progress_.end() &&
         found->second.phase == Progress::Phase::kSwapping;
}

bool WeightRollout::taken_out(const UpstreamId& upstream) const {
  const auto found = progress_.find(upstream);
  return found != progress_.end() &&
         found->second.phase == Progress::Phase::kOut;
}

}  // namespace mulberryroad::control
