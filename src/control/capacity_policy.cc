#include "control/capacity_policy.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mulberryroad::control {

namespace {

const ClassOption* FindClass(const PoolState& pool, const std::string& name) {
  const auto found =
      std::find_if(pool.classes.begin(), pool.classes.end(),
                   [&name](const ClassOption& c) { return c.name == name; });
  return found == pool.classes.end() ? nullptr : &*found;
}

}  // namespace

double SlidingPeak::Observe(Instant now, double value) {
  while (!samples_.empty() && samples_.back().value <= value) {
    samples_.pop_back();
  }
  samples_.push_back({now, value});
  while (now - samples_.front().time > span_) {
    samples_.pop_front();
  }
  return samples_.front().value;
}

struct CapacityPolicy::Plan {
  struct ClassCount {
    std::uint32_t upstreams = 0;
  };

  const PoolState* pool = nullptr;
  Instant now{};
  double wanted = 0;
  double wanted_before_drain = 0;
  double floor = 0;
  double floor_before_drain = 0;
  double slots = 0;
  double durable_slots = 0;
  std::map<std::string, std::uint32_t> count;

  void Add(const ClassOption& option) {
    ++count[option.name];
    slots += option.slots;
    durable_slots += option.reclaimable ? 0 : option.slots;
  }
  void Remove(const ClassOption& option) {
    --count[option.name];
    slots -= option.slots;
    durable_slots -= option.reclaimable ? 0 : option.slots;
  }
  std::uint32_t count_of(const std::string& name) const {
    const auto found = count.find(name);
    return found == count.end() ? 0 : found->second;
  }
};

CapacityPolicy::CapacityPolicy(CapacityOptions options) : options_(options) {}

std::vector<CapacityDecision> CapacityPolicy::Decide(const PoolState& pool,
                                                     Instant now) {
  Plan plan = MakePlan(pool, now);
  std::vector<CapacityDecision> decisions;
  StopDrained(plan, decisions);
  CancelDrains(plan, decisions);
  StartMissing(plan, decisions);
  DrainSurplus(plan, decisions);
  return decisions;
}

CapacityPolicy::Plan CapacityPolicy::MakePlan(const PoolState& pool,
                                              Instant now) {
  Plan plan;
  plan.pool = &pool;
  plan.now = now;
  for (const UpstreamState& upstream : pool.upstreams) {
    const ClassOption* option = FindClass(pool, upstream.upstream_class);
    const bool counts = upstream.phase == UpstreamPhase::kServing ||
                        upstream.phase == UpstreamPhase::kStarting;
    if (counts && option != nullptr) {
      plan.Add(*option);
    }
  }
  const double queue_limit = std::max(plan.slots * options_.max_growth,
                                      static_cast<double>(pool.organisations));
  const double queued = std::min<double>(pool.queued, queue_limit);
  const double demand = pool.in_flight + queued;
  const double once_only =
      pool.in_flight == 0
          ? queued
          : demand *
                (pool.in_flight -
                 std::min(pool.repeatable_in_flight, pool.in_flight)) /
                pool.in_flight;
  const double with_headroom = 1 + options_.headroom;
  plan.wanted = demand * with_headroom;
  plan.floor =
      demand == 0
          ? 0
          : std::max({once_only * with_headroom, demand * options_.floor_share,
                      static_cast<double>(pool.organisations)});
  Peaks& peaks =
      peaks_
          .try_emplace(pool.pool, Peaks{SlidingPeak(options_.hold_down),
                                        SlidingPeak(options_.hold_down)})
          .first->second;
  plan.wanted_before_drain = peaks.demand.Observe(now, plan.wanted);
  plan.floor_before_drain = peaks.floor.Observe(now, plan.floor);
  return plan;
}

void CapacityPolicy::StopDrained(const Plan& plan,
                                 std::vector<CapacityDecision>& decisions) {
  for (const UpstreamState& upstream : plan.pool->upstreams) {
    if (upstream.phase == UpstreamPhase::kDraining && upstream.in_flight == 0) {
      decisions.emplace_back(StopUpstream{upstream.id, "drained"});
    }
  }
}

void CapacityPolicy::CancelDrains(Plan& plan,
                                  std::vector<CapacityDecision>& decisions) {
  for (const UpstreamState& upstream : plan.pool->upstreams) {
    const ClassOption* option = FindClass(*plan.pool, upstream.upstream_class);
    const bool draining =
        upstream.phase == UpstreamPhase::kDraining && upstream.in_flight > 0;
    if (!draining || option == nullptr) {
      continue;
    }
    const bool lacks_floor =
        !option->reclaimable && plan.durable_slots < plan.floor;
    const bool lacks = plan.slots < plan.wanted || lacks_floor;
    if (lacks && plan.count_of(option->name) < option->max_upstreams) {
      plan.Add(*option);
      decisions.emplace_back(
          CancelDrain{upstream.id, "demand rose while it drained"});
    }
  }
}

