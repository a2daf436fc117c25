// Relay of store calls through a peer.

#include "node/store_relay.h"

#include <criterion/criterion.h>

#include <optional>

#include "fakes/free_port.h"
#include "fakes/loop_wait.h"
#include "fakes/platform/fake_platform.h"
#include "fakes/raw_server.h"
#include "platform/store_client.h"
#include "soak/proxy.h"

namespace mulberryroad::node {
namespace {

using std::chrono::milliseconds;

Instant At(int millis) { return Instant{} + milliseconds(millis); }

Test(relay_policy, one_lost_answer_does_not_start_relaying) {
  RelayPolicy policy(At(0));
  policy.OnDirectResult(true, At(1'000));
  policy.OnDirectResult(false, At(1'300));
  cr_assert(!policy.uses_relay(At(1'399)));
  policy.OnDirectResult(true, At(1'399));
  cr_assert(!policy.uses_relay(At(5'000)));
}

Test(relay_policy, missing_answers_start_relaying_until_probe_succeeds) {
  RelayPolicy policy(At(0));
  policy.OnDirectResult(true, At(1'000));
  policy.OnDirectResult(false, At(1'300));
  cr_assert(policy.uses_relay(At(1'400)));
  cr_assert(policy.AcquireProbe(At(1'400)));
  cr_assert(!policy.AcquireProbe(At(1'500)));
  policy.OnDirectResult(true, At(1'500));
  cr_assert(!policy.uses_relay(At(1'500)));
}

// A node whose link to the store can be cut, and a peer that reaches the store.
struct TwoNodes {
  base::EventLoop loop;
  SystemClock clock;
  base::StructuredLog log{clock, NodeId("n")};
  base::Metrics metrics;
  std::mt19937_64 random{1};
  const Endpoint store{"127.0.0.1", fakes::FreePort()};
  const Endpoint peer{"127.0.0.1", fakes::FreePort()};
  fakes::FakePlatform platform{loop, 1};
  soak::Proxy link{loop, {"127.0.0.1", fakes::FreePort()}, store};
  http::Client client{loop};
  http::Server server{loop, {}};
  StoreRelay connected{loop, clock, log, metrics, client, random, store, {}};
  StoreRelay disconnected{loop,   clock,           log,   metrics, client,
                          random, link.endpoint(), {peer}};
  platform_adapter::StoreClient calls{disconnected, link.endpoint()};

  TwoNodes() {
    connected.Register(server);
    cr_assert(platform.Listen(store) && link.Listen() && server.Listen(peer));
  }

  // Retries an append until it succeeds, as callers of the store do.
  // Returns false if none succeeds within the limit.
  bool Append(milliseconds limit) {
    bool appended = false;
    std::function<void()> attempt = [&] {
      calls.Append({"t", 0}, {{"k", "v"}}, {}, milliseconds(300),
                   [&](const platform::AppendOutcome& outcome) {
                     appended =
                         std::holds_alternative<platform::Appended>(outcome);
                   });
    };
    const base::Timer retry = loop.Every(milliseconds(100), attempt);
    return fakes::RunUntil(
        loop, [&appended] { return appended; }, limit);
  }
};

Test(store_relay, disconnected_node_appends_through_peer) {
  for (const soak::LinkState state :
       {soak::LinkState::kReset, soak::LinkState::kSilent}) {
    TwoNodes nodes;
    cr_assert(nodes.Append(milliseconds(1'000)), "the link works at first");
    nodes.link.Set(state);
    cr_assert(nodes.Append(milliseconds(2'000)));
  }
}

Test(store_relay, probes_restore_direct_path_when_no_peer_relays) {
  TwoNodes nodes;
  nodes.link.Set(soak::LinkState::kReset);
  nodes.server.StopAccepting();
  cr_assert(!nodes.Append(milliseconds(1'000)));
  nodes.link.Set(soak::LinkState::kPass);
  std::optional<platform::ReadOutcome> read;
  const base::Timer reader = nodes.loop.Every(milliseconds(100), [&] {
    nodes.calls.Read(
        {"t", 0}, 0, milliseconds(0), milliseconds(300),
        [&](const platform::ReadOutcome& outcome) {
          if (std::holds_alternative<platform::RecordPage>(outcome)) {
            read = outcome;
          }
        });
  });
  cr_assert(
      fakes::RunUntil(
          nodes.loop, [&] { return read.has_value(); }, milliseconds(2'000)),
      "probes restore the direct path");
}

// Guards against records that are dropped as too large for the store, although
// only the peer that should have relayed them refused them.
Test(store_relay, size_limit_of_a_peer_is_taken_for_that_of_the_store) {
  const auto refuse = [](int /*request*/) {
    return fakes::RawAnswer{"HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n"};
  };
  for (const bool relayed : {false, true}) {
    TwoNodes nodes;
    fakes::RawServer refusing(nodes.loop, refuse);
    // The peer refuses the call itself, or relays the refusal of its store.
    StoreRelay peer_relay{
        nodes.loop,   nodes.clock,  nodes.log,           nodes.metrics,
        nodes.client, nodes.random, refusing.endpoint(), {}};
    const Endpoint peer_address{"127.0.0.1", fakes::FreePort()};
    http::Server peer_server{nodes.loop, {}};
    peer_relay.Register(peer_server);
    cr_assert(peer_server.Listen(peer_address));
    StoreRelay relay{nodes.loop,
                     nodes.clock,
                     nodes.log,
                     nodes.metrics,
                     nodes.client,
                     nodes.random,
                     nodes.link.endpoint(),
                     {relayed ? peer_address : refusing.endpoint()}};
    platform_adapter::StoreClient calls{relay, nodes.link.endpoint()};
    nodes.link.Set(soak::LinkState::kReset);
    std::optional<platform::AppendOutcome> last;
    const base::Timer retry = nodes.loop.Every(milliseconds(50), [&] {
      calls.Append(
          {"t", 0}, {{"k", "v"}}, {}, milliseconds(300),
          [&last](const platform::AppendOutcome& outcome) { last = outcome; });
    });
    fakes::RunFor(nodes.loop, milliseconds(1'000));
    cr_assert(last.has_value());
    cr_expect_eq(std::holds_alternative<platform::TooLarge>(*last), relayed);
    if (!relayed) {
      const auto* failure = std::get_if<platform::PlatformFailure>(&*last);
      cr_assert_not_null(failure);
      cr_expect(failure->verdict == Verdict::kNotRun);
    }
  }
}

}  // namespace
}  // namespace mulberryroad::node
