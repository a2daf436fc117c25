// Seeded exploration of the lease rules in virtual time: three nodes strive for
// one role while appends are late or lost, nodes pause and the log is down.

#include <criterion/criterion.h>

#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "lease/lease_agent.h"
#include "log/writer_table.h"

namespace mulberryroad::lease {
namespace {

using std::chrono::milliseconds;

constexpr int kSeeds = 400;
constexpr int kNodes = 3;
constexpr milliseconds kStep{50};
constexpr milliseconds kLength{240'000};
constexpr milliseconds kTtl{10'000};
constexpr milliseconds kMargin{1'000};
constexpr milliseconds kMaxAppendDelay{8'000};
constexpr milliseconds kMaxPause{25'000};
constexpr milliseconds kOutage{40'000};
constexpr milliseconds kRetryAfter{2'000};
constexpr double kMaxDrift = 0.005;

const RoleId& Role() {
  static const RoleId role("reporter");
  return role;
}

struct Seen {
  bool overlap = false;
  milliseconds held{0};
  int terms = 0;
};

/// An append on its way, and what its writer knows of it.
struct Flight {
  AppendLease append;
  v1::Record record;
  milliseconds first_sent;
  milliseconds next_try;
  bool settled = false;
};

class Exploration {
 public:
  Exploration(std::uint64_t seed, AgentRules rules) : random_(seed) {
    for (int i = 0; i < kNodes; ++i) {
      Node& node = nodes_.emplace_back();
      node.name = "node-" + std::to_string(i);
      node.agent = std::make_unique<LeaseAgent>(
          NodeId(node.name), 1, LeaseTiming{kTtl, kMargin}, rules);
      node.rate = 1 + Between(-kMaxDrift, kMaxDrift);
      node.next_pause = Time(milliseconds(40'000));
      Run(&node, node.agent->Want(Role(), true, Local(node)));
    }
    outage_from_ = milliseconds(30'000) + Time(milliseconds(150'000));
  }

  Seen Run() {
    for (; now_ < kLength; now_ += kStep) {
      Arrive();
      for (Node& node : nodes_) {
        Step(&node);
      }
      Observe();
    }
    return seen_;
  }

 private:
  struct Node {
    std::string name;
    std::unique_ptr<LeaseAgent> agent;
    log::WriterTable writers;
    double rate = 1;
    std::size_t position = 0;
    milliseconds paused_until{0};
    milliseconds next_pause{0};
    std::uint64_t sequence = 0;
    std::deque<Flight> flights;
  };
  struct Arrival {
    milliseconds at;
    v1::Record record;
  };

  double Between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  milliseconds Time(milliseconds most) {
    return milliseconds(static_cast<std::int64_t>(
        Between(0, static_cast<double>(most.count()))));
  }
  bool Chance(double share) { return Between(0, 1) < share; }
  bool Down() const {
    return now_ >= outage_from_ && now_ < outage_from_ + kOutage;
  }
  Instant Local(const Node& node) const {
    const double local = static_cast<double>(now_.count()) * node.rate;
    return Instant{} +
           std::chrono::microseconds(static_cast<std::int64_t>(local * 1'000));
  }

  void Run(Node* node, const LeaseDecisions& decisions) {
    for (const LeaseDecision& decision : decisions) {
      if (const auto* append = std::get_if<AppendLease>(&decision)) {
        Flight flight{*append, append->record, now_, now_};
        flight.record.set_writer(node->name);
        flight.record.set_sequence(node->sequence++);
        node->flights.push_back(flight);
      } else if (std::holds_alternative<Gained>(decision)) {
        ++seen_.terms;
      }
    }
  }

  void Send(const Flight& flight) {
    if (Chance(0.1)) {
      return;
    }
    const milliseconds most = Chance(0.3) ? kMaxAppendDelay : milliseconds(100);
    arrivals_.push_back({now_ + Time(most), flight.record});
  }

  void Arrive() {
    std::vector<Arrival> later;
    for (Arrival& arrival : arrivals_) {
      if (arrival.at > now_) {
        later.push_back(std::move(arrival));
      } else if (!Down()) {
        log_.push_back(std::move(arrival.record));
      }
    }
    arrivals_ = std::move(later);
  }

  void Step(Node* node) {
    if (now_ < node->paused_until) {
      return;
    }
    if (now_ >= node->next_pause) {
      node->paused_until = now_ + Time(kMaxPause);
      node->next_pause = node->paused_until + Time(milliseconds(60'000));
      return;
    }
    const bool tick_first = Chance(0.5);
    if (tick_first) {
      Run(node, node->agent->Tick(Local(*node), true));
    }
    if (!Down() && Chance(0.7)) {
      Read(node);
    }
    Resend(node);
    if (!tick_first) {
      Run(node, node->agent->Tick(Local(*node), true));
    }
  }

  void Read(Node* node) {
    for (; node->position < log_.size(); ++node->position) {
      const v1::Record& record = log_[node->position];
      if (!node->writers.Note(record.writer(), record.sequence(),
                              node->position)) {
        continue;
      }
      Run(node, node->agent->OnRecord(node->position, record, Local(*node)));
      for (Flight& flight : node->flights) {
        flight.settled =
            flight.settled || (record.writer() == node->name &&
                               record.sequence() == flight.record.sequence());
      }
    }
  }

  // Sends anew under the same sequence until read back or given up.
  void Resend(Node* node) {
    for (Flight& flight : node->flights) {
      if (flight.settled || now_ - flight.first_sent > kTtl / 2) {
        node->agent->OnSettled(Role(), flight.append.attempt);
        flight.settled = true;
      } else if (now_ >= flight.next_try) {
        Send(flight);
        flight.next_try = now_ + kRetryAfter;
      }
    }
    std::erase_if(node->flights,
                  [](const Flight& flight) { return flight.settled; });
  }

  void Observe() {
    int holders = 0;
    for (const Node& node : nodes_) {
      holders += node.agent->term(Role(), Local(node)).has_value() ? 1 : 0;
    }
    seen_.overlap = seen_.overlap || holders > 1;
    seen_.held += holders > 0 ? kStep : milliseconds(0);
  }

  std::mt19937_64 random_;
  milliseconds now_{0};
  milliseconds outage_from_{0};
  std::vector<v1::Record> log_;
  std::vector<Arrival> arrivals_;
  std::deque<Node> nodes_;
  Seen seen_;
};

struct Totals {
  int overlaps = 0;
  int idle = 0;
  int terms = 0;
  milliseconds held{0};
  std::optional<int> first_overlap;
};

Totals RunAll(const char* name, AgentRules rules) {
  Totals totals;
  for (int seed = 0; seed < kSeeds; ++seed) {
    const Seen seen = Exploration(seed, rules).Run();
    totals.held += seen.held;
    totals.terms += seen.terms;
    totals.idle += seen.held.count() == 0 ? 1 : 0;
    if (seen.overlap) {
      ++totals.overlaps;
      totals.first_overlap = totals.first_overlap.value_or(seed);
    }
  }
  const double share = static_cast<double>(totals.held.count()) /
                       static_cast<double>(kLength.count()) / kSeeds;
  cr_log_warn(
      "%s: %d seeds, %d with two holders at once, %d terms, held %.0f%% "
      "of the time",
      name, kSeeds, totals.overlaps, totals.terms, 100 * share);
  return totals;
}

Test(lease_exploration, never_two_holders_at_once) {
  const Totals totals = RunAll("all rules on", AgentRules{});
  cr_expect(totals.overlaps == 0,
            "expected no seed with two holders, found %d, first seed %d",
            totals.overlaps, totals.first_overlap.value_or(-1));
  cr_expect(totals.idle == 0,
            "expected a holder at some time in each seed, but %d had none",
            totals.idle);
}

Test(lease_exploration, overlaps_if_claims_name_no_record) {
  AgentRules rules;
  rules.table.claim_names_last_record = false;
  const Totals totals = RunAll("claims name no record", rules);
  cr_expect(totals.overlaps > 0,
            "expected overlaps without the rule, found none in %d seeds",
            kSeeds);
}

Test(lease_exploration, overlaps_if_the_term_counts_from_reading_back) {
  AgentRules rules;
  rules.term_from_append = false;
  const Totals totals = RunAll("term counted from reading back", rules);
  cr_expect(totals.overlaps > 0,
            "expected overlaps without the rule, found none in %d seeds",
            kSeeds);
}

}  // namespace
}  // namespace mulberryroad::lease
