// The soak's checks find what they look for, and its faults follow the seed.

#include <criterion/criterion.h>

#include <set>
#include <sstream>

#include "fakes/platform/fake_replica.h"
#include "soak/checks.h"
#include "soak/faults.h"

namespace mulberryroad::soak {
namespace {

UpstreamNotes Notes(const std::string& lines) {
  UpstreamNotes notes;
  std::istringstream log(lines);
  notes.Read(log);
  return notes;
}

Attempt Answered(const char* id, RequestKind kind) {
  Attempt attempt;
  attempt.id = id;
  attempt.kind = kind;
  attempt.organisation = "org-a";
  attempt.status = 200;
  attempt.signed_answer = true;
  attempt.own_body = true;
  return attempt;
}

constexpr char kOneRun[] =
    R"({"run":"r1","at_ms":1,"organisation":"org-a","key_seen":false})"
    "\n";

std::size_t Violations(const Attempt& attempt, const std::string& notes) {
  Verdicts verdicts;
  CheckRequests({attempt}, {}, Notes(notes), &verdicts);
  return verdicts.violations.size();
}

Test(soak_checks, sound_request_passes) {
  cr_assert_eq(Violations(Answered("r1", RequestKind::kNonIdempotent), kOneRun),
               0);
}

Test(soak_checks, second_run_and_untrue_refusal_are_found) {
  cr_assert_eq(Violations(Answered("r1", RequestKind::kNonIdempotent),
                          std::string(kOneRun) + kOneRun),
               1);
  Attempt refused = Answered("r1", RequestKind::kNonIdempotent);
  refused.status = 503;
  cr_assert_eq(Violations(refused, kOneRun), 1);
}

Test(soak_checks, foreign_answers_and_organisations_are_found) {
  Attempt foreign = Answered("r1", RequestKind::kIdempotent);
  foreign.own_body = false;
  cr_assert_eq(Violations(foreign, kOneRun), 1);
  Attempt of_b = Answered("r1", RequestKind::kIdempotent);
  of_b.organisation = "org-b";
  cr_assert_eq(Violations(of_b, kOneRun), 1);
  cr_assert_eq(Violations(Answered("r2", RequestKind::kIdempotent), kOneRun), 2,
               "r2 never ran and r1 was never sent");
}

Step OneItemStep(const std::string& text, std::uint64_t version) {
  Step step;
  step.id = "step-a0";
  step.min_version = 2;
  step.accepted = true;
  step.events_by_item["i"] = 2;
  step.results.push_back({"i", "completed", text, {version}, ""});
  return step;
}

std::size_t StepViolations(const Step& step) {
  Verdicts verdicts;
  CheckSteps({step}, "org-a",
             Notes("{\"event\":\"i\",\"number\":1,\"version\":2}\n"
                   "{\"event\":\"i\",\"number\":2,\"version\":2}\n"
                   "{\"run\":\"i\",\"at_ms\":9000,"
                   "\"organisation\":\"org-a\"}\n"),
             /*calm=*/true, &verdicts);
  return verdicts.violations.size();
}

Test(soak_checks, wrong_texts_versions_and_repeats_are_found) {
  cr_assert_eq(StepViolations(OneItemStep("i-1\ni-2", 2)), 0);
  cr_assert_eq(StepViolations(OneItemStep("i-1", 2)), 1);
  cr_assert_eq(StepViolations(OneItemStep("i-1\ni-2", 3)), 1);
  Step old = OneItemStep("i-1\ni-2", 2);
  old.min_version = 3;
  cr_assert_eq(StepViolations(old), 1);
  Step twice = OneItemStep("i-1\ni-2", 2);
  twice.results.push_back(twice.results.front());
  cr_assert_eq(StepViolations(twice), 1);
}

Test(soak_checks, item_that_starts_after_its_batchs_end_is_found) {
  Step step = OneItemStep("i-1\ni-2", 2);
  step.ended = true;
  step.ended_at = std::chrono::system_clock::time_point(
      std::chrono::milliseconds(9'000) - kCancelTime);
  cr_assert_eq(StepViolations(step), 0);
  step.ended_at -= std::chrono::milliseconds(1);
  cr_assert_eq(StepViolations(step), 1);
}

// Violations of a step whose item was made at 20 ms and scored by a call that
// ran at `scored_at`.
std::size_t ScoreViolations(const Step& step, const char* scored_at) {
  Verdicts verdicts;
  CheckSteps({step}, "org-a",
             Notes("{\"event\":\"i\",\"number\":1,\"version\":2,\"at_ms\":10}\n"
                   "{\"event\":\"i\",\"number\":2,\"version\":2,\"at_ms\":20}\n"
                   "{\"run\":\"i-score\",\"organisation\":\"\",\"at_ms\":" +
                   std::string(scored_at) + "}\n"),
             /*calm=*/false, &verdicts);
  return verdicts.violations.size();
}

Test(soak_checks, foreign_early_and_missing_scores_are_found) {
  Step step = OneItemStep("i-1\ni-2", 2);
  cr_assert_eq(ScoreViolations(step, "21"), 0);
  step.scorer_calls["i"] = "i-score";
  cr_assert_eq(ScoreViolations(step, "21"), 1, "the item has no score");
  step.results[0].score = "u1.i-score";
  cr_assert_eq(ScoreViolations(step, "21"), 0);
  cr_assert_eq(ScoreViolations(step, "19"), 1, "the call ran too early");
  step.results[0].score = "u1.other-score";
  cr_assert_eq(ScoreViolations(step, "21"), 1, "the score is another item's");
  step.results[0].score = "u1.i-score";
  step.unscorable.insert("i");
  cr_assert_eq(ScoreViolations(step, "21"), 1, "the call always fails");
}

Test(soak_checks, two_holders_of_one_token_are_found) {
  Verdicts verdicts;
  CheckOrders(Notes("{\"order\":\"u1\",\"holder\":\"a\",\"fence\":3}\n"
                    "{\"order\":\"u1\",\"holder\":\"b\",\"fence\":3}\n"),
              &verdicts);
  cr_assert_eq(verdicts.violations.size(), 1);
}

Test(soak_faults, seeds_repeat_and_cover_every_kind) {
  std::set<FaultKind> kinds;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    const std::vector<Fault> faults = DrawFaults(seed, {});
    const std::vector<Fault> again = DrawFaults(seed, {});
    cr_assert_eq(faults.size(), again.size());
    for (std::size_t i = 0; i < faults.size(); ++i) {
      cr_assert(faults[i].kind == again[i].kind);
      cr_assert(faults[i].at == again[i].at);
      kinds.insert(faults[i].kind);
    }
  }
  cr_assert_eq(kinds.size(), static_cast<std::size_t>(FaultKind::kCount));
}

}  // namespace
}  // namespace mulberryroad::soak
