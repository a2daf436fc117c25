// Tests that a drain waits for open requests and runs each step once.

#include "base/drain.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace mulberryroad::base {
namespace {

using std::chrono::milliseconds;

/// Records the order of the steps of a drain.
struct StepRecorder {
  EventLoop loop;
  SystemClock clock;
  std::vector<std::string> steps;
  std::size_t open_requests = 0;

  DrainSteps MakeSteps() {
    return {.announce = [this] { steps.emplace_back("announce"); },
            .stop_accepting = [this] { steps.emplace_back("stop accepting"); },
            .open_requests = [this] { return open_requests; },
            .refuse = {},
            .hand_over =
                [this](const std::function<void()>& done) {
                  steps.emplace_back("hand over");
                  done();
                  done();
                },
            .stop =
                [this] {
                  steps.emplace_back("stop");
                  loop.Stop();
                }};
  }
};

std::string Join(const std::vector<std::string>& steps) {
  std::string text;
  for (const std::string& step : steps) {
    text += (text.empty() ? "" : ", ") + step;
  }
  return text;
}

void ExpectSteps(const StepRecorder& recorder) {
  const std::string expected = "announce, stop accepting, hand over, stop";
  const std::string found = Join(recorder.steps);
  cr_assert_eq(found, expected, "expected \"%s\", found \"%s\"",
               expected.c_str(), found.c_str());
}

Test(drain, idle_node_runs_each_step_once) {
  StepRecorder recorder;
  Drain drain(
      recorder.loop, recorder.clock,
      {.leave_delay = milliseconds(1), .drain_timeout = milliseconds(1000)},
      recorder.MakeSteps());
  drain.Begin();
  drain.Begin();
  recorder.loop.Run();
  ExpectSteps(recorder);
}

Test(drain, waits_for_open_requests) {
  StepRecorder recorder;
  recorder.open_requests = 1;
  Drain drain(
      recorder.loop, recorder.clock,
      {.leave_delay = milliseconds(1), .drain_timeout = milliseconds(10'000)},
      recorder.MakeSteps());
  drain.Begin();
  std::string steps_before_response;
  const Timer response_timer = recorder.loop.After(milliseconds(80), [&] {
    steps_before_response = Join(recorder.steps);
    recorder.open_requests = 0;
  });
  recorder.loop.Run();
  cr_assert_eq(steps_before_response, "announce, stop accepting",
               "expected no hand-over before the response, found \"%s\"",
               steps_before_response.c_str());
  ExpectSteps(recorder);
}

// A caller can send a request over a keep-alive connection between the last
// check for open requests and the first refusal.
Test(drain, answers_request_received_before_refusal) {
  StepRecorder recorder;
  DrainSteps steps = recorder.MakeSteps();
  steps.refuse = [&recorder] {
    recorder.steps.emplace_back("refuse");
    recorder.open_requests = 1;
  };
  Drain drain(recorder.loop, recorder.clock,
              {.leave_delay = milliseconds(1),
               .drain_timeout = milliseconds(10'000),
               .min_refusal_time = milliseconds(5)},
              std::move(steps));
  drain.Begin();
  std::string steps_before_response;
  const Timer response_timer = recorder.loop.After(milliseconds(120), [&] {
    steps_before_response = Join(recorder.steps);
    recorder.open_requests = 0;
  });
  recorder.loop.Run();
  const std::string all = Join(recorder.steps);
  cr_assert_eq(steps_before_response, "announce, stop accepting, refuse",
               "found \"%s\"", steps_before_response.c_str());
  cr_assert_eq(all, "announce, stop accepting, refuse, hand over, stop",
               "found \"%s\"", all.c_str());
}

Test(drain, abandons_open_requests_at_the_deadline) {
  StepRecorder recorder;
  recorder.open_requests = 1;
  Drain drain(
      recorder.loop, recorder.clock,
      {.leave_delay = milliseconds(1), .drain_timeout = milliseconds(60)},
      recorder.MakeSteps());
  drain.Begin();
  recorder.loop.Run();
  ExpectSteps(recorder);
}

// Guards against a drain that ends before the failures of abandoned requests
// reach their callers.
Test(drain, abandoned_requests_end_before_the_node) {
  StepRecorder recorder;
  recorder.open_requests = 1;
  DrainSteps steps = recorder.MakeSteps();
  Instant abandoned_at{};
  steps.abandon = [&] {
    recorder.steps.emplace_back("abandon");
    abandoned_at = recorder.clock.now();
  };
  Drain drain(recorder.loop, recorder.clock,
              {.leave_delay = milliseconds(1),
               .drain_timeout = milliseconds(60),
               .min_refusal_time = milliseconds(30)},
              std::move(steps));
  drain.Begin();
  recorder.loop.Run();
  const std::string all = Join(recorder.steps);
  cr_assert_eq(all, "announce, stop accepting, abandon, hand over, stop",
               "found \"%s\"", all.c_str());
  cr_assert(recorder.clock.now() - abandoned_at >= milliseconds(30));
}

// Guards against requests that are admitted until the moment at which all open
// ones are abandoned.
Test(drain, requests_are_admitted_until_they_are_abandoned) {
  StepRecorder recorder;
  recorder.open_requests = 1;
  DrainSteps steps = recorder.MakeSteps();
  Instant refused_at{};
  steps.refuse = [&] {
    recorder.steps.emplace_back("refuse");
    refused_at = recorder.clock.now();
  };
  Drain drain(recorder.loop, recorder.clock,
              {.leave_delay = milliseconds(100),
               .drain_timeout = milliseconds(600),
               .min_refusal_time = milliseconds(100)},
              std::move(steps));
  const RequestDuration unbounded{milliseconds(60'000), milliseconds(50)};
  const RequestDuration slow{milliseconds(60'000), milliseconds(60'000)};
  const RequestDuration brief{milliseconds(200), milliseconds(200)};
  cr_assert(drain.Admits(slow), "the drain has not begun");
  const Instant start = recorder.clock.now();
  drain.Begin();
  cr_assert(drain.Admits(unbounded), "callers are still routed to the node");
  cr_assert(!drain.Admits(slow));
  bool admitted_after_accepting = true;
  bool admitted_brief = false;
  bool admitted_late = true;
  const Timer middle = recorder.loop.After(milliseconds(200), [&] {
    admitted_after_accepting = drain.Admits(unbounded);
    admitted_brief = drain.Admits(brief);
  });
  const Timer late = recorder.loop.After(
      milliseconds(350), [&] { admitted_late = drain.Admits(brief); });
  recorder.loop.Run();
  cr_assert(!admitted_after_accepting, "it may outlast the node");
  cr_assert(admitted_brief);
  cr_assert(!admitted_late);
  cr_assert(!drain.Admits({}), "the node refuses all requests");
  cr_assert(refused_at - start < milliseconds(600),
            "refusals need time to reach their callers");
  const std::string all = Join(recorder.steps);
  cr_assert_eq(all, "announce, stop accepting, refuse, hand over, stop",
               "found \"%s\"", all.c_str());
}

}  // namespace
}  // namespace mulberryroad::base
