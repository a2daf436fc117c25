// Tests that nothing is sent to evacuated domains, and that older copies of the
// operator's records do not undo newer ones.

#include "serving/evacuations.h"

#include <criterion/criterion.h>

#include "fakes/linked_nodes.h"
#include "fakes/part_owner_fixture.h"
#include "node/forwarding_caller.h"
#include "node/peer_view.h"

namespace mulberryroad {
namespace {

using serving::Evacuations;
using std::chrono::milliseconds;

const FailureDomainId& Domain(char name) {
  static const auto* const domains = new std::map<char, FailureDomainId>{
      {'a', FailureDomainId("a")}, {'b', FailureDomainId("b")}};
  return domains->at(name);
}

Test(evacuations, duplicate_and_unread_removal_change_nothing) {
  Evacuations evacuations;
  cr_expect(!evacuations.Apply(Domain('b'), 1, false).has_value());
  const auto change = evacuations.Apply(Domain('a'), 2, true);
  cr_assert(change.has_value());
  cr_expect(change->evacuated);
  cr_expect(!evacuations.Apply(Domain('a'), 3, true).has_value());
  cr_expect_eq(evacuations.size(), 1);
  cr_expect(evacuations.Apply(Domain('a'), 4, false).has_value());
  cr_expect_eq(evacuations.size(), 0);
}

// A node that was cut off from the store reads on from its old position after a
// peer gave it newer records.
Test(evacuations, older_record_does_not_undo_a_newer_one) {
  Evacuations evacuations;
  evacuations.Apply(Domain('a'), 7, false);
  cr_expect(!evacuations.Apply(Domain('a'), 5, true).has_value());
  evacuations.Replace({{Domain('b'), 3}}, 10);
  cr_expect(!evacuations.Apply(Domain('b'), 9, false).has_value());
  cr_expect(!evacuations.Apply(Domain('a'), 9, true).has_value());
  cr_expect(evacuations.contains(Domain('b')));
  cr_expect(!evacuations.contains(Domain('a')));
  cr_expect(evacuations.Apply(Domain('b'), 10, false).has_value(),
            "the record after the listing must count");
}

Test(evacuations, listing_returns_only_domains_that_it_covers) {
  Evacuations evacuations;
  evacuations.Apply(Domain('a'), 4, true);
  evacuations.Apply(Domain('b'), 12, true);
  const auto changes = evacuations.Replace({}, 10);
  cr_assert_eq(changes.size(), 1);
  cr_expect(changes[0].domain == Domain('a'));
  cr_expect(!changes[0].evacuated);
  cr_expect(evacuations.contains(Domain('b')),
            "a record newer than the listing must stay in force");
  evacuations.Apply(Domain('b'), 13, false);
  cr_expect(evacuations.Replace({{Domain('b'), 9}}, 10).empty(),
            "a listing must not undo a later removal");
  cr_expect(evacuations.Replace({{Domain('a'), 3}}, 9).empty(),
            "an older listing must not undo a newer one");
  cr_expect_eq(evacuations.Replace({{Domain('a'), 2}}, 14).size(), 1);
}

// Records that a store lists exclude removals: a node that started after a
// removal would not pass it on to a peer that has read the evacuation.
Test(evacuations, peers_learn_of_a_removal_that_the_store_does_not_list) {
  node::PeerRecords behind;
  behind.Apply({"a", "{}", 11});
  node::PeerRecords restarted;
  restarted.Replace({{"config", "manifest", 3}}, 13);
  cr_expect_gt(restarted.position, behind.position);
}

Test(evacuations, ready_excludes_evacuated_upstreams) {
  serving::UpstreamDirectory directory;
  directory.Put(fakes::MakeUpstream("u1", "desk", "a"));
  directory.Put(fakes::MakeUpstream("u2", "desk", "b"));
  directory.evacuations().Apply(Domain('a'), 1, true);
  auto ready = directory.Ready(TargetId("desk"));
  cr_assert_eq(ready.size(), 1);
  cr_expect(ready[0]->id == UpstreamId("u2"));
  cr_expect_not_null(directory.find(UpstreamId("u1")));
  directory.evacuations().Apply(Domain('a'), 2, false);
  cr_expect_eq(directory.Ready(TargetId("desk")).size(), 2);
}

// The domain may be evacuated between the choice of an upstream and the call.
Test(evacuations, caller_sends_nothing_to_an_evacuated_upstream) {
  batches::PartitionOwnerFixture fixture;
  http::Client client{fixture.loop};
  node::ForwardingCaller caller(
      fixture.loop, fixture.clock, fixture.log, fixture.metrics, client,
      fixture.random, fixture.upstreams, fixture.directory, fixture.statements);
  const serving::Registration upstream =
      fakes::MakeUpstream("u1", "engines", "a");
  fixture.directory.evacuations().Apply(Domain('a'), 1, true);
  std::optional<serving::UpstreamOutcome> outcome;
  serving::CallOptions options;
  options.deadline = milliseconds(1'000);
  caller.Send(
      upstream, {}, std::move(options),
      [&outcome](serving::UpstreamOutcome done) { outcome = std::move(done); });
  cr_expect(!outcome.has_value(), "Send must not call back from inside");
  cr_assert(fakes::RunUntil(fixture.loop, [&] { return outcome.has_value(); }));
  cr_expect(std::holds_alternative<serving::NotRun>(*outcome));
  cr_expect(fixture.upstreams.requests.empty());
}

// A node that lost its link and does not know of the evacuation yet asks a peer
// that does; then it learns of it while its links work.
Test(evacuations, neither_peer_nor_own_link_reaches_an_evacuated_upstream) {
  fakes::LinkedNodes nodes(2);
  const auto evacuate = [&nodes](std::size_t node) {
    nodes.nodes[node]->directory.evacuations().Apply(FailureDomainId("d1"), 1,
                                                     true);
  };
  evacuate(1);
  nodes.nodes[0]->SetLinks(soak::LinkState::kRefuse);
  cr_expect_eq(nodes.Post(0, "/order"), 503);
  nodes.nodes[0]->SetLinks(soak::LinkState::kPass);
  evacuate(0);
  cr_expect_eq(nodes.Post(0, "/order"), 503);
  cr_expect_neq(nodes.response.headers.count("retry-after"), 0);
  cr_expect_eq(nodes.upstream.runs, 0);
}

// Both upstreams are in domain "d1".
Test(evacuations, items_wait_and_running_ones_finish_in_place) {
  batches::PartitionOwnerFixture fixture;
  const FailureDomainId domain("d1");
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"}, 5);
  cr_assert(fixture.WaitForRequests(1));
  fixture.directory.evacuations().Apply(domain, 1, true);
  fixture.Submit("b2", {"i2"}, 5);
  fakes::RunFor(fixture.loop, milliseconds(200));
  cr_assert_eq(fixture.upstreams.requests.size(), 1);
  cr_expect(!fixture.upstreams.requests[0]->cancelled);
  // A run that breaks off resumes after its events once the domain returns.
  fakes::FakeUpstreams::SendEvents(*fixture.upstreams.requests[0], 2, 5);
  fixture.upstreams.requests[0]->done(serving::MayHaveRun{"cut"});
  fakes::RunFor(fixture.loop, milliseconds(200));
  cr_assert_eq(fixture.upstreams.requests.size(), 1);
  fixture.directory.evacuations().Apply(domain, 2, false);
  owner->OnManifestChanged();
  cr_assert(fixture.WaitForRequests(3));
  const bool resumed =
      fixture.upstreams.requests[1]->options.resume_after == "2" ||
      fixture.upstreams.requests[2]->options.resume_after == "2";
  cr_expect(resumed, "the events of the item must be kept");
  owner->Stop();
}

}  // namespace
}  // namespace mulberryroad
