// Tests admission, fairness and upstream choice of the pool scheduler.

#include "dispatch/pool_scheduler.h"

#include <criterion/criterion.h>

#include <map>
#include <string>
#include <vector>

namespace mulberryroad::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds{1000}};

/// A scheduler with upstreams "u0", "u1", ..., each with the same number of
/// slots, and a manually advanced time.
struct Pool {
  explicit Pool(std::size_t upstreams, std::uint32_t slots,
                SchedulerOptions options = {})
      : scheduler(options, /*seed=*/7) {
    for (std::size_t number = 0; number < upstreams; ++number) {
      UpstreamSpec spec;
      spec.id = UpstreamId("u" + std::to_string(number));
      spec.endpoint = "127.0.0.1:1";
      spec.slots = slots;
      specs.push_back(spec);
    }
    scheduler.SetUpstreams(specs);
  }

  AdmissionDecision Admit(
      const std::string& organisation,
      const std::function<void(v1::GrantRequest*)>& edit = nullptr) {
    v1::GrantRequest request;
    request.set_request_id("r" + std::to_string(next_request++));
    request.set_organisation(organisation);
    request.set_kind(v1::WORK_CALLER);
    request.set_max_tokens(100);
    if (edit) {
      edit(&request);
    }
    return scheduler.Admit(request, now);
  }

  /// Releases a grant and reports the number of generated tokens.
  bool Release(const v1::Grant& grant, std::uint32_t tokens = 50,
               bool failed = false) {
    v1::GrantRelease release;
    release.set_grant_id(grant.grant_id());
    release.set_upstream(grant.upstream());
    release.set_tokens(tokens);
    release.set_failed(failed);
    return scheduler.Release(release, now);
  }

  PoolScheduler scheduler;
  std::vector<UpstreamSpec> specs;
  Instant now = kStart;
  int next_request = 0;
};

v1::Grant GrantOf(const AdmissionDecision& decision) {
  cr_assert(std::holds_alternative<Granted>(decision), "expected a grant");
  return std::get<Granted>(decision).grant;
}

Test(pool_scheduler, queues_requests_when_all_slots_are_in_use) {
  Pool pool(2, 2);
  constexpr int kSlots = 4;
  std::vector<v1::Grant> grants;
  grants.reserve(kSlots);
  for (int number = 0; number < kSlots; ++number) {
    grants.push_back(GrantOf(pool.Admit("a")));
  }
  const AdmissionDecision fifth = pool.Admit("a");
  cr_assert(std::holds_alternative<Queued>(fifth));
  cr_expect_eq(pool.scheduler.in_flight(UpstreamId("u0")), 2U);
  cr_expect_eq(pool.scheduler.in_flight(UpstreamId("u1")), 2U);
  cr_expect(pool.scheduler.Schedule(pool.now).empty());
  cr_expect(pool.Release(grants[1]));
  const std::vector<ScheduledDecision> decisions =
      pool.scheduler.Schedule(pool.now);
  cr_assert_eq(decisions.size(), 1U);
  cr_expect_eq(decisions[0].ticket, std::get<Queued>(fifth).ticket);
  cr_expect(std::holds_alternative<Granted>(decisions[0].outcome));
  cr_expect(!pool.Release(grants[1]),
            "expected the second release to be rejected");
}

struct IneligibleCase {
  const char* name;
  std::function<void(Pool*)> make_ineligible;
  std::function<void(v1::GrantRequest*)> edit;
};

