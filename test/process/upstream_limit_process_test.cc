// Upstreams that name a rate limit in their answers.

#include <cmath>
#include <cstdint>

#include "process/upstream_run.h"

namespace mulberryroad::process {
namespace {

using std::chrono::milliseconds;

constexpr double kLimit = 2;  // Requests per second of each upstream.
constexpr milliseconds kWindow{4'000};
constexpr milliseconds kSettleTime{3'000};
constexpr std::chrono::seconds kRunTime{12};
constexpr double kTolerance = 1.5;
constexpr int kAllowedBurst = 5;
/// Share of the limits that callers must be able to use.
constexpr double kMinGoodput = 0.85;

/// Returns the highest number of runs within kWindow among those that start
/// later than `from_ms`.
int MostRunsInWindow(const std::vector<nlohmann::json>& runs,
                     std::int64_t from_ms) {
  std::vector<std::int64_t> times;
  for (const nlohmann::json& run : runs) {
    if (const auto at = run["at_ms"].get<std::int64_t>(); at > from_ms) {
      times.push_back(at);
    }
  }
  int most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= kWindow.count()) {
      ++first;
    }
    most = std::max(most, static_cast<int>(last - first) + 1);
  }
  return most;
}

// Four nodes get 33 requests per second; two upstreams accept 4.
Test(upstream_limit, nodes_together_exceed_the_limit_of_an_upstream) {
  soak::DeploymentOptions options;
  options.engines = 0;
  options.services = 2;
  options.service_requests_per_second = kLimit;
  UpstreamRun run("upstream-limit", options);
  run.Start();
  run.traffic().Start();
  run.RunFor(kSettleTime + kRunTime);
  run.traffic().Stop();
  const int allowed =
      static_cast<int>(std::floor(kTolerance * kLimit * 4)) + kAllowedBurst;
  for (const std::string& log : run.deployment().UpstreamLogs()) {
    const auto runs = UpstreamRun::ReadRuns(log);
    cr_assert(!runs.empty());
    const auto first = runs.front()["at_ms"].get<std::int64_t>();
    const int most = MostRunsInWindow(runs, first + kSettleTime.count());
    const auto used = std::count_if(runs.begin(), runs.end(),
                                    [first](const nlohmann::json& line) {
                                      return line["at_ms"].get<std::int64_t>() >
                                             first + kSettleTime.count();
                                    });
    cr_expect_geq(static_cast<double>(used),
                  kMinGoodput * kLimit * kRunTime.count(),
                  "%s got only %ld requests in %ld s", log.c_str(),
                  static_cast<long>(used), static_cast<long>(kRunTime.count()));
    cr_expect_leq(most, allowed, "%s got %d requests in 4 s; allowed %d",
                  log.c_str(), most, allowed);
  }
}

}  // namespace
}  // namespace mulberryroad::process
