// Tests of a partition owner that has no memory for the items of all batches.

#include "fakes/part_owner_fixture.h"

namespace mulberryroad::batches {
namespace {

using std::chrono::milliseconds;
using Fixture = PartitionOwnerFixture;

// Upstreams serve version 5, so that these items wait until their batch ends.
constexpr std::uint64_t kFutureVersion = 9;
constexpr std::uint64_t kServedVersion = 4;

// Above the size of an encoded item of the fixture, of some fifty bytes.
constexpr std::size_t kMaxEncodedItemBytes = 100;

std::size_t RoomFor(std::size_t items) {
  return ItemMemoryNeed(items * kMaxEncodedItemBytes, items);
}

// Guards against an owner that holds all that was accepted.
Test(partition_owner_memory, batch_without_memory_opens_once_another_ends) {
  Fixture fixture;
  fixture.max_item_bytes = RoomFor(2);
  fixture.CompleteAll(3, 5);
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1", "i2"}, kFutureVersion);
  fixture.Submit("b2", {"i3", "i4"}, kServedVersion);
  fakes::RunFor(fixture.loop, milliseconds(100));
  cr_expect(fixture.upstreams.requests.empty());
  cr_expect_leq(fixture.item_memory.held(), fixture.max_item_bytes);
  fixture.EndBatch("b1");
  cr_assert(fixture.WaitForResults("b2", 2));
  fixture.EndBatch("b2");
  cr_expect_eq(fixture.item_memory.held(), 0);
  owner->Stop();
}

// Guards against a large batch that keeps the smaller ones behind it waiting.
Test(partition_owner_memory, batch_does_not_wait_for_a_larger_one) {
  Fixture fixture;
  fixture.max_item_bytes = RoomFor(3);
  fixture.CompleteAll(3, 5);
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1", "i2"}, kFutureVersion);
  fixture.Submit("b2", {"i3", "i4"}, kServedVersion);
  fixture.Submit("b3", {"i5"}, kServedVersion);
  cr_assert(fixture.WaitForResults("b3", 1));
  cr_expect(fixture.Results("b2").empty());
  owner->Stop();
}

// Guards against a new owner that reads all that was accepted at once.
Test(partition_owner_memory, new_owner_holds_the_batches_that_it_has_room_for) {
  Fixture fixture;
  for (const char* id : {"b1", "b2", "b3", "b4"}) {
    fixture.Submit(id, {std::string(id) + "-i1"}, kServedVersion);
  }
  fixture.max_item_bytes = RoomFor(1);
  std::size_t peak = 0;
  fixture.upstreams.script = [&](fakes::ReceivedRequest& received) {
    peak = std::max(peak, fixture.item_memory.held());
    fakes::FakeUpstreams::SendEvents(received, 3, 5);
    received.done(serving::CompleteResponse{200, {}, {}});
  };
  const auto owner = fixture.StartOwner(1);
  for (const char* id : {"b1", "b2", "b3", "b4"}) {
    cr_assert(fixture.WaitForResults(id, 1), "%s has no result", id);
    fixture.EndBatch(id);
  }
  cr_expect_leq(peak, fixture.max_item_bytes);
  owner->Stop();
}

Test(partition_owner_memory, batch_that_ends_while_it_waits_stays_closed) {
  Fixture fixture;
  fixture.max_item_bytes = RoomFor(1);
  fixture.CompleteAll(3, 5);
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"}, kFutureVersion);
  fixture.Submit("b2", {"i2"}, kServedVersion);
  fixture.EndBatch("b2");
  fixture.EndBatch("b1");
  fakes::RunFor(fixture.loop, milliseconds(100));
  cr_expect(fixture.upstreams.requests.empty());
  cr_expect_eq(fixture.item_memory.held(), 0);
  owner->Stop();
}

// Guards against a failed read after which the batch never opens.
Test(partition_owner_memory, items_are_read_again_after_a_failed_read) {
  Fixture fixture;
  fixture.max_item_bytes = RoomFor(1);
  fixture.CompleteAll(3, 5);
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"}, kFutureVersion);
  fixture.Submit("b2", {"i2"}, kServedVersion);
  fakes::RunFor(fixture.loop, milliseconds(100));
  fixture.store.unavailable = true;
  fixture.max_item_bytes = RoomFor(2);
  fakes::RunFor(fixture.loop, milliseconds(50));
  cr_expect(fixture.upstreams.requests.empty());
  fixture.store.unavailable = false;
  cr_assert(fixture.WaitForResults("b2", 1));
  owner->Stop();
}

Test(partition_owner_memory, stopped_owner_gives_its_memory_back) {
  Fixture fixture;
  auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1", "i2"}, kFutureVersion);
  cr_assert(fakes::RunUntil(fixture.loop,
                            [&] { return fixture.item_memory.held() > 0; }));
  owner->Stop();
  owner.reset();
  fakes::RunFor(fixture.loop, milliseconds(100));
  cr_expect_eq(fixture.item_memory.held(), 0);
}

}  // namespace
}  // namespace mulberryroad::batches
