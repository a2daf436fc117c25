// Settings of a process: flags and environment variables derived from a
// protobuf message.

#ifndef MULBERRYROAD_SRC_BASE_SETTINGS_H_
#define MULBERRYROAD_SRC_BASE_SETTINGS_H_

#include <google/protobuf/message.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryroad/settings.pb.h"

namespace mulberryroad::base {

/// One setting that cannot be used, with what to do about it.
struct SettingError {
  /// Flag without its dashes.
  std::string flag;
  std::string message;
};

/// What reading the settings came to.
struct SettingsOutcome {
  /// All errors found; empty if the settings can be used.
  std::vector<SettingError> errors;
  /// True if --help was given; the settings are then not complete.
  bool help_wanted = false;
};

/// Looks up an environment variable; nullopt if it is not set.
using Environment =
    std::function<std::optional<std::string>(const std::string&)>;

/// Fills the settings from defaults, MULBERRY_* variables and flags, the later
/// before the earlier, and checks every value.
/// @param arguments the command line with the program's name first
/// @param settings message whose fields carry a SettingRule
SettingsOutcome ReadSettings(const std::vector<std::string>& arguments,
                             const Environment& environment,
                             google::protobuf::Message* settings);

/// Returns the environment of this process.
Environment ProcessEnvironment();

/// Returns the text of --help: every flag with its unit, default and bounds.
std::string SettingsHelp(const google::protobuf::Descriptor& descriptor,
                         std::string_view program);

/// Returns the settings reference as a Markdown table.
std::string SettingsReference(const google::protobuf::Descriptor& descriptor);

/// Checks what no single field shows: endpoints and relations between fields.
std::vector<SettingError> CheckNodeSettings(const v1::NodeSettings& settings);

}  // namespace mulberryroad::base

#endif  // MULBERRYROAD_SRC_BASE_SETTINGS_H_
