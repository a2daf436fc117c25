#include "serving/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace mulberryroad::serving {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Smoothing factor of the means: about the last twenty samples count.
constexpr double kSmoothing = 0.05;

double ToMicros(Instant::duration time) {
  return static_cast<double>(duration_cast<microseconds>(time).count());
}

}  // namespace

std::variant<AdmissionQueue::Ticket, AdmissionRefusal> AdmissionQueue::Add(
    const QueuedRequest& request, Instant now, double draw) {
  if (entries_.empty() && now >= measured_at_ + kRateMaxAge) {
    departure_interval_us_.reset();
  }
  const auto wait = TimeToSend(CountAhead(request.rank) + 1, now);
  if (wait.has_value()) {
    if (now + *wait >= request.deadline) {
      return Refuse("it would wait beyond its deadline", now, draw);
    }
    if (*wait > request.max_wait && overloaded(now)) {
      return Refuse("the service is overloaded", now, draw);
    }
  }
  if (entries_.empty()) {
    last_departure_ = now;
  }
  const Ticket ticket = ++last_ticket_;
  entries_[ticket] = {request, now};
  const RequestRank& rank = request.rank;
  classes_[{rank.organisation_priority, rank.route_priority}][rank.organisation]
      .emplace(request.deadline, ticket);
  Organisation& organisation = organisations_[KeyOf(rank)];
  if (organisation.queued++ == 0) {
    organisation.virtual_time = std::max(
        organisation.virtual_time, virtual_times_[rank.organisation_priority]);
  }
  return ticket;
}

void AdmissionQueue::Erase(std::map<Ticket, Entry>::iterator entry) {
  const RequestRank& rank = entry->second.request.rank;
  const auto in_class =
      classes_.find({rank.organisation_priority, rank.route_priority});
  const auto waiting = in_class->second.find(rank.organisation);
  waiting->second.erase({entry->second.request.deadline, entry->first});
  if (waiting->second.empty()) {
    in_class->second.erase(waiting);
  }
  if (in_class->second.empty()) {
    classes_.erase(in_class);
  }
  --organisations_.at(KeyOf(rank)).queued;
  entries_.erase(entry);
  if (entries_.empty()) {
    last_departure_.reset();
  }
}

void AdmissionQueue::Remove(Ticket ticket, Instant now) {
  const auto entry = entries_.find(ticket);
  if (entry != entries_.end()) {
    overloaded(now);
    Erase(entry);
  }
}

std::optional<AdmissionQueue::Ticket> AdmissionQueue::TakeNext(
    Instant now, const std::function<bool(Ticket)>& may_send) {
  overloaded(now);
  int position = 0;
  const int search_start = kMaxLookahead + skipped_;
  for (const auto& [key, members] : classes_) {
    std::vector<std::pair<double, const Waiting*>> order;
    order.reserve(members.size());
    for (const auto& [id, waiting] : members) {
      order.emplace_back(organisations_.at({key.first, id}).virtual_time,
                         &waiting);
    }
    std::sort(order.begin(), order.end());
    for (const auto& [virtual_time, waiting] : order) {
      for (const auto& [deadline, ticket] : *waiting) {
        const int at = position++;
        if (at >= search_start + kMaxLookahead) {
          skipped_ += kMaxLookahead;
          return std::nullopt;
        }
        const bool skip = at >= kMaxLookahead && at < search_start;
        if (skip || !may_send(ticket)) {
          continue;
        }
        double& reached = virtual_times_[key.first];
        reached = std::max(reached, virtual_time);
        const Ticket taken = ticket;
        RecordDeparture(now);
        Erase(entries_.find(taken));
        return taken;
      }
    }
  }
  skipped_ = 0;
  return std::nullopt;
}

void AdmissionQueue::RecordDeparture(Instant now) {
  const double interval = ToMicros(now - *last_departure_);
  departure_interval_us_ =
      departure_interval_us_.has_value()
          ? std::lerp(*departure_interval_us_, interval, kSmoothing)
          : interval;
  last_departure_ = now;
  measured_at_ = now;
}

