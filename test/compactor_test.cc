#include "log/compactor.h"

#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/digest.h"
#include "config/config_store.h"
#include "fakes/loop_wait.h"
#include "fakes/memory_log.h"
#include "fakes/memory_transport.h"
#include "fakes/memory_vms.h"
#include "lease/lease_keeper.h"

namespace mulberryroad::log {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInterval{200};
constexpr char kConfig[] = "config";
constexpr char kLease[] = "lease";
constexpr char kOrders[] = "orders/north";
constexpr char kText[] = "organisations { name: \"acme\" }";

/// A node with all that its compactor needs.
struct Node {
  Node(base::EventLoop& loop, const Clock& clock, fakes::MemoryLog& log,
       fakes::MemoryNetwork& network, fakes::MemoryVms& vms, int index)
      : name("node-" + std::to_string(index)),
        transport(network, {"10.0.0." + std::to_string(index), 7'000}),
        journal(loop, clock, log, NodeId(name), 1,
                LogJournalOptions{milliseconds(50)}),
        members(loop, clock, transport, vms, Self(name), index, {}),
        store(loop, clock, journal, transport, members, {}),
        decisions(clock, NodeId(name)),
        keeper(loop, clock, journal, decisions, NodeId(name), 1,
               lease::LeaseTiming{milliseconds(1'000), milliseconds(100)}),
        compactor(loop, clock, journal, keeper, CompactorOptions{kInterval}) {
    compactor.Add(kConfig, [this](v1::Snapshot* s) { store.Save(s); });
    compactor.Add(kLease, [this](v1::Snapshot* s) { keeper.Save(s); });
    compactor.AddRecords(kOrders, [this] { return live; });
    for (const char* stream : {kConfig, kLease, kOrders}) {
      Watch(stream);
    }
    journal.Subscribe(
        kOrders, [this](platform::Offset offset, const v1::Record& record) {
          if (record.has_order_intent()) {
            live.insert(offset);
            seen += record.order_intent().order_id();
          }
        });
  }
  static v1::Member Self(const std::string& name) {
    v1::Member self;
    self.set_node_id(name);
    return self;
  }

  /// Notes the newest snapshot of a stream.
  void Watch(const char* stream) {
    journal.Subscribe(
        stream, [this, stream](platform::Offset, const v1::Record& record) {
          if (record.has_snapshot()) {
            covered[stream] = record.snapshot().covered_offset();
          }
        });
  }

  std::string name;
  std::map<std::string, platform::Offset> covered;
  std::set<platform::Offset> live;
  std::string seen;
  fakes::MemoryTransport transport;
  LogJournal journal;
  membership::Membership members;
  config::ConfigStore store;
  base::DecisionLog decisions;
  lease::LeaseKeeper keeper;
  Compactor compactor;
};

struct Fixture {
  std::unique_ptr<Node> Start() {
    return std::make_unique<Node>(loop, clock, log, network, vms, ++started);
  }
  bool Until(const std::function<bool()>& condition) {
    return fakes::RunUntil(loop, condition);
  }
  void Apply(Node& node) {
    bool applied = false;
    node.store.Apply(kText, 0, "operator", [&](const v1::ApplyReply& reply) {
      applied = reply.accepted();
    });
    cr_assert(Until([&] { return applied; }));
  }
  void PutIntent(const std::string& id) {
    v1::Record record;
    record.set_writer("controller#1");
    record.set_sequence(sequence++);
    record.mutable_order_intent()->set_order_id(id);
    log.Put(kOrders, record.SerializeAsString());
  }
  /// Lets all records expire that the newest snapshots stand for.
  void WaitForSnapshotsAndExpire(Node& node) {
    const std::uint64_t before = node.compactor.written();
    cr_assert(Until([&] { return node.compactor.written() >= before + 6; }));
    cr_assert(node.covered.size() == 3, "found snapshots of %zu streams",
              node.covered.size());
    for (const auto& [stream, covered] : node.covered) {
      log.Retain(stream, covered + 1);
    }
  }
  bool Ready(const Node& node) {
    return node.journal.caught_up(kConfig) && node.journal.caught_up(kLease) &&
           node.journal.caught_up(kOrders);
  }

  base::EventLoop loop;
  SystemClock clock;
  fakes::MemoryLog log{loop};
  fakes::MemoryNetwork network{loop};
  fakes::MemoryVms vms{loop};
  int started = 0;
  std::uint64_t sequence = 0;
};

Test(compactor, a_new_node_starts_from_snapshots_of_expired_records) {
  Fixture f;
  const auto old = f.Start();
  f.Apply(*old);
  for (const char* id : {"a", "b", "c"}) {
    f.PutIntent(id);
  }
  cr_assert(f.Until([&] { return old->seen == "abc"; }));
  old->live.erase(1);
  f.WaitForSnapshotsAndExpire(*old);
  const auto fresh = f.Start();
  cr_expect(f.Until([&] { return f.Ready(*fresh); }));
  cr_expect(fresh->store.revision() == 1, "found revision %d",
            static_cast<int>(fresh->store.revision()));
  cr_expect(fresh->seen == "ac", "found %s", fresh->seen.c_str());
  const v1::LeaseState* state =
      fresh->keeper.table().find(RoleId(kCompactorRole));
  cr_expect(state != nullptr && state->holder() == old->name);
  cr_expect(old->keeper.mismatches() + fresh->keeper.mismatches() +
                old->store.mismatches() + fresh->store.mismatches() ==
            0);
}

Test(compactor, all_nodes_start_cold_after_the_records_expired) {
  Fixture f;
  auto old = f.Start();
  f.Apply(*old);
  f.PutIntent("a");
  cr_assert(f.Until([&] { return old->seen == "a"; }));
  f.WaitForSnapshotsAndExpire(*old);
  old.reset();
  const auto first = f.Start();
  const auto second = f.Start();
  cr_expect(f.Until([&] { return f.Ready(*first) && f.Ready(*second); }));
  cr_expect(first->store.revision() == 1 && second->store.revision() == 1);
  cr_expect(first->seen == "a" && second->seen == "a");
  cr_expect(f.Until([&] {
    return first->compactor.written() + second->compactor.written() > 3;
  }),
            "one of them must take the role over");
}

Test(compactor, an_outage_longer_than_retention_loses_nothing_that_runs) {
  Fixture f;
  const auto old = f.Start();
  f.Apply(*old);
  cr_assert(f.Until([&] { return old->compactor.written() > 0; }));
  f.log.SetDown(true);
  fakes::RunFor(f.loop, milliseconds(300));
  for (const char* stream : {kConfig, kLease}) {
    f.log.Retain(stream, f.log.end(stream));
  }
  const auto fresh = f.Start();
  f.log.SetDown(false);
  cr_expect(f.Until([&] {
    return fresh->journal.gap(kConfig).has_value() ||
           fresh->store.revision() == 1;
  }));
  cr_expect(f.Until([&] { return f.Ready(*fresh); }),
            "the running node must append snapshots that close the gap");
  cr_expect(fresh->store.revision() == 1);
}

Test(compactor, a_differing_snapshot_is_reported) {
  Fixture f;
  const auto node = f.Start();
  f.Apply(*node);
  cr_assert(f.Until([&] { return node->compactor.written() >= 2; }));
  cr_expect(node->store.mismatches() == 0);
  v1::Record wrong;
  wrong.set_writer("other#1");
  wrong.mutable_snapshot()->set_covered_offset(0);
  wrong.mutable_snapshot()->set_state_sha256("1:00");
  f.log.Put(kConfig, wrong.SerializeAsString());
  cr_expect(f.Until([&] { return node->store.mismatches() == 1; }));
  cr_expect(node->store.revision() == 1, "its own state stays");
}

Test(compactor, a_led_stream_gets_snapshots_while_it_is_led) {
  Fixture f;
  const auto node = f.Start();
  constexpr char kLed[] = "ledger/0";
  int snapshots = 0;
  node->journal.Subscribe(kLed,
                          [&](platform::Offset, const v1::Record& record) {
                            snapshots += record.has_snapshot() ? 1 : 0;
                          });
  v1::Record record;
  record.set_writer("holder#1");
  record.mutable_ledger_intent()->set_idempotency_key("k");
  f.log.Put(kLed, record.SerializeAsString());
  bool led = false;
  node->compactor.AddLed([&led, kLed]() -> std::vector<LedStream> {
    if (!led) {
      return {};
    }
    return {{kLed, [](v1::Snapshot*) {}}};
  });
  fakes::RunFor(f.loop, 2 * kInterval);
  cr_expect(snapshots == 0, "expected none before, found %d", snapshots);
  led = true;
  cr_expect(f.Until([&] { return snapshots >= 2; }));
  led = false;
  fakes::RunFor(f.loop, kInterval);
  const int after = snapshots;
  fakes::RunFor(f.loop, 2 * kInterval);
  cr_expect(snapshots == after, "expected %d, found %d", after, snapshots);
  led = true;
  cr_expect(f.Until([&] { return snapshots > after; }));
}

}  // namespace
}  // namespace mulberryroad::log
