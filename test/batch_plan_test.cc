#include "rollout/batch_plan.h"

#include <criterion/criterion.h>

#include <chrono>
#include <cinttypes>

#include "fakes/plan_driver.h"

namespace mulberryroad {
namespace {

using fakes::MakeRange;
using fakes::MakeSpec;
using fakes::PlanDriver;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(batch_plan, starts_no_more_attempts_than_the_limit) {
  struct Case {
    int groups;
    std::uint32_t samples;
    std::size_t window;
    std::size_t expected;
  };
  const Case cases[] = {{2, 4, 3, 3}, {2, 4, 100, 8}, {1, 1, 1, 1}};
  for (const Case& c : cases) {
    rollout::BatchPlanOptions options;
    options.max_outstanding = c.window;
    PlanDriver driver(MakeSpec(c.groups, c.samples), options);
    driver.Tick();
    cr_assert_eq(driver.starts.size(), c.expected,
                 "window %zu: expected %zu attempts, found %zu", c.window,
                 c.expected, driver.starts.size());
  }
}

Test(batch_plan, binds_a_group_only_once_it_is_complete_and_copied) {
  PlanDriver driver(MakeSpec(2, 2));
  driver.Tick();
  driver.Finish(driver.starts[0], 20, 5);
  driver.Finish(driver.starts[2], 20, 5);
  driver.Finish(driver.starts[3], 20, 5);
  cr_assert(driver.binds.empty(), "bound before the copies were stored");
  driver.RecordDecisions(
      driver.plan.OnCopied({{0, 0}, {1, 0}, {1, 1}}, driver.now));
  cr_assert_eq(driver.binds.size(), 1, "expected one binding, found %zu",
               driver.binds.size());
  cr_assert_eq(driver.binds[0].groups, std::vector<std::string>{"g1"});
}

Test(batch_plan, delivers_nothing_before_its_sequence_number_is_bound) {
  PlanDriver driver(MakeSpec(1, 2));
  driver.Tick();
  for (const auto& start : driver.starts) {
    driver.Finish(start, 20, 5);
  }
  driver.RecordDecisions(driver.plan.OnCopied({{0, 0}, {0, 1}}, driver.now));
  cr_assert_eq(driver.binds.size(), 1);
  cr_assert(driver.Pull(0).samples.empty(), "delivered before the binding");
  driver.RecordDecisions(driver.plan.OnBound({0, {"g0"}}));
  const rollout::Deliver page = driver.Pull(0);
  cr_assert_eq(page.samples.size(), 2, "expected 2 samples, found %zu",
               page.samples.size());
  cr_assert(page.complete);
  cr_assert_eq(page.samples[1].sequence(), 1);
}

Test(batch_plan, binds_groups_completed_during_an_append_together) {
  PlanDriver driver(MakeSpec(3, 1));
  driver.Tick();
  const auto starts = driver.starts;
  driver.Finish(starts[0], 20, 5);
  driver.RecordDecisions(driver.plan.OnCopied({{0, 0}}, driver.now));
  driver.Finish(starts[1], 20, 5);
  driver.Finish(starts[2], 20, 5);
  driver.RecordDecisions(driver.plan.OnCopied({{1, 0}, {2, 0}}, driver.now));
  cr_assert_eq(driver.binds.size(), 1, "expected one binding in flight");
  driver.RecordDecisions(driver.plan.OnBound({0, {"g0"}}));
  cr_assert_eq(driver.binds.size(), 2);
  cr_assert_eq(driver.binds[1].first_sequence, 1);
  cr_assert_eq(driver.binds[1].groups, (std::vector<std::string>{"g1", "g2"}));
}

Test(batch_plan, retries_binding_after_a_failed_append) {
  PlanDriver driver(MakeSpec(1, 1));
  driver.Tick();
  driver.Finish(driver.starts[0], 20, 5);
  driver.RecordDecisions(driver.plan.OnCopied({{0, 0}}, driver.now));
  driver.RecordDecisions(driver.plan.OnBindFailed());
  cr_assert_eq(driver.binds.size(), 2);
  // The first append succeeded after all, so the record of the second is
  // ignored.
  driver.RecordDecisions(driver.plan.OnBound({0, {"g0"}}));
  driver.RecordDecisions(driver.plan.OnBindFailed());
  cr_assert_eq(driver.binds.size(), 2, "bound a group twice");
  cr_assert_eq(driver.plan.bound_samples(), 1);
}

Test(batch_plan, a_repeated_pull_gives_the_same_samples) {
  PlanDriver driver(MakeSpec(2, 2));
  driver.Tick();
  driver.FinishAll(5);
  const rollout::Deliver first = driver.Pull(0, 3);
  const rollout::Deliver again = driver.Pull(0, 3);
  cr_assert_eq(first.samples.size(), 3);
  cr_assert_eq(again.samples.size(), 3);
  for (std::size_t i = 0; i < 3; ++i) {
    cr_assert_eq(first.samples[i].SerializeAsString(),
                 again.samples[i].SerializeAsString(),
                 "sample %zu differs in the repeated pull", i);
  }
}

Test(batch_plan, bills_each_sample_once) {
  struct Case {
    const char* name;
    std::vector<std::uint64_t> acknowledgements;
    std::uint64_t billed;
    bool closed;
  };
  const Case cases[] = {
      {"one by one", {1, 2, 3, 4}, 4, true},
      {"repeated", {2, 2, 2}, 2, false},
      {"falling", {3, 1}, 3, false},
      {"past the end", {9}, 4, true},
      {"repeated at the end", {4, 4}, 4, true},
  };
  for (const Case& c : cases) {
    PlanDriver driver(MakeSpec(2, 2));
    driver.Tick();
    driver.FinishAll(5);
    driver.Pull(0);
    for (const std::uint64_t cursor : c.acknowledgements) {
      driver.RecordDecisions(driver.plan.Acknowledge(cursor, driver.now));
    }
    std::uint64_t billed = 0;
    for (const auto& bill : driver.bills) {
      billed += bill.samples;
    }
    cr_assert_eq(billed, c.billed, "%s: expected %" PRIu64 ", found %" PRIu64,
                 c.name, c.billed, billed);
    cr_assert_eq(driver.closes.size(), c.closed ? 1 : 0, "%s", c.name);
  }
}

Test(batch_plan, resumes_with_the_labels_of_both_parts) {
  PlanDriver driver(MakeSpec(1, 1));
  driver.Tick();
  driver.Tokens(driver.starts[0], 8, 4);
  driver.Tokens(driver.starts[0], 4, 5);
  driver.Fail(driver.starts[0], Verdict::kMayHaveRun);
  cr_assert_eq(driver.starts.size(), 2, "no attempt resumed");
  const rollout::StartSample& resumed = driver.starts[1];
  cr_assert_eq(resumed.resume.tokens, 12);
  cr_assert_eq(resumed.excluded, std::vector<UpstreamId>{UpstreamId("e1")});
  driver.Finish(resumed, 6, 5);
  const v1::Sample& sample = driver.copies.at(0).sample;
  cr_assert_eq(sample.tokens(), 18);
  cr_assert_eq(sample.text().size(), 18);
  cr_assert_eq(sample.versions_size(), 2);
  cr_assert_eq(sample.versions(0).version(), 4);
  cr_assert_eq(sample.versions(0).end_token(), 8);
  cr_assert_eq(sample.versions(1).begin_token(), 8);
  cr_assert_eq(sample.versions(1).end_token(), 18);
}

Test(batch_plan, waits_for_the_retry_delay_of_a_refusal) {
  PlanDriver driver(MakeSpec(1, 1));
  driver.Tick();
  driver.Fail(driver.starts[0], Verdict::kNotRun, seconds(2));
  driver.Advance(milliseconds(1'900));
  driver.Tick();
  cr_assert_eq(driver.starts.size(), 1, "retried before the delay ended");
  driver.Advance(milliseconds(100));
  driver.Tick();
  cr_assert_eq(driver.starts.size(), 2, "not retried after the delay");
}

Test(batch_plan, ignores_a_late_completion_of_a_cancelled_attempt) {
  PlanDriver driver(MakeSpec(1, 1));
  driver.Tick();
  driver.Tokens(driver.starts[0], 5, 4);
  driver.RecordDecisions(driver.plan.OnNewestVersion(6, driver.now));
  cr_assert_eq(driver.cancels.size(), 1, "expected a cancel, found %zu",
               driver.cancels.size());
  driver.Finish(driver.starts[0], 20, 4);
  cr_assert(driver.copies.empty(), "a cancelled attempt became the sample");
  driver.Finish(driver.starts.at(1), 20, 6);
  driver.Finish(driver.starts[0], 20, 4);
  cr_assert_eq(driver.copies.size(), 1);
  cr_assert_eq(driver.copies[0].sample.versions(0).version(), 6);
}

Test(batch_plan, regenerates_samples_past_the_staleness_bound) {
  struct Case {
    const char* name;
    milliseconds later;
    rollout::FreshnessBound bound;
    std::uint32_t newest;
    bool dropped;
  };
  const Case cases[] = {
      {"same version", milliseconds(0), {0, seconds(0)}, 5, false},
      {"one behind of none", milliseconds(0), {0, seconds(0)}, 6, true},
      {"one behind of one", milliseconds(0), {1, seconds(0)}, 6, false},
      {"two behind of one", milliseconds(0), {1, seconds(0)}, 7, true},
      {"at the age", milliseconds(60'000), {1, seconds(60)}, 5, false},
      {"past the age", milliseconds(60'001), {1, seconds(60)}, 5, true},
  };
  for (const Case& c : cases) {
    PlanDriver driver(MakeSpec(1, 1), {}, c.bound);
    driver.Tick();
    driver.Tokens(driver.starts[0], 20, 5);
    driver.FinishAll(5);
    driver.Advance(c.later);
    driver.RecordDecisions(driver.plan.OnNewestVersion(c.newest, driver.now));
    const rollout::Deliver page = driver.Pull(0);
    cr_assert_eq(page.samples.empty(), c.dropped, "%s: delivered %zu samples",
                 c.name, page.samples.size());
    cr_assert_eq(driver.drops.size(), c.dropped ? 1 : 0, "%s", c.name);
    if (c.dropped) {
      driver.FinishAll(c.newest);
      const rollout::Deliver fresh = driver.Pull(0);
      cr_assert_eq(fresh.samples.size(), 1, "%s: not generated again", c.name);
      cr_assert_eq(fresh.samples[0].sequence(), 0, "%s", c.name);
    }
  }
}

Test(batch_plan, requests_a_version_allowed_until_the_generation_ends) {
  rollout::Freshness freshness({1, seconds(0)});
  const Instant start{};
  freshness.SetNewest(5, start);
  freshness.SetNewest(6, start + seconds(100));
  struct Case {
    seconds at;
    seconds expected;
    std::uint32_t min_version;
  };
  const Case cases[] = {{seconds(110), seconds(10), 5},
                        {seconds(110), seconds(89), 5},
                        {seconds(110), seconds(90), 6},
                        {seconds(250), seconds(1), 6}};
  for (const Case& c : cases) {
    const std::uint32_t found =
        freshness.MinVersionToStart(start + c.at, c.expected);
    cr_assert_eq(found, c.min_version, "at %lld s for %lld s: found %u",
                 static_cast<long long>(c.at.count()),
                 static_cast<long long>(c.expected.count()), found);
  }
}

// Finishes nine of ten samples and lets the attempt at the other one stall.
void RunToStraggler(PlanDriver* driver) {
  driver->Tick();
  const auto starts = driver->starts;
  for (const auto& start : starts) {
    driver->Advance(milliseconds(10));
    driver->Tokens(start, 2, 5, start.attempt == 1 ? "slow" : "fast");
  }
  driver->Advance(seconds(1));
  for (std::size_t i = 1; i < starts.size(); ++i) {
    driver->Finish(starts[i], 40, 5);
  }
  driver->Settle();
  driver->Advance(seconds(60));
  driver->starts.clear();
  driver->Tick();
}

Test(batch_plan,
     hedges_a_straggler_on_another_upstream_and_keeps_the_first_result) {
  rollout::BatchPlanOptions options;
  options.hedge.cost_share = 0.5;
  PlanDriver driver(MakeSpec(1, 10), options);
  RunToStraggler(&driver);
  cr_assert_eq(driver.starts.size(), 1, "expected one hedge, found %zu",
               driver.starts.size());
  const rollout::StartSample hedge = driver.starts[0];
  cr_assert(hedge.hedge);
  cr_assert_eq(hedge.excluded, std::vector<UpstreamId>{UpstreamId("slow")});
  cr_assert_eq(hedge.resume.tokens, 2, "the hedge does not resume");
  driver.Finish(hedge, 38, 5);
  cr_assert_eq(driver.cancels.size(), 1, "the slow attempt still runs");
  cr_assert_eq(driver.cancels[0].attempt, 1);
  cr_assert_eq(driver.plan.counts().wasted_tokens, 2);
  driver.Settle();
  cr_assert_eq(driver.Pull(0).samples.size(), 10);
}

Test(batch_plan, hedges_only_within_the_token_budget) {
  struct Case {
    const char* name;
    bool enabled;
    double cost_share;
    std::size_t hedges;
  };
  const Case cases[] = {{"off", false, 0.5, 0},
                        {"no budget", true, 0.0, 0},
                        {"too small", true, 0.01, 0},
                        {"enough", true, 0.5, 1}};
  for (const Case& c : cases) {
    rollout::BatchPlanOptions options;
    options.hedge.enabled = c.enabled;
    options.hedge.cost_share = c.cost_share;
    PlanDriver driver(MakeSpec(1, 10), options);
    RunToStraggler(&driver);
    cr_assert_eq(driver.starts.size(), c.hedges, "%s: found %zu hedges", c.name,
                 driver.starts.size());
  }
}

Test(batch_plan, recovers_from_bindings_and_copies) {
  PlanDriver owner(MakeSpec(3, 1));
  owner.Tick();
  const auto starts = owner.starts;
  owner.Finish(starts[1], 20, 5);
  owner.Finish(starts[0], 20, 5);
  const auto copies = owner.copies;
  rollout::Bindings bindings;
  v1::BatchOpened opened;
  opened.set_spec_sha256("digest");
  opened.set_epoch(3);
  cr_assert(bindings.Apply(opened));
  v1::SequenceBound bound;
  bound.set_epoch(3);
  bound.add_groups("g1");
  bound.add_groups("g0");
  cr_assert(bindings.Apply(bound, 2));

  struct Case {
    const char* name;
    std::size_t copies_kept;
    std::uint64_t acknowledged;
    std::size_t started;
    std::size_t first_page;
  };
  const Case cases[] = {{"copies kept", 2, 0, 1, 2},
                        {"one copy lost", 1, 0, 2, 1},
                        {"both copies lost", 0, 0, 3, 0},
                        {"both lost, one acknowledged", 0, 1, 2, 0},
                        {"all bound acknowledged", 0, 2, 1, 0}};
  for (const Case& c : cases) {
    PlanDriver successor(MakeSpec(3, 1));
    successor.plan.Restore(bindings);
    successor.plan.RestoreAcknowledged(c.acknowledged);
    for (std::size_t i = 0; i < c.copies_kept; ++i) {
      successor.plan.Restore(copies[i].sample, successor.now);
    }
    successor.copies = successor.plan.FinishedSamples();
    successor.Tick();
    successor.Settle();
    cr_assert_eq(successor.starts.size(), c.started, "%s: started %zu", c.name,
                 successor.starts.size());
    const std::size_t page = successor.Pull(c.acknowledged).samples.size();
    cr_assert_eq(page, c.first_page, "%s: first page has %zu", c.name, page);
    successor.FinishAll(5);
    const rollout::Deliver rest = successor.Pull(c.acknowledged);
    cr_assert_eq(rest.samples.size(), 3 - c.acknowledged, "%s", c.name);
    cr_assert(rest.complete, "%s", c.name);
    if (c.acknowledged == 0) {
      cr_assert_str_eq(rest.samples[0].group().c_str(), "g1", "%s", c.name);
    }
  }
}

Test(batch_plan, closes_an_abandoned_batch_and_bills_pulled_samples) {
  PlanDriver driver(MakeSpec(2, 1));
  driver.Tick();
  driver.FinishAll(5);
  driver.Pull(0, 1);
  driver.Advance(std::chrono::hours(2));
  driver.Tick();
  cr_assert_eq(driver.closes.size(), 1);
  cr_assert_eq(driver.bills.at(0).samples, 1);
}

Test(batch_plan, never_delivers_a_sample_without_labels) {
  PlanDriver driver(MakeSpec(1, 1));
  driver.Tick();
  driver.RecordDecisions(driver.plan.OnFinished(
      driver.starts[0].attempt,
      {UpstreamId("e1"), "text", 4, 10, {MakeRange(0, 3, 5)}}, driver.now));
  cr_assert(driver.copies.empty(), "copied a sample with an unlabelled token");
  cr_assert_eq(driver.drops.size(), 1);
}

}  // namespace
}  // namespace mulberryroad
