// Tests the capacity decisions of one pool.

#include "control/capacity_policy.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace {

using namespace mulberryroad;           // NOLINT(google-build-using-namespace)
using namespace mulberryroad::control;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

const PoolId kPool{TargetId("drafting"), FailureDomainId("morbihan")};
constexpr std::uint32_t kSlots = 8;

Instant At(int second) { return Instant{} + seconds(second); }

PoolState MakePool(std::uint32_t durable, std::uint32_t cheap) {
  PoolState pool;
  pool.pool = kPool;
  pool.organisations = 4;
  pool.classes = {{"durable", 8.0, false, kSlots, 1, 6},
                  {"cheap", 2.0, true, kSlots, 0, 6}};
  for (std::uint32_t i = 0; i < durable; ++i) {
    pool.upstreams.push_back({UpstreamId("d" + std::to_string(i)), "durable"});
  }
  for (std::uint32_t i = 0; i < cheap; ++i) {
    pool.upstreams.push_back({UpstreamId("c" + std::to_string(i)), "cheap"});
  }
  return pool;
}

/// Returns the decisions as "start CLASS", "drain NAME", ... joined by commas.
std::string Describe(const std::vector<CapacityDecision>& decisions) {
  struct Namer {
    std::string operator()(const StartUpstream& d) const {
      return "start " + d.upstream_class;
    }
    std::string operator()(const DrainUpstream& d) const {
      return "drain " + d.upstream.value();
    }
    std::string operator()(const CancelDrain& d) const {
      return "cancel " + d.upstream.value();
    }
    std::string operator()(const StopUpstream& d) const {
      return "stop " + d.upstream.value();
    }
  };
  std::string text;
  for (const CapacityDecision& decision : decisions) {
    text += text.empty() ? "" : ",";
    text += std::visit(Namer{}, decision);
  }
  return text;
}

void Expect(const std::string& actual, const std::string& expected,
            const char* what) {
  cr_assert_eq(actual, expected, "%s: expected '%s', got '%s'", what,
               expected.c_str(), actual.c_str());
}

struct LoadCase {
  const char* name;
  std::uint32_t durable;
  std::uint32_t cheap;
  std::uint32_t queued;
  std::uint32_t in_flight;
  std::uint32_t repeatable;
  const char* expected;
};

}  // namespace

Test(capacity_policy, starts_what_demand_and_floor_ask_for) {
  const std::vector<LoadCase> cases = {
      {"cold start", 0, 0, 0, 0, 0, "start durable"},
      {"idle at the minimum", 1, 0, 0, 0, 0, ""},
      {"repeatable work goes to the cheap class", 1, 0, 8, 8, 8,
       "start cheap,start cheap"},
      {"work that may not be repeated goes to the durable one", 1, 0, 0, 8, 0,
       "start durable"},
      {"the floor comes first", 1, 3, 0, 30, 30, "start durable"},
      {"enough", 2, 2, 0, 26, 24, ""},
  };
  for (const LoadCase& test : cases) {
    PoolState pool = MakePool(test.durable, test.cheap);
    pool.queued = test.queued;
    pool.in_flight = test.in_flight;
    pool.repeatable_in_flight = test.repeatable;
    CapacityPolicy policy;
    Expect(Describe(policy.Decide(pool, At(0))), test.expected, test.name);
  }
}

Test(capacity_policy, takes_the_next_class_after_a_refusal) {
  PoolState pool = MakePool(1, 0);
  pool.in_flight = 8;
  pool.repeatable_in_flight = 8;
  CapacityPolicy policy;
  Expect(Describe(policy.Decide(pool, At(0))), "start cheap", "first choice");
  policy.OrderRefused(kPool, "cheap", At(0));
  Expect(Describe(policy.Decide(pool, At(1))), "start durable", "next class");
  policy.OrderRefused(kPool, "durable", At(1));
  Expect(Describe(policy.Decide(pool, At(2))), "", "both refused");
  Expect(Describe(policy.Decide(pool, At(5))), "start cheap", "after a pause");
  policy.OrderRefused(kPool, "cheap", At(5));
  policy.OrderRefused(kPool, "durable", At(5));
  Expect(Describe(policy.Decide(pool, At(11))), "", "the pause has doubled");
  policy.OrderDone(kPool, "cheap");
  Expect(Describe(policy.Decide(pool, At(11))), "start cheap", "carried out");
}

Test(capacity_policy, counts_what_is_starting) {
  PoolState pool = MakePool(1, 1);
  pool.upstreams[1].phase = UpstreamPhase::kStarting;
  pool.in_flight = 8;
  pool.repeatable_in_flight = 8;
  CapacityPolicy policy;
  Expect(Describe(policy.Decide(pool, At(0))), "", "one is on its way");
}

