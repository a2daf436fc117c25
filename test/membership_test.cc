#include "membership/membership.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

#include "fakes/loop_wait.h"
#include "fakes/memory_transport.h"
#include "fakes/memory_vms.h"

namespace mulberryroad::membership {
namespace {

using std::chrono::milliseconds;

MembershipOptions Fast() {
  MembershipOptions options;
  options.probe_interval = milliseconds(20);
  options.probe_timeout = milliseconds(40);
  options.suspicion = milliseconds(200);
  options.vm_list_interval = milliseconds(200);
  return options;
}

struct Node {
  Endpoint endpoint;
  std::unique_ptr<fakes::MemoryTransport> transport;
  std::unique_ptr<Membership> members;
};

struct Cluster {
  explicit Cluster(int size) {
    for (int i = 0; i < size; ++i) {
      Node& node = nodes.emplace_back();
      node.endpoint = {"10.0.0." + std::to_string(i + 1), 7'000};
      v1::Vm* vm = vms.list.add_vms();
      vm->set_name("vm-" + std::to_string(i));
      vm->set_endpoint(ToString(node.endpoint));
      vm->set_state(v1::VM_LIVE);
    }
    for (int i = 0; i < size; ++i) {
      Start(i, 1);
    }
  }

  void Start(int i, std::uint64_t incarnation) {
    v1::Member self;
    self.set_node_id("node-" + std::to_string(i));
    self.set_incarnation(incarnation);
    self.set_peer_endpoint(ToString(nodes[i].endpoint));
    self.set_failure_domain("fd-" + std::to_string(i % 3));
    nodes[i].transport =
        std::make_unique<fakes::MemoryTransport>(network, nodes[i].endpoint);
    nodes[i].members = std::make_unique<Membership>(
        loop, clock, *nodes[i].transport, vms, self, i, Fast());
  }
  bool AllSee(std::size_t eligible) {
    for (const Node& node : nodes) {
      if (node.members != nullptr &&
          node.members->eligible().size() != eligible) {
        return false;
      }
    }
    return true;
  }
  bool Until(const std::function<bool()>& condition) {
    return fakes::RunUntil(loop, condition);
  }

  base::EventLoop loop;
  SystemClock clock;
  fakes::MemoryNetwork network{loop};
  fakes::MemoryVms vms{loop};
  std::vector<Node> nodes;
};

Test(membership, nodes_find_each_other_through_the_vm_list) {
  Cluster cluster(5);
  cr_expect(cluster.Until([&] { return cluster.AllSee(5); }));
}

Test(membership, a_killed_node_is_found_dead_by_all) {
  Cluster cluster(5);
  cr_assert(cluster.Until([&] { return cluster.AllSee(5); }));
  cluster.nodes[4].members.reset();
  cluster.nodes[4].transport.reset();
  cr_expect(cluster.Until([&] { return cluster.AllSee(4); }));
}

Test(membership, a_restarted_node_comes_back) {
  Cluster cluster(3);
  cr_assert(cluster.Until([&] { return cluster.AllSee(3); }));
  cluster.nodes[2].members.reset();
  cluster.nodes[2].transport.reset();
  cr_assert(cluster.Until([&] { return cluster.AllSee(2); }));
  cluster.Start(2, 2);
  cr_expect(cluster.Until([&] { return cluster.AllSee(3); }));
}

Test(membership, one_cut_link_kills_nobody) {
  Cluster cluster(4);
  cr_assert(cluster.Until([&] { return cluster.AllSee(4); }));
  cluster.network.Cut(cluster.nodes[0].endpoint, cluster.nodes[1].endpoint,
                      true);
  fakes::RunFor(cluster.loop, milliseconds(1'000));
  for (const Node& node : cluster.nodes) {
    for (const v1::Member& member : node.members->all()) {
      cr_expect(member.state() != v1::MEMBER_DEAD, "%s holds %s for dead",
                node.members->self().node_id().c_str(),
                member.node_id().c_str());
    }
  }
}

Test(membership, a_parted_node_is_found_again) {
  Cluster cluster(4);
  cr_assert(cluster.Until([&] { return cluster.AllSee(4); }));
  cluster.network.Isolate(cluster.nodes[3].endpoint, true);
  cr_assert(cluster.Until([&] {
    return cluster.nodes[0].members->eligible().size() == 3 &&
           cluster.nodes[3].members->eligible().size() == 1;
  }));
  cr_expect(cluster.nodes[3].members->reach() < 0.5);
  cluster.network.Isolate(cluster.nodes[3].endpoint, false);
  cr_expect(cluster.Until([&] { return cluster.AllSee(4); }));
}

Test(membership, leaving_spreads) {
  Cluster cluster(4);
  cr_assert(cluster.Until([&] { return cluster.AllSee(4); }));
  int asked = 0;
  cluster.nodes[1].members->asked_to_leave().connect([&] { ++asked; });
  cluster.nodes[1].members->Leave();
  cr_expect(cluster.Until([&] { return cluster.AllSee(3); }));
  cr_expect(asked == 0, "the platform did not ask");
}

Test(membership, a_vm_on_the_list_as_leaving_is_asked_to_leave_once) {
  Cluster cluster(3);
  cr_assert(cluster.Until([&] { return cluster.AllSee(3); }));
  int asked = 0;
  cluster.nodes[1].members->asked_to_leave().connect([&] { ++asked; });
  cluster.vms.list.mutable_vms(1)->set_state(v1::VM_LEAVING);
  cr_expect(cluster.Until([&] { return cluster.AllSee(2); }));
  cr_expect(cluster.Until([&] { return asked == 1; }));
  fakes::RunFor(cluster.loop, milliseconds(400));
  cr_expect(asked == 1, "asked %d times", asked);
}

Test(membership, peers_tell_how_long_the_log_was_silent) {
  Cluster cluster(2);
  cluster.nodes[1].members->SetLogSilence(milliseconds(60'000));
  cr_assert(cluster.Until([&] { return cluster.AllSee(2); }));
  cr_assert(cluster.Until([&] {
    return cluster.nodes[0].members->peers_log_silence().has_value();
  }));
  cr_expect(*cluster.nodes[0].members->peers_log_silence() >=
            milliseconds(60'000));
  cluster.nodes[1].members->SetLogSilence(milliseconds(10));
  cr_expect(cluster.Until([&] {
    return *cluster.nodes[0].members->peers_log_silence() < milliseconds(1'000);
  }));
}

}  // namespace
}  // namespace mulberryroad::membership
