// mulberryctl: when a revision counts as in force, and what is printed.

#include <criterion/criterion.h>

#include <sstream>

#include "ctl/commands.h"
#include "ctl/in_force.h"
#include "ctl/tables.h"

namespace mulberryroad::ctl {
namespace {

struct MemberCase {
  v1::MemberState state;
  std::uint64_t revision;
};

v1::NodeStatus StatusOf(const std::vector<MemberCase>& members) {
  v1::NodeStatus status;
  for (const MemberCase& each : members) {
    v1::Member* member = status.add_members();
    member->set_node_id("n" + std::to_string(status.members_size()));
    member->set_state(each.state);
    member->set_config_revision(each.revision);
  }
  return status;
}

struct SpreadCase {
  const char* name;
  std::vector<MemberCase> members;
  std::size_t in_force;
  std::size_t live;
};

Test(ctl, in_force_counts_live_nodes_only) {
  const std::vector<SpreadCase> cases = {
      {"all", {{v1::MEMBER_ALIVE, 5}, {v1::MEMBER_ALIVE, 6}}, 2, 2},
      {"one behind", {{v1::MEMBER_ALIVE, 5}, {v1::MEMBER_ALIVE, 4}}, 1, 2},
      {"dead is not waited for",
       {{v1::MEMBER_ALIVE, 5}, {v1::MEMBER_DEAD, 1}},
       1,
       1},
      {"suspect may still serve",
       {{v1::MEMBER_ALIVE, 5}, {v1::MEMBER_SUSPECT, 1}},
       1,
       2},
      {"nobody known", {}, 0, 0},
  };
  for (const SpreadCase& each : cases) {
    const Spread spread = CountInForce(StatusOf(each.members), 5);
    cr_assert_eq(spread.in_force, each.in_force,
                 "%s: expected %zu in force, found %zu", each.name,
                 each.in_force, spread.in_force);
    cr_assert_eq(spread.live, each.live, "%s: expected %zu live, found %zu",
                 each.name, each.live, spread.live);
  }
}

Test(ctl, no_known_node_is_never_complete) {
  cr_assert_not(Spread{}.complete(), "expected an empty spread to wait on");
}

Test(ctl, own_revision_of_the_asked_node_counts) {
  v1::NodeStatus status = StatusOf({{v1::MEMBER_ALIVE, 0}});
  status.set_node_id("n1");
  status.set_config_revision(5);
  cr_assert(CountInForce(status, 5).complete());
}

Test(ctl, every_command_has_help_with_an_example) {
  for (const Command& command : Commands()) {
    const std::string help = CommandHelp(command);
    cr_assert_neq(help.find("Example:\n  mulberryctl"), std::string::npos,
                  "%s: expected an example, found:\n%s", command.name.data(),
                  help.c_str());
  }
}

Test(ctl, plan_without_changes_says_so) {
  std::ostringstream out;
  PrintPlan(7, {}, OutputFormat::kText, out);
  cr_assert_eq(out.str(), "no change against revision 7\n", "found \"%s\"",
               out.str().c_str());
}

}  // namespace
}  // namespace mulberryroad::ctl
