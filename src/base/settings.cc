#include "base/settings.h"

#include <popt.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <map>
#include <memory>
#include <utility>

#include "mulberryroad/endpoint.h"

namespace mulberryroad::base {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

constexpr std::string_view kEnvironmentPrefix = "MULBERRY_";
constexpr int kHelpOption = 1'000'000;

std::string FlagName(const FieldDescriptor& field) {
  std::string flag = field.name();
  std::replace(flag.begin(), flag.end(), '_', '-');
  return flag;
}

std::string VariableName(const FieldDescriptor& field) {
  std::string name(kEnvironmentPrefix);
  for (const char letter : field.name()) {
    name.push_back(static_cast<char>(std::toupper(letter)));
  }
  return name;
}

const v1::SettingRule& SettingRuleFor(const FieldDescriptor& field) {
  return field.options().GetExtension(v1::rule);
}

std::string FormatBounds(const v1::SettingRule& rule) {
  if (rule.max() == 0) {
    return "at least " + std::to_string(rule.min());
  }
  return std::to_string(rule.min()) + " to " + std::to_string(rule.max());
}

/// Parses a number and checks its bounds.
/// @return the error message, or an empty string on success
template <typename Number>
std::string ParseNumber(const std::string& text, const v1::SettingRule& rule,
                        Number* number) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, *number);
  if (error != std::errc() || stop != end || text.empty()) {
    return "\"" + text + "\" is not an integer; expected " + FormatBounds(rule);
  }
  const auto value = static_cast<std::uint64_t>(*number);
  const bool too_low = value < static_cast<std::uint64_t>(rule.min());
  const bool too_high =
      rule.max() != 0 && value > static_cast<std::uint64_t>(rule.max());
  if (too_low || too_high) {
    return text + (rule.unit().empty() ? "" : " " + rule.unit()) +
           " is out of bounds; expected " + FormatBounds(rule);
  }
  return "";
}

std::string SetField(const FieldDescriptor& field, const std::string& text,
                     Message* settings) {
  const google::protobuf::Reflection* reflection = settings->GetReflection();
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
      reflection->SetString(settings, &field, text);
      return "";
    case FieldDescriptor::CPPTYPE_UINT32: {
      std::uint32_t number = 0;
      std::string error_message =
          ParseNumber(text, SettingRuleFor(field), &number);
      reflection->SetUInt32(settings, &field, number);
      return error_message;
    }
    case FieldDescriptor::CPPTYPE_UINT64: {
      std::uint64_t number = 0;
      std::string error_message =
          ParseNumber(text, SettingRuleFor(field), &number);
      reflection->SetUInt64(settings, &field, number);
      return error_message;
    }
    default:
      return "fields of this type are not supported as settings";
  }
}

struct PoptDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
using PoptHandle =
    std::unique_ptr<std::remove_pointer_t<poptContext>, PoptDeleter>;

/// Flags from the command line.
struct ParsedFlags {
  /// Flag values by field number.
  std::map<int, std::string> values;
  std::vector<SettingError> errors;
  bool help_requested = false;
};

void CollectFlags(poptContext context, ParsedFlags* parsed) {
  int code = 0;
  while ((code = poptGetNextOpt(context)) != -1) {
    if (code == kHelpOption) {
      parsed->help_requested = true;
    } else if (code < -1) {
      parsed->errors.push_back(
          {poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(code)});
    } else {
      const std::unique_ptr<char, decltype(&std::free)> value(
          poptGetOptArg(context), &std::free);
      parsed->values[code] = value == nullptr ? "" : value.get();
    }
  }
  while (const char* argument = poptGetArg(context)) {
    parsed->errors.push_back({argument, "unexpected argument"});
  }
}

ParsedFlags ParseFlags(const std::vector<std::string>& arguments,
                       const Descriptor& descriptor) {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(descriptor.field_count()));
  std::vector<poptOption> options;
  for (int i = 0; i < descriptor.field_count(); ++i) {
    const FieldDescriptor& field = *descriptor.field(i);
    names.push_back(FlagName(field));
    options.push_back({names.back().c_str(), '\0', POPT_ARG_STRING, nullptr,
                       field.number(), nullptr, nullptr});
  }
  options.push_back(
      {"help", 'h', POPT_ARG_NONE, nullptr, kHelpOption, nullptr, nullptr});
  options.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
  std::vector<const char*> raw;
  raw.reserve(arguments.size());
  for (const std::string& argument : arguments) {
    raw.push_back(argument.c_str());
  }
  const PoptHandle context(poptGetContext(nullptr, static_cast<int>(raw.size()),
                                          raw.data(), options.data(), 0));
  ParsedFlags parsed;
  CollectFlags(context.get(), &parsed);
  return parsed;
}

