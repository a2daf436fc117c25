// Nodes that lost their links to an upstream that the other nodes reach.

#include <criterion/criterion.h>

#include <memory>
#include <optional>
#include <string>

#include "fakes/linked_nodes.h"

namespace mulberryroad::node {
namespace {

using fakes::LinkedNodes;
using soak::LinkState;
using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kRequests = 20;

// Returns how many of kRequests requests are answered at a node that lost its
// links. The users' rule asks for two thirds.
int CountServed(LinkState state, const std::string& path) {
  LinkedNodes world(2);
  cr_assert_eq(world.Post(0, path), kOk);
  cr_assert_eq(world.Post(1, path), kOk);
  world.nodes[0]->link.Set(state);
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    served += world.Post(0, path) == kOk ? 1 : 0;
    fakes::RunFor(world.loop, milliseconds(100));
  }
  return served;
}

Test(lost_links, callers_of_a_node_with_cut_links_are_refused) {
  cr_expect_gt(3 * CountServed(LinkState::kCut, "/report"), 2 * kRequests);
}

Test(lost_links, callers_of_a_node_with_links_cut_one_way_are_refused) {
  cr_expect_gt(3 * CountServed(LinkState::kCutAnswers, "/report"),
               2 * kRequests);
}

Test(lost_links, callers_of_a_node_with_refused_links_are_refused) {
  cr_expect_gt(3 * CountServed(LinkState::kRefuse, "/report"), 2 * kRequests);
}

Test(lost_links, orders_at_a_node_with_refused_links_are_refused) {
  cr_expect_gt(3 * CountServed(LinkState::kRefuse, "/order"), 2 * kRequests);
}

// A node with little traffic, whose open connections to all upstreams are dead.
Test(lost_links, each_upstream_loses_an_order_at_a_cut_node) {
  LinkedNodes world(2, /*upstreams=*/6);
  for (int i = 0; i < 60; ++i) {
    cr_assert_eq(world.Post(0, "/order"), kOk);
  }
  world.nodes[0]->SetLinks(LinkState::kCut);
  int failed = 0;
  for (int i = 0; i < 8; ++i) {
    std::optional<http::Result> result;
    world.Send(0, "/order",
               [&result](http::Result done) { result = std::move(done); });
    fakes::RunFor(world.loop, milliseconds(1'000));
    const auto* response =
        result.has_value() ? std::get_if<http::Response>(&*result) : nullptr;
    failed += response != nullptr && response->status == kOk ? 0 : 1;
  }
  cr_expect_leq(failed, 1, "%d of 8 orders failed", failed);
}

Test(lost_links, idle_node_does_not_learn_that_it_is_cut_off) {
  LinkedNodes world(2, /*upstreams=*/3);
  world.nodes[0]->SetLinks(LinkState::kCut);
  const base::Timer tries = world.loop.Every(
      milliseconds(500), [&world] { world.nodes[0]->caller.TryLinkIfIdle(); });
  fakes::RunFor(world.loop, milliseconds(5'000));
  cr_expect(world.nodes[0]->caller.links().likely_cut_off(world.clock.now()));
  cr_expect(world.nodes[0]->caller.depends_on_peers(),
            "a peer reaches the upstreams");
  cr_expect_eq(world.Post(0, "/order"), kOk);
  world.nodes[0]->SetLinks(LinkState::kPass);
  fakes::RunFor(world.loop, milliseconds(1'500));
  cr_expect(!world.nodes[0]->caller.links().likely_cut_off(world.clock.now()));
}

Test(lost_links, idle_node_depends_on_peers_that_are_cut_off_as_well) {
  LinkedNodes world(2, /*upstreams=*/3);
  for (const auto& node : world.nodes) {
    node->SetLinks(LinkState::kCut);
  }
  const base::Timer tries = world.loop.Every(
      milliseconds(500), [&world] { world.nodes[0]->caller.TryLinkIfIdle(); });
  fakes::RunFor(world.loop, milliseconds(4'000));
  cr_expect(!world.nodes[0]->caller.depends_on_peers());
}

// The node under test is 0; its links are lost before the first request.
struct LostLinks : LinkedNodes {
  explicit LostLinks(int count, LinkState state = LinkState::kRefuse)
      : LinkedNodes(count) {
    nodes[0]->link.Set(state);
  }
  int runs(const std::string& request) {
    return upstream.runs_by_request[request];
  }
};

Test(lost_links, requests_on_open_links_take_the_way_through_a_peer) {
  LinkedNodes world(2);
  cr_assert_eq(world.Post(0, "/report"), kOk);
  world.nodes[0]->link.Set(LinkState::kRefuseNew);
  for (int i = 0; i < 5; ++i) {
    cr_expect_eq(world.Post(0, "/report"), kOk);
  }
  cr_expect_eq(world.nodes[0]->caller.links().lost_links(), 0);
}

Test(lost_links, streams_through_a_peer_lose_events) {
  LostLinks world(2);
  cr_expect_eq(world.Post(0, "/stream"), kOk);
  std::string expected;
  for (int i = 1; i <= fakes::LinkedUpstream::kEvents; ++i) {
    const std::string id = std::to_string(i);
    expected += "id: ";
    expected += id;
    expected += "\ndata: e";
    expected += id;
    expected += "\n\n";
  }
  cr_expect(world.response.body == expected, "%s", world.response.body.c_str());
}

Test(lost_links, links_that_work_again_stay_unused) {
  LostLinks world(2);
  cr_assert_eq(world.Post(0, "/report"), kOk);
  cr_expect_eq(world.nodes[0]->caller.links().lost_links(), 1);
  world.nodes[0]->link.Set(LinkState::kPass);
  fakes::RunFor(world.loop, 2 * serving::LinkMonitor::kProbeInterval);
  cr_expect_eq(world.nodes[0]->caller.links().lost_links(), 0);
  const int forwarded = world.nodes[1]->link.accepted();
  cr_expect_eq(world.Post(0, "/report"), kOk);
  cr_expect_eq(world.nodes[1]->link.accepted(), forwarded);
}

Test(lost_links, callers_wait_though_all_nodes_lost_their_links) {
  LostLinks world(3, LinkState::kCut);
  world.nodes[1]->link.Set(LinkState::kCut);
  world.nodes[2]->link.Set(LinkState::kCut);
  for (std::size_t node = 0; node < 3; ++node) {
    world.Post(node, "/report");
  }
  for (int i = 0; i < 5; ++i) {
    cr_expect_eq(world.Post(0, "/report"), 503);
    cr_expect_lt(world.took.count(), 1'000);
  }
  cr_expect(world.response.headers.contains("retry-after"));
  cr_expect_eq(world.upstream.runs, 0);
}

Test(lost_links, upstream_that_is_down_counts_as_a_lost_link) {
  LinkedNodes world(3);
  for (const auto& node : world.nodes) {
    node->link.Set(LinkState::kRefuse);
  }
  cr_expect_eq(world.Post(0, "/report"), 503);
  cr_expect_eq(world.nodes[0]->caller.links().lost_links(), 0);
  cr_expect(!world.nodes[0]->caller.links().cut_off());
}

Test(lost_links, request_runs_again_after_the_link_between_nodes_broke) {
  LostLinks world(2);
  world.upstream.work_time = milliseconds(200);
  std::optional<http::Result> result;
  world.Send(0, "/order",
             [&result](http::Result done) { result = std::move(done); });
  cr_assert(fakes::RunUntil(world.loop,
                            [&world] { return world.upstream.runs == 1; }));
  // The peer goes away with the request in flight.
  world.nodes.pop_back();
  cr_assert(
      fakes::RunUntil(world.loop, [&result] { return result.has_value(); }));
  const auto* response = std::get_if<http::Response>(&*result);
  cr_assert_not_null(response);
  cr_expect_eq(response->status, 502, "found %d: it may have run",
               response->status);
  cr_expect_eq(world.runs("r1"), 1);
}

Test(lost_links, request_of_a_caller_that_left_goes_on_at_the_upstream) {
  LostLinks world(2);
  world.upstream.work_time = milliseconds(1'000);
  const auto call = world.Send(0, "/report", [](const http::Result&) {});
  cr_assert(fakes::RunUntil(world.loop,
                            [&world] { return world.upstream.runs == 1; }));
  call->Cancel();
  cr_expect(fakes::RunUntil(
      world.loop, [&world] { return world.upstream.cancelled == 1; }));
}

Test(lost_links, stopping_peer_gets_requests) {
  LostLinks world(3);
  world.nodes[1]->stopping = true;
  for (int i = 0; i < 5; ++i) {
    cr_expect_eq(world.Post(0, "/order"), kOk);
  }
  cr_expect_eq(world.nodes[1]->link.accepted(), 0);
}

Test(lost_links, order_through_a_peer_runs_twice) {
  LostLinks world(4);
  for (int i = 1; i <= 10; ++i) {
    cr_expect_eq(world.Post(0, "/order"), kOk);
    cr_expect_eq(world.runs("r" + std::to_string(i)), 1);
  }
}

}  // namespace
}  // namespace mulberryroad::node
