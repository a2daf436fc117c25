// Tests of the failed runs of items, which count across owners.

#include <string>

#include "fakes/part_owner_fixture.h"

namespace mulberryroad::batches {
namespace {

using fakes::FakeUpstreams;
using fakes::ReceivedRequest;
using std::chrono::milliseconds;
using Fixture = PartitionOwnerFixture;

// `maxAttempts` of the fixture's route.
constexpr std::size_t kMaxAttempts = 3;
// Ample for the retry of an item that may run again.
constexpr milliseconds kRetryTime{300};

void Fail(ReceivedRequest& received) {
  received.done(serving::CompleteResponse{500, {}, {}});
}

void AppendProgress(Fixture& fixture, std::uint32_t number,
                    const v1::ProgressRecord& record) {
  fixture.store.AppendNow(
      ResultPartitionOf("b1", kPartitions),
      {{Encode(ProgressKey{"b1", "i1", number}), record.SerializeAsString()}});
}

// Waits until the item is listed as terminated.
void CheckTerminated(Fixture& fixture) {
  cr_assert(fixture.WaitForResults("b1", 1));
  cr_assert_eq(fixture.Results("b1")[0].state(), v1::ITEM_STATE_TERMINATED);
}

// Guards against an item that fails at each run and gets all attempts anew at
// each owner of its partition.
void CheckFailuresAreKept(const std::string& item) {
  Fixture fixture;
  const auto first = fixture.StartOwner(1);
  fixture.Submit("b1", {item}, 4);
  for (std::size_t run = 1; run < kMaxAttempts; ++run) {
    cr_assert(fixture.WaitForRequests(run));
    Fail(*fixture.upstreams.requests.back());
  }
  cr_assert(fixture.WaitForRequests(kMaxAttempts));
  first->Stop();
  const auto second = fixture.StartOwner(2);
  cr_assert(fixture.WaitForRequests(kMaxAttempts + 1));
  Fail(*fixture.upstreams.requests.back());
  CheckTerminated(fixture);
  fakes::RunFor(fixture.loop, kRetryTime);
  // The run that the first owner cancelled has no outcome.
  cr_assert_eq(fixture.upstreams.requests.size(), kMaxAttempts + 1);
  second->Stop();
}

Test(partition_owner_failures, new_owner_forgets_the_failed_runs) {
  CheckFailuresAreKept("i1");
}

Test(partition_owner_failures, failed_runs_of_an_id_that_no_key_holds) {
  CheckFailuresAreKept("an/id");
}

// The result of the last failure may be lost with its owner.
Test(partition_owner_failures, item_without_attempts_left_runs_again) {
  Fixture fixture;
  fixture.Submit("b1", {"i1"}, 4);
  v1::ProgressRecord record;
  record.set_first_event(1);
  record.set_failures(kMaxAttempts);
  AppendProgress(fixture, 0, record);
  const auto owner = fixture.StartOwner(1);
  CheckTerminated(fixture);
  cr_assert(fixture.upstreams.requests.empty());
  owner->Stop();
}

// Guards against runs whose failures only the memory of one process holds.
Test(partition_owner_failures, item_runs_again_before_its_failure_is_stored) {
  Fixture fixture;
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"}, 4);
  cr_assert(fixture.WaitForRequests(1));
  fixture.store.unavailable = true;
  Fail(*fixture.upstreams.requests[0]);
  const base::Timer schedule =
      fixture.loop.Every(milliseconds(20), [&] { owner->ScheduleItems(); });
  fakes::RunFor(fixture.loop, kRetryTime);
  cr_assert_eq(fixture.upstreams.requests.size(), 1);
  fixture.store.unavailable = false;
  cr_assert(fixture.WaitForRequests(2));
  owner->Stop();
}

// Guards against failures that are deleted with the events of an item that
// starts again.
Test(partition_owner_failures, item_that_starts_again_forgets_its_failures) {
  Fixture fixture;
  const auto first = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"}, 4);
  cr_assert(fixture.WaitForRequests(1));
  FakeUpstreams::SendEvents(*fixture.upstreams.requests[0], 5, 5);
  first->SaveProgress();
  Fail(*fixture.upstreams.requests[0]);
  cr_assert(fixture.WaitForRequests(2));
  // No output fits any more, so that the next run is the first one again.
  fixture.max_output_bytes = 1;
  Fail(*fixture.upstreams.requests[1]);
  fakes::RunFor(fixture.loop, milliseconds(20));
  fixture.max_output_bytes = std::numeric_limits<std::size_t>::max();
  first->ScheduleItems();
  cr_assert(fixture.WaitForRequests(3));
  cr_assert(fixture.upstreams.requests[2]->options.resume_after.empty());
  fakes::RunFor(fixture.loop, milliseconds(20));
  first->Stop();
  const auto second = fixture.StartOwner(2);
  cr_assert(fixture.WaitForRequests(4));
  cr_assert(fixture.upstreams.requests[3]->options.resume_after.empty());
  Fail(*fixture.upstreams.requests[3]);
  CheckTerminated(fixture);
  second->Stop();
}

// Guards against the records of a node of an earlier release, which owned the
// partition meanwhile and writes no failures.
Test(partition_owner_failures, records_of_an_earlier_release_reset_the_number) {
  Fixture fixture;
  fixture.Submit("b1", {"i1"}, 4);
  v1::ProgressRecord of_this;
  of_this.set_first_event(1);
  of_this.set_failures(kMaxAttempts - 1);
  AppendProgress(fixture, 0, of_this);
  v1::ProgressRecord of_earlier;
  of_earlier.set_first_event(1);
  of_earlier.add_events("e1");
  of_earlier.set_version(5);
  of_earlier.add_versions(5);
  of_earlier.set_software("v1");
  AppendProgress(fixture, 1, of_earlier);
  const auto owner = fixture.StartOwner(1);
  cr_assert(fixture.WaitForRequests(1));
  cr_assert_str_eq(fixture.upstreams.requests[0]->options.resume_after.c_str(),
                   "1");
  Fail(*fixture.upstreams.requests[0]);
  CheckTerminated(fixture);
  cr_assert_eq(fixture.upstreams.requests.size(), 1);
  owner->Stop();
}

}  // namespace
}  // namespace mulberryroad::batches
