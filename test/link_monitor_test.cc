// Tests how lost links are distinguished from upstreams that are down.

#include "serving/link_monitor.h"

#include <criterion/criterion.h>

#include <string>

namespace mulberryroad::serving {
namespace {

using std::chrono::milliseconds;

UpstreamId Id(int number) { return UpstreamId("u" + std::to_string(number)); }
Instant At(int millis) { return Instant{} + milliseconds(millis); }

Test(link_monitor, upstream_that_no_node_reaches_is_down) {
  LinkMonitor links;
  links.OnReached(Id(1), At(0));
  links.OnUnreachable(Id(2), At(10));
  cr_expect(links.path(Id(2), At(10)) == LinkPath::kPeer,
            "a peer may still reach it");
  links.OnUnreachableByPeer(Id(2), At(12));
  cr_expect(links.path(Id(2), At(13)) == LinkPath::kDirect);
  cr_expect(links.path(Id(2), At(12) + LinkMonitor::kDownTime) ==
            LinkPath::kPeer);
  cr_expect(links.path(Id(1), At(13)) == LinkPath::kDirect);
  cr_expect_eq(links.lost_links(), 0);
}

Test(link_monitor, node_that_only_peers_connect_is_cut_off) {
  LinkMonitor links;
  for (int i = 1; i <= 4; ++i) {
    links.OnReached(Id(i), At(0));
  }
  for (int i = 1; i <= 2; ++i) {
    cr_expect(!links.cut_off());
    links.OnUnreachable(Id(i), At(10 * i));
    links.OnReachedByPeer(Id(i), At(10 * i + 1));
  }
  cr_expect(links.cut_off());
  cr_expect(links.path(Id(3), At(30)) == LinkPath::kPeer, "not tried yet");
  cr_expect(links.path(Id(9), At(30)) == LinkPath::kPeer, "never tried");
}

Test(link_monitor, failure_without_an_answer_has_other_links_tried) {
  LinkMonitor links;
  for (int i = 1; i <= 9; ++i) {
    links.OnReached(Id(i), At(0));
  }
  links.OnUnreachable(Id(1), At(1'000));
  // Four others and the failing one.
  cr_assert_eq(links.TakeProbes(At(1'010)).size(),
               LinkMonitor::kOtherProbes + 1);
  cr_expect(!links.likely_cut_off(At(1'010)));
  links.OnUnreachable(Id(2), At(1'020));
  cr_expect(links.likely_cut_off(At(1'020)));
  cr_expect(!links.cut_off(), "no peer has reached them");
  cr_expect(links.path(Id(7), At(1'020)) == LinkPath::kPeer);
  links.OnReached(Id(3), At(1'030));
  cr_expect(!links.likely_cut_off(At(1'030)));
  cr_expect(links.path(Id(7), At(1'030)) == LinkPath::kDirect);
}

Test(link_monitor, failure_among_answers_has_only_its_own_link_tried) {
  LinkMonitor links;
  links.OnReached(Id(1), At(0));
  links.OnReached(Id(2), At(0));
  links.OnUnreachable(Id(1), At(1'000));
  links.OnReached(Id(2), At(1'005));
  cr_assert_eq(links.TakeProbes(At(1'010)).size(), 1);
}

Test(link_monitor, upstreams_that_are_down_cut_off_no_node) {
  LinkMonitor links;
  links.OnReached(Id(3), At(0));
  for (int i = 1; i <= 2; ++i) {
    links.OnUnreachable(Id(i), At(10));
    links.OnUnreachableByPeer(Id(i), At(12));
  }
  cr_expect(!links.likely_cut_off(At(15)));
  cr_expect(links.path(Id(3), At(15)) == LinkPath::kDirect);
}

Test(link_monitor, cut_of_one_failure_domain_leaves_the_other_links) {
  LinkMonitor links;
  for (int i = 1; i <= 2; ++i) {
    links.OnUnreachable(Id(i), At(0));
    links.OnReachedByPeer(Id(i), At(1));
  }
  links.OnReached(Id(3), At(5));
  cr_expect(!links.cut_off());
  cr_expect(links.path(Id(1), At(6)) == LinkPath::kPeer);
  cr_expect(links.path(Id(3), At(6)) == LinkPath::kDirect);
  cr_expect(links.path(Id(4), At(6)) == LinkPath::kDirect);
}

Test(link_monitor, first_link_that_works_again_has_all_tried) {
  LinkMonitor links;
  for (int i = 1; i <= 5; ++i) {
    links.OnUnreachable(Id(i), At(0));
    links.OnReachedByPeer(Id(i), At(1));
  }
  const auto first = links.TakeProbes(At(1'000));
  cr_assert_eq(first.size(), 1, "one link is tried at a time");
  cr_expect(links.TakeProbes(At(1'050)).empty());
  cr_assert_eq(links.TakeProbes(At(1'250)).size(), 1);
  links.OnReached(first.front(), At(1'300));
  cr_expect(!links.cut_off());
  cr_expect_geq(links.TakeProbes(At(1'310)).size(), 3);
}

Test(link_monitor, upstreams_without_evidence_are_forgotten) {
  LinkMonitor links;
  links.OnUnreachable(Id(1), At(0));
  links.Expire(Instant{} + LinkMonitor::kMaxAge);
  cr_expect_eq(links.size(), 1);
  links.Expire(Instant{} + LinkMonitor::kMaxAge + milliseconds(1));
  cr_expect_eq(links.size(), 0);
}

}  // namespace
}  // namespace mulberryroad::serving
