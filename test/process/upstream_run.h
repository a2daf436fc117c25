// Deployment of node processes and upstream stand-ins, for process tests of the
// headers and crashes of upstreams.

#ifndef MULBERRYROAD_TEST_PROCESS_UPSTREAM_RUN_H_
#define MULBERRYROAD_TEST_PROCESS_UPSTREAM_RUN_H_

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "soak/soak_run.h"
#include "soak/traffic.h"

namespace mulberryroad::process {

/// A deployment of four nodes and plain upstreams, with callers. Its files are
/// deleted at the end.
class UpstreamRun {
 public:
  /// @param name names the directory of the run
  UpstreamRun(const std::string& name, soak::DeploymentOptions options)
      : options_(Complete(name, std::move(options))),
        deployment_(loop_, client_, options_),
        traffic_(loop_, client_, deployment_, options_.seed) {
    std::filesystem::remove_all(options_.work_dir);
    std::filesystem::create_directories(options_.work_dir);
  }
  ~UpstreamRun() {
    deployment_.Stop();
    std::filesystem::remove_all(options_.work_dir);
  }
  UpstreamRun(const UpstreamRun&) = delete;
  UpstreamRun& operator=(const UpstreamRun&) = delete;

  /// Starts all processes and waits until every node is ready.
  void Start() {
    cr_assert(deployment_.Start(), "a port is taken");
    RunFor(kPlatformStart);
    deployment_.Put("config", soak::MakeManifest(1, false));
    const bool ready = Wait(kStartLimit, [this] {
      return std::all_of(
          deployment_.nodes().begin(), deployment_.nodes().end(),
          [](const soak::NodeUnderTest& node) { return node.ready; });
    });
    cr_assert(ready, "a node is not ready");
  }

  /// Runs the loop for a time.
  void RunFor(std::chrono::milliseconds time) {
    Wait(time, [] { return false; });
  }

  /// Runs the loop until a condition holds.
  /// @return false if it did not hold within the limit
  bool Wait(std::chrono::milliseconds limit,
            const std::function<bool()>& condition) {
    bool held = condition();
    const base::Timer poll = loop_.Every(kPoll, [&] {
      held = held || condition();
      if (held) {
        loop_.Stop();
      }
    });
    const base::Timer end = loop_.After(limit, [this] { loop_.Stop(); });
    if (!held) {
      loop_.Run();
    }
    return held;
  }

  /// Returns the lines that the processes of an upstream wrote for its runs.
  static std::vector<nlohmann::json> ReadRuns(const std::string& log_path) {
    std::vector<nlohmann::json> runs;
    std::ifstream file(log_path);
    for (std::string line; std::getline(file, line);) {
      auto parsed = nlohmann::json::parse(line, nullptr, false);
      if (parsed.is_object() && parsed.contains("run")) {
        runs.push_back(std::move(parsed));
      }
    }
    return runs;
  }

  soak::Deployment& deployment() { return deployment_; }
  base::EventLoop& loop() { return loop_; }
  soak::Traffic& traffic() { return traffic_; }
  http::Client& client() { return client_; }

 private:
  static constexpr std::chrono::milliseconds kPlatformStart{300};
  static constexpr std::chrono::milliseconds kStartLimit{15'000};
  static constexpr std::chrono::milliseconds kPoll{20};

  static soak::DeploymentOptions Complete(const std::string& name,
                                          soak::DeploymentOptions options) {
    const char* bin_dir = std::getenv("MULBERRY_BIN_DIR");
    cr_assert_not_null(bin_dir, "MULBERRY_BIN_DIR names no build directory");
    options.bin_dir = bin_dir;
    options.work_dir =
        (std::filesystem::temp_directory_path() /
         (name + "-" + std::to_string(std::filesystem::hash_value(bin_dir))))
            .string();
    return options;
  }

  base::EventLoop loop_;
  http::Client client_{loop_};
  soak::DeploymentOptions options_;
  soak::Deployment deployment_;
  soak::Traffic traffic_;
};

}  // namespace mulberryroad::process

#endif  // MULBERRYROAD_TEST_PROCESS_UPSTREAM_RUN_H_
