#include "lease/lease_agent.h"

#include <criterion/criterion.h>

#include <chrono>
#include <string>

namespace mulberryroad::lease {
namespace {

using std::chrono::milliseconds;

constexpr LeaseTiming kTiming{milliseconds(10'000), milliseconds(1'000)};
const RoleId kRole("reporter");

Instant At(int ms) { return Instant{} + milliseconds(ms); }

/// Agents that share a log without faults.
class Cluster {
 public:
  LeaseAgent a{NodeId("a"), 1, kTiming};
  LeaseAgent b{NodeId("b"), 1, kTiming};

  /// Appends what an agent decided, lets both read it, and renders what they
  /// decided: "+a" gained, "-a" lost.
  std::string Run(LeaseAgent* agent, const LeaseDecisions& decisions, int ms) {
    std::string seen;
    for (const LeaseDecision& decision : decisions) {
      if (const auto* append = std::get_if<AppendLease>(&decision)) {
        const platform::Offset offset = next_++;
        seen += Run(&a, a.OnRecord(offset, append->record, At(ms)), ms);
        seen += Run(&b, b.OnRecord(offset, append->record, At(ms)), ms);
        agent->OnSettled(append->role, append->attempt);
      } else {
        const bool gained = std::holds_alternative<Gained>(decision);
        seen += std::string(gained ? "+" : "-") + (agent == &a ? "a" : "b");
      }
    }
    return seen;
  }
  std::string Tick(LeaseAgent* agent, int ms) {
    return Run(agent, agent->Tick(At(ms), true), ms);
  }
  std::string TickUntil(LeaseAgent* agent, int from, int to) {
    std::string seen;
    for (int ms = from; ms < to; ms += 100) {
      seen += Tick(agent, ms);
    }
    return seen;
  }

 private:
  platform::Offset next_ = 0;
};

void ExpectText(const std::string& found, const std::string& expected) {
  cr_expect(found == expected, "expected \"%s\", found \"%s\"",
            expected.c_str(), found.c_str());
}

Test(lease_agent, claims_a_free_role_and_keeps_it) {
  Cluster cluster;
  cluster.a.Want(kRole, true, At(0));
  cluster.b.Want(kRole, true, At(0));
  ExpectText(cluster.TickUntil(&cluster.a, 0, 1'000), "+a");
  ExpectText(cluster.TickUntil(&cluster.b, 1'000, 9'000), "");
  cr_expect(cluster.a.term(kRole, At(9'000)).has_value());
  ExpectText(cluster.TickUntil(&cluster.a, 9'000, 60'000), "");
  cr_expect(cluster.a.term(kRole, At(60'000)).has_value(),
            "the holder must renew in time");
}

Test(lease_agent, nothing_is_claimed_before_the_stream_is_read) {
  LeaseAgent agent(NodeId("a"), 1, kTiming);
  agent.Want(kRole, true, At(0));
  cr_expect(agent.Tick(At(60'000), false).empty());
}

Test(lease_agent, the_term_counts_from_before_the_append) {
  LeaseAgent agent(NodeId("a"), 1, kTiming);
  agent.Want(kRole, true, At(0));
  const LeaseDecisions claim = agent.Tick(At(1'000), true);
  cr_assert(claim.size() == 1);
  agent.OnRecord(0, std::get<AppendLease>(claim[0]).record, At(5'000));
  cr_expect(agent.term(kRole, At(9'999)).has_value());
  cr_expect(!agent.term(kRole, At(10'000)).has_value(),
            "sent at 1 s, so that the term of 9 s ends at 10 s");
}

Test(lease_agent, a_claim_read_after_its_term_gains_nothing) {
  LeaseAgent agent(NodeId("a"), 1, kTiming);
  agent.Want(kRole, true, At(0));
  const LeaseDecisions claim = agent.Tick(At(1'000), true);
  cr_expect(
      agent.OnRecord(0, std::get<AppendLease>(claim[0]).record, At(10'001))
          .empty());
}

Test(lease_agent, a_challenger_waits_from_when_it_read_the_renewal) {
  Cluster cluster;
  cluster.a.Want(kRole, true, At(0));
  ExpectText(cluster.TickUntil(&cluster.a, 0, 1'000), "+a");
  cluster.b.Want(kRole, true, At(1'000));
  ExpectText(cluster.TickUntil(&cluster.b, 1'000, 11'000), "");
  ExpectText(cluster.TickUntil(&cluster.b, 11'000, 12'500), "-a+b");
  cr_expect(!cluster.a.term(kRole, At(12'500)).has_value());
}

Test(lease_agent, an_expired_term_is_reported_lost) {
  Cluster cluster;
  cluster.a.Want(kRole, true, At(0));
  ExpectText(cluster.TickUntil(&cluster.a, 0, 1'000), "+a");
  const LeaseDecisions decisions = cluster.a.Tick(At(30'000), false);
  cr_assert(decisions.size() == 1);
  cr_expect(std::holds_alternative<Lost>(decisions[0]));
}

Test(lease_agent, a_release_frees_the_role_at_once) {
  Cluster cluster;
  cluster.a.Want(kRole, true, At(0));
  ExpectText(cluster.TickUntil(&cluster.a, 0, 1'000), "+a");
  cluster.b.Want(kRole, true, At(0));
  ExpectText(
      cluster.Run(&cluster.a, cluster.a.Want(kRole, false, At(2'000)), 2'000),
      "-a");
  cr_expect(!cluster.a.term(kRole, At(2'000)).has_value(),
            "no term between the wish and the release");
  ExpectText(cluster.Tick(&cluster.a, 2'100), "");
  ExpectText(cluster.TickUntil(&cluster.b, 2'200, 3'000), "+b");
}

Test(lease_agent, another_process_of_the_same_name_is_not_the_holder) {
  Cluster cluster;
  cluster.a.Want(kRole, true, At(0));
  const LeaseDecisions claim = cluster.a.Tick(At(1'000), true);
  LeaseAgent restarted(NodeId("a"), 2, kTiming);
  restarted.Want(kRole, true, At(1'000));
  restarted.OnRecord(0, std::get<AppendLease>(claim[0]).record, At(1'100));
  cr_expect(!restarted.term(kRole, At(1'200)).has_value());
  cr_expect(restarted.Tick(At(11'000), true).empty(),
            "it must wait like any challenger");
}

Test(lease_agent, a_loaded_snapshot_starts_the_wait) {
  LeaseAgent agent(NodeId("b"), 1, kTiming);
  agent.Want(kRole, true, At(0));
  v1::Record record;
  record.mutable_snapshot()->set_covered_offset(70);
  v1::LeaseState* state = record.mutable_snapshot()->add_leases();
  state->set_role(kRole.value());
  state->set_holder("a");
  state->set_epoch(60);
  state->set_last_offset(65);
  state->set_ttl_ms(10'000);
  agent.OnRecord(70, record, At(2'000));
  cr_expect(agent.Tick(At(12'900), true).empty());
  const LeaseDecisions decisions = agent.Tick(At(13'500), true);
  cr_assert(decisions.size() == 1);
  const v1::Record& claim = std::get<AppendLease>(decisions[0]).record;
  cr_expect(claim.lease_claim().previous_offset() == 66);
}

}  // namespace
}  // namespace mulberryroad::lease
