#include "serving/upstreams.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "base/digest.h"
#include "serving/cold_upstreams.h"

namespace mulberryroad::serving {

namespace {

// How long an upstream counts as full after a refusal: about the time of one
// plain request.
constexpr std::chrono::milliseconds kFullBackoff{100};
// Maximum number of doublings of kFullBackoff, one for each consecutive
// refusal. The longest backoff is 400 ms: half the time of a weight load,
// during which an upstream refuses all requests.
constexpr std::uint32_t kMaxDoublings = 2;
// Maximum number of doublings for an upstream that may be cold and has refused
// all requests for longer than kLongRefusals. The longest backoff is then 1.6
// s, which bounds the rate of requests to an upstream that never recovers.
constexpr std::uint32_t kMaxDoublingsLong = 4;
// About twice the time of a weight load.
constexpr std::chrono::milliseconds kLongRefusals{2'000};
// Consecutive refusals that last for this long, half the time of a weight load,
// are followed by a slow start. An upstream whose slots are used by other nodes
// may refuse as long, so that this slow start ignores further refusals.
constexpr std::chrono::milliseconds kRefusalTime{450};
// Time over which the nodes' first requests to a started upstream are spread:
// the longest backoff after a refusal.
constexpr std::chrono::milliseconds kStartSpread{400};
// Events that are read late and together have shorter intervals, which say
// nothing about the upstream's speed.
constexpr std::chrono::milliseconds kMinInterval{1};
// Smoothing factor of the latency average: about the last five samples count.
constexpr double kLatencySmoothing = 0.2;
// Cost of an upstream in another failure domain, as a share of its slots: an
// upstream in the node's own domain is chosen unless it is busier by more.
constexpr double kRemoteCost = 0.15;
// A full upstream is preferred to a suspect one, and a suspect one to an
// excluded one: each cost outweighs the sum of the lower costs.
constexpr double kFullCost = 100.0;
constexpr double kSuspectCost = 1'000.0;
constexpr double kExcludedCost = 10'000.0;
// Breaks ties without outweighing a slot.
constexpr double kTieCost = 0.05;

}  // namespace

void UpstreamDirectory::Put(Registration registration) {
  removal_times_.erase(registration.id);
  const auto leaving = leaving_.find(registration.id);
  if (leaving != leaving_.end() &&
      leaving->second.started == registration.started) {
    registration.draining = true;
  }
  entries_[registration.id] = std::move(registration);
}

void UpstreamDirectory::Remove(const UpstreamId& id, bool store_unstable,
                               Instant now) {
  if (!entries_.contains(id)) {
    return;
  }
  if (store_unstable) {
    removal_times_.try_emplace(id, now + kRemovalGracePeriod);
    return;
  }
  entries_.erase(id);
  removal_times_.erase(id);
}

void UpstreamDirectory::Replace(std::vector<Registration> all,
                                bool store_unstable, Instant now) {
  std::set<UpstreamId> listed;
  for (Registration& registration : all) {
    listed.insert(registration.id);
    Put(std::move(registration));
  }
  std::vector<UpstreamId> missing;
  for (const auto& [id, registration] : entries_) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const UpstreamId& id : missing) {
    Remove(id, store_unstable, now);
  }
}

void UpstreamDirectory::MarkLeaving(const UpstreamId& id,
                                    std::chrono::milliseconds started,
                                    Instant now) {
  leaving_[id] = {started, now};
  const auto entry = entries_.find(id);
  if (entry != entries_.end() && entry->second.started == started) {
    entry->second.draining = true;
  }
}

void UpstreamDirectory::Expire(Instant now) {
  std::erase_if(leaving_, [this, now](const auto& leaving) {
    return !entries_.contains(leaving.first) &&
           leaving.second.learned + kLeavingMaxAge < now;
  });
  for (auto entry = removal_times_.begin(); entry != removal_times_.end();) {
    if (entry->second <= now) {
      entries_.erase(entry->first);
      entry = removal_times_.erase(entry);
    } else {
      ++entry;
    }
  }
}

const Registration* UpstreamDirectory::find(const UpstreamId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

std::vector<const Registration*> UpstreamDirectory::Ready(
    const TargetId& service) const {
  std::vector<const Registration*> ready;
  for (const auto& [id, registration] : entries_) {
    if (registration.service == service && !registration.draining &&
        !IsEvacuated(registration)) {
      ready.push_back(&registration);
    }
  }
  return ready;
}

UpstreamLoads::UpstreamLoads(UpstreamStatements& statements,
                             std::chrono::milliseconds latency_max_age)
    : statements_(statements), latency_max_age_(latency_max_age) {
  health_.on_failed().connect([this](const UpstreamId& id, Instant now) {
    loads_[id].pace.OnFailed(now);
  });
  health_.on_readmitted().connect([this](const UpstreamId& id, Instant now) {
    StartPace(id, PaceCause::kReadmitted, now);
  });
}

void UpstreamLoads::OnRequestEnded(const UpstreamId& id, bool answered) {
  Load& load = loads_[id];
  load.running -= std::min<std::uint32_t>(load.running, 1);
  if (!answered) {
    load.unanswered -= std::min<std::uint32_t>(load.unanswered, 1);
  }
  health_.OnRequestEnded(id);
  if (other_nodes_ != nullptr) {
    other_nodes_->OnRequestEnded(id);
  }
}

void UpstreamLoads::OnRequestSent(const UpstreamId& id, Instant now) {
  Load& load = loads_[id];
  ++load.running;
  ++load.unanswered;
  health_.OnRequestSent(id, now);
  statements_.OnRequestSent(id, now);
  if (load.refusals > 0) {
    load.probing = true;
    load.full_until = std::max(load.full_until, now + kFullBackoff);
  }
  if (other_nodes_ != nullptr) {
    other_nodes_->OnRequestSent(id, now);
  }
}

void UpstreamLoads::OnRefused(const UpstreamId& id, Instant now) {
  Load& load = loads_[id];
  load.unanswered -= std::min<std::uint32_t>(load.unanswered, 1);
  // Some callers record the end of the request before, some after the refusal:
  // the refused one is never counted.
  load.pace.OnRefused(
      load.running - std::min(load.running, load.unanswered + 1), now);
  if (load.refusals == 0) {
    load.refused_since = now;
  }
  if (load.refusals == 0 || std::exchange(load.probing, false)) {
    const bool long_refusals =
        load.pace.may_be_cold() && now >= load.refused_since + kLongRefusals;
    load.full_until =
        now + kFullBackoff * (1U << std::min(load.refusals,
                                             long_refusals ? kMaxDoublingsLong
                                                           : kMaxDoublings));
    ++load.refusals;
  }
  if (other_nodes_ != nullptr) {
    other_nodes_->OnRefused(id, now);
  }
}

void UpstreamLoads::OnAccepted(const UpstreamId& id, Instant now) {
  Load& load = loads_[id];
  load.unanswered -= std::min<std::uint32_t>(load.unanswered, 1);
  const bool recovered =
      load.refusals > 1 && now >= load.refused_since + kRefusalTime;
  load.refusals = 0;
  load.probing = false;
  load.full_until = {};
  if (recovered && !load.pace.below_slots()) {
    StartPace(id, PaceCause::kRefusalsEnded, now);
  }
  const bool was_below_slots = load.pace.below_slots();
  load.pace.OnAccepted(was_below_slots ? NormalLatency(load) : std::nullopt,
                       now);
  if (was_below_slots) {
    EmitIfSettled(id, load, now);
  }
  if (other_nodes_ != nullptr) {
    other_nodes_->OnAccepted(id, now);
  }
}

void UpstreamLoads::Reset(const UpstreamId& id) {
  Load& load = loads_[id];
  const std::uint32_t running = load.running;
  const std::uint32_t unanswered = load.unanswered;
  Load cleared;
  cleared.running = running;
  cleared.unanswered = unanswered;
  cleared.pace = load.pace;
  cleared.pace.Reset();
  cleared.service = load.service;
  cleared.started = load.started;
  load = std::move(cleared);
  health_.Reset(id);
}

void UpstreamLoads::OnRegistered(const Registration& registration, bool initial,
                                 Instant now) {
  Load& load = loads_[registration.id];
  load.service = registration.service;
  load.pace.SetSlots(registration.slots);
  const bool new_process = load.started != registration.started;
  load.started = registration.started;
  if (new_process && !initial) {
    StartPace(registration.id, PaceCause::kStarted, now);
  }
}

void UpstreamLoads::StartPace(const UpstreamId& id, PaceCause cause,
                              Instant now) {
  Load& load = loads_[id];
  if (slow_start_services_.has_value() &&
      !slow_start_services_->contains(load.service)) {
    return;
  }
  std::chrono::milliseconds spread{0};
  // Nothing is delayed while no upstream's latency is known, as at the start of
  // the whole system.
  if (!node_.empty() && NormalLatency(load).has_value()) {
    const std::uint64_t hash = base::StableHash(node_ + '/' + id.value());
    spread = std::chrono::milliseconds(
        hash % static_cast<std::uint64_t>(kStartSpread.count()));
  }
  load.pace.Begin(cause, load.running, spread, now);
  if (load.pace.below_slots()) {
    on_pace_begun_.emit({id, cause});
  }
}

std::optional<double> UpstreamLoads::NormalLatency(const Load& load) const {
  if (const auto settled = load.pace.settled_latency()) {
    return settled;
  }
  std::vector<double> others;
  for (const auto& [id, other] : loads_) {
    const auto settled = other.pace.settled_latency();
    if (settled.has_value() && other.service == load.service) {
      others.push_back(*settled);
    }
  }
  if (others.empty()) {
    return std::nullopt;
  }
  const auto middle =
      others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
  std::nth_element(others.begin(), middle, others.end());
  return *middle;
}

void UpstreamLoads::EmitIfSettled(const UpstreamId& id, const Load& load,
                                  Instant now) {
  if (!load.pace.below_slots()) {
    on_settled_.emit({id, std::chrono::duration_cast<std::chrono::milliseconds>(
                              now - load.pace.began())});
  }
}

void UpstreamLoads::RecordInterval(const UpstreamId& id,
                                   std::chrono::microseconds interval,
                                   Instant now) {
  Load& load = loads_[id];
  if (load.pace.below_slots() && interval >= kMinInterval) {
    load.pace.OnLatency(interval, NormalLatency(load), now);
    EmitIfSettled(id, load, now);
  }
}

void UpstreamLoads::RecordLatency(const UpstreamId& id,
                                  std::chrono::microseconds latency,
                                  Instant now) {
  Load& load = loads_[id];
  const auto sample_us = static_cast<double>(latency.count());
  const bool recent = now < load.measured_at + latency_max_age_;
  load.measured_at = now;
  load.latency_us =
      load.latency_us.has_value() && recent
          ? std::lerp(*load.latency_us, sample_us, kLatencySmoothing)
          : sample_us;
  if (load.pace.below_slots()) {
    load.pace.OnLatency(latency, NormalLatency(load), now);
    EmitIfSettled(id, load, now);
  } else {
    load.pace.AddSettledSample(latency);
  }
}

std::uint32_t UpstreamLoads::running(const UpstreamId& id) const {
  const auto found = loads_.find(id);
  return found == loads_.end() ? 0 : found->second.running;
}

bool UpstreamLoads::full(const UpstreamId& id, Instant now) const {
  const auto found = loads_.find(id);
  return found != loads_.end() && now < found->second.full_until;
}

std::uint32_t UpstreamLoads::in_use(const UpstreamId& id, Instant now) const {
  return running(id) +
         (other_nodes_ == nullptr ? 0 : other_nodes_->running(id, now));
}

std::uint32_t UpstreamLoads::unanswered(const UpstreamId& id) const {
  const auto found = loads_.find(id);
  return found == loads_.end() ? 0 : found->second.unanswered;
}

bool UpstreamLoads::HasFreeSlot(const UpstreamId& id, std::uint32_t slots,
                                Instant now) const {
  if (other_nodes_ == nullptr) {
    return HasFreeSlot(id, slots, 0, now);
  }
  // Another node that starts requests at the same time sees the same free
  // slots. After the first request each leaves as many slots as it takes until
  // its requests are accepted.
  const std::uint32_t pending = other_nodes_->present(now) ? unanswered(id) : 0;
  return HasFreeSlot(
      id, slots,
      other_nodes_->running(id, now) + (pending > 0 ? pending + 1 : 0), now);
}

bool UpstreamLoads::HasFreeSlot(const UpstreamId& id, std::uint32_t slots,
                                std::uint32_t others, Instant now) const {
  const auto found = loads_.find(id);
  if (found == loads_.end()) {
    return others < slots;
  }
  const Load& load = found->second;
  return load.running < usable_slots(id, slots, now) &&
         load.running + others < slots && !full(id, now) &&
         load.unanswered < load.pace.max_unanswered(now);
}

std::uint32_t UpstreamLoads::usable_slots(const UpstreamId& id,
                                          std::uint32_t slots,
                                          Instant now) const {
  const auto found = loads_.find(id);
  return found == loads_.end()
             ? slots
             : std::min(slots, found->second.pace.max_in_flight(now));
}

std::uint32_t UpstreamLoads::free_slots(const UpstreamId& id,
                                        std::uint32_t slots,
                                        Instant now) const {
  const std::uint32_t used = running(id);
  const std::uint32_t all_used = in_use(id, now);
  const std::uint32_t usable = usable_slots(id, slots, now);
  return std::min(usable - std::min(usable, used),
                  slots - std::min(slots, all_used));
}

bool UpstreamLoads::at_pace_limit(const UpstreamId& id, Instant now) const {
  const auto found = loads_.find(id);
  return found != loads_.end() &&
         found->second.running >= found->second.pace.max_in_flight(now);
}

bool UpstreamLoads::below_slots(const UpstreamId& id) const {
  const auto found = loads_.find(id);
  return found != loads_.end() && found->second.pace.below_slots();
}

std::optional<std::chrono::microseconds> UpstreamLoads::latency(
    const UpstreamId& id, Instant now) const {
  const auto found = loads_.find(id);
  if (found == loads_.end() || !found->second.latency_us.has_value() ||
      now >= found->second.measured_at + latency_max_age_) {
    return std::nullopt;
  }
  return std::chrono::microseconds(std::llround(*found->second.latency_us));
}

namespace {

std::set<UpstreamId> ExcludedUpstreams(
    const std::vector<const Registration*>& service, const UpstreamLoads& loads,
    Instant now) {
  if (!loads.health().has_ejected()) {
    return {};
  }
  std::vector<UpstreamId> ids;
  ids.reserve(service.size());
  for (const Registration* upstream : service) {
    ids.push_back(upstream->id);
  }
  return loads.health().ExcludedUpstreams(ids, now);
}

}  // namespace

std::vector<const Registration*> UsableUpstreams(
    const std::vector<const Registration*>& service, const UpstreamLoads& loads,
    Instant now) {
  const std::set<UpstreamId> excluded = ExcludedUpstreams(service, loads, now);
  std::vector<const Registration*> in_use = service;
  std::erase_if(in_use, [&excluded](const Registration* upstream) {
    return excluded.contains(upstream->id);
  });
  return in_use;
}

std::vector<UpstreamId> UpstreamsWithoutPermit(
    const std::vector<const Registration*>& upstreams,
    const UpstreamLoads& loads, Instant now) {
  std::vector<UpstreamId> result;
  for (const Registration* upstream : upstreams) {
    if (!loads.MaySend(upstream->id, now)) {
      result.push_back(upstream->id);
    }
  }
  return result;
}

std::vector<UpstreamId> UpstreamsToAskFor(
    const std::vector<const Registration*>& upstreams,
    const UpstreamLoads& loads, Instant now) {
  std::vector<UpstreamId> result =
      UpstreamsWithoutPermit(upstreams, loads, now);
  if (result.size() < upstreams.size()) {
    std::erase_if(result, [&loads, now](const UpstreamId& id) {
      return loads.statements().cold_grant(id, now).has_value();
    });
  }
  return result;
}

std::size_t PendingPermitsFor(const std::vector<UpstreamId>& candidates,
                              const UpstreamLoads& loads, Instant now) {
  const auto cold = static_cast<std::size_t>(std::count_if(
      candidates.begin(), candidates.end(), [&loads, now](const auto& id) {
        return loads.statements().cold_grant(id, now).has_value();
      }));
  return std::clamp<std::size_t>(cold, 1, kMaxPendingPermits);
}

const Registration* ChooseUpstream(
    const std::vector<const Registration*>& ready, const UpstreamLoads& loads,
    const std::set<UpstreamId>& tried, const FailureDomainId& own_domain,
    Instant now, double draw) {
  const std::set<UpstreamId> excluded = ExcludedUpstreams(ready, loads, now);
  // Costs are weighted by the latency relative to the fastest upstream.
  double fastest = std::numeric_limits<double>::max();
  for (const Registration* upstream : ready) {
    if (const auto latency = loads.latency(upstream->id, now)) {
      fastest = std::min(fastest, static_cast<double>(latency->count()));
    }
  }
  const Registration* best = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  std::size_t index = 0;
  const auto count =
      static_cast<double>(std::max<std::size_t>(ready.size(), 1));
  for (const Registration* upstream : ready) {
    const double tie_break =
        std::fmod(static_cast<double>(index++) / count + draw, 1.0);
    if (tried.contains(upstream->id) || !loads.MaySend(upstream->id, now)) {
      continue;
    }
    const double slots = std::max<std::uint32_t>(upstream->slots, 1);
    double cost = (loads.running(upstream->id) + 1) / slots;
    if (const auto latency = loads.latency(upstream->id, now)) {
      cost *= std::max(
          1.0, static_cast<double>(latency->count()) / std::max(1.0, fastest));
    }
    cost += upstream->failure_domain == own_domain ? 0 : kRemoteCost;
    const HealthState health_state =
        loads.health().health_state(upstream->id, now);
    // An ejected upstream that is in use because too many are ejected counts as
    // suspect.
    const bool suspect = health_state == HealthState::kSuspect ||
                         health_state == HealthState::kEjected;
    cost += suspect ? kSuspectCost : 0;
    cost += excluded.contains(upstream->id) ? kExcludedCost : 0;
    const bool busy =
        loads.full(upstream->id, now) || loads.at_pace_limit(upstream->id, now);
    cost += busy ? kFullCost : 0;
    cost += tie_break * kTieCost;
    if (cost < best_cost) {
      best = upstream;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace mulberryroad::serving
