// mulberryd: one node of the rollout service.

#include <csignal>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "base/decision_log.h"
#include "base/settings.h"
#include "daemon/node.h"

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitBadSettings = 2;

using mulberryroad::base::SettingError;

void PrintErrors(const std::vector<SettingError>& errors) {
  for (const SettingError& error : errors) {
    std::fprintf(stderr, "mulberryd: %s: %s\n", error.flag.c_str(),
                 error.message.c_str());
  }
}

int Serve(const mulberryroad::v1::NodeSettings& settings) {
  mulberryroad::base::SetUpLogging(settings.log_level());
  mulberryroad::daemon::Node node(settings);
  std::string reason;
  if (!node.Start(&reason)) {
    std::fprintf(stderr, "mulberryd: %s\n", reason.c_str());
    return kExitFailure;
  }
  node.Run();
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  namespace base = mulberryroad::base;
  // A caller that goes away shows as a failed write, not as a signal.
  std::signal(SIGPIPE, SIG_IGN);
  const std::vector<std::string> arguments(argv, argv + argc);
  mulberryroad::v1::NodeSettings settings;
  base::SettingsResult outcome =
      base::ReadSettings(arguments, base::ProcessEnvironment(), &settings);
  if (outcome.help_requested) {
    std::fputs(
        base::SettingsHelp(*settings.GetDescriptor(), "mulberryd").c_str(),
        stdout);
    return kExitOk;
  }
  for (SettingError& error : base::CheckNodeSettings(settings)) {
    outcome.errors.push_back(std::move(error));
  }
  if (!outcome.errors.empty()) {
    PrintErrors(outcome.errors);
    return kExitBadSettings;
  }
  return Serve(settings);
}