void CapacityPolicy::StartMissing(Plan& plan,
                                  std::vector<CapacityDecision>& decisions) {
  std::uint32_t starts = 0;
  const auto start = [&](StartUpstream chosen, std::string reason) {
    plan.Add(*FindClass(*plan.pool, chosen.upstream_class));
    chosen.reason = std::move(reason);
    decisions.emplace_back(std::move(chosen));
    ++starts;
  };
  for (const ClassOption& option : plan.pool->classes) {
    while (plan.count_of(option.name) < option.min_upstreams &&
           starts < options_.max_starts_per_step &&
           ExclusionOf(plan, option, false).empty()) {
      start({option.name, "", {{option.name, option.price_per_slot(), ""}}},
            "below the declared minimum");
    }
  }
  while (starts < options_.max_starts_per_step) {
    const bool lacks_floor = plan.durable_slots < plan.floor;
    if (!lacks_floor && plan.slots >= plan.wanted) {
      return;
    }
    std::optional<StartUpstream> chosen = ChooseClass(plan, lacks_floor);
    if (!chosen && lacks_floor && plan.slots < plan.wanted) {
      chosen = ChooseClass(plan, false);
    }
    if (!chosen) {
      return;
    }
    start(std::move(*chosen), lacks_floor
                                  ? "floor if reclaimable upstreams are lost"
                                  : "demand over present slots");
  }
}

std::optional<StartUpstream> CapacityPolicy::ChooseClass(
    const Plan& plan, bool durable_only) const {
  StartUpstream choice;
  double best = 0;
  for (const ClassOption& option : plan.pool->classes) {
    const std::string excluded = ExclusionOf(plan, option, durable_only);
    const double price = option.price_per_slot();
    choice.candidates.push_back({option.name, price, excluded});
    const bool better = choice.upstream_class.empty() || price < best;
    if (excluded.empty() && better) {
      choice.upstream_class = option.name;
      best = price;
    }
  }
  if (choice.upstream_class.empty()) {
    return std::nullopt;
  }
  return choice;
}

std::string CapacityPolicy::ExclusionOf(const Plan& plan,
                                        const ClassOption& option,
                                        bool durable_only) const {
  if (plan.count_of(option.name) >= option.max_upstreams) {
    return "at its maximum";
  }
  if (durable_only && option.reclaimable) {
    return "reclaimable, and the floor is not covered";
  }
  const auto pause = pauses_.find({plan.pool->pool, option.name});
  if (pause != pauses_.end() && plan.now < pause->second.until) {
    return "refused or reclaimed lately";
  }
  return "";
}

void CapacityPolicy::DrainSurplus(Plan& plan,
                                  std::vector<CapacityDecision>& decisions) {
  const UpstreamState* chosen = nullptr;
  const ClassOption* chosen_class = nullptr;
  for (const UpstreamState& upstream : plan.pool->upstreams) {
    if (upstream.phase != UpstreamPhase::kServing) {
      continue;
    }
    const ClassOption* option = FindClass(*plan.pool, upstream.upstream_class);
    if (option == nullptr) {
      decisions.emplace_back(
          DrainUpstream{upstream.id, "class is no longer declared"});
      continue;
    }
    const std::uint32_t count = plan.count_of(option->name);
    if (count > option->max_upstreams) {
      plan.Remove(*option);
      decisions.emplace_back(
          DrainUpstream{upstream.id, "above the declared maximum"});
      continue;
    }
    const bool covers_demand =
        plan.slots - option->slots >= plan.wanted_before_drain;
    const bool covers_floor =
        option->reclaimable ||
        plan.durable_slots - option->slots >= plan.floor_before_drain;
    const bool above_min = count > option->min_upstreams;
    if (!covers_demand || !covers_floor || !above_min) {
      continue;
    }
    const bool better =
        chosen == nullptr ||
        option->price_per_slot() > chosen_class->price_per_slot() ||
        (option->price_per_slot() == chosen_class->price_per_slot() &&
         upstream.in_flight < chosen->in_flight);
    if (better) {
      chosen = &upstream;
      chosen_class = option;
    }
  }
  if (chosen != nullptr) {
    plan.Remove(*chosen_class);
    decisions.emplace_back(
        DrainUpstream{chosen->id, "demand stayed below the slots left"});
  }
}

void CapacityPolicy::OrderRefused(const PoolId& pool,
                                  const std::string& upstream_class,
                                  Instant now) {
  Pause& pause = pauses_[{pool, upstream_class}];
  const std::chrono::nanoseconds longest = options_.max_backoff;
  const std::chrono::nanoseconds shortest = options_.min_backoff;
  pause.length = std::clamp(pause.length * 2, shortest, longest);
  pause.until = now + pause.length;
}

void CapacityPolicy::OrderDone(const PoolId& pool,
                               const std::string& upstream_class) {
  pauses_.erase({pool, upstream_class});
}

void CapacityPolicy::Reclaimed(const PoolId& pool,
                               const std::string& upstream_class, Instant now) {
  Pause& pause = pauses_[{pool, upstream_class}];
  pause.until = std::max(pause.until, now + options_.reclaim_pause);
}

}  // namespace mulberryroad::control
