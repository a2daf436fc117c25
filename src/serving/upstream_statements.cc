#include "serving/upstream_statements.h"

#include <algorithm>
#include <utility>

namespace mulberryroad::serving {

void UpstreamStatements::SetLimit(const LimitChange& change, Entry* entry,
                                  Instant learned) {
  entry->learned = learned;
  if (entry->requests_per_second != change.requests_per_second) {
    entry->requests_per_second = change.requests_per_second;
    on_limit_changed_.emit(change);
  }
}

void UpstreamStatements::OnResponse(const UpstreamId& id,
                                    std::chrono::milliseconds started,
                                    const Statement& statement, Instant now) {
  const auto found = entries_.find(id);
  if (found == entries_.end() && !statement.leaving &&
      !statement.requests_per_second.has_value()) {
    return;
  }
  Entry& entry = entries_[id];
  if (started < entry.started) {
    return;
  }
  // A limit that another node reported has no start time yet.
  if (started > entry.started && entry.started.count() != 0) {
    SetLimit({id, std::nullopt}, &entry, now);
    entry.leaving = false;
  }
  entry.started = started;
  if (statement.leaving) {
    entry.learned = now;
    if (!std::exchange(entry.leaving, true)) {
      on_leaving_.emit({id, started});
    }
  }
  if (statement.requests_per_second.has_value() || statement.complete) {
    SetLimit({id, statement.requests_per_second}, &entry, now);
  }
}

void UpstreamStatements::OnReported(const UpstreamId& id,
                                    std::optional<double> requests_per_second,
                                    Instant learned) {
  Entry& entry = entries_[id];
  if (learned > entry.learned) {
    SetLimit({id, requests_per_second, /*reported=*/true}, &entry, learned);
  }
}

void UpstreamStatements::OnRestarted(const UpstreamId& id,
                                     std::chrono::milliseconds started) {
  const auto found = entries_.find(id);
  if (found != entries_.end() && found->second.started < started) {
    SetLimit({id, std::nullopt}, &found->second, found->second.learned);
    found->second.started = started;
    found->second.leaving = false;
  }
}

void UpstreamStatements::AddPermit(const UpstreamId& id, Instant usable_until) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    std::deque<Instant>& permits = found->second.permits;
    permits.insert(
        std::upper_bound(permits.begin(), permits.end(), usable_until),
        usable_until);
  }
}

void UpstreamStatements::OnRequestSent(const UpstreamId& id, Instant now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  std::deque<Instant>& permits = found->second.permits;
  while (!permits.empty() && permits.front() < now) {
    permits.pop_front();
  }
  if (!permits.empty()) {
    permits.pop_front();
  }
}

bool UpstreamStatements::MaySend(const UpstreamId& id, Instant now) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ||
         !found->second.requests_per_second.has_value() ||
         (!found->second.permits.empty() &&
          found->second.permits.back() >= now);
}

void UpstreamStatements::Expire(Instant now) {
  std::erase_if(entries_, [now](const auto& entry) {
    return entry.second.learned + kMaxAge < now;
  });
}

std::optional<double> UpstreamStatements::limit(const UpstreamId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? std::nullopt
                                 : found->second.requests_per_second;
}

std::optional<Instant> UpstreamStatements::limit_learned(
    const UpstreamId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? std::nullopt
                                 : std::optional(found->second.learned);
}

}  // namespace mulberryroad::serving
