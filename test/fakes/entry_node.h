// In-process fixture of the request path of one node: gateway, broker,
// dispatcher and ledger, with the real event loop and HTTP and in-memory fakes
// of the other dependencies.

#ifndef MULBERRYROAD_TEST_FAKES_ENTRY_NODE_H_
#define MULBERRYROAD_TEST_FAKES_ENTRY_NODE_H_

#include <chrono>
#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "dispatch/engine_generator.h"
#include "dispatch/peer_broker.h"
#include "entry/gateway.h"
#include "fakes/free_port.h"
#include "fakes/memory_log.h"
#include "fakes/memory_seams.h"
#include "fakes/memory_transport.h"
#include "log/log_journal.h"
#include "platform/http_engine_control.h"

namespace mulberryroad::fakes {

constexpr std::uint32_t kLedgerPartitions = 1;
inline const RoleId kLedgerRole{"ledger/0"};

/// Runs the loop until a condition holds.
/// @return false if the condition did not hold within the limit
inline bool RunUntil(base::EventLoop& loop,
                     const std::function<bool()>& condition,
                     std::chrono::milliseconds limit = std::chrono::seconds{
                         10}) {
  bool holds = condition();
  if (holds) {
    return true;
  }
  const base::Timer check = loop.Every(std::chrono::milliseconds{1}, [&] {
    holds = condition();
    if (holds) {
      loop.Stop();
    }
  });
  const base::Timer end = loop.After(limit, [&] { loop.Stop(); });
  loop.Run();
  return holds;
}

/// Event loop, clock and fakes shared by the nodes of a test.
struct TestWorld {
  // Ignores SIGPIPE, as the daemon does, so that a write to a closed connection
  // returns an error.
  TestWorld() { std::signal(SIGPIPE, SIG_IGN); }

  base::EventLoop loop;
  SystemClock clock;
  MemoryNetwork network{loop};
  MemoryLog log{loop};
  MemoryConfiguration configuration;
  MemoryDirectory directory;
  http::Client caller{loop};

  /// Sends a request and runs the loop until its result arrives, for at most 30
  /// seconds.
  http::Result SendAndWait(http::ClientRequest request) {
    std::optional<http::Result> result;
    caller.Send(std::move(request),
                [&](http::Result done) { result = std::move(done); });
    RunUntil(
        loop, [&] { return result.has_value(); }, std::chrono::seconds{30});
    return result.value_or(http::Failure{Verdict::kMayHaveRun, "no response"});
  }
};

inline Endpoint Loopback() { return {"127.0.0.1", FreePort()}; }

/// The components of one node, wired together.
struct EntryNode {
  EntryNode(TestWorld& shared, const std::string& name,
            entry::GatewayOptions gateway_options = {})
      : world(shared),
        peer(Loopback()),
        http(Loopback()),
        members(name),
        transport(shared.network, peer),
        server(shared.loop, ServerLimits()),
        client(shared.loop),
        engines(client),
        decisions(shared.clock, NodeId(name)),
        host(shared.loop, shared.clock, transport, members,
             shared.configuration, shared.directory, engines, decisions, 1),
        broker(shared.loop, shared.clock, transport, members,
               shared.configuration, host, decisions, FailureDomainId("north"),
               2),
        generator(shared.loop, shared.clock, client, broker, decisions,
                  {"service-credential", std::chrono::seconds{20}}),
        journal(shared.loop, shared.clock, shared.log, NodeId(name), 1),
        ledger_host(shared.loop, shared.clock, transport, members, leases,
                    journal, kLedgerPartitions),
        ledger(transport, members, ledger_host, kLedgerPartitions),
        gateway(shared.loop, shared.clock, server, client, shared.configuration,
                broker, generator, ledger, meter, decisions,
                WithNodeId(std::move(gateway_options), name)) {
    server.Listen(http);
  }

  static http::ServerLimits ServerLimits() {
    http::ServerLimits limits;
    limits.max_body_bytes = 4096;
    limits.client_timeout = std::chrono::seconds{1};
    return limits;
  }
  static entry::GatewayOptions WithNodeId(entry::GatewayOptions options,
                                          const std::string& name) {
    options.node = NodeId(name);
    options.upstream_credential = "service-credential";
    return options;
  }

  /// True once each hosted pool has upstreams and the ledger serves partition
  /// 0.
  bool ready() const {
    bool upstreams = true;
    for (const v1::PoolStatus& pool : host.pools()) {
      upstreams = upstreams && pool.upstreams_size() > 0;
    }
    return upstreams && ledger_host.serves(0);
  }

  http::ClientRequest Request(http::Method method, const std::string& path,
                              const std::string& body,
                              const std::string& key = "secret-a") const {
    http::ClientRequest request;
    request.endpoint = http;
    request.method = method;
    request.path = path;
    request.body = body;
    request.timeout = std::chrono::seconds{30};
    if (!key.empty()) {
      request.headers.push_back({"Authorization", "Bearer " + key});
    }
    return request;
  }

  TestWorld& world;
  Endpoint peer;
  Endpoint http;
  MemoryMembers members;
  MemoryTransport transport;
  http::Server server;
  http::Client client;
  platform::HttpEngineControl engines;
  base::DecisionLog decisions;
  dispatch::DispatcherHost host;
  dispatch::PeerBroker broker;
  dispatch::EngineGenerator generator;
  MemoryLeases leases;
  log::LogJournal journal;
  ledger::LedgerHost ledger_host;
  ledger::LedgerClient ledger;
  MemoryMeter meter;
  entry::Gateway gateway;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_ENTRY_NODE_H_
