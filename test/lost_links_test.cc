// Nodes that lost their links to an upstream that the other nodes reach.

#include <criterion/criterion.h>

#include "fakes/linked_nodes.h"

namespace mulberryroad::node {
namespace {

using fakes::LinkedNodes;
using soak::LinkState;
using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kRequests = 20;

// Share of the callers of a node that lost its links whose first request is
// answered; two thirds is the least.
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

}  // namespace
}  // namespace mulberryroad::node
