// Tests which upstream loads which weights: shares, concurrent loads, priority.

#include "duties/weight_plan.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

#include "fakes/fake_upstreams.h"

namespace mulberryroad::duties {
namespace {

using std::chrono::milliseconds;

Instant At(int millis) { return Instant{} + milliseconds(millis); }

std::map<UpstreamId, serving::Registration> MakeUpstreams(int count) {
  std::map<UpstreamId, serving::Registration> upstreams;
  for (int i = 0; i < count; ++i) {
    serving::Registration upstream =
        fakes::MakeUpstream("u" + std::to_string(i), "s");
    for (const char* model : {"m0", "m1", "m2"}) {
      upstream.versions[TargetId(model)] = 1;
    }
    upstreams[upstream.id] = upstream;
  }
  return upstreams;
}

std::vector<const serving::Registration*> Pointers(
    const std::map<UpstreamId, serving::Registration>& upstreams) {
  std::vector<const serving::Registration*> pointers;
  pointers.reserve(upstreams.size());
  for (const auto& [id, upstream] : upstreams) {
    pointers.push_back(&upstream);
  }
  return pointers;
}

Test(weight_plan, shares_are_even_and_nearly_stable) {
  auto upstreams = MakeUpstreams(12);
  const auto before = AssignUpstreams(Pointers(upstreams));
  cr_assert_eq(before.size(), 3);
  for (const auto& [model, share] : before) {
    cr_assert_eq(share.size(), 4);
  }
  upstreams.erase(UpstreamId("u5"));
  int moved = 0;
  for (const auto& [model, share] : AssignUpstreams(Pointers(upstreams))) {
    for (const UpstreamId& id : share) {
      const auto& old = before.at(model);
      moved += std::find(old.begin(), old.end(), id) == old.end() ? 1 : 0;
    }
  }
  cr_assert_leq(moved, 4, "%d of 11 upstreams changed their model", moved);
}

Test(weight_plan, concurrent_loads_are_limited_and_all_complete) {
  auto upstreams = MakeUpstreams(12);
  WeightPlan plan;
  plan.OnVersionPublished(TargetId("m0"), 2);
  std::set<UpstreamId> loaded;
  for (int now = 0; now < 10'000; now += 100) {
    for (const LoadWeights& load : plan.Next(upstreams, At(now))) {
      cr_assert_eq(load.version, 2);
      cr_assert(loaded.insert(load.upstream).second);
    }
    cr_assert_leq(plan.loads_in_progress(), 2);
    if (now % 900 == 800) {
      for (const UpstreamId& id : loaded) {
        upstreams[id].versions[TargetId("m0")] = 2;
      }
    }
  }
  cr_assert_eq(loaded.size(), 4,
               "expected one model's share of 12 upstreams to load");
}

Test(weight_plan, most_outdated_model_loads_first) {
  auto upstreams = MakeUpstreams(3);
  const auto shares = AssignUpstreams(Pointers(upstreams));
  WeightPlan plan;
  plan.OnVersionPublished(TargetId("m0"), 2);
  plan.OnVersionPublished(TargetId("m1"), 4);
  const auto loads = plan.Next(upstreams, At(0));
  cr_assert_str_eq(loads[0].model.value().c_str(), "m1");
  cr_assert(loads[0].upstream == shares.at(TargetId("m1")).front());
}

Test(weight_plan, models_alternate_until_each_has_an_upstream) {
  const auto upstreams = MakeUpstreams(30);
  WeightPlan plan;
  for (const char* model : {"m0", "m1", "m2"}) {
    plan.OnVersionPublished(TargetId(model), 3);
  }
  std::map<TargetId, int> loads;
  for (const LoadWeights& load : plan.Next(upstreams, At(0))) {
    ++loads[load.model];
  }
  cr_assert_eq(loads.size(), 3, "expected a load for each model");
  for (const auto& [model, count] : loads) {
    cr_assert_eq(count, 2);
  }
}

Test(weight_plan, model_without_usable_upstream_loads_first) {
  auto upstreams = MakeUpstreams(12);
  const auto shares = AssignUpstreams(Pointers(upstreams));
  for (const UpstreamId& id : shares.at(TargetId("m0"))) {
    upstreams[id].versions[TargetId("m0")] = 2;
  }
  WeightPlan plan;
  plan.OnVersionPublished(TargetId("m0"), 3);
  plan.OnVersionPublished(TargetId("m1"), 3);
  for (const LoadWeights& load : plan.Next(upstreams, At(0))) {
    cr_assert_str_eq(load.model.value().c_str(), "m1");
  }
}

Test(weight_plan, earliest_published_model_loads_first_among_equals) {
  const auto upstreams = MakeUpstreams(12);
  WeightPlan plan;
  plan.OnVersionPublished(TargetId("m2"), 2);
  plan.OnVersionPublished(TargetId("m0"), 2);
  plan.OnVersionPublished(TargetId("m1"), 2);
  const auto loads = plan.Next(upstreams, At(0));
  cr_assert_str_eq(loads[0].model.value().c_str(), "m2");
  cr_assert_str_eq(loads[1].model.value().c_str(), "m0");
}

// Loading one model's share completely first would delay the steps of the
// others. Three late trainers publish a version each while their upstreams are
// two versions behind, and the weight store serves two loads at a time. The
// longest items of a step start when the first upstream has its model's
// version.
Test(weight_plan, load_of_three_late_trainers_starts_all_steps_early) {
  auto upstreams = MakeUpstreams(12);
  WeightPlan plan;
  for (const char* model : {"m0", "m1", "m2"}) {
    plan.OnVersionPublished(TargetId(model), 3);
  }
  constexpr int kLoadMillis = 900;
  std::map<TargetId, int> first_ready;
  std::vector<std::pair<int, LoadWeights>> loading;
  for (int now = 0; now < 10'000; now += 50) {
    for (const auto& [end, load] : loading) {
      if (end <= now) {
        upstreams[load.upstream].versions[load.model] = load.version;
        first_ready.try_emplace(load.model, end);
      }
    }
    for (const LoadWeights& load : plan.Next(upstreams, At(now))) {
      loading.emplace_back(now + kLoadMillis, load);
    }
  }
  for (const auto& [model, ready] : first_ready) {
    cr_assert_leq(ready, 2 * kLoadMillis, "%s could first run at %d ms",
                  model.value().c_str(), ready);
  }
}

Test(weight_plan, load_without_effect_is_repeated) {
  auto upstreams = MakeUpstreams(3);
  WeightPlan plan;
  plan.OnVersionPublished(TargetId("m0"), 2);
  cr_assert_eq(plan.Next(upstreams, At(0)).size(), 1);
  cr_assert(plan.Next(upstreams, At(2'900)).empty());
  cr_assert_eq(plan.Next(upstreams, At(3'000)).size(), 1);
}

Test(weight_plan, draining_upstreams_load_nothing) {
  auto upstreams = MakeUpstreams(3);
  for (auto& [id, upstream] : upstreams) {
    upstream.draining = true;
  }
  WeightPlan plan;
  plan.OnVersionPublished(TargetId("m0"), 2);
  cr_assert(plan.Next(upstreams, At(0)).empty());
}

}  // namespace
}  // namespace mulberryroad::duties
