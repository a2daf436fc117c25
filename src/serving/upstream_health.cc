#include "serving/upstream_health.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mulberryroad::serving {

void UpstreamHealth::Decay(Statistics* statistics, Instant now) {
  const std::chrono::duration<double> age = now - statistics->decayed_at;
  const std::chrono::duration<double> half_life = kHalfLife;
  const double remaining = std::exp2(-age / half_life);
  statistics->completed *= remaining;
  statistics->failed *= remaining;
  statistics->decayed_at = now;
}

bool UpstreamHealth::ExceedsFailureLimits(const Statistics& statistics) {
  const double requests = statistics.completed + statistics.failed;
  return statistics.failures_in_a_row >= kConsecutiveFailures ||
         (requests >= kMinRequests &&
          statistics.failed >= kFailureShare * requests);
}

void UpstreamHealth::OnRequestSent(const UpstreamId& id, Instant now) {
  Statistics& statistics = statistics_[id];
  if (statistics.ejected && now >= statistics.ejected_until) {
    statistics.trial_in_flight = true;
  }
}

void UpstreamHealth::OnRequestEnded(const UpstreamId& id) {
  statistics_[id].trial_in_flight = false;
}

void UpstreamHealth::OnResponseStarted(const UpstreamId& id, Instant now) {
  Statistics& statistics = statistics_[id];
  if (!statistics.ejected) {
    statistics.suspected_at.reset();
    statistics.failures_in_a_row = 0;
    return;
  }
  // A response to a request sent before the ejection does not count as a trial.
  if (now < statistics.ejected_until) {
    return;
  }
  statistics.trial_in_flight = false;
  if (++statistics.trials_passed == kRequiredTrials) {
    statistics.ejected = false;
    statistics.readmitted_at = now;
    statistics.suspected_at.reset();
    on_readmitted_.emit(id, now);
  }
}

void UpstreamHealth::OnResponseCompleted(const UpstreamId& id, Instant now) {
  Statistics& statistics = statistics_[id];
  Decay(&statistics, now);
  statistics.completed += 1;
}

void UpstreamHealth::OnRequestLate(const UpstreamId& id, Instant now) {
  statistics_[id].suspected_at = now;
}

void UpstreamHealth::OnRequestFailed(const UpstreamId& id, Instant now) {
  Statistics& statistics = statistics_[id];
  Decay(&statistics, now);
  statistics.failed += 1;
  ++statistics.failures_in_a_row;
  statistics.suspected_at = now;
  on_failed_.emit(id, now);
  const bool trial_failed =
      statistics.ejected && now >= statistics.ejected_until;
  if (trial_failed ||
      (!statistics.ejected && ExceedsFailureLimits(statistics))) {
    Eject(id, &statistics, now);
  }
}

void UpstreamHealth::Eject(const UpstreamId& id, Statistics* statistics,
                           Instant now) {
  if (!statistics->ejected &&
      now >= statistics->readmitted_at + kProbationTime) {
    statistics->ejections = 0;
  }
  const double share =
      statistics->failed / (statistics->completed + statistics->failed);
  const std::chrono::milliseconds duration =
      kEjectionTime * (1 << std::min(statistics->ejections, kMaxDoublings));
  const Ejection ejection{id, statistics->failures_in_a_row, share, duration};
  ++statistics->ejections;
  statistics->ejected = true;
  statistics->ejected_until = now + duration;
  statistics->failure_share_at_ejection = share;
  statistics->trial_in_flight = false;
  statistics->trials_passed = 0;
  statistics->failures_in_a_row = 0;
  // Requests before this ejection do not count towards the next one.
  statistics->completed = 0;
  statistics->failed = 0;
  on_ejected_.emit(ejection);
}

HealthState UpstreamHealth::health_state(const UpstreamId& id,
                                         Instant now) const {
  const auto found = statistics_.find(id);
  if (found == statistics_.end()) {
    return HealthState::kHealthy;
  }
  const Statistics& statistics = found->second;
  if (statistics.ejected) {
    return now < statistics.ejected_until || statistics.trial_in_flight
               ? HealthState::kEjected
               : HealthState::kTrial;
  }
  const bool suspect = statistics.suspected_at.has_value() &&
                       now < *statistics.suspected_at + kSuspectTime;
  return suspect ? HealthState::kSuspect : HealthState::kHealthy;
}

bool UpstreamHealth::has_ejected() const {
  return std::ranges::any_of(
      statistics_, [](const auto& entry) { return entry.second.ejected; });
}

std::set<UpstreamId> UpstreamHealth::ExcludedUpstreams(
    const std::vector<UpstreamId>& service, Instant now) const {
  std::vector<std::pair<double, UpstreamId>> ejected;
  for (const UpstreamId& id : service) {
    if (health_state(id, now) == HealthState::kEjected) {
      ejected.emplace_back(statistics_.at(id).failure_share_at_ejection, id);
    }
  }
  const auto max_excluded = static_cast<std::size_t>(
      static_cast<double>(service.size()) * kMaxExcludedShare);
  if (ejected.size() > max_excluded) {
    std::ranges::sort(ejected, std::greater<>{});
    ejected.resize(max_excluded);
  }
  std::set<UpstreamId> excluded;
  for (auto& [share, id] : ejected) {
    excluded.insert(std::move(id));
  }
  return excluded;
}

}  // namespace mulberryroad::serving
