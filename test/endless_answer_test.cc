// Tests of answers without end, in a head or in a body: the caller must learn
// of the failure before its deadline, and memory must stay bounded.

#include <criterion/criterion.h>

#include <csignal>
#include <optional>
#include <string>
#include <vector>

#include "fakes/fake_upstreams.h"
#include "fakes/loop_wait.h"
#include "fakes/raw_server.h"
#include "http/client.h"
#include "platform/duty_client.h"
#include "platform/upstream_client.h"

namespace mulberryroad {
namespace {

using std::chrono::milliseconds;

// What the server may send beyond a limit: the socket buffers of both ends.
constexpr std::size_t kBufferedBytes = 12U << 20U;
constexpr milliseconds kDeadline{20'000};
constexpr milliseconds kTimeLimit{8'000};

struct Case {
  const char* name;
  std::string first;
  std::string repeated;
  std::size_t limit;
};

std::vector<Case> EndlessAnswers() {
  const std::string filler(64 << 10, 'x');
  const std::string ok = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s";
  std::string headers;
  std::string interim;
  for (int i = 0; i < 1'000; ++i) {
    headers += "Padding: " + std::string(50, 'p') + "\r\n";
    interim += "HTTP/1.1 100 Continue\r\nPadding: p\r\n\r\n";
  }
  return {
      {"status line without end", "HTTP/1.1 ", filler,
       http::kMaxResponseHeadBytes},
      {"header without end", ok, filler, http::kMaxResponseHeadBytes},
      {"headers without end", ok + "\r\n", headers,
       http::kMaxResponseHeadBytes},
      {"interim responses without end", interim, interim,
       http::kMaxResponseHeadBytes},
      {"body without length", ok + "\r\n\r\n", filler,
       http::kDefaultMaxResponseBytes},
      {"chunked body", ok + "\r\nTransfer-Encoding: chunked\r\n\r\n",
       "10000\r\n" + filler + "\r\n", http::kDefaultMaxResponseBytes},
      {"body of a huge length",
       ok + "\r\nContent-Length: 1000000000000\r\n\r\n", filler,
       http::kDefaultMaxResponseBytes},
      {"chunk of a huge length",
       ok + "\r\nTransfer-Encoding: chunked\r\n\r\n7fffffffff\r\n", filler,
       http::kDefaultMaxResponseBytes},
      {"chunk length without end",
       ok + "\r\nTransfer-Encoding: chunked\r\n\r\n", std::string(65'536, '0'),
       http::kDefaultMaxResponseBytes},
  };
}

Test(endless_answer, fails_the_call_within_bounds) {
  std::signal(SIGPIPE, SIG_IGN);
  for (const Case& test_case : EndlessAnswers()) {
    base::EventLoop loop;
    fakes::RawServer server(loop, [&test_case](int) {
      return fakes::RawAnswer{test_case.first, fakes::AfterAnswer::kRepeat,
                              test_case.repeated};
    });
    http::Client client(loop);
    SystemClock clock;
    serving::UpstreamStatements statements;
    platform_adapter::UpstreamClient upstreams(client, clock, statements);
    serving::Registration upstream = fakes::MakeUpstream("u1", "desk");
    upstream.endpoint = server.endpoint();
    serving::OutgoingRequest request;
    request.id = RequestId("r1");
    request.host = "h";
    request.target = "/";
    serving::CallOptions options;
    options.deadline = kDeadline;
    std::optional<serving::UpstreamOutcome> outcome;
    upstreams.Send(upstream, request, options,
                   [&outcome](serving::UpstreamOutcome result) {
                     outcome = std::move(result);
                   });
    fakes::RunUntil(
        loop, [&outcome] { return outcome.has_value(); }, kTimeLimit);
    cr_expect(outcome.has_value(), "%s: no outcome in time", test_case.name);
    if (!outcome.has_value()) {
      continue;
    }
    const auto* lost = std::get_if<serving::MayHaveRun>(&*outcome);
    cr_expect(lost != nullptr, "%s: outcome %zu", test_case.name,
              outcome->index());
    cr_expect_leq(server.sent(), test_case.limit + kBufferedBytes,
                  "%s: %zu bytes were read", test_case.name, server.sent());
    fakes::RunFor(loop, milliseconds(50));
    cr_expect_eq(server.open(), 0, "%s: the connection is open",
                 test_case.name);
  }
}

// Events of a stream are forwarded, but an event without end is buffered.
Test(endless_answer, event_without_end_fails_the_stream) {
  std::signal(SIGPIPE, SIG_IGN);
  base::EventLoop loop;
  fakes::RawServer server(loop, [](int) {
    return fakes::RawAnswer{
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s\r\n\r\n"
        "id: 1\ndata: a\n\nid: 2\ndata: ",
        fakes::AfterAnswer::kRepeat, std::string(64 << 10, 'x')};
  });
  http::Client client(loop);
  SystemClock clock;
  serving::UpstreamStatements statements;
  platform_adapter::UpstreamClient upstreams(client, clock, statements);
  serving::Registration upstream = fakes::MakeUpstream("u1", "engines");
  upstream.endpoint = server.endpoint();
  serving::OutgoingRequest request;
  request.id = RequestId("r1");
  request.host = "h";
  request.target = "/";
  int events = 0;
  serving::CallOptions options;
  options.deadline = kDeadline;
  options.stream = serving::StreamHandler{
      [](const serving::StreamStart&) {},
      [&events](const serving::StreamEvent&) { ++events; }};
  std::optional<serving::UpstreamOutcome> outcome;
  upstreams.Send(upstream, request, std::move(options),
                 [&outcome](serving::UpstreamOutcome result) {
                   outcome = std::move(result);
                 });
  cr_assert(fakes::RunUntil(
      loop, [&outcome] { return outcome.has_value(); }, kTimeLimit));
  cr_assert(std::holds_alternative<serving::MayHaveRun>(*outcome));
  cr_assert_eq(events, 1, "%d events; %s", events,
               std::get<serving::MayHaveRun>(*outcome).reason.c_str());
  cr_assert_leq(server.sent(),
                http::EventSplitter::kMaxEventBytes + kBufferedBytes);
  fakes::RunFor(loop, milliseconds(50));
  cr_assert_eq(server.open(), 0);
}

// Guards against JSON of an upstream that takes many times its size as a tree.
Test(endless_answer, state_of_any_size_is_parsed) {
  std::signal(SIGPIPE, SIG_IGN);
  for (const bool large : {false, true}) {
    std::string body = R"({"models":[],"seq":1,"runs":[)";
    while (large &&
           body.size() <= platform_adapter::DutyClient::kMaxResponseBytes) {
      body += "{},";
    }
    body += "{}]}";
    base::EventLoop loop;
    fakes::RawServer server(loop, [&body](int) {
      return fakes::RawAnswer{
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
              "\r\n\r\n" + body,
          fakes::AfterAnswer::kKeepOpen,
          {}};
    });
    http::Client client(loop);
    SystemClock clock;
    serving::UpstreamStatements statements;
    platform_adapter::DutyClient duties(client, clock, statements,
                                        server.endpoint());
    platform::OrderTarget target;
    target.id = UpstreamId("u1");
    target.endpoint = server.endpoint();
    std::optional<bool> read;
    duties.ReadState(target, [&read](const auto& result) {
      read = std::holds_alternative<platform::UpstreamState>(result);
    });
    fakes::RunUntil(
        loop, [&read] { return read.has_value(); }, kTimeLimit);
    cr_expect_eq(read.value_or(large), !large, "%zu bytes", body.size());
  }
}

}  // namespace
}  // namespace mulberryroad
