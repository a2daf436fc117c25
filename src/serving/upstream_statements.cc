#include "serving/upstream_statements.h"

namespace mulberryroad::serving {

void UpstreamStatements::SetLimit(const UpstreamId& id, Entry* entry,
                                  std::optional<double> requests_per_second,
                                  Instant learned) {
  entry->learned = learned;
  if (entry->requests_per_second != requests_per_second) {
    entry->requests_per_second = requests_per_second;
    on_limit_changed_.emit({id, requests_per_second});
  }
}

void UpstreamStatements::OnResponse(const UpstreamId& id,
                                    std::chrono::milliseconds started,
                                    const Statement& statement, Instant now) {
  const auto found = entries_.find(id);
  if (found == entries_.end() && !statement.requests_per_second.has_value()) {
    return;
  }
  Entry& entry = entries_[id];
  if (started < entry.started) {
    return;
  }
  if (started > entry.started) {
    entry = {started, std::nullopt, now};
  }
  if (statement.requests_per_second.has_value() || statement.complete) {
    SetLimit(id, &entry, statement.requests_per_second, now);
  }
}

void UpstreamStatements::OnReported(const UpstreamId& id,
                                    std::optional<double> requests_per_second,
                                    Instant learned) {
  Entry& entry = entries_[id];
  if (learned > entry.learned) {
    SetLimit(id, &entry, requests_per_second, learned);
  }
}

void UpstreamStatements::OnRestarted(const UpstreamId& id,
                                     std::chrono::milliseconds started) {
  const auto found = entries_.find(id);
  if (found != entries_.end() && found->second.started < started) {
    SetLimit(id, &found->second, std::nullopt, found->second.learned);
    found->second.started = started;
  }
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
