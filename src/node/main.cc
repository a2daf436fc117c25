// Entry point of mulberry-node, a node of the rollout service.

#include <popt.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <utility>
#include <variant>

#include "base/decision_log.h"
#include "node/manifest_report.h"
#include "node/node.h"
#include "platform/names.h"
#include "platform/settings_codec.h"

namespace {

namespace adapter = mulberryroad::platform_adapter;

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitBadSettings = 2;

struct Options {
  std::string settings_path;
  bool check_only = false;
  /// Its manifest path is empty to run the node.
  mulberryroad::node::ManifestCheckOptions manifest_check;
};

// Returns the value of an option, which popt has allocated; empty if it was not
// given.
std::string TakeValue(char* value) {
  std::string result = value == nullptr ? "" : value;
  std::free(value);
  return result;
}

// Parses the command line; prints a message and exits if it is invalid.
Options ReadOptions(int argc, char** argv) {
  const char* from_environment = std::getenv(adapter::kSettingsVariable);
  char* path = nullptr;
  int check_only = 0;
  char* manifest = nullptr;
  char* in_force = nullptr;
  char* output = nullptr;
  const poptOption table[] = {
      {"settings", 's', POPT_ARG_STRING, &path, 0,
       "settings file (default: $MULBERRYROAD_SETTINGS)", "PATH"},
      {"check", 'c', POPT_ARG_NONE, &check_only, 0,
       "check the settings and exit", nullptr},
      {"check-manifest", 0, POPT_ARG_STRING, &manifest, 0,
       "check a manifest and exit", "FILE"},
      {"in-force", 0, POPT_ARG_STRING, &in_force, 0,
       "with --check-manifest: manifest to compare it with", "FILE"},
      {"output", 0, POPT_ARG_STRING, &output, 0,
       "with --check-manifest: text (default) or json", "FORMAT"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(
      "mulberry-node", argc, const_cast<const char**>(argv), table, 0);
  const int outcome = poptGetNextOpt(context);
  if (outcome < -1 || poptPeekArg(context) != nullptr) {
    std::fprintf(stderr, "mulberry-node: %s\n",
                 outcome < -1 ? poptStrerror(outcome) : "unexpected argument");
    std::exit(kExitBadSettings);
  }
  poptFreeContext(context);
  Options options;
  if (path != nullptr) {
    options.settings_path = path;
    std::free(path);
  } else if (from_environment != nullptr) {
    options.settings_path = from_environment;
  }
  options.check_only = check_only != 0;
  options.manifest_check.manifest_path = TakeValue(manifest);
  options.manifest_check.in_force_path = TakeValue(in_force);
  const std::string format = TakeValue(output);
  options.manifest_check.json_output = format == "json";
  const bool checks_manifest = !options.manifest_check.manifest_path.empty();
  if ((!checks_manifest &&
       (!options.manifest_check.in_force_path.empty() || !format.empty())) ||
      (!format.empty() && format != "text" && format != "json")) {
    std::fprintf(
        stderr,
        "mulberry-node: --in-force and --output need --check-manifest, "
        "and --output is text or json\n");
    std::exit(kExitBadSettings);
  }
  return options;
}

// Reads and decodes the settings file.
std::variant<mulberryroad::node::Settings, adapter::SettingsErrors>
ReadSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return adapter::SettingsErrors{{"cannot read the settings file"}};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return adapter::DecodeSettings(text.str());
}

// Reads the settings file again; reports only the first error.
mulberryroad::node::SettingsResult ReloadSettings(const std::string& path) {
  auto read = ReadSettings(path);
  if (const auto* errors = std::get_if<adapter::SettingsErrors>(&read)) {
    return errors->messages.front();
  }
  return std::get<mulberryroad::node::Settings>(std::move(read));
}

int Serve(mulberryroad::node::Settings settings, const std::string& path) {
  mulberryroad::base::SetUpAsyncLogging("info");
  mulberryroad::node::Node node(std::move(settings),
                                [path] { return ReloadSettings(path); });
  std::string reason;
  if (!node.Start(&reason)) {
    std::fprintf(stderr, "mulberry-node: %s\n", reason.c_str());
    return kExitFailure;
  }
  node.Run();
  mulberryroad::base::ShutDownLogging();
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  // A closed connection is reported by the failed write instead of SIGPIPE.
  std::signal(SIGPIPE, SIG_IGN);
  const Options options = ReadOptions(argc, argv);
  if (!options.manifest_check.manifest_path.empty()) {
    return mulberryroad::node::CheckManifestFile(options.manifest_check);
  }
  auto decoded = ReadSettings(options.settings_path);
  if (const auto* errors = std::get_if<adapter::SettingsErrors>(&decoded)) {
    for (const std::string& message : errors->messages) {
      std::fprintf(stderr, "mulberry-node: %s: %s\n",
                   options.settings_path.c_str(), message.c_str());
    }
    return kExitBadSettings;
  }
  if (options.check_only) {
    return kExitOk;
  }
  return Serve(std::get<mulberryroad::node::Settings>(std::move(decoded)),
               options.settings_path);
}
