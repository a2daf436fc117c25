// Tests that lost upstreams are ordered again and that nothing else causes
// orders.

#include "duties/capacity_plan.h"

#include <criterion/criterion.h>

#include "fakes/fake_upstreams.h"

namespace mulberryroad::duties {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A service with four upstreams, observed twice a second.
struct Fixture {
  std::map<UpstreamId, serving::Registration> upstreams;
  serving::Manifest manifest;
  CapacityPlan plan;
  Instant now{};
  bool store_unstable = false;
  int next_id = 0;

  Fixture() {
    serving::Service service;
    service.name = TargetId("engines");
    service.scaling =
        serving::Scaling{.min = 1, .max = 8, .start_up = milliseconds(4'000)};
    manifest.services = {service};
    for (int i = 0; i < 4; ++i) {
      Add();
    }
  }

  UpstreamId Add() {
    UpstreamId id("u" + std::to_string(next_id++));
    upstreams[id] = fakes::MakeUpstream(id.value(), "engines");
    return id;
  }
  void Drain(const UpstreamId& id) { upstreams.at(id).draining = true; }
  void Remove(const UpstreamId& id) { upstreams.erase(id); }

  /// Advances the time.
  /// @return the counts ordered meanwhile
  std::vector<std::uint32_t> Advance(milliseconds time) {
    std::vector<std::uint32_t> ordered;
    const Instant end = now + time;
    for (; now < end; now += milliseconds(500)) {
      plan.Observe(upstreams, store_unstable, now);
      for (const CapacityOrder& order : plan.Next(manifest, now)) {
        ordered.push_back(order.count);
      }
    }
    return ordered;
  }
};

Test(capacity_plan, lost_upstream_is_replaced_once) {
  Fixture fixture;
  cr_assert(fixture.Advance(seconds(10)).empty());
  fixture.Remove(UpstreamId("u1"));
  const auto ordered = fixture.Advance(seconds(6));
  cr_assert_eq(ordered.size(), 1, "%zu orders", ordered.size());
  cr_assert_eq(ordered.front(), 4);
  fixture.Add();
  cr_assert(fixture.Advance(seconds(60)).empty());
}

Test(capacity_plan, order_without_effect_is_repeated) {
  Fixture fixture;
  fixture.Advance(seconds(10));
  fixture.Remove(UpstreamId("u1"));
  // One order after the loss delay of 1.5 s, then one each 8 s, the time for
  // start-up and registration.
  cr_assert_eq(fixture.Advance(seconds(20)).size(), 3);
}

Test(capacity_plan, drained_upstream_is_not_replaced) {
  Fixture fixture;
  fixture.Advance(seconds(10));
  fixture.Drain(UpstreamId("u1"));
  cr_assert(fixture.Advance(seconds(4)).empty());
  fixture.Remove(UpstreamId("u1"));
  cr_assert(fixture.Advance(seconds(30)).empty());
}

// Each upstream's replacement starts before the upstream drains.
Test(capacity_plan, rolling_replacement_orders_nothing) {
  Fixture fixture;
  fixture.Advance(seconds(10));
  for (const char* id : {"u0", "u1", "u2", "u3"}) {
    fixture.Add();
    cr_assert(fixture.Advance(seconds(2)).empty());
    fixture.Drain(UpstreamId(id));
    cr_assert(fixture.Advance(seconds(3)).empty());
    fixture.Remove(UpstreamId(id));
    cr_assert(fixture.Advance(seconds(1)).empty());
  }
  cr_assert(fixture.Advance(seconds(30)).empty());
}

Test(capacity_plan, entries_missing_after_store_outage_are_not_replaced) {
  Fixture fixture;
  fixture.Advance(seconds(10));
  const auto before = fixture.upstreams;
  fixture.upstreams.clear();
  fixture.store_unstable = true;
  cr_assert(fixture.Advance(seconds(8)).empty());
  fixture.upstreams = before;
  fixture.store_unstable = false;
  cr_assert(fixture.Advance(seconds(8)).empty());
}

Test(capacity_plan, added_upstreams_are_expected_after_a_delay) {
  Fixture fixture;
  fixture.Advance(seconds(10));
  const UpstreamId added = fixture.Add();
  fixture.Advance(seconds(5));
  fixture.Remove(added);
  cr_assert(fixture.Advance(seconds(10)).empty(),
            "expected no order for an upstream that stayed 5 s");
  const UpstreamId stayed = fixture.Add();
  fixture.Advance(seconds(20));
  fixture.Remove(stayed);
  const auto ordered = fixture.Advance(seconds(5));
  cr_assert_eq(ordered.size(), 1);
  cr_assert_eq(ordered.front(), 5);
}

Test(capacity_plan, orders_stay_within_manifest_bounds) {
  Fixture fixture;
  fixture.manifest.services.front().scaling->max = 3;
  fixture.Advance(seconds(10));
  fixture.Remove(UpstreamId("u0"));
  cr_assert(fixture.Advance(seconds(5)).empty(),
            "expected no order at the maximum of three");
  fixture.Remove(UpstreamId("u1"));
  const auto ordered = fixture.Advance(seconds(5));
  cr_assert_eq(ordered.size(), 1);
  cr_assert_eq(ordered.front(), 3);
  fixture.manifest.services.front().scaling.reset();
  cr_assert(fixture.Advance(seconds(30)).empty(),
            "expected no order without scaling limits");
}

}  // namespace
}  // namespace mulberryroad::duties
