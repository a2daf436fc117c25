// Requests under which upstreams crash.

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "process/upstream_run.h"

namespace mulberryroad::process {
namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr milliseconds kSpreadTime{3'000};
constexpr int kAllowedRuns = 3;
constexpr char kPath[] = "/reports/same";

/// Callers that send one content again and again, to any node.
class Callers {
 public:
  explicit Callers(UpstreamRun& run) : run_(run) {}

  /// Sends a request with this body and records its status in `statuses`.
  void Send(const std::string& body) {
    http::ClientRequest request;
    request.endpoint = run_.deployment().PickNode(random_).front;
    request.method = http::Method::kPost;
    request.path = kPath;
    request.headers = {{"Host", soak::kHost},
                       {"Request-Id", body + std::to_string(next_++)},
                       {"Deadline-Ms", "2000"},
                       {"Credential", soak::kKeyOfA}};
    request.body = body;
    run_.client().Send(
        std::move(request), [this, body](const http::Result& result) {
          const auto* response = std::get_if<http::Response>(&result);
          ++statuses[body][response == nullptr ? 0 : response->status];
        });
  }

  std::map<std::string, std::map<int, int>> statuses;

 private:
  UpstreamRun& run_;
  std::mt19937_64 random_{1};
  int next_ = 0;
};

// All nodes get the crashing content; upstreams start again after each crash.
Test(crashing_request, repeats_crash_more_upstreams_at_other_nodes) {
  soak::DeploymentOptions options;
  options.engines = 0;
  options.services = 4;
  UpstreamRun run("crashing-request", options);
  run.Start();
  Callers callers(run);
  const std::string crashing = "crash";
  const std::string sound = "sound";
  for (int i = 0; i < 40; ++i) {
    callers.Send(crashing);
    callers.Send(sound);
    run.RunFor(milliseconds(250));
  }
  run.RunFor(milliseconds(2'500));
  std::vector<std::int64_t> crashes;
  for (const std::string& log : run.deployment().UpstreamLogs()) {
    for (const nlohmann::json& line : UpstreamRun::ReadRuns(log)) {
      if (line["run"].get<std::string>().starts_with(crashing)) {
        crashes.push_back(line["at_ms"].get<std::int64_t>());
      }
    }
  }
  std::sort(crashes.begin(), crashes.end());
  cr_assert_geq(crashes.size(), 3);
  const auto late = std::count_if(
      crashes.begin(), crashes.end(), [&crashes](std::int64_t at) {
        return at > crashes[2] + kSpreadTime.count();
      });
  cr_expect_leq(late, kAllowedRuns,
                "%ld runs later than 3 s after the third crash",
                static_cast<long>(late));
  cr_expect_gt(callers.statuses[crashing][kBadGateway], 20,
               "a repeat must end with 502");
  cr_expect_geq(callers.statuses[sound][kOk], 30,
                "only %d of 40 requests with another body were answered",
                callers.statuses[sound][kOk]);
}

}  // namespace
}  // namespace mulberryroad::process
