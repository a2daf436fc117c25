#include "batches/shared_slots.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mulberryroad::batches {

using std::chrono::milliseconds;

bool ReportedSlots::Record(AgedCounts report, Instant now) {
  SlotCounts& counts = report.counts;
  if (report.age >= kMaxAge || report.age < milliseconds(0)) {
    return false;
  }
  const auto known = reports_.find(counts.process);
  if (known == reports_.end()
          ? reports_.size() >= kMaxProcesses
          : counts.sequence <= known->second.counts.sequence) {
    return false;
  }
  std::erase_if(counts.slots,
                [](const SlotCount& count) { return count.running == 0; });
  const std::string process = counts.process;
  reports_[process] = {std::move(counts), now - report.age};
  totals_valid_until_.reset();
  return true;
}

std::vector<AgedCounts> ReportedSlots::Relayable(Instant now) const {
  std::vector<AgedCounts> relayable;
  for (const auto& [process, report] : reports_) {
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - report.made);
    if (age < kMaxAge) {
      relayable.push_back({report.counts, age});
    }
  }
  // Counts of runs come before the news that a node has none.
  const auto before = [](const AgedCounts& a, const AgedCounts& b) {
    return std::pair(!a.counts.active(), a.age) <
           std::pair(!b.counts.active(), b.age);
  };
  const std::size_t kept = std::min(relayable.size(), kMaxRelayed);
  std::partial_sort(relayable.begin(),
                    relayable.begin() + static_cast<std::ptrdiff_t>(kept),
                    relayable.end(), before);
  relayable.resize(kept);
  return relayable;
}

std::size_t ReportedSlots::Expire(Instant now) {
  std::size_t with_runs = 0;
  for (auto report = reports_.begin(); report != reports_.end();) {
    if (report->second.made + kMaxAge > now) {
      ++report;
      continue;
    }
    with_runs += report->second.counts.slots.empty() ? 0 : 1;
    report = reports_.erase(report);
    totals_valid_until_.reset();
  }
  return with_runs;
}

void ReportedSlots::UpdateTotals(Instant now) const {
  if (totals_valid_until_.has_value() && now < *totals_valid_until_) {
    return;
  }
  totals_.clear();
  totals_valid_until_ = Instant::max();
  for (const auto& [process, report] : reports_) {
    const Instant expires = report.made + kMaxAge;
    if (expires <= now) {
      continue;
    }
    totals_valid_until_ = std::min(*totals_valid_until_, expires);
    for (const SlotCount& count : report.counts.slots) {
      totals_[count.upstream][count.started] +=
          std::min(count.running, kMaxRunning);
    }
  }
}

std::uint32_t ReportedSlots::running(const UpstreamId& id, milliseconds started,
                                     Instant now) const {
  UpdateTotals(now);
  const auto found = totals_.find(id);
  if (found == totals_.end()) {
    return 0;
  }
  std::uint32_t sum = 0;
  for (auto process = found->second.lower_bound(started);
       process != found->second.end(); ++process) {
    sum += process->second;
  }
  return sum;
}

bool ReportedSlots::present(Instant now) const {
  UpdateTotals(now);
  return !totals_.empty();
}

std::uint64_t ReportedSlots::total(Instant now) const {
  UpdateTotals(now);
  std::uint64_t sum = 0;
  for (const auto& [id, processes] : totals_) {
    for (const auto& [started, running] : processes) {
      sum += running;
    }
  }
  return sum;
}

void ReportSchedule::SetPeers(const std::set<Endpoint>& peers) {
  std::erase_if(peers_, [&peers](const auto& peer) {
    return !peers.contains(peer.first);
  });
  for (const Endpoint& peer : peers) {
    peers_.try_emplace(peer);
  }
}

void ReportSchedule::OnChanged(bool active) {
  ++version_;
  active_ = active;
}

void ReportSchedule::OnReportOf(const Endpoint& peer, bool active,
                                Instant now) {
  const auto found = peers_.find(peer);
  if (found != peers_.end() && active) {
    found->second.last_active = now;
  }
}

void ReportSchedule::OnReplied(const Endpoint& peer, Instant now) {
  const auto found = peers_.find(peer);
  if (found != peers_.end()) {
    MarkSent(found->second, now);
  }
}

void ReportSchedule::MarkSent(Peer& peer, Instant now) const {
  peer.last_sent = now;
  peer.sent_version = version_;
  peer.sent_active = active_;
}

std::optional<Instant> ReportSchedule::DueAt(const Peer& peer,
                                             Instant now) const {
  // A node without runs and items only reports that its runs have ended.
  if (peer.in_flight || (!active_ && !peer.sent_active)) {
    return std::nullopt;
  }
  if (!peer.last_sent.has_value()) {
    return peer.blocked_until;
  }
  const milliseconds interval =
      IsActive(peer, now) && peer.sent_version != version_ ? kActiveInterval
                                                           : kRefreshInterval;
  return std::max(*peer.last_sent + interval, peer.blocked_until);
}

