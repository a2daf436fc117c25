// mulberry-soak: plays seeds of the fault soak and writes a report of each.

#include <popt.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "soak/soak_run.h"

namespace {

namespace soak = mulberryroad::soak;

constexpr int kExitViolation = 1;
constexpr int kExitBadArguments = 2;

struct Arguments {
  std::string bin_dir;
  std::string work_dir;
  int first_seed = 1;
  int seeds = 1;
  int nodes = 4;
  int faults = 10;
  int seconds = 20;
};

Arguments ReadArguments(int argc, const char** argv) {
  Arguments arguments;
  char* bin_dir = nullptr;
  char* work_dir = nullptr;
  const std::array options = {
      poptOption{"bin-dir", 0, POPT_ARG_STRING, static_cast<void*>(&bin_dir), 0,
                 "Build directory with the programs", "DIR"},
      poptOption{"work-dir", 0, POPT_ARG_STRING, static_cast<void*>(&work_dir),
                 0, "Where logs and reports go", "DIR"},
      poptOption{"seed", 0, POPT_ARG_INT,
                 static_cast<void*>(&arguments.first_seed), 0, "First seed",
                 "N"},
      poptOption{"seeds", 0, POPT_ARG_INT, static_cast<void*>(&arguments.seeds),
                 0, "Number of seeds", "N"},
      poptOption{"nodes", 0, POPT_ARG_INT, static_cast<void*>(&arguments.nodes),
                 0, "Nodes of the system", "N"},
      poptOption{"faults", 0, POPT_ARG_INT,
                 static_cast<void*>(&arguments.faults), 0,
                 "Faults of a run at most", "N"},
      poptOption{"seconds", 0, POPT_ARG_INT,
                 static_cast<void*>(&arguments.seconds), 0,
                 "Length of the traffic under faults", "S"},
      poptOption POPT_AUTOHELP poptOption POPT_TABLEEND};
  poptContext context = poptGetContext(nullptr, argc, argv, options.data(), 0);
  const int result = poptGetNextOpt(context);
  if (result < -1 || bin_dir == nullptr || work_dir == nullptr ||
      arguments.nodes < 1 || arguments.seconds < 1 || arguments.faults < 0) {
    std::fprintf(stderr, "mulberry-soak: %s\n",
                 result < -1 ? poptStrerror(result)
                             : "--bin-dir and --work-dir are needed, numbers "
                               "must be above 0");
    std::exit(kExitBadArguments);
  }
  arguments.bin_dir = bin_dir;
  arguments.work_dir = work_dir;
  poptFreeContext(context);
  return arguments;
}

int Run(int argc, const char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const Arguments arguments = ReadArguments(argc, argv);
  int failed = 0;
  for (int seed = arguments.first_seed;
       seed < arguments.first_seed + arguments.seeds; ++seed) {
    soak::SoakOptions options;
    options.deployment.bin_dir = arguments.bin_dir;
    options.deployment.work_dir =
        arguments.work_dir + "/seed-" + std::to_string(seed);
    options.deployment.seed = static_cast<std::uint64_t>(seed);
    options.deployment.nodes = static_cast<std::size_t>(arguments.nodes);
    options.limits.traffic = std::chrono::seconds(arguments.seconds);
    options.limits.nodes = options.deployment.nodes;
    options.limits.upstreams =
        options.deployment.engines + options.deployment.services;
    options.limits.faults = arguments.faults;
    std::filesystem::remove_all(options.deployment.work_dir);
    std::filesystem::create_directories(options.deployment.work_dir);
    nlohmann::json report = soak::PlaySeed(options);
    std::ofstream(options.deployment.work_dir + "/latency.svg")
        << soak::DrawLatency(report);
    report.erase("answers");
    std::ofstream(options.deployment.work_dir + "/report.json")
        << report.dump(1) << "\n";
    const auto& violations = report["violations"];
    std::printf("seed %d: %s, %s\n", seed, violations.empty() ? "ok" : "FAILED",
                report.value("statuses", nlohmann::json()).dump().c_str());
    for (const auto& violation : violations) {
      std::printf("  %s\n", violation.get<std::string>().c_str());
    }
    std::fflush(stdout);
    failed += violations.empty() ? 0 : 1;
  }
  std::printf("%d seeds, %d failed\n", arguments.seeds, failed);
  return failed == 0 ? 0 : kExitViolation;
}

}  // namespace

int main(int argc, const char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "mulberry-soak: %s\n", error.what());
    return kExitBadArguments;
  }
}
