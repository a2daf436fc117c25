#include "serving/upstream_health.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mulberryroad::serving {

void UpstreamHealth::Age(Record* record, Instant now) {
  const std::chrono::duration<double> age = now - record->counted;
  const std::chrono::duration<double> half_life = kHalfLife;
  const double left = std::exp2(-age / half_life);
  record->completed *= left;
  record->failed *= left;
  record->counted = now;
}

bool UpstreamHealth::Fails(const Record& record) {
  const double requests = record.completed + record.failed;
  return record.failures_in_a_row >= kFailuresInARow ||
         (requests >= kLeastRequests &&
          record.failed >= kFailureShare * requests);
}

void UpstreamHealth::Started(const UpstreamId& id, Instant now) {
  Record& record = records_[id];
  if (record.out && now >= record.out_until) {
    record.trial_open = true;
  }
}

void UpstreamHealth::Ended(const UpstreamId& id) {
  records_[id].trial_open = false;
}

void UpstreamHealth::Served(const UpstreamId& id, Instant now) {
  Record& record = records_[id];
  if (!record.out) {
    record.suspected.reset();
    record.failures_in_a_row = 0;
    return;
  }
  // A response to a request sent before the ejection is no trial.
  if (now < record.out_until) {
    return;
  }
  record.trial_open = false;
  if (++record.trials_passed == kTrials) {
    record.out = false;
    record.returned = now;
    record.suspected.reset();
    on_returned_.emit(id);
  }
}

void UpstreamHealth::Completed(const UpstreamId& id, Instant now) {
  Record& record = records_[id];
  Age(&record, now);
  record.completed += 1;
}

void UpstreamHealth::Late(const UpstreamId& id, Instant now) {
  records_[id].suspected = now;
}

void UpstreamHealth::Failed(const UpstreamId& id, Instant now) {
  Record& record = records_[id];
  Age(&record, now);
  record.failed += 1;
  ++record.failures_in_a_row;
  record.suspected = now;
  const bool trial_failed = record.out && now >= record.out_until;
  if (trial_failed || (!record.out && Fails(record))) {
    Eject(id, &record, now);
  }
}

void UpstreamHealth::Eject(const UpstreamId& id, Record* record, Instant now) {
  if (!record->out && now >= record->returned + kProbation) {
    record->ejections = 0;
  }
  const double share = record->failed / (record->completed + record->failed);
  const std::chrono::milliseconds time =
      kEjectionTime * (1 << std::min(record->ejections, kMostDoublings));
  const Ejection ejection{id, record->failures_in_a_row, share, time};
  ++record->ejections;
  record->out = true;
  record->out_until = now + time;
  record->share_when_ejected = share;
  record->trial_open = false;
  record->trials_passed = 0;
  record->failures_in_a_row = 0;
  // Only requests from the trials on count towards the next ejection.
  record->completed = 0;
  record->failed = 0;
  on_ejected_.emit(ejection);
}

Standing UpstreamHealth::standing(const UpstreamId& id, Instant now) const {
  const auto found = records_.find(id);
  if (found == records_.end()) {
    return Standing::kSound;
  }
  const Record& record = found->second;
  if (record.out) {
    return now < record.out_until || record.trial_open ? Standing::kEjected
                                                       : Standing::kTrial;
  }
  const bool suspect =
      record.suspected.has_value() && now < *record.suspected + kSuspicionTime;
  return suspect ? Standing::kSuspect : Standing::kSound;
}

std::set<UpstreamId> UpstreamHealth::OutOfUse(
    const std::vector<UpstreamId>& service, Instant now) const {
  std::vector<std::pair<double, UpstreamId>> ejected;
  for (const UpstreamId& id : service) {
    if (standing(id, now) == Standing::kEjected) {
      ejected.emplace_back(records_.at(id).share_when_ejected, id);
    }
  }
  const auto most = static_cast<std::size_t>(
      static_cast<double>(service.size()) * kMostOutOfUse);
  if (ejected.size() > most) {
    std::ranges::sort(ejected, std::greater<>{});
    ejected.resize(most);
  }
  std::set<UpstreamId> out;
  for (auto& [share, id] : ejected) {
    out.insert(std::move(id));
  }
  return out;
}

}  // namespace mulberryroad::serving
