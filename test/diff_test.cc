#include "config/diff.h"

#include <criterion/criterion.h>
#include <google/protobuf/text_format.h>

#include <string>

namespace mulberryroad::config {
namespace {

v1::Declaration Parse(const std::string& text) {
  v1::Declaration declaration;
  cr_assert(google::protobuf::TextFormat::ParseFromString(text, &declaration));
  return declaration;
}

Test(diff, names_each_changed_block) {
  struct Case {
    const char* before;
    const char* after;
    const char* expected;
  };
  const Case cases[] = {
      {"models { name: 'm' version: 1 }", "models { name: 'm' version: 1 }",
       ""},
      {"models { name: 'm' version: 1 }", "models { name: 'm' version: 2 }",
       "~ models m: name: \"m\" version: 1 -> name: \"m\" version: 2"},
      {"", "organisations { name: 'o' }", "+ organisations o: name: \"o\""},
      {"organisations { name: 'o' keys { name: 'k' } }",
       "organisations { name: 'o' }",
       "- organisations o / keys k: name: \"k\""},
      {"services { name: 'a' } services { name: 'b' }",
       "services { name: 'b' } services { name: 'a' }", ""},
      {"pools { model: 'm' failure_domain: 'x' }",
       "pools { model: 'm' failure_domain: 'y' }",
       "- pools m@x: model: \"m\" failure_domain: \"x\"\n"
       "+ pools m@y: model: \"m\" failure_domain: \"y\""},
      {"billing { window_seconds: 60 }", "billing { window_seconds: 90 }",
       "~ : billing { window_seconds: 60 } -> billing { window_seconds: 90 }"},
  };
  for (const Case& c : cases) {
    std::string found;
    for (const std::string& line : Diff(Parse(c.before), Parse(c.after))) {
      found += (found.empty() ? "" : "\n") + line;
    }
    cr_expect(found == c.expected, "expected:\n%s\nfound:\n%s", c.expected,
              found.c_str());
  }
}

}  // namespace
}  // namespace mulberryroad::config
