// Tests the precedence of flags, variables and defaults, and that all errors
// are reported at once.

#include "base/settings.h"

#include <criterion/criterion.h>

#include <map>

namespace mulberryroad::base {
namespace {

using Variables = std::map<std::string, std::string>;

Environment FakeEnvironment(Variables variables) {
  return [variables = std::move(variables)](
             const std::string& name) -> std::optional<std::string> {
    const auto found = variables.find(name);
    return found == variables.end() ? std::nullopt
                                    : std::optional(found->second);
  };
}

std::vector<std::string> CompleteArguments() {
  return {"mulberryd",
          "--node-id=n1",
          "--failure-domain=morbihan",
          "--listen-port=8000",
          "--admin-port=8001",
          "--peer-port=8002",
          "--log-service=127.0.0.1:9000",
          "--vm-list=127.0.0.1:9001",
          "--ordering-service=127.0.0.1:9002",
          "--usage-service=127.0.0.1:9003",
          "--weight-store=127.0.0.1:9004",
          "--upstream-credential=secret"};
}

Test(settings, complete_arguments_have_no_errors) {
  v1::NodeSettings settings;
  const auto outcome =
      ReadSettings(CompleteArguments(), FakeEnvironment({}), &settings);
  cr_assert(outcome.errors.empty(), "expected no errors, found \"%s: %s\"",
            outcome.errors.front().flag.c_str(),
            outcome.errors.front().message.c_str());
  cr_assert_eq(settings.listen_port(), 8000U);
  cr_assert_eq(settings.lease_ttl_ms(), 8000U, "expected the default");
  cr_assert(CheckNodeSettings(settings).empty());
}

Test(settings, flags_override_variables_and_variables_override_defaults) {
  v1::NodeSettings settings;
  ReadSettings(CompleteArguments(),
               FakeEnvironment({{"MULBERRY_NODE_ID", "other"},
                                {"MULBERRY_LEASE_TTL_MS", "5000"}}),
               &settings);
  cr_assert_str_eq(settings.node_id().c_str(), "n1");
  cr_assert_eq(settings.lease_ttl_ms(), 5000U, "expected 5000, found %u",
               settings.lease_ttl_ms());
}

struct InvalidArgument {
  const char* argument;
  const char* flag;
};

Test(settings, each_invalid_argument_is_reported) {
  const std::vector<InvalidArgument> cases = {
      {"--listen-port=0", "listen-port"},
      {"--listen-port=70000", "listen-port"},
      {"--listen-port=80x", "listen-port"},
      {"--lease-ttl-ms=-5", "lease-ttl-ms"},
      {"--no-such-flag=1", "--no-such-flag"},
      {"stray", "stray"},
  };
  for (const InvalidArgument& invalid : cases) {
    auto arguments = CompleteArguments();
    arguments.emplace_back(invalid.argument);
    v1::NodeSettings settings;
    const auto outcome =
        ReadSettings(arguments, FakeEnvironment({}), &settings);
    cr_assert_eq(outcome.errors.size(), 1U, "%s: expected 1 error, found %zu",
                 invalid.argument, outcome.errors.size());
    cr_assert_eq(outcome.errors[0].flag.find(invalid.flag), 0U,
                 "%s: expected flag %s, found %s", invalid.argument,
                 invalid.flag, outcome.errors[0].flag.c_str());
  }
}

Test(settings, all_errors_are_reported_at_once) {
  v1::NodeSettings settings;
  const auto outcome =
      ReadSettings({"mulberryd"}, FakeEnvironment({}), &settings);
  constexpr std::size_t kRequiredSettings = 11;
  cr_assert_eq(outcome.errors.size(), kRequiredSettings,
               "expected %zu errors, found %zu", kRequiredSettings,
               outcome.errors.size());
}

Test(settings, constraints_between_settings_are_checked) {
  v1::NodeSettings settings;
  auto arguments = CompleteArguments();
  arguments.emplace_back("--lease-margin-ms=4000");
  arguments.emplace_back("--log-service=host.example:1");
  arguments.emplace_back("--log-level=loud");
  ReadSettings(arguments, FakeEnvironment({}), &settings);
  const auto errors = CheckNodeSettings(settings);
  cr_assert_eq(errors.size(), 3U, "expected 3 errors, found %zu",
               errors.size());
}

}  // namespace
}  // namespace mulberryroad::base
