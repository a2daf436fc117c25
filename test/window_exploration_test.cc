// Explores window closes and reports under freezes, kills, lost answers,
// delayed appends and outages: one set of figures a window, no usage lost or
// doubled.

#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "billing/counter_set.h"
#include "billing/reporter.h"
#include "billing/window_book.h"
#include "billing/window_rules.h"
#include "fakes/virtual_world.h"
#include "lease/lease_agent.h"

namespace {

using namespace mulberryroad;           // NOLINT(google-build-using-namespace)
using namespace mulberryroad::billing;  // NOLINT(google-build-using-namespace)
using fakes::VirtualLog;
using fakes::VirtualNode;
using fakes::VirtualWorld;
using std::chrono::milliseconds;

constexpr int kSeeds = 300;
constexpr milliseconds kFaultyTime{200'000};
constexpr milliseconds kQuietTime{300'000};
constexpr milliseconds kTick{200};
constexpr milliseconds kDeathNoticed{5'000};
const RoleId kRole(kReporterRole);
const std::vector<std::string> kOrganisations = {"ballons", "coulee"};

struct Setting {
  WindowBookOptions book;
  lease::AgentRules lease;
  WindowRules windows{std::chrono::seconds(20), std::chrono::seconds(4)};
  /// Reports are sent from the close record, not from figures in memory.
  bool report_from_record = true;
  /// Copies of a killed node's counters are appended by their keeper.
  bool keep_copies = true;
};

struct Findings {
  std::size_t windows = 0;
  std::size_t takeovers = 0;
  std::size_t kills = 0;
  /// Windows that were reported with two different figures.
  std::size_t two_figures = 0;
  /// Closes that count although one of a higher epoch stands before them.
  std::size_t stale_closes = 0;
  /// Windows on which two readers do not agree.
  std::size_t disagreements = 0;
  /// Runs whose reported sum is below what was safe, or above what was counted.
  std::size_t lost = 0;
  std::size_t doubled = 0;
};

/// The usage service. It keeps every report that came in.
class UsagePlatform {
 public:
  void Receive(const v1::UsageReport& report) {
    auto& first =
        reports_.try_emplace(report.report_id(), report).first->second;
    if (first.requests() != report.requests()) {
      differing_.insert(report.report_id());
    }
  }
  std::size_t two_figures() const { return differing_.size(); }
  std::uint64_t total() const {
    std::uint64_t sum = 0;
    for (const auto& [id, report] : reports_) sum += report.requests();
    return sum;
  }

 private:
  std::map<std::string, v1::UsageReport> reports_;
  std::set<std::string> differing_;
};

class World;

/// One run of one node: meter, keeper of copies, and reporter.
class Node {
 public:
  Node(World& world, std::string name, std::uint64_t incarnation);
  VirtualNode& node() { return node_; }
  const WindowBook& book() const { return book_; }
  const CounterSet& counters() const { return counters_; }
  const std::string& name() const { return name_; }
  std::uint64_t incarnation() const { return incarnation_; }
  void Kill() { alive_ = false; }
  void StopCounting() { counting_ = false; }
  void Keep(const v1::UsageCopy& copy) { keeper_.Keep(copy); }
  Counters KeptOf(const Node& other) const {
    return keeper_.Of({other.name_, other.incarnation_});
  }

 private:
  void Tick();
  void Count();
  void SendCopy();
  void AppendUsage();
  void Lead();
  void Close(WindowStart window);
  void Report(const v1::WindowClose& close);
  void Run(const lease::LeaseDecisions& decisions);

  World& world_;
  std::string name_;
  std::uint64_t incarnation_;
  VirtualNode node_;
  CounterSet counters_;
  CopyKeeper keeper_;
  WindowBook book_;
  lease::LeaseAgent agent_;
  bool alive_ = true;
  bool counting_ = true;
  bool appending_ = false;
  bool closing_ = false;
  bool copying_ = false;
  std::set<std::string> in_flight_;
};

class World {
 public:
  World(const Setting& rules, std::uint64_t seed)
      : setting(rules), time(seed), log(time, {}) {
    for (const char* name : {"a", "b", "c"}) {
      nodes.push_back(std::make_unique<Node>(*this, name, 1));
    }
    time.After(time.Random(kFaultyTime), [this] { KillOne(); });
    Disturb();
  }

  Findings Run() {
    time.RunFor(kFaultyTime);
    quiet = true;
    for (const auto& node : nodes) node->StopCounting();
    time.RunFor(kQuietTime);
    Judge();
    return findings;
  }

  /// Returns another live node to keep copies.
  Node* PartnerOf(const Node& node) {
    for (std::size_t i = nodes.size(); i-- > 0;) {
      if (nodes[i].get() != &node && !dead.contains(nodes[i].get())) {
        return nodes[i].get();
      }
    }
    return nullptr;
  }
  bool IsGone(const CopyKeeper::Run& run) const {
    const auto found = gone_at.find(run);
    return found != gone_at.end() && time.now() >= found->second;
  }

  const Setting& setting;
  VirtualWorld time;
  VirtualLog log;
  UsagePlatform platform;
  Findings findings;
  std::vector<std::unique_ptr<Node>> nodes;
  std::set<const Node*> dead;
  std::map<CopyKeeper::Run, Instant> gone_at;
  std::uint64_t counted = 0;
  /// Counted by the killed run, neither copied nor appended when it died.
  std::uint64_t unsafe = 0;
  bool quiet = false;

 private:
  void Disturb() {
    time.After(time.Random(milliseconds(10'000)), [this] {
      if (quiet) {
        return;
      }
      const auto victim = static_cast<std::size_t>(
          time.Random(milliseconds(nodes.size() - 1)).count());
      nodes[victim]->node().FreezeFor(time.Random(milliseconds(25'000)));
      if (time.Chance(0.1)) {
        log.BreakFor(time.Random(milliseconds(40'000)));
      }
      Disturb();
    });
  }

  void KillOne() {
    Node& victim =
        *nodes[static_cast<std::size_t>(time.Random(milliseconds(2)).count())];
    victim.Kill();
    dead.insert(&victim);
    ++findings.kills;
    const CopyKeeper::Run run{victim.name(), victim.incarnation()};
    gone_at[run] = time.now() + kDeathNoticed;
    for (const v1::UsageCounter& counter : victim.counters().all()) {
      unsafe += counter.requests() - SafeRequests(victim, counter);
    }
    nodes.push_back(
        std::make_unique<Node>(*this, victim.name(), victim.incarnation() + 1));
  }

  /// Returns how much of a counter the log or a keeper holds.
  std::uint64_t SafeRequests(const Node& owner,
                             const v1::UsageCounter& counter) {
    std::uint64_t safe = 0;
    const auto consider = [&](const v1::UsageCounter& other) {
      if (KeyOf(other) == KeyOf(counter)) {
        safe = std::max(safe, other.requests());
      }
    };
    for (const v1::Record& record : log.stream(kStream)) {
      for (const auto& other : record.usage_append().counters()) {
        consider(other);
      }
    }
    for (const auto& node : nodes) {
      if (dead.contains(node.get())) continue;
      for (const auto& other : node->KeptOf(owner)) consider(other);
    }
    return safe;
  }

  void Judge() {
    findings.two_figures = platform.two_figures();
    const std::uint64_t reported = platform.total();
    findings.doubled += reported > counted ? 1 : 0;
    findings.lost += reported + unsafe < counted ? 1 : 0;
    WindowBook reader(setting.book);
    std::uint64_t highest = 0;
    platform::Offset offset = 0;
    for (const v1::Record& record : log.stream(kStream)) {
      const CloseVerdict verdict = reader.OnRecord(offset++, record);
      if (verdict != CloseVerdict::kValid) {
        continue;
      }
      const std::uint64_t epoch = record.window_close().epoch();
      ++findings.windows;
      findings.takeovers += epoch > highest ? 1 : 0;
      findings.stale_closes += epoch < highest ? 1 : 0;
      highest = std::max(highest, epoch);
      Compare(reader, record.window_close().window());
    }
  }

  void Compare(const WindowBook& reader, WindowStart window) {
    for (const auto& node : nodes) {
      const ClosedWindow* mine = reader.closed(window);
      const ClosedWindow* theirs = node->book().closed(window);
      if (dead.contains(node.get()) || theirs == nullptr) {
        continue;
      }
      const bool same = mine->offset <= theirs->offset &&
                        (mine->offset < theirs->offset ||
                         mine->close.SerializeAsString() ==
                             theirs->close.SerializeAsString());
      const bool agree =
          setting.book.first_close_wins ? mine->offset == theirs->offset : same;
      findings.disagreements += agree ? 0 : 1;
    }
  }

 public:
  static constexpr char kStream[] = "usage";
};

Node::Node(World& world, std::string name, std::uint64_t incarnation)
    : world_(world),
      name_(std::move(name)),
      incarnation_(incarnation),
      node_(world.time, world.log),
      counters_(NodeId(name_), incarnation_),
      book_(world.setting.book),
      agent_(NodeId(name_), incarnation_, {}, world.setting.lease) {
  agent_.Want(kRole, true, world_.time.now());
  node_.Tail("lease",
             [this](platform::Offset offset, const v1::Record& record) {
               if (alive_) {
                 Run(agent_.OnRecord(offset, record, world_.time.now()));
               }
             });
  node_.Tail(World::kStream,
             [this](platform::Offset offset, const v1::Record& record) {
               book_.OnRecord(offset, record);
               const auto& counters = record.usage_append().counters();
               counters_.MarkAppended({counters.begin(), counters.end()});
               keeper_.Seen(record.usage_append());
             });
  node_.Every(kTick, [this] {
    if (alive_) Tick();
  });
}

void Node::Run(const lease::LeaseDecisions& decisions) {
  for (const lease::LeaseDecision& decision : decisions) {
    if (const auto* append = std::get_if<lease::AppendLease>(&decision)) {
      node_.Append("lease", append->record,
                   [this, attempt = append->attempt](auto) {
                     agent_.OnSettled(kRole, attempt);
                   });
    }
  }
}

void Node::Tick() {
  Run(agent_.Tick(world_.time.now(), true));
  if (counting_ && world_.time.Chance(0.7)) {
    Count();
  }
  SendCopy();
  if (world_.time.Chance(0.2)) {
    AppendUsage();
  }
  if (agent_.term(kRole, world_.time.now())) {
    Lead();
  }
}

void Node::Count() {
  const auto which = world_.time.Chance(0.5) ? 0 : 1;
  counters_.Count(OrganisationId(kOrganisations[which]), {1, 10, 20},
                  WindowAt(world_.time.wall_now(), world_.setting.windows));
  ++world_.counted;
}

void Node::SendCopy() {
  Node* partner = world_.PartnerOf(*this);
  const Counters counters = counters_.Uncopied();
  if (copying_ || counters.empty() || partner == nullptr) {
    return;
  }
  copying_ = true;
  v1::UsageCopy copy;
  copy.mutable_counters()->Assign(counters.begin(), counters.end());
  const bool answer_lost = world_.time.Chance(0.2);
  partner->node().After(
      milliseconds(1), [this, partner, copy, counters, answer_lost] {
        partner->Keep(copy);
        node_.After(milliseconds(1), [this, counters, answer_lost] {
          copying_ = false;
          if (!answer_lost) counters_.MarkCopied(counters);
        });
      });
}

void Node::AppendUsage() {
  Counters counters = counters_.Unappended();
  for (const CopyKeeper::Run& run : keeper_.runs()) {
    if (world_.setting.keep_copies && world_.IsGone(run)) {
      const Counters kept = keeper_.Of(run);
      counters.insert(counters.end(), kept.begin(), kept.end());
    }
  }
  if (appending_ || counters.empty()) {
    return;
  }
  appending_ = true;
  v1::Record record;
  record.mutable_usage_append()->mutable_counters()->Assign(counters.begin(),
                                                            counters.end());
  node_.Append(World::kStream, record, [this](auto) { appending_ = false; });
}

void Node::Lead() {
  const auto due =
      WindowToClose(book_, world_.time.wall_now(), world_.setting.windows);
  if (due && !closing_) {
    Close(*due);
  }
  for (const ClosedWindow* window : book_.unreported()) {
    if (world_.setting.report_from_record) Report(window->close);
  }
}

void Node::Close(WindowStart window) {
  const auto term = agent_.term(kRole, world_.time.now());
  v1::Record record;
  *record.mutable_window_close() = book_.Prepare(window, term->epoch, {});
  closing_ = true;
  node_.Append(World::kStream, record, [this, record](auto) {
    closing_ = false;
    if (alive_ && !world_.setting.report_from_record) {
      Report(record.window_close());
    }
  });
}

void Node::Report(const v1::WindowClose& close) {
  for (const v1::UsageFigures& figures : close.figures()) {
    const v1::UsageReport report = MakeReport(close, figures, close.epoch());
    const ClosedWindow* known = book_.closed(close.window());
    const bool reported =
        known != nullptr && known->reported.contains(figures.organisation());
    if (reported || !in_flight_.insert(report.report_id()).second) {
      continue;
    }
    // The report may leave long after the last look at the term.
    const bool answer_lost = world_.time.Chance(0.2);
    world_.time.After(world_.time.Random(milliseconds(2'000)),
                      [this, report] { world_.platform.Receive(report); });
    node_.After(milliseconds(2'500), [this, report, answer_lost] {
      in_flight_.erase(report.report_id());
      if (answer_lost || !alive_) {
        return;
      }
      v1::Record record;
      record.mutable_window_reported()->set_window(report.window());
      record.mutable_window_reported()->set_organisation(report.organisation());
      node_.Append(World::kStream, record, [](auto) {});
    });
  }
}

Findings ExploreAll(const Setting& setting, bool safe) {
  Findings sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Findings found = World(setting, seed).Run();
    const std::size_t faults = found.two_figures + found.stale_closes +
                               found.disagreements + found.lost + found.doubled;
    cr_assert(!safe || faults == 0,
              "seed %lu: two figures %zu, stale %zu, disagreements %zu, lost "
              "%zu, doubled %zu",
              seed, found.two_figures, found.stale_closes, found.disagreements,
              found.lost, found.doubled);
    sum.windows += found.windows;
    sum.takeovers += found.takeovers;
    sum.kills += found.kills;
    sum.two_figures += found.two_figures;
    sum.stale_closes += found.stale_closes;
    sum.disagreements += found.disagreements;
    sum.lost += found.lost;
    sum.doubled += found.doubled;
  }
  cr_log_warn(
      "%zu windows, %zu terms, %zu kills; two figures %zu, stale closes %zu, "
      "disagreements %zu, lost %zu, doubled %zu",
      sum.windows, sum.takeovers, sum.kills, sum.two_figures, sum.stale_closes,
      sum.disagreements, sum.lost, sum.doubled);
  cr_assert_gt(sum.takeovers, kSeeds, "too few takeovers to show anything");
  return sum;
}

/// Leases without the rules that keep two nodes from holding one at a time.
Setting OverlappingTerms() {
  Setting setting;
  setting.lease.term_from_append = false;
  setting.lease.table.claim_names_last_record = false;
  // Short windows, so that many closes are due after an outage.
  setting.windows = {std::chrono::seconds(2), std::chrono::seconds(1)};
  return setting;
}

}  // namespace

Test(window_exploration, holds_with_all_protections) { ExploreAll({}, true); }

// The second line: even if two nodes believe to hold the lease.
Test(window_exploration, holds_with_overlapping_terms) {
  ExploreAll(OverlappingTerms(), true);
}

Test(window_exploration, needs_the_first_close_to_win) {
  Setting setting = OverlappingTerms();
  setting.book.first_close_wins = false;
  cr_assert_gt(ExploreAll(setting, false).two_figures, 0);
}

Test(window_exploration, overlapping_terms_need_the_epoch_check) {
  Setting setting = OverlappingTerms();
  setting.book.check_epoch = false;
  cr_assert_gt(ExploreAll(setting, false).stale_closes, 0);
}

Test(window_exploration, needs_late_usage_to_move_on) {
  Setting setting;
  setting.book.late_usage_moves_on = false;
  cr_assert_gt(ExploreAll(setting, false).lost, 0);
}

Test(window_exploration, needs_reports_from_the_record) {
  Setting setting;
  setting.report_from_record = false;
  cr_assert_gt(ExploreAll(setting, false).two_figures, 0);
}

Test(window_exploration, needs_the_copies_of_a_killed_node) {
  Setting setting;
  setting.keep_copies = false;
  cr_assert_gt(ExploreAll(setting, false).lost, 0);
}
