#include "membership/roster.h"

#include <criterion/criterion.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace mulberryroad::membership {
namespace {

using std::chrono::milliseconds;

Instant At(int ms) { return Instant{} + milliseconds(ms); }

v1::Member Make(const std::string& name,
                v1::MemberState state = v1::MEMBER_ALIVE,
                std::uint32_t refutation = 0, std::uint64_t incarnation = 1) {
  v1::Member member;
  member.set_node_id(name);
  member.set_incarnation(incarnation);
  member.set_state(state);
  member.set_refutation(refutation);
  member.set_peer_endpoint("10.0.0.1:" + std::to_string(1000 + name.back()));
  member.set_failure_domain(name.substr(0, 1));
  return member;
}

Roster Cluster(const std::vector<std::string>& others) {
  Roster roster(Make("x0"), 7, MembershipOptions{});
  for (const std::string& name : others) {
    roster.Merge(Make(name), At(0));
  }
  return roster;
}

v1::MemberState StateOf(const Roster& roster, const std::string& name) {
  return roster.find(NodeId(name))->state();
}

Test(roster, reports_supersede_each_other_in_one_order) {
  const std::vector<v1::Member> ascending = {
      Make("a", v1::MEMBER_ALIVE, 0),   Make("a", v1::MEMBER_SUSPECT, 0),
      Make("a", v1::MEMBER_LEAVING, 0), Make("a", v1::MEMBER_DEAD, 0),
      Make("a", v1::MEMBER_ALIVE, 1),   Make("a", v1::MEMBER_DEAD, 1),
      Make("a", v1::MEMBER_ALIVE, 0, 2)};
  for (std::size_t i = 0; i < ascending.size(); ++i) {
    for (std::size_t j = 0; j < ascending.size(); ++j) {
      cr_expect(Supersedes(ascending[i], ascending[j]) == (i > j),
                "reports %zu and %zu", i, j);
    }
  }
}

Test(roster, a_silent_node_is_suspected_then_dead_then_forgotten) {
  Roster roster = Cluster({"a1", "b1"});
  roster.ProbeFailed(NodeId("a1"), At(0));
  cr_expect(StateOf(roster, "a1") == v1::MEMBER_SUSPECT);
  cr_expect(roster.eligible().size() == 3, "a suspect may still take work");
  cr_expect(!roster.Tick(At(3'999)).eligible_changed);
  cr_expect(roster.Tick(At(4'000)).eligible_changed);
  cr_expect(StateOf(roster, "a1") == v1::MEMBER_DEAD);
  cr_expect(roster.eligible().size() == 2);
  roster.Tick(At(4'000 + 120'000));
  cr_expect(!roster.find(NodeId("a1")).has_value());
}

Test(roster, a_refutation_ends_a_suspicion) {
  Roster roster = Cluster({"a1"});
  roster.ProbeFailed(NodeId("a1"), At(0));
  roster.Merge(Make("a1"), At(1));
  cr_expect(StateOf(roster, "a1") == v1::MEMBER_SUSPECT,
            "an older report does not");
  roster.Merge(Make("a1", v1::MEMBER_ALIVE, 1), At(2));
  roster.Tick(At(60'000));
  cr_expect(StateOf(roster, "a1") == v1::MEMBER_ALIVE);
}

Test(roster, a_node_refutes_its_own_suspicion_and_death) {
  for (const v1::MemberState state : {v1::MEMBER_SUSPECT, v1::MEMBER_DEAD}) {
    Roster roster = Cluster({"a1"});
    const RosterChange change = roster.Merge(Make("x0", state, 4), At(0));
    cr_expect(change.self_changed);
    cr_expect(roster.self().refutation() == 5);
    cr_expect(roster.self().state() == v1::MEMBER_ALIVE);
  }
}

Test(roster, a_leaving_node_gets_no_new_work_and_stays_leaving) {
  Roster roster = Cluster({"a1"});
  cr_expect(
      roster.Merge(Make("a1", v1::MEMBER_LEAVING, 1), At(0)).eligible_changed);
  cr_expect(roster.eligible().size() == 1);
  roster.Merge(Make("a1", v1::MEMBER_ALIVE, 1), At(1));
  cr_expect(StateOf(roster, "a1") == v1::MEMBER_LEAVING);
  roster.ProbeFailed(NodeId("a1"), At(2));
  cr_expect(roster.eligible().size() == 1, "a suspicion does not undo it");
  roster.Tick(At(10'000));
  cr_expect(StateOf(roster, "a1") == v1::MEMBER_DEAD);
}

Test(roster, honours_the_vm_list) {
  struct Case {
    const char* name;
    const char* vm_name;
    const char* endpoint;
    v1::VmState state;
    v1::MemberState expected;
  };
  const std::string endpoint = Make("a1").peer_endpoint();
  const Case cases[] = {
      {"live", "a1", endpoint.c_str(), v1::VM_LIVE, v1::MEMBER_ALIVE},
      {"leaving by endpoint", "vm-7", endpoint.c_str(), v1::VM_LEAVING,
       v1::MEMBER_LEAVING},
      {"leaving by name", "a1", "10.9.9.9:1", v1::VM_LEAVING,
       v1::MEMBER_LEAVING},
      {"another VM leaves", "c1", "10.9.9.9:1", v1::VM_LEAVING,
       v1::MEMBER_ALIVE},
  };
  for (const Case& c : cases) {
    Roster roster = Cluster({"a1"});
    v1::VmList list;
    v1::Vm* vm = list.add_vms();
    vm->set_name(c.vm_name);
    vm->set_endpoint(c.endpoint);
    vm->set_state(c.state);
    roster.TakeVmList(list, At(0));
    cr_expect(StateOf(roster, "a1") == c.expected, "%s: found state %d", c.name,
              StateOf(roster, "a1"));
  }
}

Test(roster, a_node_learns_from_the_list_that_it_leaves) {
  Roster roster = Cluster({"a1"});
  v1::VmList list;
  list.add_vms()->set_name("x0");
  list.mutable_vms(0)->set_state(v1::VM_LEAVING);
  const RosterChange change = roster.TakeVmList(list, At(0));
  cr_expect(change.self_changed && change.eligible_changed);
  cr_expect(roster.self().state() == v1::MEMBER_LEAVING);
}

Test(roster, seeds_are_endpoints_that_no_live_node_has) {
  Roster roster = Cluster({"a1"});
  v1::VmList list;
  for (const std::string& endpoint :
       {Make("a1").peer_endpoint(), std::string("10.0.0.9:1"),
        roster.self().peer_endpoint()}) {
    v1::Vm* vm = list.add_vms();
    vm->set_endpoint(endpoint);
    vm->set_state(v1::VM_LIVE);
  }
  roster.TakeVmList(list, At(0));
  cr_expect(roster.NextUnknownEndpoint() == "10.0.0.9:1");
  roster.ProbeFailed(NodeId("a1"), At(0));
  roster.Tick(At(5'000));
  std::set<std::string> seeds;
  for (int i = 0; i < 4; ++i) {
    seeds.insert(*roster.NextUnknownEndpoint());
  }
  cr_expect(seeds.size() == 2, "a dead node's endpoint is tried again");
}

Test(roster, each_node_is_probed_once_a_round) {
  Roster roster = Cluster({"a1", "a2", "b1", "c1"});
  for (int round = 0; round < 3; ++round) {
    std::set<std::string> probed;
    for (int i = 0; i < 4; ++i) {
      probed.insert(roster.NextTarget()->node_id());
    }
    cr_expect(probed.size() == 4, "round %d: %zu nodes", round, probed.size());
  }
}

Test(roster, news_is_bounded_and_ends) {
  std::vector<std::string> names;
  names.reserve(40);
  for (int i = 0; i < 40; ++i) {
    names.push_back("a" + std::to_string(i));
  }
  Roster roster = Cluster(names);
  std::map<std::string, int> told;
  int messages = 0;
  for (; messages < 1'000; ++messages) {
    const std::vector<v1::Member> news = roster.TakeNews("b1");
    cr_assert(news.size() <= MembershipOptions{}.max_news);
    if (news.empty()) {
      break;
    }
    for (const v1::Member& member : news) {
      ++told[member.node_id()];
    }
  }
  cr_expect(messages < 1'000, "news must end");
  cr_expect(told.size() == 41, "all nodes and itself, found %zu", told.size());
}

Test(roster, a_suspect_hears_of_its_suspicion_first) {
  Roster roster = Cluster({"a1", "b1", "c1"});
  roster.ProbeFailed(NodeId("b1"), At(0));
  cr_expect(roster.TakeNews("b1")[0].node_id() == "b1");
}

Test(roster, owners_are_the_same_everywhere_and_move_little) {
  const std::vector<std::string> names = {"a1", "b1", "c1", "d1", "e1"};
  Roster all = Cluster(names);
  Roster other(Make("a1"), 99, MembershipOptions{});
  for (const std::string name : {"x0", "b1", "c1", "d1", "e1"}) {
    other.Merge(Make(name), At(0));
  }
  Roster fewer = Cluster({"a1", "b1", "c1", "d1"});
  int moved = 0;
  std::set<std::string> owners;
  for (int i = 0; i < 600; ++i) {
    const std::string key = "pool-" + std::to_string(i);
    const std::string owner = all.Owner(key)->node_id();
    owners.insert(owner);
    cr_assert(owner == other.Owner(key)->node_id(), "key %s", key.c_str());
    const bool same = owner == fewer.Owner(key)->node_id();
    cr_expect(same || owner == "e1", "key %s moved without need", key.c_str());
    moved += same ? 0 : 1;
  }
  cr_expect(owners.size() == 6, "found %zu owners", owners.size());
  cr_expect(moved > 50 && moved < 150, "600 keys, 6 nodes: %d moved", moved);
}

Test(roster, partners_are_in_another_failure_domain_if_there_is_one) {
  Roster roster = Cluster({"x1", "x2", "b1"});
  Roster alone = Cluster({"x1", "x2"});
  for (int i = 0; i < 50; ++i) {
    const std::string key = std::to_string(i);
    cr_expect(roster.Partner(key)->node_id() == "b1");
    cr_expect(alone.Partner(key)->node_id() != "x0");
  }
  cr_expect(!Cluster({}).Partner("k").has_value());
}

}  // namespace
}  // namespace mulberryroad::membership