Test(pool_scheduler, ineligible_upstreams_get_no_new_requests) {
  const std::vector<IneligibleCase> cases = {
      {"listed as leaving",
       [](Pool* pool) {
         pool->specs[0].leaving = true;
         pool->scheduler.SetUpstreams(pool->specs);
       },
       nullptr},
      {"removed from the list",
       [](Pool* pool) { pool->scheduler.SetUpstreams({pool->specs[1]}); },
       nullptr},
      {"leaving according to a notice",
       [](Pool* pool) {
         v1::UpstreamNotice notice;
         notice.set_upstream("u0");
         notice.set_leaving(true);
         pool->scheduler.ApplyNotice(notice, pool->now);
       },
       nullptr},
      {"swapping according to a notice",
       [](Pool* pool) {
         v1::UpstreamNotice notice;
         notice.set_upstream("u0");
         notice.set_swapping(true);
         pool->scheduler.ApplyNotice(notice, pool->now);
       },
       nullptr},
      {"swapping according to a load report",
       [](Pool* pool) {
         v1::EngineLoad load;
         load.set_swapping(true);
         pool->scheduler.ObserveLoad(UpstreamId("u0"), load, pool->now);
       },
       nullptr},
      {"weight version too old",
       [](Pool* pool) {
         v1::EngineLoad load;
         load.set_version(3);
         pool->scheduler.ObserveLoad(UpstreamId("u0"), load, pool->now);
         load.set_version(4);
         pool->scheduler.ObserveLoad(UpstreamId("u1"), load, pool->now);
       },
       [](v1::GrantRequest* request) { request->set_min_version(4); }},
      {"reclaimable, for a request that is not repeatable",
       [](Pool* pool) {
         pool->specs[0].reclaimable = true;
         pool->scheduler.SetUpstreams(pool->specs);
       },
       nullptr},
      {"excluded by the request", [](Pool*) {},
       [](v1::GrantRequest* request) {
         request->add_excluded_upstreams("u0");
       }},
      {"full with requests granted by another dispatcher",
       [](Pool* pool) {
         v1::EngineLoad load;
         load.set_running(3);
         pool->scheduler.ObserveLoad(UpstreamId("u0"), load, pool->now);
       },
       nullptr},
      {"suspended after a failure",
       [](Pool* pool) {
         v1::Grant grant = GrantOf(pool->Admit("a", [](auto* request) {
           request->add_excluded_upstreams("u1");
         }));
         pool->Release(grant, 0, /*failed=*/true);
       },
       nullptr},
  };
  for (const IneligibleCase& ineligible : cases) {
    Pool pool(2, 3);
    ineligible.make_ineligible(&pool);
    for (int number = 0; number < 3; ++number) {
      const v1::Grant grant = GrantOf(pool.Admit("a", ineligible.edit));
      cr_expect_eq(grant.upstream(), "u1", "%s: granted %s", ineligible.name,
                   grant.upstream().c_str());
    }
    cr_expect(std::holds_alternative<Queued>(pool.Admit("a", ineligible.edit)),
              "%s: expected the fourth request to be queued", ineligible.name);
    cr_expect_eq(pool.scheduler.in_flight(UpstreamId("u0")), 0U, "%s",
                 ineligible.name);
  }
}

/// Serves two organisations that always have queued requests. Returns the
/// tokens served to each organisation.
std::map<std::string, double> ServeTwoOrganisations(Pool* pool, int rounds) {
  std::map<std::string, double> tokens;
  std::map<std::uint64_t, std::string> owners;
  std::vector<v1::Grant> running;
  const auto record_grant = [&](const v1::Grant& grant,
                                const std::string& owner) {
    owners[grant.grant_id()] = owner;
    running.push_back(grant);
  };
  for (int round = 0; round < rounds; ++round) {
    for (const char* organisation : {"a", "b"}) {
      const AdmissionDecision decision = pool->Admit(organisation);
      if (const auto* granted = std::get_if<Granted>(&decision)) {
        record_grant(granted->grant, organisation);
      }
    }
    const v1::Grant first = running.front();
    running.erase(running.begin());
    tokens[owners[first.grant_id()]] += 50;
    pool->Release(first, 50);
    for (const ScheduledDecision& decision :
         pool->scheduler.Schedule(pool->now)) {
      if (const auto* granted = std::get_if<Granted>(&decision.outcome)) {
        record_grant(granted->grant, decision.request.organisation());
      }
    }
    pool->now += milliseconds{5};
  }
  return tokens;
}

Test(pool_scheduler, refuses_request_that_excludes_every_upstream) {
  Pool pool(2, 4);
  const auto exclude_all = [](v1::GrantRequest* request) {
    request->add_excluded_upstreams("u0");
    request->add_excluded_upstreams("u1");
  };
  cr_expect(std::holds_alternative<Refused>(pool.Admit("a", exclude_all)));
  const auto exclude_one = [](v1::GrantRequest* request) {
    request->add_excluded_upstreams("u0");
  };
  cr_expect(std::holds_alternative<Granted>(pool.Admit("a", exclude_one)));
}

