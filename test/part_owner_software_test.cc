// Tests of the partition owner while upstreams of two software versions serve.

#include "batches/straggler_policy.h"
#include "fakes/part_owner_fixture.h"

namespace mulberryroad::batches {
namespace {

using fakes::FakeUpstreams;
using fakes::ReceivedRequest;
using std::chrono::milliseconds;

struct Fixture : PartitionOwnerFixture {
  /// "u1" runs v1, "u2" runs v2.
  Fixture() {
    for (const auto& [id, software] :
         {std::pair("u1", "v1"), std::pair("u2", "v2")}) {
      List(id, software);
    }
  }

  void List(const std::string& id, const std::string& software) {
    serving::Registration upstream = fakes::MakeUpstream(id, "engines");
    upstream.versions[TargetId("m")] = 5;
    upstream.software = software;
    directory.Put(upstream);
  }

  const std::string& SoftwareOf(const ReceivedRequest& received) {
    return directory.find(received.upstream)->software;
  }

  /// Makes the first run of each item end after two events, and checks that
  /// later ones resume at the version of the first or start again.
  void BreakFirstRuns() {
    upstreams.script = [this](ReceivedRequest& received) {
      const std::string item = received.request.id.value();
      const auto [begun, first] =
          software_by_item.try_emplace(item, SoftwareOf(received));
      if (first) {
        FakeUpstreams::SendEvents(received, 2, 5);
        received.done(serving::MayHaveRun{"cut"});
        return;
      }
      if (received.options.resume_after.empty()) {
        begun->second = SoftwareOf(received);
        ++restarted;
      }
      joined += begun->second == SoftwareOf(received) ? 0 : 1;
      FakeUpstreams::SendEvents(received, 4, 5);
      received.done(serving::CompleteResponse{200, {}, {}});
    };
  }

  std::map<std::string, std::string> software_by_item;
  int joined = 0;
  int restarted = 0;
};

const std::vector<std::string>& Items() {
  static const auto* const items =
      new std::vector<std::string>{"i1", "i2", "i3", "i4", "i5", "i6"};
  return *items;
}

Test(part_owner_software, resumed_item_is_joined_from_two_versions) {
  Fixture fixture;
  fixture.BreakFirstRuns();
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", Items(), 4);
  cr_assert(fixture.WaitForResults("b1", Items().size()));
  cr_expect_eq(fixture.joined, 0, "%d of %zu items are joined", fixture.joined,
               Items().size());
  cr_expect_eq(fixture.restarted, 0, "each version has free slots");
  owner->Stop();
}

Test(part_owner_software, item_whose_version_is_gone_is_joined) {
  Fixture fixture;
  fixture.directory.Remove(UpstreamId("u2"), false, fixture.clock.now());
  fixture.BreakFirstRuns();
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", Items(), 4);
  cr_assert(fakes::RunUntil(fixture.loop, [&fixture] {
    return fixture.software_by_item.size() >= 4;
  }));
  fixture.directory.Remove(UpstreamId("u1"), false, fixture.clock.now());
  fixture.List("u2", "v2");
  owner->ScheduleItems();
  cr_assert(fixture.WaitForResults("b1", Items().size()));
  cr_expect_eq(fixture.joined, 0, "%d of %zu items are joined", fixture.joined,
               Items().size());
  cr_expect_gt(fixture.restarted, 0);
  owner->Stop();
}

Test(part_owner_software, new_owner_joins_stored_events_with_another_version) {
  Fixture fixture;
  fixture.directory.Remove(UpstreamId("u2"), false, fixture.clock.now());
  const auto first = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"}, 4);
  cr_assert(fakes::RunUntil(fixture.loop, [&fixture] {
    return fixture.upstreams.requests.size() == 1;
  }));
  FakeUpstreams::SendEvents(*fixture.upstreams.requests[0], 8, 5);
  first->SaveProgress();
  fakes::RunFor(fixture.loop, milliseconds(50));
  first->Stop();
  fixture.directory.Remove(UpstreamId("u1"), false, fixture.clock.now());
  fixture.List("u2", "v2");
  fixture.CompleteAll(12, 5);
  const auto second = fixture.StartOwner(2);
  cr_assert(fixture.WaitForResults("b1", 1));
  cr_expect(fixture.upstreams.requests.back()->options.resume_after.empty(),
            "the item must start again");
  second->Stop();
}

Test(part_owner_software, move_to_another_version_starts_a_run_again) {
  Fixture fixture;
  fixture.directory.Remove(UpstreamId("u2"), false, fixture.clock.now());
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"}, 4);
  cr_assert(fakes::RunUntil(fixture.loop, [&fixture] {
    return fixture.upstreams.requests.size() == 1;
  }));
  FakeUpstreams::SendEvents(*fixture.upstreams.requests[0], 50, 5);
  fixture.List("u2", "v2");
  fakes::RunFor(fixture.loop, kMinMoveAge + milliseconds(50));
  const Instant now = fixture.clock.now();
  fixture.loads.RecordLatency(UpstreamId("u1"), milliseconds(100), now);
  fixture.loads.RecordLatency(UpstreamId("u2"), milliseconds(1), now);
  owner->MoveStragglers();
  fakes::RunFor(fixture.loop, milliseconds(100));
  cr_expect(!fixture.upstreams.requests[0]->cancelled,
            "a move would discard 50 events");
  fixture.List("u3", "v1");
  fixture.loads.RecordLatency(UpstreamId("u3"), milliseconds(1),
                              fixture.clock.now());
  owner->MoveStragglers();
  fakes::RunFor(fixture.loop, milliseconds(100));
  cr_expect(fixture.upstreams.requests[0]->cancelled);
  cr_assert_eq(fixture.upstreams.requests.size(), 2);
  cr_expect(fixture.upstreams.requests[1]->upstream == UpstreamId("u3"));
  owner->Stop();
}

}  // namespace
}  // namespace mulberryroad::batches
