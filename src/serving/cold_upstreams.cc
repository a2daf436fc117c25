#include "serving/cold_upstreams.h"

#include <algorithm>

#include "serving/limit_allocator.h"

namespace mulberryroad::serving {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

}  // namespace

ColdGrant GrantForCold(double requests_per_second, const ColdBounds& bounds) {
  // A token bucket of burst b and rate r grants at most b + 1 + r * w requests
  // in a window of length w. Those that are used within one second were granted
  // within 1 s + kMaxPermitAge.
  const double window =
      1.0 + std::chrono::duration<double>(kMaxPermitAge).count();
  const double bound = requests_per_second * bounds.factor + bounds.requests;
  ColdGrant grant;
  grant.burst = std::clamp(bound - 1.0 - requests_per_second * window, 1.0,
                           LimitAllocator::kBurst);
  grant.requests_per_second =
      std::clamp((bound - 1.0 - grant.burst) / window, LimitAllocator::kMinRate,
                 std::max(LimitAllocator::kMinRate, requests_per_second));
  return grant;
}

const char* ToString(ColdSource source) {
  switch (source) {
    case ColdSource::kRegistration:
      return "registration";
    case ColdSource::kRestart:
      return "restart";
    case ColdSource::kNode:
      return "node";
  }
  return "";
}

std::vector<TargetId> ColdUpstreams::SetServices(
    const std::vector<Service>& services, Instant now) {
  std::vector<TargetId> clamped;
  services_.clear();
  for (const Service& service : services) {
    ColdStart cold = service.cold_start;
    cold.after_start =
        std::clamp<milliseconds>(cold.after_start, milliseconds(0),
                                 duration_cast<milliseconds>(kMaxColdTime));
    // A NaN counts as no limit.
    cold.requests_per_second =
        cold.requests_per_second > 0
            ? std::min(cold.requests_per_second, kMaxRate)
            : 0;
    if (cold.after_start != service.cold_start.after_start ||
        cold.requests_per_second != service.cold_start.requests_per_second) {
      clamped.push_back(service.name);
    }
    services_[service.name] = cold;
  }
  for (auto& [id, entry] : entries_) {
    Announce(id, &entry, /*was_cold=*/entry.announced, now);
  }
  return clamped;
}

ColdUpstreams::Entry& ColdUpstreams::EntryFor(const UpstreamId& id,
                                              milliseconds started) {
  Entry& entry = entries_[id];
  if (started > entry.started) {
    entry.started = started;
    entry.stated_until.reset();
    entry.restarted_at.reset();
    entry.report.reset();
    entry.cold_left.reset();
    entry.invalid = false;
    entry.announced = false;
  }
  return entry;
}

bool ColdUpstreams::OnRegistered(const Registration& registration,
                                 std::uint64_t offset, bool just_started,
                                 Instant now) {
  const UpstreamId& id = registration.id;
  const auto found = entries_.find(id);
  const bool known = found != entries_.end();
  if (known && registration.started < found->second.started) {
    return true;
  }
  const bool registered = known && found->second.registered_started.has_value();
  const bool same_process =
      registered && registration.started == *found->second.registered_started;
  // A peer's copies carry the end of what the peer has read, which is also the
  // offset of the next record.
  if (same_process && (offset < found->second.offset ||
                       (offset == found->second.offset &&
                        registration.cold_left == found->second.cold_left))) {
    return true;
  }
  const bool restarted = registered ? !same_process : just_started;
  const bool was_cold = known &&
                        registration.started == found->second.started &&
                        Evaluate(found->second, now).has_value();
  Entry& entry = EntryFor(id, registration.started);
  entry.service = registration.service;
  entry.registered_started = registration.started;
  entry.offset = offset;
  entry.learned = now;
  const auto& left = registration.cold_left;
  entry.cold_left = left;
  const bool invalid =
      left.has_value() && (*left < milliseconds(0) || *left > kMaxColdTime);
  const bool newly_invalid = invalid && !entry.invalid;
  entry.invalid = invalid;
  if (left.has_value() && *left >= milliseconds(0)) {
    entry.stated_until =
        now + std::min<milliseconds>(*left,
                                     duration_cast<milliseconds>(kMaxColdTime));
    entry.stated_at = now;
    entry.restarted_at.reset();
  } else if (restarted) {
    entry.restarted_at = now;
  }
  Announce(id, &entry, was_cold, now);
  return !newly_invalid;
}

