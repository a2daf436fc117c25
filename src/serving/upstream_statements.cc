#include "serving/upstream_statements.h"

#include <algorithm>
#include <utility>

#include "serving/cold_upstreams.h"

namespace mulberryroad::serving {

void UpstreamStatements::SetStarted(const UpstreamId& id,
                                    std::chrono::milliseconds started,
                                    bool reported, Entry* entry) {
  KnownStatement& known = entry->known;
  if (started <= known.started) {
    return;
  }
  if (known.started.count() != 0) {
    known.leaving = false;
    SetLimit({id, std::nullopt, reported}, entry, known.learned);
  }
  known.started = started;
}

void UpstreamStatements::SetLimit(const LimitChange& change, Entry* entry,
                                  Instant learned) {
  entry->known.learned = learned;
  if (entry->known.requests_per_second != change.requests_per_second) {
    entry->known.requests_per_second = change.requests_per_second;
    on_limit_changed_.emit(change);
  }
}

void UpstreamStatements::SetLeaving(const UpstreamId& id, bool reported,
                                    Entry* entry) {
  if (!std::exchange(entry->known.leaving, true)) {
    on_leaving_.emit({id, entry->known.started, reported});
  }
}

void UpstreamStatements::OnResponse(const UpstreamId& id,
                                    std::chrono::milliseconds started,
                                    const Statement& statement, Instant now) {
  if (!entries_.contains(id) && !statement.leaving &&
      !statement.requests_per_second.has_value()) {
    return;
  }
  Entry& entry = entries_[id];
  if (started < entry.known.started) {
    return;
  }
  SetStarted(id, started, /*reported=*/false, &entry);
  if (statement.leaving) {
    entry.known.learned = now;
    SetLeaving(id, /*reported=*/false, &entry);
  }
  if (statement.requests_per_second.has_value() || statement.complete) {
    SetLimit({id, statement.requests_per_second}, &entry, now);
  }
}

void UpstreamStatements::OnReported(const UpstreamId& id,
                                    const KnownStatement& known) {
  Entry& entry = entries_[id];
  if (known.learned <= entry.known.learned ||
      (known.started.count() != 0 && known.started < entry.known.started)) {
    return;
  }
  SetStarted(id, known.started, /*reported=*/true, &entry);
  SetLimit({id, known.requests_per_second, /*reported=*/true}, &entry,
           known.learned);
  if (known.leaving) {
    SetLeaving(id, /*reported=*/true, &entry);
  }
}

void UpstreamStatements::OnRestarted(const UpstreamId& id,
                                     std::chrono::milliseconds started) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    SetStarted(id, started, /*reported=*/true, &found->second);
  }
}

void UpstreamStatements::AddPermit(const UpstreamId& id, Instant usable_until,
                                   bool for_cold) {
  std::deque<Permit>& permits = permits_[id];
  permits.insert(std::upper_bound(permits.begin(), permits.end(), usable_until,
                                  [](Instant until, const Permit& permit) {
                                    return until < permit.usable_until;
                                  }),
                 {usable_until, for_cold});
}

std::deque<UpstreamStatements::Permit>::const_iterator
UpstreamStatements::FindUsable(const std::deque<Permit>& permits, bool cold,
                               Instant now) {
  return std::find_if(
      permits.begin(), permits.end(), [cold, now](const Permit& permit) {
        return permit.usable_until >= now && (permit.for_cold || !cold);
      });
}

void UpstreamStatements::OnRequestSent(const UpstreamId& id, Instant now) {
  const auto found = permits_.find(id);
  if (found == permits_.end()) {
    return;
  }
  std::deque<Permit>& permits = found->second;
  while (!permits.empty() && permits.front().usable_until < now) {
    permits.pop_front();
  }
  const auto usable = FindUsable(permits, cold_grant(id, now).has_value(), now);
  if (usable != permits.end()) {
    permits.erase(usable);
  }
  if (permits.empty()) {
    permits_.erase(found);
  }
}

bool UpstreamStatements::MaySend(const UpstreamId& id, Instant now) const {
  if (!limit(id, now).has_value()) {
    return true;
  }
  const auto found = permits_.find(id);
  return found != permits_.end() &&
         FindUsable(found->second, cold_grant(id, now).has_value(), now) !=
             found->second.end();
}

std::vector<UpstreamId> UpstreamStatements::TakeExpired(Instant now) {
  std::erase_if(permits_, [now](const auto& permits) {
    return permits.second.back().usable_until < now;
  });
  std::vector<UpstreamId> expired;
  for (const auto& [id, entry] : entries_) {
    if (entry.known.learned + kMaxAge < now) {
      expired.push_back(id);
    }
  }
  for (const UpstreamId& id : expired) {
    entries_.erase(id);
  }
  return expired;
}

std::optional<double> UpstreamStatements::limit(const UpstreamId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? std::nullopt
                                 : found->second.known.requests_per_second;
}

std::optional<double> UpstreamStatements::limit(const UpstreamId& id,
                                                Instant now) const {
  const auto stated = limit(id);
  const auto cold = cold_grant(id, now);
  if (!cold.has_value()) {
    return stated;
  }
  return std::min(stated.value_or(cold->requests_per_second),
                  cold->requests_per_second);
}

std::optional<ColdGrant> UpstreamStatements::cold_grant(const UpstreamId& id,
                                                        Instant now) const {
  return cold_ == nullptr ? std::nullopt : cold_->grant(id, now);
}

std::optional<KnownStatement> UpstreamStatements::find(
    const UpstreamId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? std::nullopt
                                 : std::optional(found->second.known);
}

}  // namespace mulberryroad::serving
