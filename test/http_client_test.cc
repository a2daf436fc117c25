// Tests how the HTTP client reuses keep-alive connections.

#include <criterion/criterion.h>

#include <list>

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

  Fixture() {
    server.SetFallbackHandler(
        [this](const std::shared_ptr<Exchange>& exchange) {
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
