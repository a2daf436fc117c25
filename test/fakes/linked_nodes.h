// Nodes with links of their own to one upstream, in one process: each node
// reaches it through a proxy that a test cuts.

#ifndef MULBERRYROAD_TEST_FAKES_LINKED_NODES_H_
#define MULBERRYROAD_TEST_FAKES_LINKED_NODES_H_

#include <criterion/criterion.h>

#include <chrono>
#include <csignal>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fakes/fake_crash_reporter.h"
#include "fakes/fake_permits.h"
#include "fakes/fake_stream_origins.h"
#include "fakes/fake_upstreams.h"
#include "fakes/free_port.h"
#include "fakes/loop_wait.h"
#include "node/forward_server.h"
#include "node/forwarding_caller.h"
#include "platform/headers.h"
#include "platform/names.h"
#include "platform/upstream_client.h"
#include "serving/request_session.h"
#include "soak/proxy.h"

namespace mulberryroad::fakes {

/// An upstream that runs each request for a while and answers it once.
struct LinkedUpstream {
  explicit LinkedUpstream(base::EventLoop& l) : loop(l), server(l, {}) {
    server.SetFallbackHandler([this](const std::shared_ptr<http::Exchange>& e) {
      ++runs;
      runs_by_request[e->request().header("request-id").value_or("")] += 1;
      e->on_disconnected().connect([this] { ++cancelled; });
      if (e->request().path == "/stream") {
        Stream(e);
        return;
      }
      work.push_back(loop.After(work_time, [e] {
        e->Reply(200, "answer",
                 {{platform_adapter::kRequestIdHeader,
                   e->request().header("request-id").value_or("")},
                  {platform_adapter::kSignatureHeader, "seal"}});
      }));
    });
    cr_assert(server.Listen(address));
  }

  void Stream(const std::shared_ptr<http::Exchange>& exchange) {
    exchange->StartStream(
        200, {{platform_adapter::kRequestIdHeader,
               exchange->request().header("request-id").value_or("")},
              {platform_adapter::kSignatureHeader, "seal"},
              {"Content-Type", "text/event-stream"}});
    auto next = std::make_shared<int>(0);
    work.push_back(loop.Every(std::chrono::milliseconds(20), [=] {
      if (*next < 0 || exchange->closed()) {
        return;
      }
      if (++*next > kEvents) {
        *next = -1;
        exchange->Finish();
        return;
      }
      const std::string id = std::to_string(*next);
      exchange->Write("id: " + id + "\ndata: e" + id + "\n\n");
    }));
  }

  static constexpr int kEvents = 5;

  base::EventLoop& loop;
  Endpoint address{"127.0.0.1", FreePort()};
  http::Server server;
  std::chrono::milliseconds work_time{5};
  std::list<base::Timer> work;
  int runs = 0;
  int cancelled = 0;
  std::map<std::string, int> runs_by_request;
};

/// A node that serves callers from upstreams through links of its own.
struct LinkedNode {
  /// @param upstreams number of upstreams, which share one server
  LinkedNode(base::EventLoop& l, const LinkedUpstream& upstream,
             const std::string& name, int upstreams)
      : loop(l),
        log(clock, NodeId(name)),
        link(l, {"127.0.0.1", FreePort()}, upstream.address),
        server(l, {}),
        peer_server(l, {}) {
    cr_assert(link.Listen());
    serving::Registration registration = MakeUpstream("u1", "desk");
    registration.endpoint = link.endpoint();
    directory.Put(registration);
    for (int i = 2; i <= upstreams; ++i) {
      soak::Proxy& other =
          *other_links.emplace_back(std::make_unique<soak::Proxy>(
              l, Endpoint{"127.0.0.1", FreePort()}, upstream.address));
      cr_assert(other.Listen());
      registration.id = UpstreamId("u" + std::to_string(i));
      registration.endpoint = other.endpoint();
      directory.Put(registration);
    }
    server.SetFallbackHandler(
        [this](const std::shared_ptr<http::Exchange>& exchange) {
          Serve(exchange);
        });
    cr_assert(server.Listen(address));
    forward_server.Register(peer_server);
    cr_assert(peer_server.Listen(peer_address));
    caller.Start();
  }

  /// Sets the state of the links to all upstreams.
  void SetLinks(soak::LinkState state) {
    link.Set(state);
    for (const auto& other : other_links) {
      other->Set(state);
    }
  }

