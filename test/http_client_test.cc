// Tests how the HTTP client reuses keep-alive connections.

#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <list>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fakes/free_port.h"
#include "fakes/loop_wait.h"
#include "http/client.h"
#include "soak/proxy.h"

namespace mulberryroad::http {
namespace {

using std::chrono::milliseconds;

/// A server that closes idle connections, behind a proxy that counts the
/// connections it accepts.
struct Fixture {
  static constexpr milliseconds kIdleTimeout{600};
  static constexpr milliseconds kHandlingTime{20};

  base::EventLoop loop;
  ServerLimits limits{.client_timeout = kIdleTimeout};
  Server server{loop, limits};
  Endpoint target{"127.0.0.1", fakes::FreePort()};
  soak::Proxy proxy{loop, {"127.0.0.1", fakes::FreePort()}, target};
  Client client{loop};
  std::list<base::Timer> reply_timers;
  /// Number of requests that the server received.
  int handled = 0;

  Fixture() {
    // As in the programs, whose writes to closed connections fail instead.
    std::signal(SIGPIPE, SIG_IGN);
    server.SetFallbackHandler(
        [this](const std::shared_ptr<Exchange>& exchange) {
          ++handled;
          reply_timers.push_back(loop.After(
              kHandlingTime, [exchange] { exchange->Reply(200, "{}"); }));
        });
    cr_assert(server.Listen(target));
    cr_assert(proxy.Listen());
  }

