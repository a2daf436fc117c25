// Tests ejection and readmission of upstreams.

#include "serving/upstream_health.h"

#include <criterion/criterion.h>

#include <map>
#include <random>
#include <string>
#include <vector>

#include "fakes/fake_upstreams.h"
#include "serving/upstreams.h"

namespace mulberryroad::serving {
namespace {

using std::chrono::milliseconds;

Instant At(int millis) { return Instant{} + milliseconds(millis); }

const UpstreamId kUpstream("u");

void Fail(UpstreamHealth* health, int times, Instant now) {
  for (int i = 0; i < times; ++i) {
    health->OnRequestSent(kUpstream, now);
    health->OnRequestFailed(kUpstream, now);
    health->OnRequestEnded(kUpstream);
  }
}

void Serve(UpstreamHealth* health, Instant now) {
  health->OnRequestSent(kUpstream, now);
  health->OnResponseStarted(kUpstream, now);
  health->OnResponseCompleted(kUpstream, now);
  health->OnRequestEnded(kUpstream);
}

Test(upstream_health, consecutive_failures_eject_and_trials_readmit) {
  UpstreamHealth health;
  Fail(&health, 2, At(0));
  cr_assert_eq(health.health_state(kUpstream, At(0)), HealthState::kSuspect);
  Fail(&health, 1, At(0));
  cr_assert_eq(health.health_state(kUpstream, At(1'999)),
               HealthState::kEjected);
  cr_assert_eq(health.health_state(kUpstream, At(2'000)), HealthState::kTrial);
  health.OnRequestSent(kUpstream, At(2'000));
  cr_assert_eq(health.health_state(kUpstream, At(2'010)), HealthState::kEjected,
               "expected one trial request at a time");
  health.OnResponseStarted(kUpstream, At(2'020));
  health.OnRequestEnded(kUpstream);
  Serve(&health, At(2'030));
  cr_assert_eq(health.health_state(kUpstream, At(2'040)), HealthState::kTrial);
  Serve(&health, At(2'040));
  cr_assert_eq(health.health_state(kUpstream, At(2'050)),
               HealthState::kHealthy);
}

Test(upstream_health, ejection_time_doubles_while_trials_fail) {
  UpstreamHealth health;
  std::vector<std::int64_t> times;
  health.on_ejected().connect([&times](const Ejection& ejection) {
    times.push_back(ejection.duration.count());
  });
  Fail(&health, 3, At(0));
  Fail(&health, 1, At(2'000));
  Fail(&health, 1, At(6'000));
  Fail(&health, 1, At(14'000));
  const std::vector<std::int64_t> expected = {2'000, 4'000, 8'000, 8'000};
  cr_assert(times == expected);
}

Test(upstream_health, ejection_time_resets_after_probation) {
  UpstreamHealth health;
  std::int64_t last = 0;
  health.on_ejected().connect(
      [&last](const Ejection& ejection) { last = ejection.duration.count(); });
  Fail(&health, 3, At(0));
  for (int i = 0; i < UpstreamHealth::kRequiredTrials; ++i) {
    Serve(&health, At(2'000));
  }
  Fail(&health, 3, At(11'999));
  cr_assert_eq(last, 4'000,
               "expected a longer ejection within the probation time");
  for (int i = 0; i < UpstreamHealth::kRequiredTrials; ++i) {
    Serve(&health, At(20'000));
  }
  Fail(&health, 3, At(30'000));
  cr_assert_eq(last, 2'000);
}

Test(upstream_health, responses_to_earlier_requests_do_not_end_ejection) {
  UpstreamHealth health;
  Fail(&health, 3, At(0));
  for (int i = 0; i < 5; ++i) {
    health.OnResponseStarted(kUpstream, At(100));
  }
  cr_assert_eq(health.health_state(kUpstream, At(100)), HealthState::kEjected);
  cr_assert_eq(health.health_state(kUpstream, At(2'000)), HealthState::kTrial);
}

Test(upstream_health, late_upstream_is_suspect_until_it_serves) {
  UpstreamHealth health;
  health.OnRequestLate(kUpstream, At(0));
  cr_assert_eq(health.health_state(kUpstream, At(1'999)),
               HealthState::kSuspect);
  cr_assert_eq(health.health_state(kUpstream, At(2'000)),
               HealthState::kHealthy);
  health.OnRequestLate(kUpstream, At(3'000));
  health.OnResponseStarted(kUpstream, At(3'010));
  cr_assert_eq(health.health_state(kUpstream, At(3'010)),
               HealthState::kHealthy);
}

Test(upstream_health, restart_clears_statistics) {
  UpstreamHealth health;
  Fail(&health, 3, At(0));
  health.Reset(kUpstream);
  cr_assert_eq(health.health_state(kUpstream, At(0)), HealthState::kHealthy);
}

Test(upstream_health, at_most_half_are_excluded_worst_first) {
  UpstreamHealth health;
  const std::vector<UpstreamId> service = {UpstreamId("a"), UpstreamId("b"),
                                           UpstreamId("c")};
  for (const UpstreamId& id : service) {
    // All end with the same failures; c completed some requests before.
    for (int i = 0; i < 5 && id.value() == "c"; ++i) {
      health.OnResponseCompleted(id, At(0));
    }
    for (int i = 0; i < UpstreamHealth::kConsecutiveFailures; ++i) {
      health.OnRequestFailed(id, At(0));
    }
  }
  const std::set<UpstreamId> out = health.ExcludedUpstreams(service, At(10));
  cr_assert_eq(out.size(), 1);
  cr_assert(!out.contains(UpstreamId("c")));
  cr_assert(health.ExcludedUpstreams({UpstreamId("a")}, At(10)).empty(),
            "expected the only upstream to stay in use");
}

// A healthy upstream must not be ejected for occasional lost responses. 3% are
// lost, the most on the known deployments, at 20 requests a second for 500 s.
Test(upstream_health, few_lost_responses_rarely_eject) {
  UpstreamHealth health;
  std::mt19937_64 random{7};
  std::bernoulli_distribution lost(0.03);
  int ejections = 0;
  health.on_ejected().connect([&ejections](const Ejection&) { ++ejections; });
  constexpr int kRequests = 10'000;
  for (int i = 0; i < kRequests; ++i) {
    if (lost(random)) {
      Fail(&health, 1, At(i * 50));
    } else {
      Serve(&health, At(i * 50));
    }
  }
  cr_assert_leq(ejections, kRequests / 700, "%d ejections", ejections);
}

/// Result of a simulation.
struct SimulationResult {
  int requests = 0;
  /// First attempts that failed.
  int failed = 0;
};

/// Simulates one node that sends 100 requests a second for 30 s to 45
/// upstreams.
/// @param fails returns whether an upstream fails a request sent at a time
SimulationResult Simulate(
    const std::function<bool(std::size_t upstream, Instant now)>& fails) {
  constexpr std::size_t kUpstreams = 45;
  constexpr milliseconds kWork{25};
  constexpr milliseconds kFailure{1};
  std::vector<Registration> upstreams;
  for (std::size_t i = 0; i < kUpstreams; ++i) {
    upstreams.push_back(fakes::MakeUpstream("u" + std::to_string(i), "s",
                                            "d" + std::to_string(i % 5)));
  }
  std::vector<const Registration*> ready;
  ready.reserve(upstreams.size());
  for (const Registration& upstream : upstreams) {
    ready.push_back(&upstream);
  }
  UpstreamStatements statements;
  UpstreamLoads loads{statements};
  std::mt19937_64 random{3};
  std::uniform_real_distribution<double> draw(0.0, 1.0);
  struct Completion {
    std::size_t upstream;
    bool failed;
    milliseconds took;
  };
  std::multimap<Instant, Completion> completions;
  SimulationResult result;
  for (Instant now = At(0); now < At(30'000); now += milliseconds(10)) {
    for (; !completions.empty() && completions.begin()->first <= now;
         completions.erase(completions.begin())) {
      const auto& [at, completion] = *completions.begin();
      const UpstreamId& id = upstreams[completion.upstream].id;
      loads.OnRequestEnded(id, /*answered=*/false);
      if (completion.failed) {
        loads.health().OnRequestFailed(id, at);
      } else {
        loads.health().OnResponseStarted(id, at);
        loads.health().OnResponseCompleted(id, at);
        loads.RecordLatency(id, completion.took, at);
      }
    }
    const Registration* chosen = ChooseUpstream(
        ready, loads, {}, FailureDomainId("d0"), now, draw(random));
    const auto index = static_cast<std::size_t>(chosen - upstreams.data());
    const bool failed = fails(index, now);
    loads.OnRequestSent(chosen->id, now);
    const milliseconds took = failed ? kFailure : kWork;
    completions.emplace(now + took, Completion{index, failed, took});
    ++result.requests;
    result.failed += failed ? 1 : 0;
  }
  return result;
}

// A degraded upstream fails quickly and so looks the least loaded. Every sixth
// upstream fails 40% of its requests; with an even spread 7.1% of all requests
// would fail.
Test(upstream_health, degraded_upstreams_fail_under_a_third_of_even_spread) {
  std::mt19937_64 random{5};
  std::bernoulli_distribution fails(0.4);
  const SimulationResult result =
      Simulate([&](std::size_t upstream, Instant /*now*/) {
        return upstream % 6 == 0 && fails(random);
      });
  cr_assert_leq(result.failed, result.requests * 0.071 / 3, "%d of %d failed",
                result.failed, result.requests);
}

// An upstream that flaps passes its trials and fails again. Every sixth one is
// unreachable in every other second; with an even spread 8.9% of all requests
// would fail.
Test(upstream_health, flapping_upstreams_fail_under_a_third_of_even_spread) {
  const SimulationResult result = Simulate([&](std::size_t upstream,
                                               Instant now) {
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(now - At(0)).count();
    return upstream % 6 == 0 && second % 2 == 0;
  });
  cr_assert_leq(result.failed, result.requests * 0.089 / 3, "%d of %d failed",
                result.failed, result.requests);
}

}  // namespace
}  // namespace mulberryroad::serving
