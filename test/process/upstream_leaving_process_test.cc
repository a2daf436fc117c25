// Upstreams that say in their answers that they leave.

#include <cstdint>

#include "process/upstream_run.h"

namespace mulberryroad::process {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLeavesAfter{8'000};
// In which each node has got an answer of the upstream.
constexpr milliseconds kLearnTime{1'000};
constexpr milliseconds kDrainTime{2'000};

// The store lists the upstream as ready all the time.
Test(upstream_leaving, requests_reach_an_upstream_that_said_it_leaves) {
  soak::DeploymentOptions options;
  options.engines = 0;
  options.services = 3;
  options.first_upstream_leaves_after = kLeavesAfter;
  UpstreamRun run("upstream-leaving", options);
  run.Start();
  run.traffic().Start();
  run.RunFor(kLeavesAfter + kLearnTime + kDrainTime + milliseconds(3'000));
  run.traffic().Stop();
  const std::string log = run.deployment().UpstreamLogs().front();
  const auto runs = UpstreamRun::ReadRuns(log);
  cr_assert(!runs.empty());
  const auto first = runs.front()["at_ms"].get<std::int64_t>();
  const auto end = first + (kLeavesAfter + kLearnTime + kDrainTime).count();
  const auto late =
      std::count_if(runs.begin(), runs.end(), [end](const auto& line) {
        return line["at_ms"].template get<std::int64_t>() > end;
      });
  cr_expect_eq(late, 0, "%ld runs later than %ld ms after it said so",
               static_cast<long>(late), static_cast<long>(kDrainTime.count()));
  const auto answered = std::count_if(
      run.traffic().attempts().begin(), run.traffic().attempts().end(),
      [](const soak::Attempt& attempt) { return attempt.status == 200; });
  cr_expect_gt(answered, 200, "%ld requests were answered",
               static_cast<long>(answered));
}

}  // namespace
}  // namespace mulberryroad::process