  void Serve(const std::shared_ptr<http::Exchange>& exchange) {
    serving::SessionRequest request;
    request.service = TargetId("desk");
    request.services = {request.service};
    const std::string& path = exchange->request().path;
    request.kind = path == "/stream"  ? serving::RouteKind::kStreaming
                   : path == "/order" ? serving::RouteKind::kNonIdempotent
                                      : serving::RouteKind::kIdempotent;
    request.max_attempts = 2;
    request.deadline = clock.now() + kDeadline;
    request.target_latency = std::chrono::milliseconds(150);
    request.outgoing.id =
        RequestId(exchange->request().header("request-id").value_or(""));
    request.outgoing.host = "host";
    request.outgoing.target = path;
    request.outgoing.body = exchange->request().body;
    std::make_shared<serving::RequestSession>(context, exchange,
                                              std::move(request))
        ->Start();
  }

  static constexpr std::chrono::milliseconds kDeadline{2'000};

  base::EventLoop& loop;
  SystemClock clock;
  base::StructuredLog log;
  base::Metrics metrics;
  /// Link to the upstream "u1".
  soak::Proxy link;
  std::vector<std::unique_ptr<soak::Proxy>> other_links;
  http::Client client{loop};
  serving::Catalog catalog;
  serving::UpstreamDirectory directory;
  serving::UpstreamStatements statements;
  serving::UpstreamLoads loads{statements};
  FakePermits permits;
  serving::CrashEvidence crashes;
  FakeCrashReporter crash_reporter{crashes};
  FakeStreamOrigins origins;
  std::mt19937_64 random{1};
  platform_adapter::UpstreamClient upstream_client{client, clock, statements};
  node::ForwardingCaller caller{
      loop,   clock,           log,       metrics,   client,
      random, upstream_client, directory, statements};
  bool stopping = false;
  node::ForwardServer forward_server{
      clock, log, metrics, caller, directory, statements, [this] {
        return stopping;
      }};
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
                                  caller,
                                  "node",
                                  FailureDomainId("d1"),
                                  random,
                                  [](const OrganisationId&) {},
                                  platform_adapter::RetryAfter};
  Endpoint address{"127.0.0.1", FreePort()};
  http::Server server;
  Endpoint peer_address{"127.0.0.1", FreePort()};
  http::Server peer_server;
};

/// An upstream and some nodes, with a caller.
struct LinkedNodes {
  explicit LinkedNodes(int count, int upstreams = 1) : upstream(loop) {
    std::signal(SIGPIPE, SIG_IGN);
    for (int i = 0; i < count; ++i) {
      nodes.push_back(std::make_unique<LinkedNode>(
          loop, upstream, "node-" + std::to_string(i), upstreams));
    }
    for (const auto& node : nodes) {
      std::vector<Endpoint> peers;
      for (const auto& peer : nodes) {
        if (peer != node) {
          peers.push_back(peer->peer_address);
        }
      }
      node->caller.SetPeers(peers);
    }
  }

  /// Sends a request to a node without waiting for its response.
  std::shared_ptr<http::Call> Send(std::size_t node, const std::string& path,
                                   http::ResultCallback on_done) {
    http::ClientRequest request;
    request.endpoint = nodes[node]->address;
    request.method = http::Method::kPost;
    request.path = path;
    request.headers = {{"Request-Id", "r" + std::to_string(next_request++)}};
    request.body = "body";
    return caller.Send(std::move(request), std::move(on_done));
  }

  /// Sends a request to a node and waits for its response.
  /// @return the status, or 0 without a complete response
  int Post(std::size_t node, const std::string& path) {
    std::optional<http::Result> result;
    const Instant sent = clock.now();
    Send(node, path,
         [&result](http::Result done) { result = std::move(done); });
    cr_assert(RunUntil(loop, [&result] { return result.has_value(); }));
    took = std::chrono::duration_cast<std::chrono::milliseconds>(clock.now() -
                                                                 sent);
    response = std::get_if<http::Response>(&*result) == nullptr
                   ? http::Response()
                   : std::get<http::Response>(*result);
    return response.status;
  }

  base::EventLoop loop;
  SystemClock clock;
  LinkedUpstream upstream;
  std::vector<std::unique_ptr<LinkedNode>> nodes;
  http::Client caller{loop};
  int next_request = 1;
  /// The last response that Post returned, and how long it took.
  http::Response response;
  std::chrono::milliseconds took{0};
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_LINKED_NODES_H_
