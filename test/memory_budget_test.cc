// Budget of bytes and connections of the HTTP servers of a process.

#include "http/memory_budget.h"

#include <criterion/criterion.h>

#include <chrono>
#include <vector>

namespace mulberryroad::http {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMega = 1U << 20U;
const MemoryBudget::TimePoint kStart{};

// Guards against a budget in which the largest legal body never fits.
Test(memory_budget, largest_body_fits_into_the_smallest_machine) {
  const MemoryBudget budget(LimitsFor(120, 3'075));
  cr_expect(
      budget.HasRoomFor(std::size_t{64} * kMega, /*protected_peer=*/false));
  cr_expect_eq(LimitsFor(0, 0).enabled(), false);
}

// Guards against closing an ordinary caller for the bytes of a stalled one.
Test(memory_budget, closes_the_largest_stalled_body_first) {
  MemoryBudget budget({.bytes = 10 * kMega});
  const auto stalled = budget.Open(false, kStart);
  const auto moving = budget.Open(false, kStart);
  const auto running = budget.Open(false, kStart);
  budget.SetPhase(stalled, ConnectionPhase::kBody, kStart);
  budget.SetPhase(moving, ConnectionPhase::kBody, kStart);
  budget.SetHeld(stalled, 3 * kMega, kStart);
  budget.SetHeld(running, 5 * kMega, kStart);
  budget.SetPhase(running, ConnectionPhase::kRunning, kStart);
  cr_expect(!budget.NextVictim(kStart).has_value());
  const auto later = kStart + seconds(5);
  budget.SetHeld(moving, 3 * kMega, later);
  cr_expect_eq(budget.NextVictim(later).value_or(0), stalled);
  budget.Close(stalled);
  cr_expect(!budget.NextVictim(later).has_value());
  cr_expect_eq(budget.held(), 8 * kMega);
  // What runs cannot be closed, so that it limits what may start.
  cr_expect(!budget.HasRoomFor(5 * kMega, false));
  cr_expect(budget.HasRoomFor(4 * kMega, false));
}

Test(memory_budget, expires_heads_and_bodies_without_progress) {
  MemoryBudget budget({.bytes = 10 * kMega});
  const auto head = budget.Open(false, kStart);
  const auto body = budget.Open(false, kStart);
  budget.SetPhase(head, ConnectionPhase::kHead, kStart);
  budget.SetPhase(body, ConnectionPhase::kBody, kStart);
  budget.SetHeld(body, 1, kStart + seconds(20));
  cr_expect(budget.FindExpired(kStart + milliseconds(3'000)).empty());
  const auto first = budget.FindExpired(kStart + milliseconds(3'001));
  cr_assert_eq(first.size(), 1);
  cr_expect_eq(first[0].id, head);
  // Progress after 20 s; the body ends 30 s later.
  cr_expect_eq(budget.FindExpired(kStart + seconds(50)).size(), 1);
  cr_expect_eq(budget.FindExpired(kStart + milliseconds(50'001)).size(), 2);
}

// Guards against callers that take the connections of peers.
Test(memory_budget, closes_the_oldest_idle_caller_over_the_bound) {
  MemoryBudget budget({.connections = 16});
  const auto peer = budget.Open(true, kStart);
  MemoryBudget::Id first = 0;
  for (int i = 0; i < 14; ++i) {
    const auto id = budget.Open(false, kStart + seconds(1 + i));
    first = first == 0 ? id : first;
  }
  cr_expect(!budget.NextExcessConnection().has_value());
  budget.SetPhase(first, ConnectionPhase::kRunning, kStart + seconds(1));
  budget.Open(false, kStart + seconds(20));
  const auto excess = budget.NextExcessConnection();
  cr_expect_eq(excess.value_or(0), first + 1);
  cr_expect_neq(excess.value_or(0), peer);
}

// Guards against responses that nobody reads and that count as running.
Test(memory_budget, closes_connections_that_do_not_read_their_response) {
  MemoryBudget budget({.bytes = 10 * kMega});
  const auto reading = budget.Open(false, kStart);
  const auto stalled = budget.Open(false, kStart);
  for (const auto id : {reading, stalled}) {
    budget.SetPhase(id, ConnectionPhase::kRunning, kStart);
    budget.SetHeld(id, 4 * kMega, kStart);
    budget.SetUnsent(id, 2 * kMega, kStart);
  }
  const auto later = kStart + seconds(5);
  budget.SetUnsent(reading, 1 * kMega, later);
  cr_expect_eq(budget.held(), 11 * kMega);
  cr_expect_eq(budget.NextVictim(later).value_or(0), stalled);
  budget.Close(stalled);
  cr_expect_eq(budget.held(), 5 * kMega);
  budget.SetPhase(reading, ConnectionPhase::kWriting, later);
  cr_expect(budget.HasRoomFor(9 * kMega, false));
  cr_expect(!budget.NextVictim(later).has_value());
}

// Guards against items of batches that leave requests no room, or the reverse.
Test(memory_budget, reserved_bytes_and_requests_leave_room_to_each_other) {
  MemoryBudget budget({.bytes = 16 * kMega});
  cr_expect_not(budget.Reserve(13 * kMega));
  cr_expect_eq(budget.reserved(), 0);
  cr_expect(budget.Reserve(12 * kMega));
  // A sixteenth does not count.
  cr_expect(budget.HasRoomFor(4 * kMega, false));
  cr_expect_not(budget.HasRoomFor(5 * kMega, false));
  cr_expect(budget.Reserve(0));
  const auto running = budget.Open(false, kStart);
  budget.SetPhase(running, ConnectionPhase::kRunning, kStart);
  budget.SetHeld(running, 15 * kMega, kStart);
  cr_expect(budget.Reserve(kMega));
  cr_expect_not(budget.Reserve(2 * kMega));
}

Test(memory_budget, reserved_bytes_close_incomplete_requests) {
  MemoryBudget budget({.bytes = 16 * kMega});
  const auto body = budget.Open(false, kStart);
  budget.SetPhase(body, ConnectionPhase::kBody, kStart);
  budget.SetHeld(body, 8 * kMega, kStart);
  cr_expect_not(budget.NextVictim(kStart).has_value());
  cr_expect(budget.Reserve(12 * kMega));
  cr_expect_eq(budget.NextVictim(kStart).value_or(0), body);
}

Test(memory_budget, bytes_are_reserved_without_a_limit) {
  MemoryBudget budget({.connections = 1'000});
  cr_expect(budget.Reserve(1'000 * kMega));
  cr_expect(budget.HasRoomFor(1'000 * kMega, false));
}

// Guards against running requests whose connections to upstreams exceed the
// descriptors.
Test(memory_budget, connection_with_a_running_request_counts_twice) {
  MemoryBudget budget({.connections = 16});
  std::vector<MemoryBudget::Id> callers(14);
  for (MemoryBudget::Id& caller : callers) {
    caller = budget.Open(false, kStart);
  }
  cr_expect_not(budget.HasExcessConnections());
  budget.SetPhase(callers[0], ConnectionPhase::kRunning, kStart);
  cr_expect_eq(budget.NextExcessConnection().value_or(0), callers[1]);
  budget.Close(callers[1]);
  cr_expect_not(budget.HasExcessConnections());
  // A response ends the use of both.
  budget.SetPhase(callers[0], ConnectionPhase::kWriting, kStart);
  budget.Open(false, kStart);
  cr_expect_not(budget.HasExcessConnections());
  for (std::size_t i = 2; i < callers.size(); ++i) {
    budget.SetPhase(callers[i], ConnectionPhase::kRunning, kStart);
  }
  cr_expect(budget.HasExcessConnections());
}

}  // namespace
}  // namespace mulberryroad::http
