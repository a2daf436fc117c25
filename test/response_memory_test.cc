// Tests of the memory that the responses of a client may hold.

#include "http/response_memory.h"

#include <criterion/criterion.h>

#include <vector>

#include "http/memory_budget.h"

namespace mulberryroad::http {
namespace {

using Id = ResponseMemory::Id;

struct Fixture {
  std::size_t limit = 100;
  std::vector<int> evicted;
  ResponseMemory memory{[this](std::size_t bytes) { return bytes <= limit; }};

  Id Add(int number) {
    return memory.Add([this, number] { evicted.push_back(number); });
  }
};

// Guards against small responses that fail for a large one.
Test(response_memory, largest_response_is_evicted) {
  Fixture fixture;
  const Id large = fixture.Add(1);
  const Id small = fixture.Add(2);
  fixture.memory.Set(large, 90);
  fixture.memory.Set(small, 10);
  cr_assert(fixture.evicted.empty());
  fixture.memory.Set(small, 11);
  cr_assert(fixture.evicted == std::vector<int>{1});
  cr_assert_eq(fixture.memory.held(), 11);
  // An evicted response counts no more.
  fixture.memory.Set(large, 95);
  cr_assert_eq(fixture.memory.held(), 11);
  fixture.memory.Remove(large);
  fixture.memory.Remove(small);
  cr_assert_eq(fixture.memory.held(), 0);
}

Test(response_memory, response_that_never_fits_is_evicted) {
  Fixture fixture;
  const Id id = fixture.Add(1);
  fixture.memory.Set(id, 101);
  cr_assert(fixture.evicted == std::vector<int>{1});
  cr_assert_eq(fixture.memory.held(), 0);
}

constexpr std::size_t kMega = 1U << 20U;

// Guards against responses that use the memory of running requests, and against
// requests that are admitted into the memory of responses.
Test(memory_budget, responses_and_requests_share_the_budget) {
  const MemoryBudget::TimePoint start{};
  MemoryBudget budget({.bytes = 64 * kMega});
  cr_expect(!budget.ReserveForResponses(17 * kMega));
  cr_expect(budget.ReserveForResponses(16 * kMega));
  cr_expect(!budget.HasRoomFor(56 * kMega, false));
  cr_expect(budget.HasRoomFor(48 * kMega, false));
  const auto id = budget.Open(false, start);
  budget.SetPhase(id, ConnectionPhase::kRunning, start);
  budget.SetHeld(id, 62 * kMega, start);
  cr_expect(!budget.ReserveForResponses(17 * kMega));
  // A lower number always fits, and so does a small share.
  cr_expect(budget.ReserveForResponses(8 * kMega));
  cr_expect(budget.ReserveForResponses(0));
  cr_expect(!budget.ReserveForResponses(8 * kMega));
  cr_expect(budget.ReserveForResponses(4 * kMega));
  cr_expect_eq(budget.responses(), 4 * kMega);
}

}  // namespace
}  // namespace mulberryroad::http
