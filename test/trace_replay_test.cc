// Replays the traces under test/traces/lease and test/traces/membership against
// their stated outcomes.

#include <criterion/criterion.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/json.h"
#include "lease/lease_agent.h"
#include "membership/roster.h"
#include "mulberryroad/trace.pb.h"

namespace mulberryroad {
namespace {

using std::chrono::milliseconds;

template <typename Step>
std::vector<Step> Load(const std::filesystem::path& file) {
  std::vector<Step> steps;
  std::ifstream in(file);
  for (std::string line; std::getline(in, line);) {
    std::string reason;
    cr_assert(base::FromJson(line, &steps.emplace_back(), &reason), "%s: %s",
              file.c_str(), reason.c_str());
  }
  return steps;
}

std::vector<std::filesystem::path> Traces(const std::string& kind) {
  std::vector<std::filesystem::path> files;
  const std::filesystem::path directory =
      std::filesystem::path(TEST_DATA_DIR) / "traces" / kind;
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  cr_assert(!files.empty(), "no traces under %s", directory.c_str());
  return files;
}

Instant At(std::uint64_t ms) { return Instant{} + milliseconds(ms); }

std::string Join(std::vector<std::string> parts) {
  std::string text;
  for (const std::string& part : parts) {
    text += (text.empty() ? "" : ", ") + part;
  }
  return "[" + text + "]";
}

template <typename Repeated>
std::string JoinAll(const Repeated& parts) {
  return Join({parts.begin(), parts.end()});
}

void Expect(const std::filesystem::path& file, const std::string& title,
            const char* what, const std::string& expected,
            const std::string& found) {
  cr_expect(expected == found, "%s, \"%s\": expected %s %s, found %s",
            file.filename().c_str(), title.c_str(), what, expected.c_str(),
            found.c_str());
}

std::string Describe(const lease::LeaseDecision& decision) {
  if (const auto* append = std::get_if<lease::AppendLease>(&decision)) {
    const char* kind = append->record.has_lease_claim()     ? "claim "
                       : append->record.has_lease_renewal() ? "renew "
                                                            : "release ";
    return kind + append->role.value();
  }
  if (const auto* gained = std::get_if<lease::Gained>(&decision)) {
    return "gained " + gained->role.value();
  }
  return "lost " + std::get<lease::Lost>(decision).role.value();
}

lease::LeaseDecisions Play(lease::LeaseAgent& agent,
                           const v1::LeaseTraceStep& step) {
  const Instant now = At(step.at_ms());
  switch (step.event_case()) {
    case v1::LeaseTraceStep::kTick:
      return agent.Tick(now, true);
    case v1::LeaseTraceStep::kWant:
      return agent.Want(RoleId(step.want()), true, now);
    case v1::LeaseTraceStep::kGiveUp:
      return agent.Want(RoleId(step.give_up()), false, now);
    case v1::LeaseTraceStep::kRead:
      return agent.OnRecord(step.read().offset(), step.read().record(), now);
    case v1::LeaseTraceStep::kSettled:
      agent.OnSettled(RoleId(step.settled().role()), step.settled().attempt());
      return {};
    default:
      cr_assert(false, "a step without an event: %s", step.title().c_str());
      return {};
  }
}

void ReplayLease(const std::filesystem::path& file) {
  std::map<std::string, std::unique_ptr<lease::LeaseAgent>> agents;
  for (const auto& step : Load<v1::LeaseTraceStep>(file)) {
    auto& agent = agents[step.node()];
    if (agent == nullptr) {
      agent = std::make_unique<lease::LeaseAgent>(
          NodeId(step.node()), 1,
          lease::LeaseTiming{milliseconds(10'000), milliseconds(1'000)});
    }
    std::vector<std::string> decisions;
    for (const lease::LeaseDecision& decision : Play(*agent, step)) {
      decisions.push_back(Describe(decision));
    }
    std::vector<std::string> holds;
    for (const auto& [role, state] : agent->table().states()) {
      if (agent->term(role, At(step.at_ms())).has_value()) {
        holds.push_back(role.value());
      }
    }
    Expect(file, step.title(), "decisions", JoinAll(step.decisions()),
           Join(decisions));
    Expect(file, step.title(), "terms of", JoinAll(step.holds()), Join(holds));
  }
}

void Play(membership::Roster& roster, const v1::MembersTraceStep& step) {
  const Instant now = At(step.at_ms());
  switch (step.event_case()) {
    case v1::MembersTraceStep::kTick:
      roster.Tick(now);
      return;
    case v1::MembersTraceStep::kNews:
      roster.Merge(step.news(), now);
      return;
    case v1::MembersTraceStep::kHeard:
      roster.Heard(step.heard(), now);
      return;
    case v1::MembersTraceStep::kProbeFailed:
      roster.ProbeFailed(NodeId(step.probe_failed()), now);
      return;
    case v1::MembersTraceStep::kVmList:
      roster.TakeVmList(step.vm_list(), now);
      return;
    case v1::MembersTraceStep::kLeave:
      roster.Leave();
      return;
    default:
      cr_assert(false, "a step without an event: %s", step.title().c_str());
  }
}

void ReplayMembership(const std::filesystem::path& file) {
  v1::Member self;
  self.set_node_id("self");
  self.set_incarnation(1);
  self.set_peer_endpoint("10.0.0.1:7000");
  membership::Roster roster(self, 1, membership::MembershipOptions{});
  for (const auto& step : Load<v1::MembersTraceStep>(file)) {
    Play(roster, step);
    for (const auto& [node, state] : step.states()) {
      const auto member = roster.find(NodeId(node));
      const v1::MemberState found =
          member.has_value() ? member->state() : v1::MEMBER_STATE_UNSPECIFIED;
      Expect(file, step.title(), node.c_str(), v1::MemberState_Name(state),
             v1::MemberState_Name(found));
    }
    std::vector<std::string> eligible;
    for (const v1::Member& member : roster.eligible()) {
      eligible.push_back(member.node_id());
    }
    std::sort(eligible.begin(), eligible.end());
    Expect(file, step.title(), "eligible", JoinAll(step.eligible()),
           Join(eligible));
    Expect(file, step.title(), "own refutation",
           std::to_string(step.own_refutation()),
           std::to_string(roster.self().refutation()));
  }
}

Test(trace_replay, lease_traces_end_as_stated) {
  for (const auto& file : Traces("lease")) {
    ReplayLease(file);
  }
}

Test(trace_replay, membership_traces_end_as_stated) {
  for (const auto& file : Traces("membership")) {
    ReplayMembership(file);
  }
}

}  // namespace
}  // namespace mulberryroad
