#include "ctl/tables.h"

#include <google/protobuf/struct.pb.h>

#include <algorithm>
#include <iomanip>
#include <string_view>

#include "base/json.h"

namespace mulberryroad::ctl {

namespace {

constexpr int kNameWidth = 24;
constexpr int kNumberWidth = 12;

std::string_view StateName(v1::MemberState state) {
  switch (state) {
    case v1::MEMBER_ALIVE:
      return "alive";
    case v1::MEMBER_SUSPECT:
      return "suspect";
    case v1::MEMBER_LEAVING:
      return "leaving";
    case v1::MEMBER_DEAD:
      return "dead";
    default:
      return "unknown";
  }
}

void PrintMembers(const v1::NodeStatus& status, std::ostream& out) {
  out << std::left << std::setw(kNameWidth) << "NODE" << std::setw(kNameWidth)
      << "FAILURE DOMAIN" << std::setw(kNumberWidth) << "STATE"
      << "REVISION\n";
  for (const v1::Member& member : status.members()) {
    out << std::setw(kNameWidth) << member.node_id() << std::setw(kNameWidth)
        << member.failure_domain() << std::setw(kNumberWidth)
        << StateName(member.state()) << member.config_revision() << "\n";
  }
}

void PrintRoles(const v1::NodeStatus& status, std::ostream& out) {
  out << "\n"
      << std::setw(kNameWidth) << "ROLE" << std::setw(kNameWidth) << "HOLDER"
      << "EPOCH\n";
  for (const v1::RoleStatus& role : status.roles()) {
    out << std::setw(kNameWidth) << role.role() << std::setw(kNameWidth)
        << (role.holder().empty() ? "-" : role.holder()) << role.epoch()
        << "\n";
  }
}

std::string UpstreamFlags(const v1::UpstreamStatus& upstream) {
  std::string flags;
  flags += upstream.leaving() ? " leaving" : "";
  flags += upstream.swapping() ? " swapping" : "";
  return flags;
}

void PrintPools(const v1::NodeStatus& status, std::ostream& out) {
  for (const v1::PoolStatus& pool : status.pools()) {
    out << "\nPOOL " << pool.target() << " in " << pool.failure_domain()
        << ": queued " << pool.queued() << ", in flight " << pool.in_flight()
        << "\n";
    for (const v1::UpstreamStatus& upstream : pool.upstreams()) {
      out << "  " << std::setw(kNameWidth) << upstream.name()
          << std::setw(kNameWidth) << upstream.upstream_class() << "version "
          << upstream.version() << ", in flight " << upstream.in_flight()
          << UpstreamFlags(upstream) << "\n";
    }
  }
}

}  // namespace

void PrintStatus(const v1::NodeStatus& status, std::ostream& out) {
  out << "node " << status.node_id() << ", revision "
      << status.config_revision() << ", open requests "
      << status.open_requests() << ", log silent for "
      << status.log_silence_ms() << " ms"
      << (status.leaving() ? ", leaving" : "") << "\n\n";
  PrintMembers(status, out);
  PrintRoles(status, out);
  PrintPools(status, out);
}

void PrintUsage(const v1::UsageAppend& usage, std::ostream& out) {
  out << std::left << std::setw(kNumberWidth) << "WINDOW"
      << std::setw(kNameWidth) << "ORGANISATION" << std::setw(kNumberWidth)
      << "REQUESTS" << std::setw(kNumberWidth) << "PROMPT"
      << "GENERATED\n";
  for (const v1::UsageCounter& counter : usage.counters()) {
    out << std::setw(kNumberWidth) << counter.window() << std::setw(kNameWidth)
        << counter.organisation() << std::setw(kNumberWidth)
        << counter.requests() << std::setw(kNumberWidth)
        << counter.prompt_tokens() << counter.generated_tokens() << "\n";
  }
}

void PrintPlan(std::uint64_t revision, const std::vector<std::string>& lines,
               OutputFormat format, std::ostream& out) {
  if (format == OutputFormat::kJson) {
    google::protobuf::Struct plan;
    auto& fields = *plan.mutable_fields();
    fields["base_revision"].set_string_value(std::to_string(revision));
    auto* changes = fields["changes"].mutable_list_value();
    for (const std::string& line : lines) {
      changes->add_values()->set_string_value(line);
    }
    out << base::ToJson(plan) << "\n";
    return;
  }
  if (lines.empty()) {
    out << "no change against revision " << revision << "\n";
    return;
  }
  out << "against revision " << revision << ":\n";
  for (const std::string& line : lines) {
    out << "  " << line << "\n";
  }
}

void PrintExplanation(v1::Explanation* explanation, OutputFormat format,
                      std::ostream& out) {
  auto* decisions = explanation->mutable_decisions();
  std::stable_sort(decisions->begin(), decisions->end(),
                   [](const v1::Decision& a, const v1::Decision& b) {
                     return a.time() < b.time();
                   });
  if (format == OutputFormat::kJson) {
    out << base::ToJson(*explanation) << "\n";
    return;
  }
  for (const v1::Decision& decision : *decisions) {
    out << decision.time() << "  " << decision.node_id() << "  "
        << decision.kind();
    if (!decision.chosen().empty()) {
      out << " -> " << decision.chosen();
    }
    if (!decision.verdict().empty()) {
      out << " [" << decision.verdict() << "]";
    }
    out << "  " << decision.reason() << "\n";
    for (const v1::Candidate& candidate : decision.candidates()) {
      out << "    " << candidate.name() << " score " << candidate.score()
          << (candidate.excluded().empty() ? "" : ": " + candidate.excluded())
          << "\n";
    }
  }
}

}  // namespace mulberryroad::ctl
