#include "config/config_store.h"

#include <criterion/criterion.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/digest.h"
#include "fakes/loop_wait.h"
#include "fakes/memory_log.h"
#include "fakes/memory_transport.h"
#include "fakes/memory_vms.h"
#include "log/log_journal.h"

namespace mulberryroad::config {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLimit{400};
constexpr milliseconds kReadWait{50};
constexpr char kSecret[] = "s3cret";

std::string WithKey(bool granted) {
  const std::string key =
      "keys { name: \"k\" sha256: \"" + base::Sha256Hex(kSecret) + "\" } ";
  return "organisations { name: \"acme\" " + (granted ? key : "") + "}\n";
}

struct Node {
  Node(base::EventLoop& loop, const Clock& clock, fakes::MemoryLog& log,
       fakes::MemoryNetwork& network, fakes::MemoryVms& vms, int index)
      : endpoint{"10.0.0." + std::to_string(index + 1), 7'000},
        link(loop, log),
        transport(network, endpoint),
        journal(loop, clock, link, NodeId("node-" + std::to_string(index)), 1,
                log::LogJournalOptions{kReadWait}),
        members(loop, clock, transport, vms, Self(index), index, Fast()),
        store(loop, clock, journal, transport, members,
              ConfigStoreOptions{kLimit}) {}

  v1::Member Self(int index) const {
    v1::Member self;
    self.set_node_id("node-" + std::to_string(index));
    self.set_incarnation(1);
    self.set_peer_endpoint(ToString(endpoint));
    return self;
  }
  static membership::MembershipOptions Fast() {
    membership::MembershipOptions options;
    options.probe_interval = milliseconds(20);
    options.probe_timeout = milliseconds(40);
    options.suspicion = milliseconds(60'000);
    return options;
  }
  /// "acme", "unknown" or "isolated".
  std::string Ask() const {
    KeyRefusal refusal = KeyRefusal::kUnknown;
    const auto organisation = store.Authorise(kSecret, &refusal);
    if (organisation.has_value()) {
      return organisation->value();
    }
    return refusal == KeyRefusal::kUnknown ? "unknown" : "isolated";
  }

  Endpoint endpoint;
  fakes::LogLink link;
  fakes::MemoryTransport transport;
  log::LogJournal journal;
  membership::Membership members;
  ConfigStore store;
};

struct Cluster {
  explicit Cluster(int size) {
    for (int i = 0; i < size; ++i) {
      v1::Vm* vm = vms.list.add_vms();
      vm->set_endpoint("10.0.0." + std::to_string(i + 1) + ":7000");
      vm->set_state(v1::VM_LIVE);
    }
    for (int i = 0; i < size; ++i) {
      nodes.push_back(
          std::make_unique<Node>(loop, clock, log, network, vms, i));
    }
    Until([&] {
      for (const auto& node : nodes) {
        if (node->members.eligible().size() != nodes.size()) {
          return false;
        }
      }
      return true;
    });
  }
  bool Until(const std::function<bool()>& condition) {
    return fakes::RunUntil(loop, condition);
  }
  bool AllAnswer(const std::string& answer) {
    return Until([&] {
      for (const auto& node : nodes) {
        if (node->Ask() != answer) {
          return false;
        }
      }
      return true;
    });
  }
  v1::ApplyReply Apply(int node, const std::string& text, std::uint64_t base) {
    std::optional<v1::ApplyReply> reply;
    nodes[node]->store.Apply(
        text, base, "operator",
        [&](v1::ApplyReply answer) { reply = std::move(answer); });
    cr_assert(Until([&] { return reply.has_value(); }));
    return *reply;
  }
  std::uint64_t Grant() {
    const v1::ApplyReply reply = Apply(0, WithKey(true), 0);
    cr_assert(reply.accepted(), "%s", reply.reason().c_str());
    cr_assert(AllAnswer("acme"));
    return reply.revision();
  }

  base::EventLoop loop;
  SystemClock clock;
  fakes::MemoryLog log{loop};
  fakes::MemoryNetwork network{loop};
  fakes::MemoryVms vms{loop};
  std::vector<std::unique_ptr<Node>> nodes;
};

Test(config_store, an_apply_is_in_force_everywhere_and_a_withdrawal_too) {
  Cluster cluster(3);
  cr_expect(cluster.nodes[1]->Ask() == "isolated",
            "before the first configuration no key can be judged");
  const std::uint64_t revision = cluster.Grant();
  const v1::ApplyReply reply = cluster.Apply(2, WithKey(false), revision);
  cr_expect(reply.accepted(), "%s", reply.reason().c_str());
  cr_expect(cluster.AllAnswer("unknown"));
}

Test(config_store, refuses_before_anything_is_appended) {
  Cluster cluster(1);
  struct Case {
    const char* text;
    std::uint64_t base;
    const char* reason;
  };
  const Case cases[] = {
      {"colour: 1", 0, "line 1"},
      {"routes { path: \"/x\" model: \"m\" }", 0, "there is no model"},
      {"", 5, "conflict"},
  };
  for (const Case& c : cases) {
    const v1::ApplyReply reply = cluster.Apply(0, c.text, c.base);
    cr_expect(!reply.accepted());
    cr_expect(reply.reason().find(c.reason) != std::string::npos,
              "expected \"%s\", found \"%s\"", c.reason,
              reply.reason().c_str());
  }
  cr_expect(cluster.log.end(kConfigStream) == 0);
}

Test(config_store, one_of_two_racing_operators_gets_a_conflict) {
  Cluster cluster(2);
  std::vector<v1::ApplyReply> replies;
  for (const auto& node : cluster.nodes) {
    node->store.Apply(WithKey(true), 0, "operator", [&](v1::ApplyReply reply) {
      replies.push_back(std::move(reply));
    });
  }
  cr_assert(cluster.Until([&] { return replies.size() == 2; }));
  cr_expect(replies[0].accepted() != replies[1].accepted());
  const v1::ApplyReply& refused =
      replies[0].accepted() ? replies[1] : replies[0];
  cr_expect(refused.reason().find("conflict") == 0, "found \"%s\"",
            refused.reason().c_str());
}

Test(config_store, a_lost_answer_of_an_apply_is_settled) {
  using Fault = fakes::MemoryLog::Fault;
  for (const Fault fault : {Fault::kLoseBefore, Fault::kLoseAfter}) {
    Cluster cluster(2);
    cluster.log.FailNextAppends({fault});
    const v1::ApplyReply reply = cluster.Apply(0, WithKey(true), 0);
    cr_expect(reply.accepted(), "%s", reply.reason().c_str());
    cr_expect(cluster.AllAnswer("acme"));
    cr_expect(cluster.nodes[1]->store.revision() == reply.revision());
  }
}

Test(config_store, a_general_outage_goes_on_serving) {
  Cluster cluster(3);
  cluster.Grant();
  cluster.log.SetDown(true);
  fakes::RunFor(cluster.loop, kLimit * 3);
  for (const auto& node : cluster.nodes) {
    cr_expect(node->Ask() == "acme", "found %s", node->Ask().c_str());
    cr_expect(node->store.authority() == Authority::kOutage);
  }
}

Test(config_store, a_node_cut_off_from_log_and_peers_refuses_keys) {
  Cluster cluster(3);
  const std::uint64_t revision = cluster.Grant();
  cluster.nodes[2]->link.SetCut(true);
  cluster.network.Isolate(cluster.nodes[2]->endpoint, true);
  cluster.Apply(0, WithKey(false), revision);
  cr_expect(
      cluster.Until([&] { return cluster.nodes[2]->Ask() == "isolated"; }));
  cr_expect(cluster.nodes[1]->Ask() == "unknown");
  cluster.nodes[2]->link.SetCut(false);
  cluster.network.Isolate(cluster.nodes[2]->endpoint, false);
  cr_expect(
      cluster.Until([&] { return cluster.nodes[2]->Ask() == "unknown"; }));
}

Test(config_store, a_node_cut_off_from_the_log_follows_its_peers) {
  Cluster cluster(3);
  const std::uint64_t revision = cluster.Grant();
  cluster.nodes[2]->link.SetCut(true);
  fakes::RunFor(cluster.loop, kLimit * 2);
  cr_expect(cluster.nodes[2]->Ask() == "acme");
  cr_expect(cluster.nodes[2]->store.authority() == Authority::kPeers);
  cluster.Apply(0, WithKey(false), revision);
  cr_expect(
      cluster.Until([&] { return cluster.nodes[2]->Ask() == "unknown"; }));
}

}  // namespace
}  // namespace mulberryroad::config
