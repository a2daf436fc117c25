// Fixture for tests of request sessions, with in-memory upstreams.

#ifndef MULBERRYROAD_TEST_FAKES_SERVING_FIXTURE_H_
#define MULBERRYROAD_TEST_FAKES_SERVING_FIXTURE_H_

#include <criterion/criterion.h>

#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>

#include "fakes/fake_crash_reporter.h"
#include "fakes/fake_permits.h"
#include "fakes/fake_stream_origins.h"
#include "fakes/fake_upstreams.h"
#include "fakes/free_port.h"
#include "fakes/loop_wait.h"
#include "platform/headers.h"
#include "serving/request_session.h"

namespace mulberryroad::fakes {

/// An HTTP server without handlers, an HTTP client, and the dependencies of a
/// request session.
struct ServingFixture {
  base::EventLoop loop;
  SystemClock clock;
  base::StructuredLog log{clock, NodeId("node-1")};
  base::Metrics metrics;
  serving::Catalog catalog;
  serving::UpstreamDirectory directory;
  serving::UpstreamStatements statements;
  serving::UpstreamLoads loads{statements};
  FakePermits permits;
  serving::CrashEvidence crashes;
  FakeCrashReporter crash_reporter{crashes};
  FakeStreamOrigins origins;
  FakeUpstreams upstreams{loop};
  std::mt19937_64 random{1};
  serving::ServingContext context{loop,
                                  clock,
                                  log,
                                  metrics,
                                  catalog,
                                  directory,
                                  loads,
                                  permits,
                                  crashes,
                                  crash_reporter,
                                  origins,
                                  upstreams,
                                  "node-1",
                                  FailureDomainId("d1"),
                                  random,
                                  [](const OrganisationId&) {},
                                  platform_adapter::RetryAfter};
  Endpoint address{"127.0.0.1", FreePort()};
  http::Server server{loop, {}};
  http::Client client{loop};

  ServingFixture() { cr_assert(server.Listen(address)); }

  /// Sends a request to the server and waits for its response.
  http::Response Post(const std::string& path, const http::Headers& headers,
                      const std::string& body) {
    http::ClientRequest request;
    request.endpoint = address;
    request.method = http::Method::kPost;
    request.path = path;
    request.headers = headers;
    request.body = body;
    std::optional<http::Result> result;
    client.Send(std::move(request),
                [&result](http::Result done) { result = std::move(done); });
    cr_assert(RunUntil(loop, [&result] { return result.has_value(); }));
    return std::get<http::Response>(*result);
  }
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_SERVING_FIXTURE_H_
