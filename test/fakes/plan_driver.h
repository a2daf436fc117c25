// Test driver for BatchPlan: feeds it events and records its decisions by type.

#ifndef MULBERRYROAD_TEST_FAKES_PLAN_DRIVER_H_
#define MULBERRYROAD_TEST_FAKES_PLAN_DRIVER_H_

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "rollout/batch_plan.h"

namespace mulberryroad::fakes {

/// Returns a batch of groups "g0", "g1", ... with equal numbers of samples.
inline v1::BatchSpec MakeSpec(int groups, std::uint32_t samples,
                              std::uint32_t max_tokens = 100) {
  v1::BatchSpec spec;
  spec.set_id("step-1");
  spec.set_organisation("armor");
  spec.set_model("draft");
  for (int i = 0; i < groups; ++i) {
    v1::GroupSpec& group = *spec.add_groups();
    group.set_id("g" + std::to_string(i));
    group.set_prompt("prompt " + std::to_string(i));
    group.set_samples(samples);
    group.set_max_tokens(max_tokens);
  }
  return spec;
}

inline v1::VersionRange MakeRange(std::uint32_t begin, std::uint32_t end,
                                  std::uint32_t version) {
  v1::VersionRange range;
  range.set_begin_token(begin);
  range.set_end_token(end);
  range.set_version(version);
  return range;
}

class PlanDriver {
 public:
  explicit PlanDriver(v1::BatchSpec spec,
                      rollout::BatchPlanOptions options = {},
                      rollout::FreshnessBound bound = {1,
                                                       std::chrono::seconds(0)},
                      std::uint32_t version = 5)
      : plan(std::move(spec), options, MakeFreshness(bound, version), now) {}

  static rollout::Freshness MakeFreshness(rollout::FreshnessBound bound,
                                          std::uint32_t version) {
    rollout::Freshness freshness(bound);
    freshness.SetNewest(version, Instant{});
    return freshness;
  }

  void RecordDecisions(const rollout::BatchDecisions& decisions) {
    for (const rollout::BatchDecision& decision : decisions) {
      std::visit([this](const auto& item) { Record(item); }, decision);
    }
  }
  void Advance(std::chrono::milliseconds by) { now += by; }
  void Tick() { RecordDecisions(plan.Tick(now)); }

  /// Reports tokens of one version for a running attempt.
  void Tokens(const rollout::StartSample& start, std::uint32_t tokens,
              std::uint32_t version, const std::string& upstream = "e1") {
    const std::uint32_t begin = position[start.attempt] == 0
                                    ? start.resume.tokens
                                    : position[start.attempt];
    position[start.attempt] = begin + tokens;
    ranges[start.attempt].push_back(MakeRange(begin, begin + tokens, version));
    plan.OnTokens(start.attempt,
                  {std::string(tokens, 'x'),
                   tokens,
                   {MakeRange(begin, begin + tokens, version)},
                   UpstreamId(upstream)},
                  now);
  }
  /// Finishes an attempt whose tokens are all of one version.
  void Finish(const rollout::StartSample& start, std::uint32_t tokens,
              std::uint32_t version) {
    RecordDecisions(
        plan.OnFinished(start.attempt,
                        {UpstreamId("e1"),
                         std::string(tokens, 'x'),
                         tokens,
                         10,
                         {MakeRange(start.resume.tokens,
                                    start.resume.tokens + tokens, version)}},
                        now));
  }
  /// Finishes an attempt whose tokens were all reported by Tokens.
  void FinishReported(const rollout::StartSample& start) {
    rollout::AttemptResult result;
    result.upstream = UpstreamId("e1");
    result.versions = ranges[start.attempt];
    result.tokens = position[start.attempt] - start.resume.tokens;
    result.text = std::string(result.tokens, 'x');
    RecordDecisions(plan.OnFinished(start.attempt, result, now));
  }
  void Fail(const rollout::StartSample& start, Verdict verdict,
            std::chrono::milliseconds retry_after = {}) {
    RecordDecisions(
        plan.OnFailed(start.attempt,
                      {verdict, "failed", retry_after, UpstreamId("e1")}, now));
  }
  /// Completes all requested copies and bindings, including those requested in
  /// the process.
  void Settle() {
    while (!copies.empty() || !binds.empty()) {
      std::vector<rollout::SampleKey> keys;
      for (const auto& copy : std::exchange(copies, {})) {
        keys.push_back(copy.key);
      }
      if (!keys.empty()) {
        RecordDecisions(plan.OnCopied(keys, now));
      }
      for (const auto& bind : std::exchange(binds, {})) {
        RecordDecisions(plan.OnBound({bind.first_sequence, bind.groups}));
      }
    }
  }
  /// Finishes all attempts started so far, then completes copies and bindings.
  void FinishAll(std::uint32_t version, std::uint32_t tokens = 20) {
    for (const auto& start : std::exchange(starts, {})) {
      Finish(start, tokens, version);
    }
    Settle();
  }
  rollout::Deliver Pull(std::uint64_t cursor, std::uint32_t max = 100) {
    pages.clear();
    RecordDecisions(plan.Pull(cursor, max, now));
    return pages.back();
  }

  Instant now = Instant{} + std::chrono::hours(1);
  std::vector<rollout::StartSample> starts;
  std::vector<rollout::CancelAttempt> cancels;
  std::vector<rollout::CopySample> copies;
  std::vector<rollout::BindGroups> binds;
  std::vector<rollout::Deliver> pages;
  std::vector<rollout::DropSample> drops;
  std::vector<rollout::Bill> bills;
  std::vector<rollout::CloseBatch> closes;
  std::map<rollout::AttemptId, std::uint32_t> position;
  std::map<rollout::AttemptId, rollout::VersionRanges> ranges;
  rollout::BatchPlan plan;

 private:
  void Record(const rollout::StartSample& item) { starts.push_back(item); }
  void Record(const rollout::CancelAttempt& item) { cancels.push_back(item); }
  void Record(const rollout::CopySample& item) { copies.push_back(item); }
  void Record(const rollout::BindGroups& item) { binds.push_back(item); }
  void Record(const rollout::Deliver& item) { pages.push_back(item); }
  void Record(const rollout::DropSample& item) { drops.push_back(item); }
  void Record(const rollout::Bill& item) { bills.push_back(item); }
  void Record(const rollout::CloseBatch& item) { closes.push_back(item); }
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_PLAN_DRIVER_H_
