// Process settings: command-line flags and environment variables derived from
// the fields of a protobuf message.

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

/// An invalid or missing setting.
struct SettingError {
  /// Flag name without the leading dashes, or the argument as given if it
  /// cannot be parsed.
  std::string flag;
  /// Describes the error and the expected value.
  std::string message;
};

/// Result of ReadSettings.
struct SettingsResult {
  /// All errors found; empty if the settings are valid.
  std::vector<SettingError> errors;
  /// True if --help was given; the settings may then be incomplete.
  bool help_requested = false;
};

/// Returns the value of an environment variable, or nullopt if it is not set.
using Environment =
    std::function<std::optional<std::string>(const std::string&)>;

/// Reads all settings and checks each value. Flags take precedence over
/// MULBERRY_* environment variables, and variables over defaults.
/// @param arguments the command line, starting with the program name
/// @param settings receives the values; its fields have a SettingRule option
SettingsResult ReadSettings(const std::vector<std::string>& arguments,
                            const Environment& environment,
                            google::protobuf::Message* settings);

/// Returns a lookup function for the environment of this process.
Environment ProcessEnvironment();

/// Returns the --help text, which lists every flag with its unit and default.
std::string SettingsHelp(const google::protobuf::Descriptor& descriptor,
                         std::string_view program);

/// Returns the settings reference as a Markdown table.
std::string SettingsReference(const google::protobuf::Descriptor& descriptor);

/// Validates endpoints, addresses, the log level and constraints between
/// fields.
/// @return all errors found; empty if the settings are valid
std::vector<SettingError> CheckNodeSettings(const v1::NodeSettings& settings);

}  // namespace mulberryroad::base

#endif  // MULBERRYROAD_SRC_BASE_SETTINGS_H_
