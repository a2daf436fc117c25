// mulberry-replay: measures policies on recorded or generated traces.

#include <popt.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>

#include "base/json.h"
#include "replay/replay.h"

namespace {

using mulberryroad::replay::Policy;
using mulberryroad::replay::Trace;

constexpr int kUsageError = 2;

struct Arguments {
  int seed = 1;
  int seeds = 1;
  int json = 0;
  std::string command;
  std::vector<std::string> names;
};

bool ParseArguments(int argc, const char** argv, Arguments* arguments) {
  const poptOption options[] = {
      {"seed", 's', POPT_ARG_INT, &arguments->seed, 0, "First seed", "N"},
      {"seeds", 'n', POPT_ARG_INT, &arguments->seeds, 0,
       "Number of consecutive seeds", "N"},
      {"json", 'j', POPT_ARG_NONE, &arguments->json, 0,
       "Print JSON instead of text", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("mulberry-replay", argc, argv, options, 0);
  poptSetOtherOptionHelp(context,
                         "generate TRACE | run TRACE... | replay FILE...");
  const int status = poptGetNextOpt(context);
  const char* command = poptGetArg(context);
  arguments->command = command == nullptr ? "" : command;
  for (const char* name = poptGetArg(context); name != nullptr;
       name = poptGetArg(context)) {
    arguments->names.emplace_back(name);
  }
  if (status < -1 || command == nullptr) {
    poptPrintUsage(context, stderr, 0);
  }
  poptFreeContext(context);
  return status >= -1 && command != nullptr;
}

void MeasurePolicies(const Trace& trace, mulberryroad::v1::ReplayTable* table) {
  for (const Policy& policy : mulberryroad::replay::Policies()) {
    *table->add_rows() = mulberryroad::replay::Replay(trace, policy);
  }
}

void PrintText(const mulberryroad::v1::ReplayTable& table) {
  std::printf("%-20s %4s %-15s %7s %7s %9s %9s %5s %8s %6s %11s %6s %6s\n",
              "trace", "seed", "policy", "idle_s", "bound_s", "worst_ms",
              "all_ms", "unsrv", "spend", "cheap", "delivered", "stale",
              "waste");
  for (const auto& row : table.rows()) {
    std::printf(
        "%-20s %4lu %-15s %7.1f %7.1f %9.0f %9.0f %5lu %8.2f %5.0f%% "
        "%5lu/%-5lu %6lu %5.1f%%\n",
        row.trace().c_str(), static_cast<unsigned long>(row.seed()),  // NOLINT
        row.policy().c_str(), row.trainer_idle_s(), row.idle_lower_bound_s(),
        row.worst_p99_wait_ms(), row.all_p99_wait_ms(),
        static_cast<unsigned long>(row.unserved_calls()),  // NOLINT
        row.spending(), 100 * row.cheap_share(),
        static_cast<unsigned long>(row.samples_delivered()),  // NOLINT
        static_cast<unsigned long>(row.samples_expected()),   // NOLINT
        static_cast<unsigned long>(row.samples_stale()),      // NOLINT
        100 * row.wasted_share());
  }
}

// Appends the traces named by the arguments. Returns false and prints the
// reason if a trace is unknown or cannot be read.
bool LoadTraces(const Arguments& arguments, std::vector<Trace>* traces) {
  for (const std::string& name : arguments.names) {
    std::string reason = "no such trace or file";
    if (arguments.command == "replay") {
      std::ifstream file(name);
      const auto trace = mulberryroad::replay::ReadTrace(file, &reason);
      if (trace.has_value()) {
        traces->push_back(*trace);
        continue;
      }
      std::cerr << name << ": " << reason << "\n";
      return false;
    }
    for (int i = 0; i < arguments.seeds; ++i) {
      const int seed_number = arguments.seed + i;
      const auto seed = static_cast<std::uint64_t>(seed_number);
      const auto trace = mulberryroad::replay::GenerateTrace(name, seed);
      if (!trace.has_value()) {
        std::cerr << name << ": " << reason << "\n";
        return false;
      }
      traces->push_back(*trace);
    }
  }
  return true;
}

}  // namespace

int main(int argc, const char** argv) {
  Arguments arguments;
  if (!ParseArguments(argc, argv, &arguments)) {
    return kUsageError;
  }
  if (arguments.names.empty()) {
    arguments.names = mulberryroad::replay::TraceNames();
  }
  std::vector<Trace> traces;
  if (!LoadTraces(arguments, &traces)) {
    return kUsageError;
  }
  mulberryroad::v1::ReplayTable table;
  for (const Trace& trace : traces) {
    if (arguments.command != "generate") {
      MeasurePolicies(trace, &table);
      continue;
    }
    for (const auto& event : trace) {
      std::cout << mulberryroad::base::ToJson(event) << "\n";
    }
  }
  if (arguments.json != 0) {
    std::cout << mulberryroad::base::ToJson(table) << "\n";
  } else if (arguments.command != "generate") {
    PrintText(table);
  }
  return 0;
}
