// Tests of the memory of outputs that no run holds.

#include "batches/output_memory.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "mulberryroad/clock.h"

namespace mulberryroad::batches {
namespace {

using Eviction = OutputMemory::Eviction;

constexpr std::size_t kKilo = 1U << 10U;

struct Fixture {
  SystemClock clock;
  base::StructuredLog log{clock, NodeId("node-1")};
  base::Metrics metrics;
  std::size_t limit = 100 * kKilo;
  OutputMemory memory{[this](std::size_t bytes) { return bytes <= limit; }, log,
                      metrics};
};

ItemProgress MakeOutput(std::size_t bytes) {
  ItemProgress progress;
  progress.AppendEvent({"", "1", std::string(bytes, 'x'), 5}, bytes + 1);
  return progress;
}

Test(output_memory, largest_output_is_evicted_and_becomes_empty) {
  Fixture fixture;
  const HeldOutput large = fixture.memory.Hold(MakeOutput(60 * kKilo));
  const HeldOutput small = fixture.memory.Hold(MakeOutput(20 * kKilo));
  cr_assert_eq(large.progress().last_event, 1);
  HeldOutput newest = fixture.memory.Hold(MakeOutput(30 * kKilo));
  cr_assert_eq(large.progress().last_event, 0);
  cr_assert(large.progress().versions.empty());
  cr_assert_eq(small.progress().last_event, 1);
  cr_assert_leq(fixture.memory.held(), fixture.limit);
  cr_assert_eq(newest.Take().text().size(), 30 * kKilo);
  cr_assert_lt(fixture.memory.held(), 30 * kKilo);
}

Test(output_memory, output_that_never_fits_becomes_empty) {
  Fixture fixture;
  const HeldOutput output = fixture.memory.Hold(MakeOutput(101 * kKilo));
  cr_assert_eq(output.progress().last_event, 0);
  cr_assert_eq(fixture.memory.held(), 0);
  cr_assert(fixture.memory.HasRoom());
}

Test(output_memory, moved_and_destroyed_outputs_do_not_count) {
  Fixture fixture;
  {
    HeldOutput output = fixture.memory.Hold(MakeOutput(60 * kKilo));
    HeldOutput other = fixture.memory.Hold(MakeOutput(10 * kKilo));
    other = std::move(output);
    cr_assert_eq(other.progress().last_event, 1);
    cr_assert_lt(fixture.memory.held(), 65 * kKilo);
  }
  cr_assert_eq(fixture.memory.held(), 0);
}

// Guards against runs that go on while records that wait for the store use up
// the memory.
Test(output_memory, waiting_records_are_not_counted) {
  Fixture fixture;
  const HeldOutput output = fixture.memory.Hold(MakeOutput(30 * kKilo));
  const std::vector<platform::KeyedRecord> records = {
      {"key", std::string(60 * kKilo, 'x')}};
  auto held = fixture.memory.HoldRecords(records);
  cr_assert_eq(output.progress().last_event, 0, "the output must be evicted");
  cr_assert(!fixture.memory.HasRoom());
  held.reset();
  cr_assert(fixture.memory.HasRoom());
  cr_assert_eq(fixture.memory.held(), 0);
}

Test(output_memory, output_that_awaits_a_score_is_evicted) {
  Fixture fixture;
  const HeldOutput pinned =
      fixture.memory.Hold(MakeOutput(80 * kKilo), Eviction::kForbidden);
  const HeldOutput output = fixture.memory.Hold(MakeOutput(30 * kKilo));
  cr_assert_eq(pinned.progress().last_event, 1);
  cr_assert_eq(output.progress().last_event, 0);
}

}  // namespace
}  // namespace mulberryroad::batches
