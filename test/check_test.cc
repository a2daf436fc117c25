#include "config/check.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace mulberryroad::config {
namespace {

const char kDigest[] =
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

std::string Valid() {
  return std::string("failure_domains { name: \"north\" }\n") +
         "organisations {\n  name: \"acme\"\n  keys { name: \"k\" sha256: \"" +
         kDigest + "\" }\n}\n" +
         "models { name: \"draft\" version: 1 }\n"
         "services { name: \"geo\" }\n"
         "upstream_classes { name: \"std\" slots: 4 }\n"
         "pools {\n  model: \"draft\"\n  failure_domain: \"north\"\n"
         "  capacities { upstream_class: \"std\" min_upstreams: 1 "
         "max_upstreams: 2 }\n}\n"
         "routes { path: \"/v1/completions\" model: \"draft\" }\n";
}

std::vector<Problem> Problems(const std::string& text) {
  const CheckResult result = Check(text);
  const auto* problems = std::get_if<std::vector<Problem>>(&result);
  return problems == nullptr ? std::vector<Problem>() : *problems;
}

Test(check, accepts_a_valid_declaration) {
  const std::vector<Problem> problems = Problems(Valid());
  cr_expect(problems.empty(), "found: %s",
            problems.empty() ? "" : ToString(problems[0]).c_str());
}

Test(check, reports_each_fault_at_its_line) {
  struct Case {
    const char* added;
    const char* message;
  };
  const Case cases[] = {
      {"colour: 1", "no field named"},
      {"models { name: \"m\" version: 1 colour: 1 }", "no field named"},
      {"models { name: \"m\" ", "Expected"},
      {"models { name: \"draft\" version: 1 }", "repeated"},
      {"models { version: 1 }", "no name"},
      {"models { name: \"m\" }", "no version"},
      {"models { name: \"m\" version: 1 max_swapping_percent: 101 }",
       "above 100"},
      {"services { name: \"draft\" }", "name of a model"},
      {"failure_domains { name: \"north\" }", "repeated"},
      {"failure_domains { name: \"a b\" }", "other characters"},
      {"organisations { name: \"acme\" }", "repeated"},
      {"organisations { name: \"o\" weight: -1 }", "negative"},
      {"organisations { name: \"o\" keys { name: \"k\" sha256: \"AB\" } }",
       "malformed"},
      {"organisations { name: \"o\" keys { name: \"k\" sha256: "
       "\"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\""
       " } }",
       "too"},
      {"upstream_classes { name: \"u\" }", "no slots"},
      {"upstream_classes { name: \"u\" slots: 1 price_per_hour: -2 }",
       "negative"},
      {"pools { model: \"none\" failure_domain: \"north\" }", "no model"},
      {"pools { service: \"none\" failure_domain: \"north\" }", "no service"},
      {"pools { failure_domain: \"north\" }", "neither"},
      {"pools { service: \"geo\" failure_domain: \"south\" }",
       "no failure domain"},
      {"pools { model: \"draft\" failure_domain: \"north\" }", "repeated"},
      {"pools { service: \"geo\" failure_domain: \"north\" capacities { "
       "upstream_class: \"x\" } }",
       "no upstream class"},
      {"pools { service: \"geo\" failure_domain: \"north\" capacities { "
       "upstream_class: \"std\" min_upstreams: 3 max_upstreams: 2 } }",
       "no capacity meets both"},
      {"routes { path: \"v1\" service: \"geo\" }", "start with '/'"},
      {"routes { path: \"/v1/completions\" service: \"geo\" }", "repeated"},
      {"routes { path: \"/x\" service: \"none\" }", "no service"},
      {"routes { path: \"/x\" }", "neither"},
      {"billing { window_seconds: 1 }", "outside"},
  };
  const std::string valid = Valid();
  const int line =
      1 + static_cast<int>(std::count(valid.begin(), valid.end(), '\n'));
  for (const Case& c : cases) {
    const std::vector<Problem> problems = Problems(valid + c.added);
    cr_assert(!problems.empty(), "accepted: %s", c.added);
    const Problem& found = problems[0];
    cr_expect(found.message.find(c.message) != std::string::npos,
              "%s: expected \"%s\", found \"%s\"", c.added, c.message,
              found.message.c_str());
    cr_expect(found.line == line, "%s: expected line %d, found %d", c.added,
              line, found.line);
  }
}

Test(check, reports_all_faults_at_once_in_their_order) {
  const std::vector<Problem> problems = Problems(
      "colour: 1\n"
      "models { name: \"m\" shape: 2 }\n"
      "routes { path: \"x\" model: \"m\" }\n");
  cr_assert(problems.size() == 4, "expected 4 problems, found %zu",
            problems.size());
  const int lines[] = {1, 2, 2, 3};
  for (int i = 0; i < 4; ++i) {
    cr_expect(problems[i].line == lines[i], "problem %d: found line %d", i,
              problems[i].line);
  }
}

}  // namespace
}  // namespace mulberryroad::config