Test(pool_scheduler,
     queues_during_short_suspension_and_refuses_during_long_one) {
  Pool pool(1, 4);
  pool.Release(GrantOf(pool.Admit("a")), 0, true);
  cr_expect(std::holds_alternative<Queued>(pool.Admit("a")),
            "expected the request to be queued after the first failure");
  Pool failing(1, 4);
  for (int failures = 0; failures < 4; ++failures) {
    failing.Release(GrantOf(failing.Admit("a")), 0, true);
    failing.now += std::chrono::seconds(60);
  }
  failing.Release(GrantOf(failing.Admit("a")), 0, true);
  const AdmissionDecision refused = failing.Admit("a");
  cr_assert(std::holds_alternative<Refused>(refused),
            "expected a refusal after five failures");
  cr_expect_gt(std::get<Refused>(refused).retry_after.count(), 1'000);
  failing.now += std::get<Refused>(refused).retry_after;
  cr_expect(std::holds_alternative<Granted>(failing.Admit("a")),
            "expected a grant after the suggested retry delay");
}

Test(pool_scheduler, shares_tokens_by_weight) {
  Pool pool(1, 2);
  pool.scheduler.SetWeights(
      {{OrganisationId("a"), 3}, {OrganisationId("b"), 1}});
  const auto tokens = ServeTwoOrganisations(&pool, 400);
  const double ratio = tokens.at("a") / tokens.at("b");
  cr_expect(ratio > 2.7 && ratio < 3.3,
            "expected a token ratio of 3 to 1, got %.2f", ratio);
}

/// Queues 50 requests of "a" and then one of "b". Returns the position at which
/// the request of "b" is served, or 0 if it is not.
int PositionAfterBacklog(const QueuePolicy& policy, double delay_ms) {
  SchedulerOptions options;
  options.queue = policy;
  Pool pool(1, 1, options);
  v1::Grant running = GrantOf(pool.Admit("a"));
  for (int number = 0; number < 50; ++number) {
    pool.Admit("a");
  }
  pool.now += milliseconds(static_cast<int>(delay_ms));
  pool.Admit("b");
  for (int served = 1; served <= 60; ++served) {
    pool.Release(running);
    const auto decisions = pool.scheduler.Schedule(pool.now);
    cr_assert_eq(decisions.size(), 1U);
    if (decisions[0].request.organisation() == "b") {
      return served;
    }
    running = std::get<Granted>(decisions[0].outcome).grant;
  }
  return 0;
}

Test(pool_scheduler, backlog_of_one_organisation_does_not_delay_another) {
  const int fair = PositionAfterBacklog(FairQueuePolicy{}, 100);
  cr_expect_eq(fair, 1, "expected the next slot, got slot %d", fair);
  const int fifo = PositionAfterBacklog(FifoQueuePolicy{}, 100);
  cr_expect_eq(fifo, 51, "expected slot 51 with the FIFO policy, got slot %d",
               fifo);
}

/// Returns the number of consecutive slots granted to "b" when it queues
/// requests again after an idle period in which only "a" was served.
int ConsecutiveSlotsAfterIdle(double max_idle_credit_tokens) {
  SchedulerOptions options;
  options.queue = FairQueuePolicy{max_idle_credit_tokens};
  Pool pool(1, 1, options);
  v1::Grant running = GrantOf(pool.Admit("b"));
  for (int number = 0; number < 400; ++number) {
    pool.Admit("a");
  }
  for (int served = 0; served < 200; ++served) {
    pool.Release(running);
    running =
        std::get<Granted>(pool.scheduler.Schedule(pool.now)[0].outcome).grant;
  }
  for (int number = 0; number < 150; ++number) {
    pool.Admit("b");
  }
  int consecutive_slots = 0;
  while (true) {
    pool.Release(running);
    const auto decisions = pool.scheduler.Schedule(pool.now);
    if (decisions[0].request.organisation() != "b") {
      return consecutive_slots;
    }
    running = std::get<Granted>(decisions[0].outcome).grant;
    ++consecutive_slots;
  }
}

Test(pool_scheduler, idle_credit_is_bounded) {
  const int capped = ConsecutiveSlotsAfterIdle(400);
  cr_expect(capped <= 10, "expected at most 10 consecutive slots, got %d",
            capped);
  const int uncapped = ConsecutiveSlotsAfterIdle(1e9);
  cr_expect(uncapped > 100,
            "expected more than 100 consecutive slots without a limit, got %d",
            uncapped);
}

Test(pool_scheduler, sample_with_earliest_deadline_is_served_first) {
  Pool pool(1, 1);
  const v1::Grant running = GrantOf(pool.Admit("a"));
  for (const std::uint64_t deadline : {60'000U, 5'000U, 30'000U}) {
    pool.Admit("a", [&](v1::GrantRequest* request) {
      request->set_kind(v1::WORK_SAMPLE);
      request->set_deadline_ms(deadline);
    });
  }
  pool.Release(running);
  const auto decisions = pool.scheduler.Schedule(pool.now);
  cr_assert_eq(decisions.size(), 1U);
  cr_expect_eq(decisions[0].request.deadline_ms(), 5'000U);
}

Test(pool_scheduler, full_queue_refuses_with_retry_after_from_drain_rate) {
  SchedulerOptions options;
  options.max_queued = 10;
  Pool pool(1, 1, options);
  v1::Grant running = GrantOf(pool.Admit("a"));
  for (int number = 0; number < 10; ++number) {
    pool.Admit("a");
  }
  // One request completes every 200 ms.
  for (int number = 0; number < 6; ++number) {
    pool.now += milliseconds{200};
    pool.Release(running);
    running =
        std::get<Granted>(pool.scheduler.Schedule(pool.now)[0].outcome).grant;
    pool.Admit("a");
  }
  const AdmissionDecision decision = pool.Admit("a");
  cr_assert(std::holds_alternative<Refused>(decision));
  const auto retry_after = std::get<Refused>(decision).retry_after;
  // Eleven requests at 200 ms each; the first release yields no interval.
  cr_expect(
      retry_after > milliseconds{1'500} && retry_after < milliseconds{2'500},
      "retry after %lld ms", static_cast<long long>(retry_after.count()));
  cr_expect_eq(pool.scheduler.queued(), 10U);
}

Test(pool_scheduler, idle_time_does_not_affect_drain_rate) {
  Pool pool(1, 1);
  for (int number = 0; number < 10; ++number) {
    pool.Release(GrantOf(pool.Admit("a")));
    pool.now += seconds{600};
  }
  GrantOf(pool.Admit("a"));
  for (int number = 0; number < 3; ++number) {
    const AdmissionDecision decision = pool.Admit(
        "a",
        [](v1::GrantRequest* request) { request->set_deadline_ms(5'000); });
    cr_expect(
        std::holds_alternative<Queued>(decision),
        "expected request %d of a burst after an idle period to be queued",
        number);
  }
}

Test(pool_scheduler, full_queue_evicts_from_organisation_with_largest_backlog) {
  SchedulerOptions options;
  options.max_queued = 10;
  Pool pool(1, 1, options);
  GrantOf(pool.Admit("a"));
  for (int number = 0; number < 10; ++number) {
    pool.Admit("a");
  }
  cr_assert(std::holds_alternative<Queued>(pool.Admit("b")));
  const auto decisions = pool.scheduler.Schedule(pool.now);
  cr_assert_eq(decisions.size(), 1U);
  cr_expect_eq(decisions[0].request.organisation(), "a");
  cr_expect(std::holds_alternative<Refused>(decisions[0].outcome));
}

Test(pool_scheduler, grants_expire_if_not_released) {
  SchedulerOptions options;
  options.grant_lease = seconds{5};
  options.max_queue_time = seconds{60};
  Pool pool(1, 1, options);
  const v1::Grant lost = GrantOf(pool.Admit("a"));
  pool.Admit("a");
  pool.now += seconds{4};
  cr_expect(pool.scheduler.Schedule(pool.now).empty());
  cr_assert(pool.scheduler.next_wakeup() == kStart + seconds{5});
  pool.now += seconds{1};
  cr_expect_eq(pool.scheduler.Schedule(pool.now).size(), 1U);
  cr_expect(!pool.Release(lost),
            "expected the release of an expired grant to be rejected");
  cr_expect_eq(pool.scheduler.in_flight(), 1U);
}

Test(pool_scheduler, cancelled_request_is_released_once) {
  Pool pool(1, 1);
  GrantOf(pool.Admit("a"));  // r0
  pool.Admit("a");           // r1
  v1::GrantRelease cancellation;
  cancellation.set_request_id("r1");
  cr_expect(pool.scheduler.Release(cancellation, pool.now));
  cr_expect_eq(pool.scheduler.queued(), 0U);
  cancellation.set_request_id("r0");
  cr_expect(pool.scheduler.Release(cancellation, pool.now));
  cr_expect(!pool.scheduler.Release(cancellation, pool.now));
  cr_expect_eq(pool.scheduler.in_flight(), 0U);
}

Test(pool_scheduler, releases_grants_of_failed_entry) {
  Pool pool(1, 2);
  const auto of_entry = [](const char* entry) {
    return [entry](v1::GrantRequest* request) { request->set_entry(entry); };
  };
  GrantOf(pool.Admit("a", of_entry("n1")));
  GrantOf(pool.Admit("a", of_entry("n2")));
  pool.scheduler.ReleaseEntry(NodeId("n1"), pool.now);
  cr_expect_eq(pool.scheduler.in_flight(), 1U);
}

Test(pool_scheduler, stale_report_does_not_override_observed_version) {
  Pool pool(1, 2);
  v1::EngineLoad load;
  load.set_version(4);
  pool.scheduler.ObserveLoad(UpstreamId("u0"), load, pool.now);
  const v1::Grant grant = GrantOf(pool.Admit("a"));
  v1::GrantRelease release;
  release.set_grant_id(grant.grant_id());
  release.set_observed_version(5);
  pool.scheduler.Release(release, pool.now);
  pool.now += seconds{1};
  pool.scheduler.ObserveLoad(UpstreamId("u0"), load, pool.now);
  cr_expect_eq(pool.scheduler.status().upstreams(0).version(), 5U);
  pool.now += seconds{10};
  pool.scheduler.ObserveLoad(UpstreamId("u0"), load, pool.now);
  cr_expect_eq(pool.scheduler.status().upstreams(0).version(), 4U,
               "expected the report to apply once the report lag has passed");
}

struct PolicyCase {
  const char* name;
  ChoicePolicy policy;
};

Test(pool_scheduler, every_policy_grants_exactly_the_available_slots) {
  const std::vector<PolicyCase> cases = {
      {"affinity", AffinityChoice{}},
      {"round robin", RoundRobinChoice{}},
      {"least in flight", LeastInFlightChoice{}},
      {"two random", TwoRandomChoice{}},
  };
  for (const PolicyCase& policy : cases) {
    SchedulerOptions options;
    options.choice = policy.policy;
    Pool pool(5, 3, options);
    int granted = 0;
    for (int number = 0; number < 20; ++number) {
      granted += std::holds_alternative<Granted>(pool.Admit("a")) ? 1 : 0;
    }
    cr_expect_eq(granted, 15, "%s: granted %d of 15 slots", policy.name,
                 granted);
  }
}

Test(pool_scheduler, prefers_upstream_with_cached_prefix) {
  Pool pool(4, 8);
  const auto with_prefix = [](v1::GrantRequest* request) {
    request->add_prefix_hashes(11);
    request->add_prefix_hashes(12);
  };
  const v1::Grant first = GrantOf(pool.Admit("a", with_prefix));
  for (int number = 0; number < 3; ++number) {
    GrantOf(pool.Admit("a"));
  }
  const v1::Grant again = GrantOf(pool.Admit("a", with_prefix));
  cr_expect_eq(again.upstream(), first.upstream());
  v1::CacheEvents evicted;
  for (const std::uint64_t hash : {11U, 12U}) {
    v1::CacheEvent& event = *evicted.add_events();
    event.set_prefix_hash(hash);
    event.set_evicted(true);
  }
  pool.scheduler.ObserveCache(UpstreamId(first.upstream()), evicted, pool.now);
  const v1::Grant elsewhere = GrantOf(pool.Admit("a", with_prefix));
  cr_expect_neq(elsewhere.upstream(), first.upstream());
}

}  // namespace
}  // namespace mulberryroad::dispatch