std::optional<std::string> ResolveValue(const FieldDescriptor& field,
                                        const ParsedFlags& parsed,
                                        const Environment& environment) {
  const auto flag = parsed.values.find(field.number());
  if (flag != parsed.values.end()) {
    return flag->second;
  }
  if (std::optional<std::string> variable = environment(VariableName(field))) {
    return variable;
  }
  const std::string& fallback = SettingRuleFor(field).default_value();
  return fallback.empty() ? std::nullopt : std::optional(fallback);
}

}  // namespace

SettingsResult ReadSettings(const std::vector<std::string>& arguments,
                            const Environment& environment, Message* settings) {
  const Descriptor& descriptor = *settings->GetDescriptor();
  ParsedFlags parsed = ParseFlags(arguments, descriptor);
  SettingsResult outcome{std::move(parsed.errors), parsed.help_requested};
  for (int i = 0; i < descriptor.field_count(); ++i) {
    const FieldDescriptor& field = *descriptor.field(i);
    const std::optional<std::string> value =
        ResolveValue(field, parsed, environment);
    if (value.has_value()) {
      const std::string error_message = SetField(field, *value, settings);
      if (!error_message.empty()) {
        outcome.errors.push_back({FlagName(field), error_message});
      }
    }
    if (SettingRuleFor(field).required() && value.value_or("").empty()) {
      outcome.errors.push_back({FlagName(field), "is required; set --" +
                                                     FlagName(field) + " or " +
                                                     VariableName(field)});
    }
  }
  return outcome;
}

Environment ProcessEnvironment() {
  return [](const std::string& name) -> std::optional<std::string> {
    const char* value = std::getenv(name.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
  };
}

std::string SettingsHelp(const Descriptor& descriptor,
                         std::string_view program) {
  std::string text = "Usage: " + std::string(program) + " --flag=value...\n";
  text += "Each flag may also be given as an environment variable: --node-id";
  text += " is MULBERRY_NODE_ID. A flag takes precedence over a variable.\n\n";
  for (int i = 0; i < descriptor.field_count(); ++i) {
    const FieldDescriptor& field = *descriptor.field(i);
    const v1::SettingRule& rule = SettingRuleFor(field);
    text += "  --" + FlagName(field) + "\n      " + rule.help();
    if (!rule.unit().empty()) {
      text += ", " + rule.unit();
    }
    if (!rule.default_value().empty()) {
      text += " (default " + rule.default_value() + ")";
    }
    text += rule.required() ? " (required)\n" : "\n";
  }
  return text;
}

std::string SettingsReference(const Descriptor& descriptor) {
  std::string text =
      "| Flag | Variable | Meaning | Unit | Default | Bounds |\n"
      "| --- | --- | --- | --- | --- | --- |\n";
  for (int i = 0; i < descriptor.field_count(); ++i) {
    const FieldDescriptor& field = *descriptor.field(i);
    const v1::SettingRule& rule = SettingRuleFor(field);
    const bool numeric = field.cpp_type() != FieldDescriptor::CPPTYPE_STRING;
    text += "| `--" + FlagName(field) + "` | `" + VariableName(field) + "` | " +
            rule.help() + " | " + rule.unit() + " | " +
            (rule.required() ? "required" : rule.default_value()) + " | " +
            (numeric ? FormatBounds(rule) : "") + " |\n";
  }
  return text;
}

namespace {

void CheckEndpoint(const std::string& flag, const std::string& value,
                   std::vector<SettingError>* errors) {
  if (!value.empty() && !ParseEndpoint(value).has_value()) {
    errors->push_back({flag, "\"" + value + "\" is not an IP:port endpoint"});
  }
}

void CheckAddress(const std::string& flag, const std::string& value,
                  std::vector<SettingError>* errors) {
  if (!ParseEndpoint(value + ":1").has_value()) {
    errors->push_back({flag, "\"" + value + "\" is not an IP address"});
  }
}

}  // namespace

std::vector<SettingError> CheckNodeSettings(const v1::NodeSettings& settings) {
  std::vector<SettingError> errors;
  CheckEndpoint("log-service", settings.log_service(), &errors);
  CheckEndpoint("vm-list", settings.vm_list(), &errors);
  CheckEndpoint("ordering-service", settings.ordering_service(), &errors);
  CheckEndpoint("usage-service", settings.usage_service(), &errors);
  CheckEndpoint("weight-store", settings.weight_store(), &errors);
  CheckAddress("listen-address", settings.listen_address(), &errors);
  CheckAddress("peer-address", settings.peer_address(), &errors);
  if (settings.lease_margin_ms() * 2 >= settings.lease_ttl_ms()) {
    errors.push_back(
        {"lease-margin-ms", "must be less than half of --lease-ttl-ms"});
  }
  const std::vector<std::string> levels = {"debug", "info", "warn", "error"};
  if (std::find(levels.begin(), levels.end(), settings.log_level()) ==
      levels.end()) {
    errors.push_back({"log-level", "\"" + settings.log_level() +
                                       "\" is not debug, info, warn or error"});
  }
  return errors;
}

}  // namespace mulberryroad::base