Test(capacity_policy, drains_only_after_demand_stayed_low) {
  PoolState pool = MakePool(1, 3);
  pool.in_flight = 24;
  pool.repeatable_in_flight = 24;
  CapacityPolicy policy;
  Expect(Describe(policy.Decide(pool, At(0))), "", "busy");
  pool.in_flight = 4;
  pool.repeatable_in_flight = 4;
  Expect(Describe(policy.Decide(pool, At(30))), "", "low for a moment");
  pool.upstreams[1].in_flight = 3;
  Expect(Describe(policy.Decide(pool, At(61))), "drain c1", "low for long");
}

Test(capacity_policy, drains_the_dearest_that_floor_and_minimum_spare) {
  PoolState pool = MakePool(3, 1);
  CapacityPolicy policy;
  pool.in_flight = 4;
  pool.repeatable_in_flight = 4;
  Expect(Describe(policy.Decide(pool, At(0))), "drain d0", "dear first");
  pool.upstreams.erase(pool.upstreams.begin(), pool.upstreams.begin() + 2);
  Expect(Describe(policy.Decide(pool, At(1))), "drain c0", "minimum stays");
}

Test(capacity_policy, stops_a_drained_upstream_and_no_busy_one) {
  PoolState pool = MakePool(2, 1);
  pool.upstreams[1].phase = UpstreamPhase::kDraining;
  pool.upstreams[1].in_flight = 1;
  pool.upstreams[2].phase = UpstreamPhase::kDraining;
  CapacityPolicy policy;
  Expect(Describe(policy.Decide(pool, At(0))), "stop c0", "idle one only");
}

Test(capacity_policy, takes_a_draining_upstream_back_before_starting_one) {
  PoolState pool = MakePool(2, 0);
  pool.upstreams[1].phase = UpstreamPhase::kDraining;
  pool.upstreams[1].in_flight = 1;
  pool.in_flight = 10;
  CapacityPolicy policy;
  Expect(Describe(policy.Decide(pool, At(0))), "cancel d1", "demand rose");
}

// The slots that survive the loss of all reclaimable upstreams cover the floor
// at every point of a ramp.
Test(capacity_policy, keeps_the_floor_on_durable_upstreams) {
  const CapacityOptions options;
  for (std::uint32_t demand = 4; demand <= 60; demand += 4) {
    CapacityPolicy policy(options);
    PoolState pool = MakePool(0, 0);
    pool.classes[0].max_upstreams = 20;
    pool.classes[1].max_upstreams = 20;
    pool.in_flight = demand;
    pool.repeatable_in_flight = demand * 3 / 4;
    for (int step = 0; step < 20; ++step) {
      for (const CapacityDecision& d : policy.Decide(pool, At(step))) {
        const auto* start = std::get_if<StartUpstream>(&d);
        cr_assert_not_null(start, "only starts on a ramp");
        pool.upstreams.push_back({UpstreamId("u"), start->upstream_class});
      }
    }
    double durable = 0;
    double all = 0;
    for (const UpstreamState& upstream : pool.upstreams) {
      all += kSlots;
      durable += upstream.upstream_class == "durable" ? kSlots : 0;
    }
    const double floor = std::max(demand * options.floor_share, demand * 0.25);
    cr_assert_geq(durable, floor, "demand %u: floor %.1f, durable %.1f", demand,
                  floor, durable);
    cr_assert_geq(all, demand, "demand %u: slots %.1f", demand, all);
  }
}

Test(capacity_policy, leaves_a_reclaimed_class_alone_for_a_while) {
  PoolState pool = MakePool(1, 0);
  pool.in_flight = 8;
  pool.repeatable_in_flight = 8;
  CapacityPolicy policy;
  policy.Reclaimed(kPool, "cheap", At(0));
  Expect(Describe(policy.Decide(pool, At(1))), "start durable", "reclaimed");
  Expect(Describe(policy.Decide(pool, At(31))), "start cheap", "later");
}

// All cheap upstreams of the failure domain are taken back at once.
Test(capacity_policy, replaces_a_reclaimed_failure_domain_by_durable_ones) {
  PoolState pool = MakePool(2, 3);
  pool.in_flight = 30;
  pool.repeatable_in_flight = 24;
  CapacityPolicy policy;
  Expect(Describe(policy.Decide(pool, At(0))), "", "before");
  for (UpstreamState& upstream : pool.upstreams) {
    if (upstream.upstream_class == "cheap") {
      upstream.phase = UpstreamPhase::kLeaving;
    }
  }
  policy.Reclaimed(kPool, "cheap", At(1));
  Expect(Describe(policy.Decide(pool, At(1))),
         "start durable,start durable,start durable",
         "the cheap class is left alone, the rest is bought");
}

Test(capacity_policy, keeps_to_the_bounds_of_the_declaration) {
  PoolState pool = MakePool(2, 0);
  pool.classes[0].max_upstreams = 1;
  pool.classes[1].max_upstreams = 0;
  pool.in_flight = 100;
  CapacityPolicy policy;
  Expect(Describe(policy.Decide(pool, At(0))), "drain d0", "over the maximum");
}
