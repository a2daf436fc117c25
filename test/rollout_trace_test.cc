// Replays the traces in test/traces/rollout against BatchPlan. Each line of a
// trace is an event or an expected outcome.

#include <criterion/criterion.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "base/json.h"
#include "fakes/plan_driver.h"
#include "mulberryroad/replay.pb.h"

namespace mulberryroad {
namespace {

using fakes::PlanDriver;

class TraceRunner {
 public:
  void ApplyEvent(const v1::PlanEvent& event) {
    if (event.has_open()) {
      open_ = event.open();
      newest_ = open_.version();
      CreatePlan();
    }
    driver_->now = Instant{} + std::chrono::milliseconds(event.at_ms());
    switch (event.kind_case()) {
      case v1::PlanEvent::kTokens:
        driver_->Tokens(Start(event.tokens()), event.tokens().tokens(),
                        event.tokens().version());
        break;
      case v1::PlanEvent::kFinish:
        Finish(event.finish());
        break;
      case v1::PlanEvent::kFail:
        driver_->Fail(Start(event.fail()), event.fail().not_run()
                                               ? Verdict::kNotRun
                                               : Verdict::kMayHaveRun);
        break;
      case v1::PlanEvent::kSettle:
        Settle();
        break;
      case v1::PlanEvent::kCopyOnly:
        Copy();
        break;
      case v1::PlanEvent::kNewestVersion:
        newest_ = event.newest_version();
        driver_->RecordDecisions(
            driver_->plan.OnNewestVersion(newest_, driver_->now));
        break;
      case v1::PlanEvent::kPull:
        page_ = driver_->Pull(event.pull());
        break;
      case v1::PlanEvent::kAcknowledge:
        driver_->RecordDecisions(
            driver_->plan.Acknowledge(event.acknowledge(), driver_->now));
        break;
      case v1::PlanEvent::kTakeover:
        TakeOver(event);
        break;
      default:
        break;
    }
    driver_->Tick();
  }

  // Returns the last page and the decisions since the last call.
  v1::PlanOutcome Outcome() {
    v1::PlanOutcome outcome;
    for (const v1::Sample& sample : page_.samples) {
      std::string versions;
      for (const v1::VersionRange& range : sample.versions()) {
        versions +=
            (versions.empty() ? "" : ",") + std::to_string(range.version());
      }
      outcome.add_page(sample.group() + "/" + std::to_string(sample.index()) +
                       "@" + std::to_string(sample.sequence()) + ":" +
                       versions);
    }
    outcome.set_started(driver_->starts.size() - seen_starts_);
    seen_starts_ = driver_->starts.size();
    outcome.set_cancelled(driver_->cancels.size());
    outcome.set_dropped(driver_->drops.size());
    outcome.set_closed(driver_->closes.size());
    for (const rollout::Bill& bill : driver_->bills) {
      outcome.set_billed(outcome.billed() + bill.samples);
    }
    driver_->cancels.clear();
    driver_->drops.clear();
    driver_->closes.clear();
    driver_->bills.clear();
    return outcome;
  }

 private:
  void CreatePlan() {
    driver_ = std::make_unique<PlanDriver>(
        fakes::MakeSpec(open_.groups(), open_.samples()),
        rollout::BatchPlanOptions{},
        rollout::FreshnessBound{open_.max_versions_behind(),
                                std::chrono::seconds(open_.max_age_seconds())},
        newest_);
    seen_starts_ = 0;
  }

  const rollout::StartSample& Start(const v1::PlanAttempt& attempt) const {
    return driver_->starts.at(attempt.attempt() - 1);
  }

  // The result of an attempt includes the tokens that it reported earlier.
  void Finish(const v1::PlanAttempt& attempt) {
    const rollout::StartSample start = Start(attempt);
    const std::uint32_t seen = driver_->position[start.attempt];
    if (seen == 0) {
      driver_->Finish(start, attempt.tokens(), attempt.version());
      return;
    }
    driver_->Tokens(start, attempt.tokens(), attempt.version());
    driver_->FinishReported(start);
  }

  void Copy() {
    std::vector<rollout::SampleKey> keys;
    for (const rollout::CopySample& copy : std::exchange(driver_->copies, {})) {
      keys.push_back(copy.key);
      copies_.push_back(copy.sample);
    }
    driver_->RecordDecisions(driver_->plan.OnCopied(keys, driver_->now));
  }

  void Settle() {
    Copy();
    while (!driver_->binds.empty()) {
      for (const auto& bind : std::exchange(driver_->binds, {})) {
        v1::BatchOpened opened;
        opened.set_spec_sha256("digest");
        opened.set_epoch(epoch_);
        bindings_.Apply(opened);
        v1::SequenceBound bound;
        bound.set_epoch(epoch_);
        bound.set_first_sequence(bind.first_sequence);
        bound.mutable_groups()->Add(bind.groups.begin(), bind.groups.end());
        cr_assert(bindings_.Apply(bound, bind.groups.size() * open_.samples()));
        driver_->RecordDecisions(
            driver_->plan.OnBound({bind.first_sequence, bind.groups}));
      }
    }
  }

  void TakeOver(const v1::PlanEvent& event) {
    ++epoch_;
    CreatePlan();
    driver_->now = Instant{} + std::chrono::milliseconds(event.at_ms());
    driver_->plan.Restore(bindings_);
    if (event.takeover().copies_lost()) {
      copies_.clear();
    }
    for (const v1::Sample& copy : copies_) {
      driver_->plan.Restore(copy, driver_->now);
    }
    driver_->copies = driver_->plan.FinishedSamples();
    driver_->RecordDecisions(
        driver_->plan.Acknowledge(event.takeover().cursor(), driver_->now));
  }

  v1::PlanOpen open_;
  std::uint32_t newest_ = 0;
  std::uint64_t epoch_ = 1;
  std::unique_ptr<PlanDriver> driver_;
  rollout::Deliver page_;
  rollout::Bindings bindings_;
  std::vector<v1::Sample> copies_;
  std::size_t seen_starts_ = 0;
};

Test(rollout_trace, every_recorded_trace_has_its_expected_outcome) {
  std::size_t traces = 0;
  for (const auto& file : std::filesystem::directory_iterator(
           std::string(TEST_DATA_DIR) + "/traces/rollout")) {
    ++traces;
    const std::string name = file.path().filename().string();
    std::ifstream in(file.path());
    TraceRunner run;
    std::string line;
    for (int number = 1; std::getline(in, line); ++number) {
      v1::PlanEvent event;
      std::string reason;
      cr_assert(base::FromJson(line, &event, &reason), "%s:%d: %s",
                name.c_str(), number, reason.c_str());
      if (!event.has_expect()) {
        run.ApplyEvent(event);
        continue;
      }
      const std::string expected = base::ToJson(event.expect());
      const std::string found = base::ToJson(run.Outcome());
      cr_assert_str_eq(found.c_str(), expected.c_str(),
                       "%s:%d: expected %s, found %s", name.c_str(), number,
                       expected.c_str(), found.c_str());
    }
  }
  cr_assert_geq(traces, 8, "found %zu traces", traces);
}

}  // namespace
}  // namespace mulberryroad
