// Tests of the memory that a partition owner uses for outputs of items.

#include <algorithm>
#include <string>

#include "fakes/part_owner_fixture.h"

namespace mulberryroad::batches {
namespace {

using fakes::FakeUpstreams;
using fakes::ReceivedRequest;
using std::chrono::milliseconds;
using Fixture = PartitionOwnerFixture;

constexpr std::size_t kRecordBytes = 32'768;
constexpr std::size_t kLargeEvents = 12;
constexpr std::size_t kLargeEventBytes = 1'000;

// Sends events after the resumed one, each of the same size.
void SendLargeEvents(ReceivedRequest& received, std::size_t count) {
  const std::size_t resumed =
      std::strtoull(received.options.resume_after.c_str(), nullptr, 10);
  received.options.stream->on_start({200, {}, 5});
  for (std::size_t id = resumed + 1; id <= resumed + count; ++id) {
    received.options.stream->on_event({"", std::to_string(id),
                                       std::string(kLargeEventBytes, 'x'),
                                       std::nullopt});
  }
}

bool HasProgressKeys(Fixture& fixture, const std::string& batch) {
  const auto keys = fixture.store.keys(ResultPartitionOf(batch, kPartitions));
  return std::any_of(keys.begin(), keys.end(), [](const std::string& key) {
    return std::holds_alternative<ProgressKey>(Decode(key));
  });
}

// Guards against outputs that no result record can hold.
Test(partition_owner_outputs, output_over_the_record_limit_is_kept) {
  Fixture fixture;
  fixture.context.max_record_bytes = kRecordBytes;
  int calls = 0;
  fixture.upstreams.script = [&calls](ReceivedRequest& received) {
    if (++calls == 1) {
      SendLargeEvents(received, kRecordBytes / kLargeEventBytes + 1);
      return;
    }
    FakeUpstreams::SendEvents(received, 3, 5);
    received.done(serving::CompleteResponse{200, {}, {}});
  };
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"}, 4);
  cr_assert(fixture.WaitForResults("b1", 1));
  cr_assert(fixture.upstreams.requests[1]->options.resume_after.empty());
  cr_assert_str_eq(fixture.Results("b1")[0].text().c_str(), "e1\ne2\ne3");
  owner->Stop();
}

// Guards against outputs between two runs that nothing bounds, and against
// stored events of an evicted output that a later owner joins to new ones.
Test(partition_owner_outputs, output_between_runs_exceeds_the_memory) {
  Fixture fixture;
  fixture.max_output_bytes = kLargeEvents * kLargeEventBytes / 2;
  int calls = 0;
  fixture.upstreams.script = [&calls](ReceivedRequest& received) {
    if (++calls == 1) {
      SendLargeEvents(received, kLargeEvents);
      return;
    }
    FakeUpstreams::SendEvents(received, 3, 5);
    received.done(serving::CompleteResponse{200, {}, {}});
  };
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"}, 4);
  cr_assert(fixture.WaitForRequests(1));
  fakes::RunFor(fixture.loop, milliseconds(20));
  fixture.max_output_bytes = 100 * kLargeEvents * kLargeEventBytes;
  owner->SaveProgress();
  fakes::RunFor(fixture.loop, milliseconds(50));
  cr_assert(HasProgressKeys(fixture, "b1"));
  fixture.max_output_bytes = kLargeEvents * kLargeEventBytes / 2;
  fixture.upstreams.requests[0]->done(serving::MayHaveRun{"cut"});
  cr_assert_leq(fixture.output_memory.held(), fixture.max_output_bytes);
  cr_assert(fixture.WaitForResults("b1", 1));
  cr_assert(fixture.upstreams.requests[1]->options.resume_after.empty());
  cr_assert_str_eq(fixture.Results("b1")[0].text().c_str(), "e1\ne2\ne3");
  cr_assert(!HasProgressKeys(fixture, "b1"));
  owner->Stop();
}

// Guards against outputs that are kept although no later batch needs them.
Test(partition_owner_outputs, outputs_of_complete_groups_are_kept) {
  Fixture fixture;
  fixture.CompleteAll(3, 5);
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1", "i2", "i3"}, 4);
  cr_assert(fixture.WaitForResults("b1", 3));
  fakes::RunFor(fixture.loop, milliseconds(20));
  cr_assert_eq(fixture.output_memory.held(), 0);
  owner->Stop();
}

// Guards against runs whose results pile up while the store is away.
Test(partition_owner_outputs, runs_start_while_results_fill_the_memory) {
  constexpr int kItems = 20;
  Fixture fixture;
  fixture.max_output_bytes = 4 * kLargeEvents * kLargeEventBytes;
  fixture.upstreams.script = [](ReceivedRequest& received) {
    SendLargeEvents(received, kLargeEvents);
    received.done(serving::CompleteResponse{200, {}, {}});
  };
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b0", {"i0"}, 4);
  cr_assert(fixture.WaitForResults("b0", 1));
  std::vector<std::string> items;
  for (int i = 1; i <= kItems; ++i) {
    items.push_back("i" + std::to_string(i));
  }
  fixture.Submit("b1", items, 4);
  fixture.store.unavailable = true;
  fakes::RunFor(fixture.loop, milliseconds(500));
  // Two upstreams with four slots each, and a few results.
  cr_assert_leq(fixture.upstreams.requests.size(), 12);
  fixture.store.unavailable = false;
  const base::Timer schedule =
      fixture.loop.Every(milliseconds(20), [&] { owner->ScheduleItems(); });
  cr_assert(fixture.WaitForResults("b1", kItems));
  cr_assert_eq(fixture.upstreams.requests.size(), kItems + 1);
  owner->Stop();
}

}  // namespace
}  // namespace mulberryroad::batches