bool ReportSchedule::IsActive(const Peer& peer, Instant now) {
  return peer.last_active.has_value() &&
         now < *peer.last_active + kRecentlyActive;
}

double ReportSchedule::Budget::TokensAt(Instant now) const {
  const double most =
      per_second_ * std::chrono::duration<double>(kBurst).count();
  const double elapsed =
      std::chrono::duration<double>(now - updated_at_).count();
  return std::min(most, tokens_ + elapsed * per_second_);
}

bool ReportSchedule::Budget::TryTake(Instant now) {
  tokens_ = TokensAt(now);
  updated_at_ = now;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

Instant ReportSchedule::Budget::available_at(Instant now) const {
  const double missing = std::max(0.0, 1.0 - TokensAt(now));
  return now +
         milliseconds(std::llround(std::ceil(missing * 1'000.0 / per_second_)));
}

std::vector<Endpoint> ReportSchedule::TakeDue(Instant now) {
  std::vector<std::pair<Instant, Endpoint>> due;
  for (const auto& [endpoint, peer] : peers_) {
    const auto due_at = DueAt(peer, now);
    if (due_at.has_value() && *due_at <= now) {
      due.emplace_back(*due_at, endpoint);
    }
  }
  std::sort(due.begin(), due.end());
  std::vector<Endpoint> result;
  for (const auto& [due_at, endpoint] : due) {
    Peer& peer = peers_.at(endpoint);
    Budget& budget = IsActive(peer, now) ? active_budget_ : other_budget_;
    if (!budget.TryTake(now)) {
      continue;
    }
    MarkSent(peer, now);
    peer.in_flight = true;
    result.push_back(endpoint);
  }
  return result;
}

std::optional<Instant> ReportSchedule::next_due(Instant now) const {
  std::optional<Instant> next;
  for (const auto& [endpoint, peer] : peers_) {
    if (const auto due_at = DueAt(peer, now)) {
      const Budget& budget =
          IsActive(peer, now) ? active_budget_ : other_budget_;
      const Instant at = std::max(*due_at, budget.available_at(now));
      next = next.has_value() ? std::min(*next, at) : at;
    }
  }
  return next;
}

void ReportSchedule::OnDelivered(const Endpoint& peer) {
  const auto found = peers_.find(peer);
  if (found != peers_.end()) {
    found->second.in_flight = false;
    found->second.failures = 0;
  }
}

void ReportSchedule::OnFailed(const Endpoint& peer, bool unknown_path,
                              Instant now) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) {
    return;
  }
  Peer& failed = found->second;
  failed.in_flight = false;
  const milliseconds delay =
      std::min(kRefreshInterval,
               kRetryAfterNoReply * (1U << std::min(failed.failures, 4)));
  ++failed.failures;
  failed.blocked_until = now + (unknown_path ? kRetryAfterUnknownPath : delay);
  // The peer may have received nothing.
  failed.sent_version = version_ - 1;
}

bool HoldLimit::OnHeld(const TargetId& service, Instant now) {
  const auto [entry, began] = holds_.try_emplace(service, Hold{now});
  began_ = began;
  Hold& hold = entry->second;
  if (now < hold.since + kMaxHold) {
    return false;
  }
  hold.since = now;
  hold.probing = true;
  return true;
}

void HoldLimit::OnNotHeld(const TargetId& service) { holds_.erase(service); }

void HoldLimit::OnAccepted(const TargetId& service, Instant now) {
  const auto found = holds_.find(service);
  if (found != holds_.end() && std::exchange(found->second.probing, false)) {
    found->second.since = now - kMaxHold;
  }
}

void HoldLimit::OnRefused(const TargetId& service, Instant now) {
  const auto found = holds_.find(service);
  if (found != holds_.end()) {
    found->second = {now};
  }
}

void UnreportedStarts::OnStarted(const UpstreamId& id, Instant now) {
  std::deque<Instant>& starts = starts_[id];
  while (!starts.empty() && starts.front() + kReportDelay <= now) {
    starts.pop_front();
  }
  starts.push_back(now);
}

void UnreportedStarts::Expire(Instant now) {
  std::erase_if(starts_, [now](const auto& starts) {
    return starts.second.back() + kReportDelay <= now;
  });
}

std::uint32_t UnreportedStarts::count(const UpstreamId& id, Instant now) const {
  const auto found = starts_.find(id);
  return found == starts_.end()
             ? 0
             : static_cast<std::uint32_t>(
                   std::count_if(found->second.begin(), found->second.end(),
                                 [now](Instant start) {
                                   return start + kReportDelay > now;
                                 }));
}

}  // namespace mulberryroad::batches
