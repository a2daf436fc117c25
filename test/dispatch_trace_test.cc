// Replays the traces in test/traces/dispatch against the scheduler, and tests
// the fallback share.

#include <criterion/criterion.h>

#include <map>

#include "dispatch/fallback_share.h"
#include "dispatch/pool_scheduler.h"
#include "fakes/trace_file.h"

namespace mulberryroad::dispatch {
namespace {

using fakes::Trace;
using fakes::TraceStep;

/// Applies the steps of one trace to a scheduler.
class Replay {
 public:
  /// Applies one step.
  /// @return the outcome in the notation of the traces' "expect" field
  std::string Apply(const TraceStep& step) {
    now_ = Instant{std::chrono::seconds{100}} +
           std::chrono::milliseconds(static_cast<int>(step.number("at_ms")));
    if (step.has("upstreams")) {
      SetUpstreams(step);
      return "";
    }
    if (step.has("admit")) {
      return Admit(step.message<v1::GrantRequest>("admit"));
    }
    if (step.has("release")) {
      Release(step);
    } else if (step.has("notice")) {
      scheduler_.ApplyNotice(step.message<v1::UpstreamNotice>("notice"), now_);
    } else if (step.has("report")) {
      const TraceStep report = step.step("report");
      scheduler_.ObserveLoad(UpstreamId(report.text("upstream")),
                             report.message<v1::EngineLoad>("load"), now_);
    }
    return Schedule();
  }

 private:
  void SetUpstreams(const TraceStep& step) {
    std::vector<UpstreamSpec> specs;
    for (const TraceStep& listed : step.steps("upstreams")) {
      UpstreamSpec spec;
      spec.id = UpstreamId(listed.text("name"));
      spec.slots = static_cast<std::uint32_t>(listed.number("slots"));
      specs.push_back(spec);
    }
    scheduler_.SetUpstreams(specs);
  }

  std::string RecordGrant(const std::string& request, const Granted& granted) {
    grants_[request] = granted.grant.grant_id();
    return "granted " + granted.grant.upstream();
  }

  std::string Admit(const v1::GrantRequest& request) {
    const AdmissionDecision decision = scheduler_.Admit(request, now_);
    if (const auto* granted = std::get_if<Granted>(&decision)) {
      return RecordGrant(request.request_id(), *granted);
    }
    return std::holds_alternative<Queued>(decision) ? "queued" : "refused";
  }

  void Release(const TraceStep& step) {
    v1::GrantRelease release;
    release.set_grant_id(grants_[step.text("release")]);
    release.set_tokens(static_cast<std::uint32_t>(step.number("tokens")));
    scheduler_.Release(release, now_);
  }

  std::string Schedule() {
    std::string outcome;
    for (const ScheduledDecision& decision : scheduler_.Schedule(now_)) {
      const std::string& request = decision.request.request_id();
      const auto* granted = std::get_if<Granted>(&decision.outcome);
      outcome +=
          (outcome.empty() ? "" : ", ") + request + " " +
          (granted == nullptr ? "refused" : RecordGrant(request, *granted));
    }
    return outcome;
  }

  PoolScheduler scheduler_{SchedulerOptions{}, 1};
  Instant now_{};
  std::map<std::string, std::uint64_t> grants_;
};

Test(dispatch_trace, every_step_has_expected_outcome) {
  const std::vector<Trace> traces = fakes::ReadTraces("dispatch");
  cr_assert_geq(traces.size(), 4U, "%zu traces", traces.size());
  for (const Trace& trace : traces) {
    Replay replay;
    int line = 0;
    for (const TraceStep& step : trace.steps) {
      ++line;
      const std::string outcome = replay.Apply(step);
      cr_expect_eq(outcome, step.text("expect"),
                   "%s:%d: expected \"%s\", got \"%s\"", trace.name.c_str(),
                   line, step.text("expect").c_str(), outcome.c_str());
    }
  }
}

Test(fallback_share, limits_grants_to_share_of_recently_granted_upstreams) {
  const PoolId pool{TargetId("m"), FailureDomainId("north")};
  const Instant start{std::chrono::seconds{100}};
  std::mt19937_64 random(3);
  FallbackShare share;
  v1::Grant recorded;
  recorded.set_upstream("u0");
  recorded.set_slots(8);
  recorded.set_version(2);
  share.RecordGrant(pool, recorded, start);
  v1::GrantRequest request;
  std::vector<v1::Grant> taken;
  while (const auto grant = share.Acquire(pool, request, 4, start, random)) {
    taken.push_back(*grant);
  }
  cr_assert_eq(taken.size(), 2U,
               "expected 2 of 8 slots for one of 4 nodes, got %zu",
               taken.size());
  v1::GrantRelease release;
  release.set_grant_id(taken[0].grant_id());
  cr_expect(share.Release(release));
  cr_expect(!share.Release(release),
            "expected the second release to be rejected");
  request.set_min_version(3);
  cr_expect(!share.Acquire(pool, request, 4, start, random).has_value());
  request.set_min_version(2);
  cr_expect(share.Acquire(pool, request, 4, start, random).has_value());
  share.Release(release);
  const Instant later =
      start + FallbackShare::kMaxGrantAge + std::chrono::milliseconds{1};
  release.set_grant_id(taken[1].grant_id());
  cr_expect(share.Release(release));
  cr_expect(!share.Acquire(pool, request, 4, later, random).has_value(),
            "expected no grant on an upstream without a recent grant");
}

}  // namespace
}  // namespace mulberryroad::dispatch
