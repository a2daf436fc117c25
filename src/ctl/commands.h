// The commands of mulberryctl.

#ifndef MULBERRYROAD_SRC_CTL_COMMANDS_H_
#define MULBERRYROAD_SRC_CTL_COMMANDS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "ctl/admin_client.h"
#include "mulberryroad/endpoint.h"

namespace mulberryroad::ctl {

/// Exit codes of mulberryctl.
enum class ExitCode {
  kOk = 0,
  /// Refused: invalid declaration, conflict, nothing found.
  kRefused = 1,
  /// The command line cannot be used.
  kUsage = 2,
  /// No node could be reached, or the outcome is unknown.
  kUnreachable = 3,
};

enum class OutputFormat { kText, kJson };

/// What the command line asks for.
struct Options {
  std::vector<Endpoint> admin;
  OutputFormat output = OutputFormat::kText;
  bool wait = false;
  std::chrono::milliseconds timeout{30'000};
  std::string operator_name;
  /// Base revision of an apply; nullopt takes the one in force.
  std::optional<std::uint64_t> base;
};

/// One command, for --help and dispatch.
struct Command {
  std::string_view name;
  /// Name of its argument; empty if it takes none.
  std::string_view argument;
  std::string_view summary;
  std::string_view example;
  ExitCode (*run)(const Options& options, const std::string& argument,
                  std::ostream& out, std::ostream& err);
};

/// Returns all commands in the order in which --help lists them.
const std::vector<Command>& Commands();

/// Returns the help of one command with its example.
std::string CommandHelp(const Command& command);

}  // namespace mulberryroad::ctl

#endif  // MULBERRYROAD_SRC_CTL_COMMANDS_H_
