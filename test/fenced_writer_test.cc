// Tests of the fenced writer: each append is applied once, and none after a
// writer with a higher epoch has started.

#include "store/fenced_writer.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "fakes/loop_wait.h"
#include "fakes/memory_store.h"
#include "mulberryroad/clock.h"

namespace mulberryroad::store {
namespace {

const platform::PartitionId kPartition{"keyed.test", 0};

struct Fixture {
  base::EventLoop loop;
  SystemClock clock;
  base::StructuredLog log{clock, NodeId("node-1")};
  fakes::MemoryStore store{loop};
  bool ready = false;
  bool fenced = false;

  std::shared_ptr<FencedWriter> Make(std::uint64_t epoch) {
    return std::make_shared<FencedWriter>(
        loop, log, store, kPartition, "owner", epoch, [this] { ready = true; },
        [this] { fenced = true; });
  }
};

Test(fenced_writer, append_without_an_answer_is_applied_once) {
  Fixture fixture;
  const auto writer = fixture.Make(3);
  writer->Start();
  cr_assert(fakes::RunUntil(fixture.loop, [&] { return fixture.ready; }));
  fixture.store.append_answers_to_lose = 1;
  int appended = 0;
  writer->Append({{"k", "v"}}, [&] { ++appended; });
  cr_assert(fakes::RunUntil(fixture.loop, [&] { return appended == 1; }));
  platform::Offset end = 0;
  fixture.store.ReadLatest(kPartition, {}, std::chrono::milliseconds(1),
                           [&end](platform::NewestOutcome outcome) {
                             end = std::get<platform::LatestPage>(outcome).end;
                           });
  cr_assert(fakes::RunUntil(fixture.loop, [&] { return end != 0; }));
  cr_assert_eq(end, 1, "expected one record, found %lu",
               static_cast<unsigned long>(end));
}

Test(fenced_writer, writer_with_a_lower_epoch_is_fenced) {
  Fixture fixture;
  const auto first = fixture.Make(3);
  first->Start();
  cr_assert(fakes::RunUntil(fixture.loop, [&] { return fixture.ready; }));
  fixture.ready = false;
  const auto second = fixture.Make(4);
  second->Start();
  cr_assert(fakes::RunUntil(fixture.loop, [&] { return fixture.ready; }));
  bool appended = false;
  first->Append({{"k", "late"}}, [&] { appended = true; });
  cr_assert(fakes::RunUntil(fixture.loop, [&] { return fixture.fenced; }));
  cr_assert(!appended);
  cr_assert(!fixture.store.value(kPartition, "k").has_value());
}

Test(fenced_writer, waits_for_an_unavailable_store) {
  Fixture fixture;
  fixture.store.unavailable = true;
  const auto writer = fixture.Make(1);
  writer->Start();
  fakes::RunFor(fixture.loop, std::chrono::milliseconds(150));
  cr_assert(!fixture.ready);
  fixture.store.unavailable = false;
  cr_assert(fakes::RunUntil(fixture.loop, [&] { return fixture.ready; }));
}

// A long timeout would keep an append waiting for the answer of a store that
// was unresponsive, well after the store has recovered. It must be retried
// within half a second.
Test(fenced_writer, append_succeeds_soon_after_unresponsive_store_recovers) {
  Fixture fixture;
  const auto writer = fixture.Make(3);
  writer->Start();
  cr_assert(fakes::RunUntil(fixture.loop, [&] { return fixture.ready; }));
  fixture.store.unresponsive = true;
  bool appended = false;
  writer->Append({{"k", "v"}}, [&] { appended = true; });
  cr_assert(fakes::RunUntil(fixture.loop,
                            [&] { return fixture.store.unanswered == 1; }));
  fixture.store.unresponsive = false;
  const Instant recovered_at = fixture.clock.now();
  cr_assert(fakes::RunUntil(fixture.loop, [&] { return appended; }));
  cr_assert_lt(
      (fixture.clock.now() - recovered_at) / std::chrono::milliseconds(1), 600);
}

// Guards against a record that the store refuses for its size and that all
// later records wait for.
Test(fenced_writer, record_too_large_for_the_store_blocks_later_ones) {
  Fixture fixture;
  fixture.store.max_record_bytes = 100;
  const auto writer = fixture.Make(3);
  std::vector<std::string> appended;
  const auto append = [&](const std::string& key, std::size_t bytes) {
    writer->Append({{key, std::string(bytes, 'x')}},
                   [&appended, key] { appended.push_back(key); });
  };
  // Queued before the writer is ready, so that one append carries all.
  append("a", 10);
  append("large", 200);
  append("b", 10);
  writer->Start();
  cr_assert(
      fakes::RunUntil(fixture.loop, [&] { return appended.size() == 2; }));
  append("alone", 200);
  append("c", 10);
  cr_assert(
      fakes::RunUntil(fixture.loop, [&] { return appended.size() == 3; }));
  const std::vector<std::string> expected = {"a", "b", "c"};
  cr_assert(appended == expected);
  cr_assert(fixture.store.keys(kPartition) == appended);
  cr_assert(!fixture.fenced);
}

}  // namespace
}  // namespace mulberryroad::store