void ColdUpstreams::OnReported(const UpstreamId& id, milliseconds started,
                               milliseconds left, double requests_per_second,
                               Instant now) {
  if (left <= milliseconds(0) || !(requests_per_second > 0)) {
    return;
  }
  const auto found = entries_.find(id);
  if (found != entries_.end() && started < found->second.started) {
    return;
  }
  const bool was_cold = found != entries_.end() &&
                        started == found->second.started &&
                        Evaluate(found->second, now).has_value();
  Entry& entry = EntryFor(id, started);
  const Instant until =
      now +
      std::min<milliseconds>(left, duration_cast<milliseconds>(kMaxColdTime));
  if (!entry.report.has_value() || until > entry.report->until) {
    entry.report = {until, now, std::min(requests_per_second, kMaxRate)};
    entry.learned = now;
  }
  Announce(id, &entry, was_cold, now);
}

void ColdUpstreams::Announce(const UpstreamId& id, Entry* entry, bool was_cold,
                             Instant now) {
  if (!was_cold) {
    entry->announced = false;
  }
  const auto cold = Evaluate(*entry, now);
  if (cold.has_value() && !entry->announced) {
    entry->announced = true;
    on_cold_.emit(
        {id, duration_cast<milliseconds>(cold->until - now), cold->source});
  }
}

std::optional<ColdUpstream> ColdUpstreams::Evaluate(const Entry& entry,
                                                    Instant now) const {
  const auto service = services_.find(entry.service);
  ColdUpstream cold;
  cold.started = entry.started;
  cold.until = now;
  if (entry.stated_until.has_value() && *entry.stated_until > cold.until) {
    cold.until = *entry.stated_until;
    cold.learned = entry.stated_at;
    cold.source = ColdSource::kRegistration;
  }
  if (entry.restarted_at.has_value() && service != services_.end() &&
      *entry.restarted_at + service->second.after_start > cold.until) {
    cold.until = *entry.restarted_at + service->second.after_start;
    cold.learned = *entry.restarted_at;
    cold.source = ColdSource::kRestart;
  }
  if (entry.report.has_value() && entry.report->until > cold.until) {
    cold.until = entry.report->until;
    cold.learned = entry.report->learned;
    cold.source = ColdSource::kNode;
  }
  if (cold.until <= now) {
    return std::nullopt;
  }
  if (service != services_.end()) {
    if (service->second.requests_per_second > 0) {
      cold.grant = GrantForCold(service->second.requests_per_second, bounds_);
    }
  } else if (entry.report.has_value()) {
    // The rate that was reported is already the granted one.
    cold.grant = ColdGrant{entry.report->requests_per_second, 1.0};
  }
  return cold;
}

void ColdUpstreams::Expire(Instant now) {
  std::erase_if(entries_, [now](const auto& entry) {
    return entry.second.learned + kMaxAge < now;
  });
}

std::optional<ColdUpstream> ColdUpstreams::find(const UpstreamId& id,
                                                Instant now) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? std::nullopt : Evaluate(found->second, now);
}

std::optional<ColdGrant> ColdUpstreams::grant(const UpstreamId& id,
                                              Instant now) const {
  const auto cold = find(id, now);
  return cold.has_value() ? cold->grant : std::nullopt;
}

milliseconds ColdUpstreams::ReportedTime(const UpstreamId& id,
                                         Instant now) const {
  const auto cold = find(id, now);
  if (!cold.has_value()) {
    return milliseconds(0);
  }
  const auto left = duration_cast<milliseconds>(cold->until - now);
  return std::max(milliseconds(0), cold->source == ColdSource::kNode
                                       ? left - kReportMargin
                                       : left);
}

std::size_t ColdUpstreams::count(Instant now) const {
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(), [this, now](const auto& entry) {
        return Evaluate(entry.second, now).has_value();
      }));
}

}  // namespace mulberryroad::serving
