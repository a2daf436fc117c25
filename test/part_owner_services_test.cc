// Tests of batches whose items go to different services.

#include "batches/straggler_policy.h"
#include "fakes/part_owner_fixture.h"

namespace mulberryroad::batches {
namespace {

using fakes::FakeUpstreams;
using std::chrono::milliseconds;

constexpr char kOtherPath[] = "/drafts/other/x";

// Items whose id begins with "other" go to the service "other-engines".
struct Fixture : PartitionOwnerFixture {
  Fixture() {
    serving::Manifest manifest = MakeManifest(/*single_version=*/false);
    serving::Route other = manifest.routes.front();
    other.name = "other";
    other.path_prefix = "/drafts/other/";
    other.services = {{TargetId("other-engines"), 1}};
    manifest.routes.insert(manifest.routes.begin(), other);
    manifest.version = 2;
    cr_assert(catalog.Apply(manifest));
  }

  void SubmitBoth(const std::vector<std::string>& items) {
    SubmitItems("b1", items, 4, [](v1::BatchItem* item) {
      if (item->id().starts_with("other")) {
        item->set_path(kOtherPath);
      }
    });
  }
};

// Guards against items that wait beside idle upstreams, as an item before them
// goes to a service without any.
Test(partition_owner_services, service_without_upstreams_blocks_the_others) {
  Fixture fixture;
  fixture.CompleteAll(3, 5);
  const auto owner = fixture.StartOwner(1);
  fixture.SubmitBoth({"other-1", "i1", "other-2", "i2"});
  cr_assert(fixture.WaitForResults("b1", 2));
  for (const v1::ResultRecord& result : fixture.Results("b1")) {
    cr_assert(result.item().starts_with("i"));
  }
  owner->Stop();
}

// Guards against the same for an item that no route matches any more.
Test(partition_owner_services, item_without_a_route_blocks_the_others) {
  Fixture fixture;
  fixture.CompleteAll(3, 5);
  const auto owner = fixture.StartOwner(1);
  fixture.SubmitItems("b1", {"lost", "i1"}, 4, [](v1::BatchItem* item) {
    if (item->id() == "lost") {
      item->set_path("/nowhere/x");
    }
  });
  cr_assert(fixture.WaitForResults("b1", 1));
  cr_assert_str_eq(fixture.Results("b1").front().item().c_str(), "i1");
  owner->Stop();
}

// Guards against a run that is interrupted for a faster upstream of a service
// to which its item does not go.
Test(partition_owner_services, run_moves_to_an_upstream_of_another_service) {
  Fixture fixture;
  serving::Registration other = fakes::MakeUpstream("other", "other-engines");
  other.versions[TargetId("m")] = 5;
  fixture.directory.Put(other);
  const auto owner = fixture.StartOwner(1);
  fixture.SubmitBoth({"i1", "other-1"});
  cr_assert(fixture.WaitForRequests(2));
  for (const auto& request : fixture.upstreams.requests) {
    FakeUpstreams::SendEvents(*request, 1, 5);
  }
  const Instant now = fixture.clock.now();
  fixture.loads.RecordLatency(UpstreamId("other"), milliseconds(900), now);
  for (const char* id : {"u1", "u2"}) {
    fixture.loads.RecordLatency(UpstreamId(id), milliseconds(10), now);
  }
  fakes::RunFor(fixture.loop, kMinMoveAge + milliseconds(50));
  owner->MoveStragglers();
  fakes::RunFor(fixture.loop, milliseconds(50));
  for (const auto& request : fixture.upstreams.requests) {
    cr_assert(!request->cancelled, "%s was interrupted",
              request->request.id.value().c_str());
  }
  owner->Stop();
}

}  // namespace
}  // namespace mulberryroad::batches
