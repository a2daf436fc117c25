// Tests of the client of upstreams against answers that are broken, late or
// another request's.

#include "platform/upstream_client.h"

#include <criterion/criterion.h>

#include <csignal>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fakes/fake_upstreams.h"
#include "fakes/loop_wait.h"
#include "fakes/raw_server.h"

namespace mulberryroad::platform_adapter {
namespace {

using fakes::AfterAnswer;
using fakes::RawAnswer;
using std::chrono::milliseconds;

struct Fixture {
  base::EventLoop loop;
  fakes::RawServer server;
  http::Client client{loop};
  SystemClock clock;
  serving::UpstreamStatements statements;
  UpstreamClient upstreams{client, clock, statements};
  /// Handles the events of the answers; plain answers without it.
  std::optional<serving::StreamHandler> stream;

  explicit Fixture(fakes::RawServer::Answerer answerer)
      : server(loop, std::move(answerer)) {
    std::signal(SIGPIPE, SIG_IGN);
  }

  /// Sends a request and waits for its outcome.
  serving::UpstreamOutcome Send(const std::string& id) {
    serving::Registration upstream = fakes::MakeUpstream("u1", "desk");
    upstream.endpoint = server.endpoint();
    serving::OutgoingRequest request;
    request.id = RequestId(id);
    request.host = "h";
    request.target = "/";
    serving::CallOptions options;
    options.deadline = milliseconds(2'000);
    options.stream = stream;
    std::optional<serving::UpstreamOutcome> outcome;
    upstreams.Send(upstream, request, std::move(options),
                   [&outcome](serving::UpstreamOutcome result) {
                     outcome = std::move(result);
                   });
    cr_assert(
        fakes::RunUntil(loop, [&outcome] { return outcome.has_value(); }));
    return *outcome;
  }
};

std::string Head(const std::string& id, const std::string& framing) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: s\r\n" +
         framing + "\r\n";
}
std::string WholeAnswer(const std::string& id) {
  return Head(id, "Content-Length: 5\r\n") + "whole";
}

struct BrokenAnswer {
  const char* name;
  RawAnswer answer;
  bool complete;
};

Test(upstream_client, answer_that_breaks_off_is_never_complete) {
  const std::string chunked = Head("r1", "Transfer-Encoding: chunked\r\n");
  const std::vector<BrokenAnswer> cases = {
      {"whole", {WholeAnswer("r1")}, true},
      {"body shorter than its length",
       {Head("r1", "Content-Length: 5\r\n") + "who", AfterAnswer::kClose},
       false},
      {"chunk cut", {chunked + "5\r\nwho", AfterAnswer::kClose}, false},
      {"last chunk missing",
       {chunked + "5\r\nwhole\r\n", AfterAnswer::kClose},
       false},
      {"no length, ended in order",
       {Head("r1", "") + "whole", AfterAnswer::kClose},
       true},
      {"no length, reset",
       {Head("r1", "") + "who", AfterAnswer::kReset},
       false},
      {"head cut", {"HTTP/1.1 200 OK\r\nReq", AfterAnswer::kClose}, false},
      {"no answer", {"garbage\r\n\r\n", AfterAnswer::kClose}, false},
  };
  for (const BrokenAnswer& test_case : cases) {
    Fixture fixture([&test_case](int) { return test_case.answer; });
    const serving::UpstreamOutcome outcome = fixture.Send("r1");
    cr_expect_eq(std::holds_alternative<serving::CompleteResponse>(outcome),
                 test_case.complete, "%s", test_case.name);
    cr_expect(test_case.complete ||
                  std::holds_alternative<serving::MayHaveRun>(outcome),
              "%s: the request may have run", test_case.name);
  }
}

// Guards against a status that callers take for "not run" and send the request
// again, although the upstream ran it.
Test(upstream_client,
     promise_of_an_upstream_that_ran_the_request_is_passed_on) {
  struct Case {
    int status;
    const char* field;
    bool not_run;
  };
  const std::vector<Case> cases = {
      {408, "", false},
      {429, "", false},
      {503, "", false},
      {503, "Not-Executed: 1\r\n", true},
      {429, "Not-Executed: 1\r\n", true},
      // By this status itself an upstream states that it did not run it.
      {421, "", true},
  };
  for (const bool streamed : {false, true}) {
    for (const Case& test_case : cases) {
      Fixture fixture([&test_case](int) {
        return RawAnswer{"HTTP/1.1 " + std::to_string(test_case.status) +
                         " No\r\nRequest-Id: r1\r\nServer-Seal: s\r\n" +
                         test_case.field + "Content-Length: 2\r\n\r\nno"};
      });
      if (streamed) {
        fixture.stream =
            serving::StreamHandler{[](const serving::StreamStart&) {},
                                   [](const serving::StreamEvent&) {}};
      }
      const serving::UpstreamOutcome outcome = fixture.Send("r1");
      cr_expect_eq(std::holds_alternative<serving::NotRun>(outcome),
                   test_case.not_run, "%d", test_case.status);
      cr_expect_eq(std::holds_alternative<serving::MayHaveRun>(outcome),
                   !test_case.not_run, "%d", test_case.status);
    }
  }
}

Test(upstream_client, only_an_ended_connection_counts_as_a_crash) {
  struct Case {
    const char* name;
    RawAnswer answer;
    bool connection_lost;
  };
  const std::vector<Case> cases = {
      {"closed without an answer", {"", AfterAnswer::kClose}, true},
      {"reset without an answer", {"", AfterAnswer::kReset}, true},
      {"no answer in the protocol", {"garbage\r\n\r\n"}, false},
      {"head without end",
       {"HTTP/1.1 200 OK\r\nA: ", AfterAnswer::kRepeat,
        std::string(4'096, 'x')},
       false},
  };
  for (const Case& test_case : cases) {
    Fixture fixture([&test_case](int) { return test_case.answer; });
    const serving::UpstreamOutcome outcome = fixture.Send("r1");
    const auto* lost = std::get_if<serving::MayHaveRun>(&outcome);
    cr_assert_not_null(lost, "%s", test_case.name);
    cr_expect_eq(lost->connection_lost, test_case.connection_lost, "%s: %s",
                 test_case.name, lost->reason.c_str());
  }
}

// A server sends a second copy of an answer when its connection is in use
// again. The caller must not get it, and the answers on that connection stay
// one behind, so that nobody may use it any more.
Test(upstream_client, late_copy_of_an_answer_reaches_no_caller) {
  Fixture fixture([](int request) -> RawAnswer {
    switch (request) {
      case 1:
        return {WholeAnswer("r1")};
      case 2:
        return {WholeAnswer("r1") + WholeAnswer("r2")};
      default:
        return {WholeAnswer("r3")};
    }
  });
  cr_assert(
      std::holds_alternative<serving::CompleteResponse>(fixture.Send("r1")));
  cr_assert(std::holds_alternative<serving::MayHaveRun>(fixture.Send("r2")));
  cr_assert(
      std::holds_alternative<serving::CompleteResponse>(fixture.Send("r3")));
  cr_assert_eq(fixture.server.accepted(), 2);
}

Test(upstream_client, connection_is_not_reused_after_a_foreign_answer) {
  Fixture fixture([](int request) -> RawAnswer {
    // The answer to the second request is still to come.
    return {WholeAnswer(request == 2 ? "r1" : "r" + std::to_string(request))};
  });
  fixture.Send("r1");
  cr_assert(std::holds_alternative<serving::MayHaveRun>(fixture.Send("r2")));
  cr_assert(
      std::holds_alternative<serving::CompleteResponse>(fixture.Send("r3")));
  cr_assert_eq(fixture.server.accepted(), 2);
}

// Guards against answers that are passed on with a status that the upstream
// did not send.
Test(upstream_client, malformed_status_line_is_passed_on) {
  const std::vector<std::pair<std::string, bool>> cases = {
      {"HTTP/1.1 200 OK", true},
      {"HTTP/1.1 200", true},
      {"HTTP/1.0 404 Not Found", true},
      {"HTTP/1.1 2?0 OK", false},
      {"HTTP/1.1 20 OK", false},
      {"HTTP/1.1 2000 OK", false},
      {"HTTP/1.1 200OK", false},
      {"HTTP/1.1 -5 OK", false},
      {"HTTP/1.1 600 OK", false},
      {"HTTP/1.1 099 OK", false},
      {"HTTP/1.1 000 OK", false},
      {"HTTP/1.1 000", false},
      {"HTTP/1.1 101 Upgrade", false},
      {"HTTP/2.0 200 OK", false},
      {"200 OK", false},
  };
  for (const auto& [line, valid] : cases) {
    Fixture fixture([line = line](int) {
      return RawAnswer{line +
                           "\r\nRequest-Id: r1\r\nServer-Seal: s\r\n"
                           "Content-Length: 5\r\n\r\nwhole",
                       AfterAnswer::kClose,
                       {}};
    });
    const serving::UpstreamOutcome outcome = fixture.Send("r1");
    cr_expect_eq(std::holds_alternative<serving::CompleteResponse>(outcome),
                 valid, "%s", line.c_str());
    cr_expect(valid || std::holds_alternative<serving::MayHaveRun>(outcome),
              "%s", line.c_str());
  }
}

// Guards against a final status that is checked only if no interim response
// precedes it.
Test(upstream_client, malformed_status_line_after_an_interim_response) {
  const std::vector<std::pair<std::string, bool>> cases = {
      {"HTTP/1.1 200 OK", true},    {"HTTP/1.1 000 OK", false},
      {"HTTP/1.1 0200 OK", false},  {"HTTP/1.1 200OK", false},
      {"HTTP/1.1 +200 OK", false},  {"HTTP/1.1 200,5 OK", false},
      {"HTTP/1.1 2000 OK", false},  {"HTTP/1.1 20 OK", false},
      {"HTTP/1.1 \t200 OK", false}, {"HTTP/1.1 101 Upgrade", false},
      {"HTTP/1.1 0x1 OK", false},   {"HTTP/1.1 600 OK", false},
  };
  for (const auto& [line, valid] : cases) {
    Fixture fixture([line = line](int) {
      return RawAnswer{"HTTP/1.1 100 Continue\r\n\r\n" + line +
                           "\r\nRequest-Id: r1\r\nServer-Seal: s\r\n"
                           "Content-Length: 5\r\n\r\nwhole",
                       AfterAnswer::kKeepOpen,
                       {}};
    });
    const serving::UpstreamOutcome outcome = fixture.Send("r1");
    cr_expect_eq(std::holds_alternative<serving::CompleteResponse>(outcome),
                 valid, "%s", line.c_str());
    cr_expect(valid || std::holds_alternative<serving::MayHaveRun>(outcome),
              "%s", line.c_str());
  }
}

// Guards against an error whose text is forwarded as events of a stream.
Test(upstream_client, body_of_another_type_is_read_as_events) {
  const std::string error = "{\"error\":\"full\"}\n\n";
  Fixture fixture([&error](int) {
    return RawAnswer{
        Head("r1", "Content-Type: application/json\r\nContent-Length: " +
                       std::to_string(error.size()) + "\r\n") +
            error,
        AfterAnswer::kClose,
        {}};
  });
  int events = 0;
  fixture.stream = serving::StreamHandler{
      [&events](const serving::StreamStart&) { ++events; },
      [&events](const serving::StreamEvent&) { ++events; }};
  const serving::UpstreamOutcome outcome = fixture.Send("r1");
  cr_assert_eq(events, 0);
  const auto* complete = std::get_if<serving::CompleteResponse>(&outcome);
  cr_assert(complete != nullptr);
  cr_assert_str_eq(complete->body.c_str(), error.c_str());
}

}  // namespace
}  // namespace mulberryroad::platform_adapter
