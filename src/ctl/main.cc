// mulberryctl: applies declarations and shows the state of the nodes.

#include <popt.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "base/settings.h"
#include "ctl/commands.h"

namespace {

using mulberryroad::ParseEndpoint;
using mulberryroad::ctl::Command;
using mulberryroad::ctl::Commands;
using mulberryroad::ctl::ExitCode;
using mulberryroad::ctl::Options;
using mulberryroad::ctl::OutputFormat;

/// The command line before it is checked.
struct RawOptions {
  char* admin = nullptr;
  char* output = nullptr;
  char* operator_name = nullptr;
  char* base = nullptr;
  int timeout_ms = 30'000;
  int wait = 0;
  int help = 0;
};

struct Usage {
  Options options;
  std::string problem;
};

std::string VariableOr(const char* name, const std::string& fallback) {
  return mulberryroad::base::ProcessEnvironment()(name).value_or(fallback);
}

bool ReadAdmin(const std::string& text, Usage* usage) {
  std::istringstream parts(text);
  std::string part;
  while (std::getline(parts, part, ',')) {
    const auto endpoint = ParseEndpoint(part);
    if (!endpoint.has_value()) {
      usage->problem = "--admin: \"" + part + "\" is not an IP:port endpoint";
      return false;
    }
    usage->options.admin.push_back(*endpoint);
  }
  return true;
}

bool ReadOutput(const std::string& text, Usage* usage) {
  if (text != "json" && text != "text") {
    usage->problem = "--output: \"" + text + "\" is not text or json";
    return false;
  }
  usage->options.output =
      text == "json" ? OutputFormat::kJson : OutputFormat::kText;
  return true;
}

bool ReadBase(const RawOptions& raw, Usage* usage) {
  if (raw.base == nullptr) {
    return true;
  }
  char* end = nullptr;
  usage->options.base = std::strtoull(raw.base, &end, 10);
  if (*raw.base == '\0' || *end != '\0') {
    usage->problem =
        std::string("--base: \"") + raw.base + "\" is not a revision number";
    return false;
  }
  return true;
}

Usage Check(const RawOptions& raw) {
  Usage usage;
  const std::string admin =
      raw.admin != nullptr ? raw.admin
                           : VariableOr("MULBERRY_ADMIN", "127.0.0.1:8001");
  const std::string output = raw.output == nullptr ? "text" : raw.output;
  if (!ReadAdmin(admin, &usage) || !ReadOutput(output, &usage) ||
      !ReadBase(raw, &usage)) {
    return usage;
  }
  usage.options.wait = raw.wait != 0;
  usage.options.timeout = std::chrono::milliseconds(raw.timeout_ms);
  usage.options.operator_name = raw.operator_name != nullptr
                                    ? raw.operator_name
                                    : VariableOr("USER", "operator");
  if (raw.timeout_ms <= 0) {
    usage.problem = "--timeout-ms must be positive";
  }
  return usage;
}

void PrintHelp(std::ostream& out) {
  out << "Usage: mulberryctl [options] COMMAND [ARGUMENT]\n\nCommands:\n";
  for (const Command& command : Commands()) {
    out << "  " << command.name << " " << command.argument << "\n      "
        << command.summary << "\n";
  }
  out << "\nOptions:\n"
         "  --admin IP:port[,IP:port...]  admin endpoints of nodes, tried in "
         "order (MULBERRY_ADMIN)\n"
         "  --output text|json            format of the output\n"
         "  --wait                        apply: wait until in force on every "
         "live node\n"
         "  --base REVISION               apply: the revision that the change "
         "builds on\n"
         "  --operator NAME               apply: who makes the change\n"
         "  --timeout-ms N                longest wait (default 30000)\n"
         "  --help                        this text, or that of a command\n"
         "\nExit codes: 0 done, 1 refused, 2 bad command line, 3 no node "
         "reached or outcome unknown\n";
}

const Command* FindCommand(const std::string& name) {
  for (const Command& command : Commands()) {
    if (command.name == name) {
      return &command;
    }
  }
  return nullptr;
}

int Fail(const std::string& problem) {
  std::cerr << "mulberryctl: " << problem << "\nTry mulberryctl --help.\n";
  return static_cast<int>(ExitCode::kUsage);
}

int RunCommand(const RawOptions& raw, const std::vector<std::string>& words) {
  if (words.empty()) {
    PrintHelp(std::cout);
    return raw.help != 0 ? 0 : static_cast<int>(ExitCode::kUsage);
  }
  const Command* command = FindCommand(words[0]);
  if (command == nullptr) {
    return Fail("no command \"" + words[0] + "\"");
  }
  if (raw.help != 0) {
    std::cout << CommandHelp(*command);
    return 0;
  }
  const std::size_t expected = command->argument.empty() ? 1 : 2;
  if (words.size() != expected) {
    return Fail(std::string(command->name) + " takes " +
                (expected == 1 ? "no argument"
                               : "one " + std::string(command->argument)));
  }
  const Usage usage = Check(raw);
  if (!usage.problem.empty()) {
    return Fail(usage.problem);
  }
  return static_cast<int>(command->run(
      usage.options, expected == 2 ? words[1] : "", std::cout, std::cerr));
}

}  // namespace

int main(int argc, char** argv) {
  RawOptions raw;
  const std::vector<poptOption> table = {
      {"admin", 'a', POPT_ARG_STRING, &raw.admin, 0, nullptr, nullptr},
      {"output", 'o', POPT_ARG_STRING, &raw.output, 0, nullptr, nullptr},
      {"operator", '\0', POPT_ARG_STRING, &raw.operator_name, 0, nullptr,
       nullptr},
      {"base", '\0', POPT_ARG_STRING, &raw.base, 0, nullptr, nullptr},
      {"timeout-ms", '\0', POPT_ARG_INT, &raw.timeout_ms, 0, nullptr, nullptr},
      {"wait", 'w', POPT_ARG_NONE, &raw.wait, 0, nullptr, nullptr},
      {"help", 'h', POPT_ARG_NONE, &raw.help, 0, nullptr, nullptr},
      {nullptr, '\0', 0, nullptr, 0, nullptr, nullptr}};
  std::vector<const char*> arguments(argv, argv + argc);
  const std::unique_ptr<std::remove_pointer_t<poptContext>,
                        decltype(&poptFreeContext)>
      context(poptGetContext(nullptr, argc, arguments.data(), table.data(), 0),
              &poptFreeContext);
  const int code = poptGetNextOpt(context.get());
  if (code < -1) {
    return Fail(std::string(poptBadOption(context.get(), 0)) + ": " +
                poptStrerror(code));
  }
  std::vector<std::string> words;
  while (const char* word = poptGetArg(context.get())) {
    words.emplace_back(word);
  }
  return RunCommand(raw, words);
}