std::optional<microseconds> AdmissionQueue::TimeToSend(double requests,
                                                       Instant now) const {
  if (!departure_interval_us_.has_value()) {
    return std::nullopt;
  }
  // A stall counts while it lasts.
  const double stalled =
      last_departure_.has_value() ? ToMicros(now - *last_departure_) : 0;
  return microseconds(
      std::llround(requests * std::max(*departure_interval_us_, stalled)));
}

double AdmissionQueue::CountAhead(const RequestRank& rank) const {
  const ClassKey key{rank.organisation_priority, rank.route_priority};
  const auto virtual_time = virtual_times_.find(rank.organisation_priority);
  const double reached =
      virtual_time == virtual_times_.end() ? 0 : virtual_time->second;
  const auto known = organisations_.find(KeyOf(rank));
  const double own = known == organisations_.end()
                         ? reached
                         : std::max(known->second.virtual_time, reached);
  double ahead = 0;
  for (const auto& [other_key, members] : classes_) {
    if (other_key > key) {
      break;
    }
    const auto same = members.find(rank.organisation);
    const double turns = same == members.end() || other_key != key
                             ? 0
                             : static_cast<double>(same->second.size());
    for (const auto& [id, waiting] : members) {
      const auto queued = static_cast<double>(waiting.size());
      if (other_key != key || id == rank.organisation) {
        ahead += queued;
        continue;
      }
      // In fair turns, another organisation is served as often as this one, and
      // more often if it has used less.
      const double less_used =
          own - organisations_.at({key.first, id}).virtual_time;
      const double lead =
          mean_service_us_ > 0 ? less_used / mean_service_us_ : 0;
      ahead += std::clamp(turns + lead, 0.0, queued);
    }
  }
  return ahead;
}

AdmissionRefusal AdmissionQueue::Refuse(const std::string& reason, Instant now,
                                        double draw) const {
  const auto wait = TimeToSend(static_cast<double>(size()) + 1, now);
  const auto expected =
      duration_cast<milliseconds>(wait.value_or(microseconds(0)));
  // Callers that are refused together return over as long a time as the queue
  // needs.
  const milliseconds retry(
      std::llround(std::min(static_cast<double>(kMaxRetry.count()),
                            std::max(static_cast<double>(kMinRetry.count()),
                                     static_cast<double>(expected.count()))) *
                   (1.0 + draw)));
  return {reason, retry, expected};
}

void AdmissionQueue::OnStarted(const RequestRank& rank) {
  Organisation& organisation = organisations_[KeyOf(rank)];
  double& reached = virtual_times_[rank.organisation_priority];
  if (organisation.queued == 0 && organisation.running == 0) {
    organisation.virtual_time = std::max(organisation.virtual_time, reached);
  }
  if (entries_.empty()) {
    reached = std::max(reached, organisation.virtual_time);
  }
  ++organisation.running;
  organisation.virtual_time += mean_service_us_;
  organisation.charged += mean_service_us_;
}

void AdmissionQueue::OnEnded(const RequestRank& rank, microseconds used) {
  const auto found = organisations_.find(KeyOf(rank));
  if (found == organisations_.end() || found->second.running == 0) {
    return;
  }
  Organisation& organisation = found->second;
  const double charged = organisation.charged / organisation.running;
  const auto used_us = static_cast<double>(used.count());
  organisation.virtual_time += used_us - charged;
  organisation.charged -= charged;
  mean_service_us_ = mean_service_us_ > 0
                         ? std::lerp(mean_service_us_, used_us, kSmoothing)
                         : used_us;
  --organisation.running;
  if (organisation.running == 0 && organisation.queued == 0 &&
      organisation.virtual_time <= virtual_times_[rank.organisation_priority]) {
    organisations_.erase(found);
  }
}

bool AdmissionQueue::overloaded(Instant now) {
  if (entries_.empty()) {
    waits_long_since_.reset();
    overloaded_ = false;
    return false;
  }
  const Entry& oldest = entries_.begin()->second;
  const milliseconds limit = oldest.request.max_wait;
  const auto waited = now - oldest.arrived;
  if (waited < limit * kOverloadWaitShare) {
    waits_long_since_.reset();
    overloaded_ = false;
    return false;
  }
  if (!waits_long_since_.has_value()) {
    waits_long_since_ = now;
  }
  overloaded_ = overloaded_ || now >= *waits_long_since_ + limit;
  return overloaded_;
}

}  // namespace mulberryroad::serving