  /// Sends requests concurrently and waits for all responses.
  void SendBurst(int requests) {
    int answered = 0;
    for (int i = 0; i < requests; ++i) {
      ClientRequest request;
      request.endpoint = proxy.endpoint();
      request.path = "/";
      client.Send(std::move(request), [&answered](const Result& result) {
        answered += std::holds_alternative<Response>(result) ? 1 : 0;
      });
    }
    cr_assert(fakes::RunUntil(
        loop, [&answered, requests] { return answered == requests; }));
  }
};

// Training steps send a burst every few seconds that uses most of an upstream's
// capacity, and at times all of it. Connections that the smaller bursts do not
// use must not reach their idle timeout.
Test(http_client, bursts_reuse_all_pooled_connections) {
  Fixture fixture;
  fixture.SendBurst(4);
  for (int i = 0; i < 6; ++i) {
    fakes::RunFor(fixture.loop, milliseconds(200));
    fixture.SendBurst(3);
  }
  fixture.SendBurst(4);
  cr_assert_eq(fixture.proxy.accepted(), 4, "expected 4 connections, found %d",
               fixture.proxy.accepted());
}

// Guards against a body that the server reads as the next request of the
// connection.
Test(http_client, body_of_each_method_is_sent_with_its_length) {
  Fixture fixture;
  std::vector<std::string> received;
  fixture.server.SetFallbackHandler(
      [&received](const std::shared_ptr<Exchange>& exchange) {
        received.push_back(exchange->request().body);
        exchange->Reply(200, "{}");
      });
  const std::string body = "GET /inner HTTP/1.1\r\nHost: x\r\n\r\n";
  const std::vector<Method> methods = {Method::kGet, Method::kPost,
                                       Method::kPut, Method::kDelete};
  for (const Method method : methods) {
    for (const std::string& sent : {body, std::string()}) {
      const std::size_t before = received.size();
      ClientRequest request;
      request.endpoint = fixture.proxy.endpoint();
      request.method = method;
      request.path = "/";
      request.body = sent;
      std::optional<Result> result;
      fixture.client.Send(std::move(request),
                          [&result](Result done) { result = std::move(done); });
      cr_assert(fakes::RunUntil(fixture.loop,
                                [&result] { return result.has_value(); }));
      cr_assert(std::holds_alternative<Response>(*result));
      cr_assert_eq(received.size(), before + 1);
      cr_expect_str_eq(received.back().c_str(), sent.c_str());
    }
  }
  cr_expect_eq(fixture.proxy.accepted(), 1);
}

Test(http_client, request_sent_from_callback_reuses_connection) {
  Fixture fixture;
  int answered = 0;
  std::function<void()> send = [&] {
    ClientRequest request;
    request.endpoint = fixture.proxy.endpoint();
    request.path = "/";
    fixture.client.Send(std::move(request), [&](const Result& /*result*/) {
      if (++answered < 5) {
        send();
      }
    });
  };
  send();
  cr_assert(
      fakes::RunUntil(fixture.loop, [&answered] { return answered == 5; }));
  cr_assert_eq(fixture.proxy.accepted(), 1, "expected 1 connection, found %d",
               fixture.proxy.accepted());
}

// A fenced call must not be sent once its term has ended, neither on a new
// connection nor on a pooled one.
Test(http_client, withdrawn_request_sends_nothing) {
  Fixture fixture;
  for (const bool pooled : {false, true}) {
    if (pooled) {
      fixture.SendBurst(1);
    }
    const int handled = fixture.handled;
    std::optional<Result> result;
    ClientRequest request;
    request.endpoint = fixture.proxy.endpoint();
    request.path = "/";
    request.may_write = [] { return false; };
    fixture.client.Send(std::move(request),
                        [&result](const Result& r) { result = r; });
    cr_assert(fakes::RunUntil(fixture.loop,
                              [&result] { return result.has_value(); }));
    const auto* failure = std::get_if<Failure>(&*result);
    cr_assert(failure != nullptr);
    cr_assert_eq(failure->verdict, Verdict::kNotRun);
    fakes::RunFor(fixture.loop, milliseconds(50));
    cr_assert_eq(fixture.handled, handled, "pooled connection: %d", pooled);
  }
}

// Guards against text of callers that ends a request and begins another one.
Test(http_client, malformed_target_is_sent) {
  Fixture fixture;
  const std::vector<std::pair<std::string, Headers>> malformed = {
      {"/a HTTP/1.1\r\n\r\nGET /b", {}},
      {"/a b", {}},
      {"a", {}},
      {"", {}},
      {"/", {{"Name", "x\r\nOther: y"}}},
      {"/", {{"Na me", "x"}}}};
  for (const auto& [target, headers] : malformed) {
    const int handled = fixture.handled;
    std::optional<Result> result;
    ClientRequest request;
    request.endpoint = fixture.proxy.endpoint();
    request.path = target;
    request.headers = headers;
    fixture.client.Send(std::move(request),
                        [&result](const Result& r) { result = r; });
    cr_assert(fakes::RunUntil(fixture.loop,
                              [&result] { return result.has_value(); }));
    const auto* failure = std::get_if<Failure>(&*result);
    cr_assert(failure != nullptr, "target %s", target.c_str());
    cr_expect_eq(failure->verdict, Verdict::kNotRun);
    fakes::RunFor(fixture.loop, milliseconds(20));
    cr_expect_eq(fixture.handled, handled, "target %s", target.c_str());
  }
}

Test(http_client, validity_is_checked_after_the_connection_is_established) {
  Fixture fixture;
  bool current = true;
  std::optional<Result> result;
  ClientRequest request;
  request.endpoint = fixture.proxy.endpoint();
  request.path = "/";
  request.may_write = [&current] { return current; };
  fixture.client.Send(std::move(request),
                      [&result](const Result& r) { result = r; });
  // The connection is established only in the next iteration of the loop.
  current = false;
  cr_assert(
      fakes::RunUntil(fixture.loop, [&result] { return result.has_value(); }));
  cr_assert(std::holds_alternative<Failure>(*result));
  cr_assert_eq(fixture.handled, 0);
}

// A partition may hold back the bytes of a request that its sender has given
// up. A reset discards them.
Test(http_client, cancelled_request_resets_its_connection) {
  base::EventLoop loop;
  Client client(loop);
  const Endpoint endpoint{"127.0.0.1", fakes::FreePort()};
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int reuse = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  cr_assert_eq(
      bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)),
      0);
  cr_assert_eq(listen(listener, 1), 0);
  ClientRequest request;
  request.endpoint = endpoint;
  request.path = "/";
  const auto call = client.Send(std::move(request), [](const Result&) {});
  cr_assert(fakes::RunUntil(loop, [&call] { return call->sent(); }));
  const int accepted = accept(listener, nullptr, nullptr);
  cr_assert_geq(accepted, 0);
  std::array<char, 4'096> bytes{};
  cr_assert_gt(recv(accepted, bytes.data(), bytes.size(), 0), 0);
  call->Cancel();
  fakes::RunFor(loop, milliseconds(50));
  // After a mere close, the first bytes of the server would still be accepted.
  cr_assert_eq(send(accepted, bytes.data(), 1, MSG_NOSIGNAL), -1,
               "expected a reset connection");
  close(accepted);
  close(listener);
}

Test(http_server, longer_idle_timeout_applies_to_open_connections) {
  Fixture fixture;
  fixture.SendBurst(1);
  ServerLimits longer = fixture.limits;
  longer.client_timeout = milliseconds(5'000);
  fixture.server.SetLimits(longer);
  fixture.SendBurst(1);
  fakes::RunFor(fixture.loop, 2 * Fixture::kIdleTimeout);
  fixture.SendBurst(1);
  cr_assert_eq(fixture.proxy.accepted(), 1, "expected 1 connection, found %d",
               fixture.proxy.accepted());
}

}  // namespace
}  // namespace mulberryroad::http
