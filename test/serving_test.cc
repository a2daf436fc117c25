// Tests route matching, API keys, load balancing and the retry policy.

#include <criterion/criterion.h>

#include "fakes/fake_upstreams.h"
#include "serving/attempt_policy.h"
#include "serving/catalog.h"
#include "serving/upstreams.h"

namespace mulberryroad::serving {
namespace {

using std::chrono::milliseconds;

Instant At(int millis) { return Instant{} + milliseconds(millis); }

Manifest MakeManifest(std::uint64_t version) {
  Manifest manifest;
  manifest.version = version;
  Route wide;
  wide.name = "wide";
  wide.host = "h";
  wide.path_prefix = "/a/";
  wide.services = {{TargetId("s1"), 90}, {TargetId("s2"), 10}};
  Route narrow = wide;
  narrow.name = "narrow";
  narrow.path_prefix = "/a/b/";
  narrow.open = true;
  manifest.routes = {wide, narrow};
  manifest.organisations = {{OrganisationId("org"), {"key"}}};
  return manifest;
}

Test(catalog, longest_prefix_wins_and_keys_are_checked) {
  Catalog catalog;
  cr_assert(
      std::holds_alternative<NoManifest>(catalog.Admit("h", "/a/x", "key")));
  cr_assert(catalog.Apply(MakeManifest(3)));
  const Admission admitted = catalog.Admit("h", "/a/x", "key");
  cr_assert_str_eq(std::get<Admitted>(admitted).organisation.value().c_str(),
                   "org");
  cr_assert_str_eq(
      std::get<Admitted>(catalog.Admit("h", "/a/b/x", "")).route->name.c_str(),
      "narrow");
  cr_assert(
      std::holds_alternative<InvalidKey>(catalog.Admit("h", "/a/x", "none")));
  cr_assert(std::holds_alternative<NoRoute>(catalog.Admit("h", "/c/", "key")));
  cr_assert(
      std::holds_alternative<NoRoute>(catalog.Admit("other", "/a/x", "key")));
}

Test(catalog, older_version_is_ignored) {
  Catalog catalog;
  cr_assert(catalog.Apply(MakeManifest(3)));
  cr_assert(!catalog.Apply(MakeManifest(3)));
  Manifest older = MakeManifest(2);
  older.routes.clear();
  cr_assert(!catalog.Apply(older));
  cr_assert_eq(catalog.version(), 3);
  cr_assert_not_null(catalog.FindRoute("h", "/a/x"));
}

Test(catalog, split_follows_the_weights) {
  Manifest manifest = MakeManifest(1);
  Route& route = manifest.routes.front();
  cr_assert_str_eq(ChooseService(route, 0.0)->value().c_str(), "s1");
  cr_assert_str_eq(ChooseService(route, 0.89)->value().c_str(), "s1");
  cr_assert_str_eq(ChooseService(route, 0.91)->value().c_str(), "s2");
  route.services[0].weight = 0;
  cr_assert_str_eq(ChooseService(route, 0.0)->value().c_str(), "s2");
}

Test(upstream_directory, removed_entry_is_kept_while_the_store_is_unstable) {
  UpstreamDirectory directory;
  directory.Put(fakes::MakeUpstream("u1", "s"));
  directory.Put(fakes::MakeUpstream("u2", "s"));
  directory.Remove(UpstreamId("u1"), /*store_unstable=*/false, At(0));
  cr_assert_eq(directory.Ready(TargetId("s")).size(), 1);
  directory.Remove(UpstreamId("u2"), /*store_unstable=*/true, At(0));
  cr_assert_eq(directory.Ready(TargetId("s")).size(), 1);
  directory.Expire(At(1'499));
  cr_assert_eq(directory.Ready(TargetId("s")).size(), 1);
  directory.Expire(At(1'500));
  cr_assert_eq(directory.Ready(TargetId("s")).size(), 0);
}

Test(upstream_directory, entry_registered_again_in_time_is_kept) {
  UpstreamDirectory directory;
  directory.Put(fakes::MakeUpstream("u1", "s"));
  directory.Remove(UpstreamId("u1"), /*store_unstable=*/true, At(0));
  directory.Put(fakes::MakeUpstream("u1", "s"));
  directory.Expire(At(5'000));
  cr_assert_eq(directory.Ready(TargetId("s")).size(), 1);
}

Test(upstream_directory, draining_upstream_is_not_ready) {
  UpstreamDirectory directory;
  Registration upstream = fakes::MakeUpstream("u1", "s");
  upstream.draining = true;
  directory.Put(upstream);
  cr_assert(directory.Ready(TargetId("s")).empty());
}

Test(choose_upstream, prefers_free_local_and_healthy_upstreams) {
  const Registration local = fakes::MakeUpstream("u1", "s", "d1");
  const Registration remote = fakes::MakeUpstream("u2", "s", "d2");
  const std::vector<const Registration*> ready = {&local, &remote};
  UpstreamStatements statements;
  UpstreamLoads loads{statements};
  const auto choose = [&](const std::set<UpstreamId>& tried, int now) {
    const Registration* chosen = ChooseUpstream(
        ready, loads, tried, FailureDomainId("d1"), At(now), 0.5);
    return chosen == nullptr ? std::string() : chosen->id.value();
  };
  cr_assert_str_eq(choose({}, 0).c_str(), "u1");
  cr_assert_str_eq(choose({UpstreamId("u1")}, 0).c_str(), "u2");
  loads.OnRequestSent(local.id, At(0));
  cr_assert_str_eq(choose({}, 0).c_str(), "u2");
  loads.OnRequestEnded(local.id, /*answered=*/false);
  loads.health().OnRequestFailed(local.id, At(0));
  cr_assert_str_eq(choose({}, 100).c_str(), "u2");
  cr_assert_str_eq(choose({}, 2'000).c_str(), "u1");
  cr_assert(choose({local.id, remote.id}, 0).empty());
}

Test(choose_upstream, slow_upstream_gets_fewer_requests) {
  const Registration fast = fakes::MakeUpstream("u1", "s");
  const Registration slow = fakes::MakeUpstream("u2", "s");
  UpstreamStatements statements;
  UpstreamLoads loads{statements};
  loads.RecordLatency(fast.id, milliseconds(25), At(0));
  loads.RecordLatency(slow.id, milliseconds(100), At(0));
  int to_fast = 0;
  for (int i = 0; i < 6; ++i) {
    const Registration* chosen = ChooseUpstream(
        {&slow, &fast}, loads, {}, FailureDomainId("d1"), At(0), 0.5);
    loads.OnRequestSent(chosen->id, At(0));
    to_fast += chosen == &fast ? 1 : 0;
  }
  cr_assert_geq(to_fast, 4);
}

Test(upstream_loads, consecutive_refusals_back_off_and_then_send_one_probe) {
  const UpstreamId id("u");
  UpstreamStatements statements;
  UpstreamLoads loads{statements};
  for (int i = 0; i < 5; ++i) {
    loads.OnRequestSent(id, At(0));
  }
  for (int i = 0; i < 5; ++i) {
    loads.OnRefused(id, At(5));
  }
  cr_assert(loads.full(id, At(104)),
            "expected five refusals of one burst to count once");
  cr_assert(!loads.full(id, At(105)));
  loads.OnRequestSent(id, At(110));
  cr_assert(loads.full(id, At(111)), "expected a single probe request");
  loads.OnRefused(id, At(115));
  cr_assert(loads.full(id, At(314)));
  cr_assert(!loads.full(id, At(315)));
  loads.OnRequestSent(id, At(320));
  loads.OnAccepted(id, At(320));
  cr_assert(!loads.full(id, At(321)));
}

Test(upstream_loads, latency_expires_without_requests) {
  UpstreamStatements statements;
  UpstreamLoads loads{statements};
  const UpstreamId id("u1");
  loads.RecordLatency(id, milliseconds(100), At(0));
  cr_assert(loads.latency(id, At(3'999)).has_value());
  cr_assert(!loads.latency(id, At(4'000)).has_value());
  loads.RecordLatency(id, milliseconds(20), At(9'000));
  cr_assert(loads.latency(id, At(9'000)) == milliseconds(20));
}

struct PolicyCase {
  const char* name;
  AttemptRules rules;
  UpstreamOutcome outcome;
  bool untried_left;
  std::size_t expected_step;
};

// Indices of the steps in the AttemptStep variant.
constexpr std::size_t kSendAnother = 0;
constexpr std::size_t kDeliver = 2;
constexpr std::size_t kFailNotRun = 3;
constexpr std::size_t kFailMayHaveRun = 4;

Test(attempt_policy, step_after_first_outcome) {
  const AttemptRules repeatable{true, 2};
  const AttemptRules once{false, 2};
  const std::vector<PolicyCase> cases = {
      {"success", once, CompleteResponse{200, {}, {}}, true, kDeliver},
      {"server error of a repeatable request", repeatable,
       CompleteResponse{500, {}, {}}, true, kSendAnother},
      {"server error without another upstream", repeatable,
       CompleteResponse{500, {}, {}}, false, kDeliver},
      {"server error of a non-repeatable request", once,
       CompleteResponse{500, {}, {}}, true, kDeliver},
      {"client error", repeatable, CompleteResponse{404, {}, {}}, true,
       kDeliver},
      {"refusal", once, NotRun{"full", true}, true, kSendAnother},
      {"refusal by the last upstream", once, NotRun{"full", true}, false,
       kFailNotRun},
      {"cut response of a repeatable request", repeatable, MayHaveRun{"cut"},
       true, kSendAnother},
      {"cut response without another upstream", repeatable, MayHaveRun{"cut"},
       false, kFailMayHaveRun},
      {"cut response of a non-repeatable request", once, MayHaveRun{"cut"},
       true, kFailMayHaveRun},
  };
  for (const PolicyCase& test : cases) {
    AttemptPolicy policy(test.rules);
    policy.OnSent();
    const AttemptStep step = policy.OnOutcome(test.outcome, test.untried_left);
    cr_assert_eq(step.index(), test.expected_step, "%s: step %zu", test.name,
                 step.index());
  }
}

Test(attempt_policy, runs_stay_within_max_attempts) {
  AttemptPolicy policy({true, 2});
  policy.OnSent();
  cr_assert(policy.may_hedge());
  policy.OnSent();
  cr_assert(!policy.may_hedge());
  cr_assert_eq(policy.OnOutcome(MayHaveRun{"cut"}, true).index(), 1);
  cr_assert_eq(policy.OnOutcome(MayHaveRun{"cut"}, true).index(),
               kFailMayHaveRun);
}

Test(attempt_policy, refusal_after_cut_response_may_have_run) {
  AttemptPolicy policy({true, 3});
  policy.OnSent();
  cr_assert_eq(policy.OnOutcome(MayHaveRun{"cut"}, true).index(), kSendAnother);
  policy.OnSent();
  cr_assert_eq(policy.OnOutcome(NotRun{"full", true}, false).index(),
               kFailMayHaveRun);
}

Test(catalog, services_that_streams_leave_are_found) {
  const auto make = [](const std::vector<std::string>& services,
                       RouteKind kind) {
    Manifest manifest;
    Route route;
    route.host = "h";
    route.path_prefix = "/s/";
    route.kind = kind;
    for (const std::string& service : services) {
      route.services.push_back({TargetId(service), 1});
    }
    manifest.routes = {route};
    return manifest;
  };
  const RouteKind stream = RouteKind::kStreaming;
  const std::set<TargetId> left =
      ServicesLeftByStreams(make({"a", "b"}, stream), make({"b", "c"}, stream));
  cr_assert_eq(left.size(), 1);
  cr_expect(left.contains(TargetId("a")));
  cr_expect(
      ServicesLeftByStreams(make({"a"}, stream), make({"a"}, stream)).empty());
  cr_expect_eq(ServicesLeftByStreams(make({"a"}, stream), Manifest()).size(), 1,
               "the route was removed");
  cr_expect(
      ServicesLeftByStreams(make({"a"}, RouteKind::kIdempotent), Manifest())
          .empty());
}

}  // namespace
}  // namespace mulberryroad::serving
