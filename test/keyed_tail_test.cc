// Tests of the tail of a partition: a snapshot of the newest records, then each
// later record, and a new snapshot after lost history.

#include "store/keyed_tail.h"

#include <criterion/criterion.h>

#include <map>

#include "fakes/loop_wait.h"
#include "fakes/memory_store.h"

namespace mulberryroad::store {
namespace {

const platform::PartitionId kPartition{"keyed.test", 0};

struct Fixture {
  base::EventLoop loop;
  SystemClock clock;
  base::StructuredLog log{clock, NodeId("node-1")};
  fakes::MemoryStore store{loop};
  std::map<std::string, std::string> seen;
  int snapshots = 0;
  std::shared_ptr<KeyedTail> tail;

  Fixture() {
    TailHandler handler;
    handler.on_snapshot =
        [this](const std::vector<platform::KeyedRecord>& all) {
          ++snapshots;
          seen.clear();
          for (const platform::KeyedRecord& record : all) {
            seen[record.key] = *record.value;
          }
        };
    handler.on_record = [this](const platform::KeyedRecord& record) {
      if (record.value.has_value()) {
        seen[record.key] = *record.value;
      } else {
        seen.erase(record.key);
      }
    };
    tail = std::make_shared<KeyedTail>(loop, clock, log, store, kPartition,
                                       TailTiming{}, handler);
  }
  ~Fixture() { tail->Stop(); }

  void Put(const std::string& key, std::optional<std::string> value) {
    store.Append(kPartition, {{key, std::move(value)}}, {},
                 std::chrono::milliseconds(1),
                 [](const platform::AppendOutcome&) {});
  }
};

Test(keyed_tail, reads_all_pages_and_later_records) {
  Fixture fixture;
  fixture.store.page_size = 2;
  for (const char* key : {"a", "b", "c", "d", "e"}) {
    fixture.Put(key, key);
  }
  fixture.tail->Start();
  cr_assert(
      fakes::RunUntil(fixture.loop, [&] { return fixture.seen.size() == 5; }));
  fixture.Put("b", std::nullopt);
  fixture.Put("f", "f");
  cr_assert(fakes::RunUntil(fixture.loop, [&] {
    return fixture.seen.contains("f") && !fixture.seen.contains("b");
  }));
}

Test(keyed_tail, lost_history_causes_a_new_snapshot) {
  Fixture fixture;
  fixture.Put("a", "1");
  fixture.tail->Start();
  cr_assert(
      fakes::RunUntil(fixture.loop, [&] { return fixture.seen.size() == 1; }));
  fixture.store.unavailable = true;
  fakes::RunFor(fixture.loop, std::chrono::milliseconds(50));
  cr_assert(fixture.tail->last_failure().has_value());
  fixture.store.unavailable = false;
  fixture.Put("a", std::nullopt);
  fixture.Put("b", "2");
  fixture.store.DropHistory(kPartition);
  cr_assert(fakes::RunUntil(fixture.loop, [&] {
    return fixture.seen.contains("b") && !fixture.seen.contains("a");
  }));
  cr_assert_eq(fixture.snapshots, 2);
}

// A read that is sent just before an unresponsive store recovers gets no
// answer. The recovery must still be detected within half a second.
Test(keyed_tail, recovery_of_an_unresponsive_store_is_detected_soon) {
  Fixture fixture;
  fixture.tail->Start();
  cr_assert(
      fakes::RunUntil(fixture.loop, [&] { return fixture.snapshots > 0; }));
  fixture.store.unresponsive = true;
  cr_assert(
      fakes::RunUntil(fixture.loop, [&] { return fixture.tail->failing(); }));
  const int unanswered_before = fixture.store.unanswered;
  cr_assert(fakes::RunUntil(fixture.loop, [&] {
    return fixture.store.unanswered > unanswered_before;
  }));
  fixture.store.unresponsive = false;
  const Instant recovered_at = fixture.clock.now();
  cr_assert(
      fakes::RunUntil(fixture.loop, [&] { return !fixture.tail->failing(); }));
  cr_assert_lt(
      (fixture.clock.now() - recovered_at) / std::chrono::milliseconds(1), 600);
}

}  // namespace
}  // namespace mulberryroad::store
