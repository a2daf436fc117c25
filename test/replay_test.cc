// Replays the short traces in test/traces/replay and compares the result with
// the file TRACE.expected.json next to each trace.

#include "replay/replay.h"

#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

#include "base/json.h"

namespace mulberryroad {
namespace {

replay::Trace Read(const std::filesystem::path& path) {
  std::ifstream in(path);
  std::string reason;
  const auto trace = replay::ReadTrace(in, &reason);
  cr_assert(trace.has_value(), "%s: %s", path.c_str(), reason.c_str());
  return *trace;
}

v1::ReplayRow ReadExpected(std::filesystem::path path) {
  std::ifstream in(path.replace_extension(".expected.json"));
  const std::string json{std::istreambuf_iterator<char>(in), {}};
  v1::ReplayRow row;
  std::string reason;
  cr_assert(base::FromJson(json, &row, &reason), "%s: %s", path.c_str(),
            reason.c_str());
  return row;
}

// Expected counts are exact. Expected times and shares are bounds.
Test(replay, every_recorded_trace_has_its_expected_outcome) {
  std::size_t traces = 0;
  for (const auto& file : std::filesystem::directory_iterator(
           std::string(TEST_DATA_DIR) + "/traces/replay")) {
    if (file.path().extension() != ".jsonl") {
      continue;
    }
    ++traces;
    const v1::ReplayRow expected = ReadExpected(file.path());
    const v1::ReplayRow found =
        replay::Replay(Read(file.path()), replay::Policies().front());
    const std::string name = file.path().stem().string();
    const std::string json = base::ToJson(found);
    cr_expect_eq(found.samples_delivered(), expected.samples_delivered(),
                 "%s: %s", name.c_str(), json.c_str());
    cr_expect_eq(found.samples_doubled(), 0, "%s: %s", name.c_str(),
                 json.c_str());
    cr_expect_eq(found.samples_stale(), 0, "%s: %s", name.c_str(),
                 json.c_str());
    cr_expect_eq(found.unserved_calls(), expected.unserved_calls(), "%s: %s",
                 name.c_str(), json.c_str());
    cr_expect_leq(found.trainer_idle_s(), expected.trainer_idle_s(), "%s: %s",
                  name.c_str(), json.c_str());
    cr_expect_leq(found.worst_p99_wait_ms(), expected.worst_p99_wait_ms(),
                  "%s: %s", name.c_str(), json.c_str());
    cr_expect_geq(found.cheap_share(), expected.cheap_share(), "%s: %s",
                  name.c_str(), json.c_str());
  }
  cr_assert_eq(traces, 3, "expected 3 traces, found %zu", traces);
}

Test(replay, replaying_the_same_trace_gives_the_same_result) {
  const auto trace = replay::GenerateTrace("coulee-quiet", 3);
  const replay::Policy policy = replay::Policies().front();
  const std::string first = base::ToJson(replay::Replay(*trace, policy));
  const std::string again = base::ToJson(replay::Replay(*trace, policy));
  cr_assert_str_eq(first.c_str(), again.c_str());
}

Test(replay, a_malformed_trace_is_reported_with_its_line) {
  struct Case {
    const char* text;
    const char* reason;
  };
  const Case cases[] = {
      {"", "a trace must start with its setup and stop with its end"},
      {"{\"at_ms\":1,\"setup\":{}}\nnonsense\n", "line 2: "},
      {"{\"setup\":{}}\n{\"fault\":{}}\n", "line 2: "},
      {"{\"end\":{}}\n", "a trace must start with its setup"},
  };
  for (const Case& c : cases) {
    std::istringstream in(c.text);
    std::string reason;
    cr_assert_not(replay::ReadTrace(in, &reason).has_value(), "%s", c.text);
    cr_assert(reason.starts_with(c.reason), "expected \"%s\", found \"%s\"",
              c.reason, reason.c_str());
  }
}

}  // namespace
}  // namespace mulberryroad
