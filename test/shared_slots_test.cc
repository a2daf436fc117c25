// Tests of the slots counted across nodes, and a simulation of owners that
// start items at the same upstreams at the same time. Guards against refused
// runs that counts of other owners avoid, and against slots that these counts
// keep idle while items wait.

#include "batches/shared_slots.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include "batches/item_placement.h"
#include "serving/upstreams.h"

namespace mulberryroad::batches {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSlots = 8;
constexpr int kUpstreams = 44;

struct Scenario {
  const char* name = "";
  std::size_t owners = 6;
  /// Start of each trainer's step within the period of 4 s.
  std::vector<milliseconds> trainers;
  milliseconds max_delay{5};
  double loss = 0;
  /// The first owner exchanges no reports.
  bool cut = false;
};

enum class Mode { kOwnCounts, kSharedCounts };

struct Outcome {
  int runs = 0;
  int refusals = 0;
  /// Share of all slots that were idle while items waited.
  double idle = 0;
  /// Most reports that one owner sent within a second, and received.
  int most_messages = 0;
};

/// Owners that place items as PartitionOwner does, at simulated upstreams.
class Simulation {
 public:
  Simulation(Scenario scenario, Mode mode, unsigned seed)
      : scenario_(std::move(scenario)),
        mode_(mode),
        random_(seed),
        load_random_(seed) {
    for (int i = 0; i < kUpstreams; ++i) {
      ids_.emplace_back("u" + std::to_string(i));
    }
    std::set<Endpoint> all;
    for (std::size_t i = 0; i < scenario_.owners; ++i) {
      owners_.push_back(std::make_unique<Owner>(*this, i));
      all.insert(owners_.back()->address);
    }
    for (const auto& owner : owners_) {
      std::set<Endpoint> peers = all;
      peers.erase(owner->address);
      owner->schedule.SetPeers(peers);
    }
  }

  Outcome Run() {
    for (const milliseconds phase : scenario_.trainers) {
      At(phase, [this] { SubmitStep(); });
    }
    At(milliseconds(0), [this] { Tick(); });
    At(milliseconds(0), [this] { Sample(); });
    while (!events_.empty() && events_.top().at < kStart + kDuration) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    outcome_.idle /= samples_ * kUpstreams * kSlots;
    return outcome_;
  }

 private:
  static constexpr Instant kStart = Instant{} + seconds(10);
  static constexpr seconds kDuration{60};

  struct Event {
    Instant at;
    std::uint64_t number;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };

  struct Owner final : serving::OtherNodesLoad {
    Owner(Simulation& simulation, std::size_t index)
        : world(simulation),
          name("owner" + std::to_string(index)),
          address{"10.0.0.1", static_cast<std::uint16_t>(index + 1)},
          cut(simulation.scenario_.cut && index == 0) {
      loads.SetOtherNodesLoad(this);
    }
    std::uint32_t running(const UpstreamId& id, Instant now) const override {
      return reported.running(id, milliseconds(0), now);
    }
    bool present(Instant now) const override { return reported.present(now); }
    std::uint32_t unreported(const UpstreamId& id, Instant now) const override {
      return present(now) ? starts.count(id, now) : 0;
    }
    bool OnHeld(const TargetId& service, Instant now) override {
      return hold.OnHeld(service, now);
    }
    void OnNotHeld(const TargetId& service) override {
      hold.OnNotHeld(service);
    }
    void OnRequestSent(const UpstreamId& id, Instant now) override {
      starts.OnStarted(id, now);
      changed = true;
    }
    void OnRequestEnded(const UpstreamId&) override { changed = true; }
    void OnAccepted(const UpstreamId&, Instant now) override {
      hold.OnAccepted(TargetId("s"), now);
    }
    void OnRefused(const UpstreamId&, Instant now) override {
      hold.OnRefused(TargetId("s"), now);
    }

    Simulation& world;
    std::string name;
    Endpoint address;
    bool cut;
    serving::UpstreamStatements statements;
    serving::UpstreamLoads loads{statements};
    ReportedSlots reported;
    ReportSchedule schedule;
    HoldLimit hold;
    UnreportedStarts starts;
    /// Durations of the waiting items.
    std::deque<milliseconds> waiting;
    std::uint64_t sequence = 0;
    int own_runs = 0;
    bool changed = false;
    bool pass_posted = false;
    bool active = false;
    std::map<std::int64_t, int> messages;
  };

  void At(Instant::duration delay, std::function<void()> run) {
    events_.push({now_ + delay, ++last_event_, std::move(run)});
  }
  int Draw(int low, int high) {
    return std::uniform_int_distribution(low, high)(random_);
  }
  double Share() { return std::uniform_real_distribution(0.0, 1.0)(random_); }

  void SubmitStep() {
    std::uniform_int_distribution<std::size_t> owner_of(0, owners_.size() - 1);
    std::uniform_int_distribution items_of(80, 128);
    std::uniform_int_distribution short_run(1'000, 1'500);
    std::uniform_int_distribution long_run(5'000, 7'500);
    std::bernoulli_distribution is_long(0.15);
    Owner& owner = *owners_[owner_of(load_random_)];
    const int items = items_of(load_random_);
    for (int i = 0; i < items; ++i) {
      owner.waiting.emplace_back(is_long(load_random_)
                                     ? long_run(load_random_)
                                     : short_run(load_random_));
    }
    At(seconds(4), [this] { SubmitStep(); });
    Pass(owner);
  }

  void Tick() {
    for (const auto& owner : owners_) {
      Pass(*owner);
    }
    At(milliseconds(50), [this] { Tick(); });
  }

  void Sample() {
    std::size_t waiting = 0;
    for (const auto& owner : owners_) {
      waiting += owner->waiting.size();
    }
    std::size_t free = 0;
    for (const UpstreamId& id : ids_) {
      free += kSlots - upstreams_[id];
    }
    outcome_.idle += static_cast<double>(std::min(waiting, free));
    ++samples_;
    At(milliseconds(10), [this] { Sample(); });
  }

  void PostPass(Owner& owner) {
    if (!std::exchange(owner.pass_posted, true)) {
      At(milliseconds(5), [this, &owner] {
        owner.pass_posted = false;
        Pass(owner);
      });
    }
  }

  std::vector<PlacementCandidate> Candidates(Owner& owner) {
    std::vector<PlacementCandidate> free;
    std::vector<PlacementCandidate> own_free;
    for (int i = 0; i < kUpstreams; ++i) {
      const UpstreamId& id = ids_[static_cast<std::size_t>(i)];
      PlacementCandidate candidate;
      candidate.id = id;
      candidate.slots = kSlots;
      candidate.running = owner.loads.in_use(id, now_);
      candidate.local = i % 3 == owner.address.port % 3;
      candidate.unreported = owner.unreported(id, now_);
      if (owner.loads.HasCapacity(id, kSlots, now_)) {
        free.push_back(candidate);
      } else if (owner.loads.HasCapacityForOwnLoad(id, kSlots, now_)) {
        own_free.push_back(candidate);
      }
    }
    if (!free.empty() || own_free.empty()) {
      owner.OnNotHeld(TargetId("s"));
      return free;
    }
    if (!owner.OnHeld(TargetId("s"), now_)) {
      return {};
    }
    return {*std::min_element(
        own_free.begin(), own_free.end(),
        [](const auto& a, const auto& b) { return a.running < b.running; })};
  }

  void Pass(Owner& owner) {
    if (!owner.waiting.empty()) {
      std::vector<PlacementCandidate> candidates = Candidates(owner);
      while (!owner.waiting.empty() && !candidates.empty()) {
        const PlacementCandidate* chosen = ChooseItemUpstream(
            candidates, std::nullopt, UpstreamId(""), 0.5, Share());
        const UpstreamId id = chosen->id;
        StartRun(owner, id, owner.waiting.front());
        owner.waiting.pop_front();
        auto& used =
            candidates[static_cast<std::size_t>(chosen - candidates.data())];
        ++used.running;
        used.unreported += owner.present(now_) ? 1 : 0;
        if (!owner.loads.HasCapacity(id, kSlots, now_)) {
          std::swap(used, candidates.back());
          candidates.pop_back();
        }
      }
    }
    SendReports(owner);
  }

  Instant::duration LinkDelay() { return microseconds(Draw(500, 1'400)); }

  void StartRun(Owner& owner, const UpstreamId& id, milliseconds duration) {
    owner.loads.OnRequestSent(id, now_);
    ++owner.own_runs;
    ++outcome_.runs;
    At(LinkDelay(), [this, &owner, id, duration] {
      if (upstreams_[id] >= kSlots) {
        ++outcome_.refusals;
        At(LinkDelay(), [this, &owner, id, duration] {
          owner.loads.OnRefused(id, now_);
          EndRun(owner, id);
          owner.waiting.push_front(duration);
        });
        return;
      }
      ++upstreams_[id];
      At(LinkDelay(), [this, &owner, id] {
        owner.loads.OnAccepted(id, now_);
        PostPass(owner);
      });
      At(duration, [this, &owner, id] {
        --upstreams_[id];
        At(microseconds(1'400), [this, &owner, id] { EndRun(owner, id); });
      });
    });
  }

  void EndRun(Owner& owner, const UpstreamId& id) {
    owner.loads.OnRequestEnded(id, true);
    --owner.own_runs;
    PostPass(owner);
  }

  /// Returns the owner's counts and those that it passes on.
  std::vector<AgedCounts> Report(Owner& owner) {
    SlotCounts counts{owner.name,
                      ++owner.sequence,
                      !owner.waiting.empty(),
                      {},
                      owner.address};
    for (const UpstreamId& id : ids_) {
      if (const auto running = owner.loads.running(id); running > 0) {
        counts.slots.push_back({id, milliseconds(0), running});
      }
    }
    std::vector<AgedCounts> report = owner.reported.Relayable(now_);
    report.push_back({std::move(counts)});
    return report;
  }

  void Receive(Owner& owner, const std::vector<AgedCounts>& report) {
    for (const AgedCounts& part : report) {
      if (part.counts.process != owner.name) {
        owner.schedule.OnReportOf(part.counts.address, part.counts.active(),
                                  now_);
        owner.reported.Record(part, now_);
      }
    }
  }

  void CountMessage(Owner& owner) {
    const int count = ++owner.messages[std::chrono::duration_cast<seconds>(
                                           now_.time_since_epoch())
                                           .count()];
    outcome_.most_messages = std::max(outcome_.most_messages, count);
  }

  bool Lost(const Owner& a, const Owner& b) {
    return a.cut || b.cut || Share() < scenario_.loss;
  }

  void SendReports(Owner& owner) {
    if (mode_ == Mode::kOwnCounts) {
      return;
    }
    const bool active = owner.own_runs > 0 || !owner.waiting.empty();
    if (std::exchange(owner.changed, false) || active != owner.active) {
      owner.active = active;
      owner.schedule.OnChanged(active);
    }
    for (const Endpoint& peer : owner.schedule.TakeDue(now_)) {
      Send(owner, *owners_[peer.port - 1U]);
    }
  }

  void Send(Owner& owner, Owner& to) {
    CountMessage(owner);
    const auto most = static_cast<int>(scenario_.max_delay.count());
    const milliseconds there(Draw(1, most));
    const milliseconds back(Draw(1, most));
    const bool request_lost = Lost(owner, to);
    if (!request_lost) {
      At(there, [this, &owner, &to, back, counts = Report(owner)] {
        CountMessage(to);
        Receive(to, counts);
        to.schedule.OnReplied(owner.address, now_);
        if (!Lost(owner, to)) {
          At(back, [this, &owner, &to, reply = Report(to)] {
            owner.schedule.OnDelivered(to.address);
            Receive(owner, reply);
          });
        } else {
          At(milliseconds(600), [this, &owner, &to] {
            owner.schedule.OnFailed(to.address, false, now_);
          });
        }
      });
    } else {
      At(milliseconds(600), [this, &owner, &to] {
        owner.schedule.OnFailed(to.address, false, now_);
      });
    }
  }

  Scenario scenario_;
  Mode mode_;
  std::mt19937 random_;
  /// Draws the load, so that it is the same in each mode.
  std::mt19937 load_random_;
  Instant now_ = kStart;
  std::uint64_t last_event_ = 0;
  std::priority_queue<Event> events_;
  std::vector<UpstreamId> ids_;
  /// Runs by upstream.
  std::map<UpstreamId, std::uint32_t> upstreams_;
  std::vector<std::unique_ptr<Owner>> owners_;
  Outcome outcome_;
  double samples_ = 0;
};

Outcome Simulate(const Scenario& scenario, Mode mode) {
  Outcome sum;
  constexpr int kSeeds = 3;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const Outcome one = Simulation(scenario, mode, seed).Run();
    sum.runs += one.runs;
    sum.refusals += one.refusals;
    sum.idle += one.idle / kSeeds;
    sum.most_messages = std::max(sum.most_messages, one.most_messages);
  }
  return sum;
}

/// Two pairs of trainers whose steps start at the same instant: at most 300 of
/// 352 slots are wanted.
std::vector<milliseconds> FittingLoad() {
  return {milliseconds(0), milliseconds(0), seconds(2), seconds(2)};
}

void Print(const Scenario& scenario, const char* mode, const Outcome& outcome) {
  std::printf(
      "%-28s owners %2zu delay %3lld ms loss %.2f | %-12s runs %5d refused "
      "%4d idle %.4f messages/s %d\n",
      scenario.name, scenario.owners,
      static_cast<long long>(scenario.max_delay.count()), scenario.loss, mode,
      outcome.runs, outcome.refusals, outcome.idle, outcome.most_messages);
}

// Idle slots beside waiting items may exceed the baseline by this share of all
// slots.
constexpr double kMaxAddedIdle = 0.01;

Test(shared_slots, counts_avoid_refusals_without_idle_slots) {
  for (const std::size_t owners : {2U, 6U, 12U, 24U}) {
    for (const int delay : {5, 100, 300}) {
      for (const double loss : {0.0, 0.1}) {
        const Scenario scenario{"fits", owners, FittingLoad(),
                                milliseconds(delay), loss};
        const Outcome own = Simulate(scenario, Mode::kOwnCounts);
        const Outcome shared = Simulate(scenario, Mode::kSharedCounts);
        Print(scenario, "own counts", own);
        Print(scenario, "shared", shared);
        cr_expect_leq(shared.refusals * 5, own.refusals,
                      "at most a fifth of the refusals must remain");
        cr_expect_leq(shared.idle, own.idle + kMaxAddedIdle);
        cr_expect_leq(shared.most_messages, 40);
      }
    }
  }
}

Test(shared_slots, more_items_than_slots_leave_no_slots_idle) {
  const std::vector<milliseconds> trainers(7, milliseconds(0));
  for (const int delay : {5, 300}) {
    const Scenario scenario{"exceeds the slots", 6, trainers,
                            milliseconds(delay), 0.1};
    const Outcome own = Simulate(scenario, Mode::kOwnCounts);
    const Outcome shared = Simulate(scenario, Mode::kSharedCounts);
    Print(scenario, "own counts", own);
    Print(scenario, "shared", shared);
    cr_expect_leq(shared.refusals, own.refusals);
    cr_expect_leq(shared.idle, own.idle + 2 * kMaxAddedIdle);
  }
}

Test(shared_slots, cut_owner_starts_items_as_without_reports) {
  const Scenario scenario{"one owner cut", 6, FittingLoad(),
                          milliseconds(5), 0, true};
  const Outcome own = Simulate(scenario, Mode::kOwnCounts);
  const Outcome shared = Simulate(scenario, Mode::kSharedCounts);
  Print(scenario, "own counts", own);
  Print(scenario, "shared", shared);
  cr_expect_leq(shared.refusals, own.refusals);
  cr_expect_leq(shared.idle, own.idle + kMaxAddedIdle);
}

Instant After(milliseconds time) { return Instant{} + time; }

Test(shared_slots, counts_end_with_age_and_process) {
  const UpstreamId id("u1");
  ReportedSlots slots;
  cr_assert(slots.Record({{"a", 2, false, {{id, milliseconds(5), 3}}}},
                         After(milliseconds(0))));
  cr_expect_not(slots.Record({{"a", 1, false, {{id, milliseconds(5), 7}}}},
                             After(milliseconds(10))),
                "an earlier report must not replace a later one");
  cr_expect_eq(slots.running(id, milliseconds(5), After(milliseconds(10))), 3);
  cr_expect_eq(slots.running(id, milliseconds(6), After(milliseconds(10))), 0,
               "counts of an earlier process must not be used");
  cr_expect_eq(slots.running(id, milliseconds(5), After(milliseconds(1'499))),
               3);
  cr_expect_eq(slots.running(id, milliseconds(5), After(milliseconds(1'500))),
               0);
  cr_expect_eq(slots.Expire(After(milliseconds(1'500))), 1);
}

Test(shared_slots, node_without_runs_sends_nothing) {
  const Endpoint peer{"10.0.0.2", 1};
  ReportSchedule schedule;
  schedule.SetPeers({peer});
  cr_expect(schedule.TakeDue(After(seconds(1))).empty());
  schedule.OnChanged(true);
  cr_expect_eq(schedule.TakeDue(After(seconds(1))).size(), 1);
  schedule.OnDelivered(peer);
  cr_expect(schedule.TakeDue(After(milliseconds(1'900))).empty(),
            "an unchanged count must be sent once a second");
  cr_expect_eq(schedule.TakeDue(After(seconds(2))).size(), 1);
  schedule.OnFailed(peer, true, After(seconds(2)));
  cr_expect(schedule.TakeDue(After(seconds(11))).empty(),
            "an old build must be left alone for 10 s");
  cr_expect_eq(schedule.TakeDue(After(seconds(12))).size(), 1);
  schedule.OnDelivered(peer);
  schedule.OnChanged(false);
  cr_expect_eq(schedule.TakeDue(After(seconds(13))).size(), 1,
               "the end of the last run must be reported");
  schedule.OnDelivered(peer);
  cr_expect_not(schedule.next_due(After(seconds(13))).has_value());
}

Test(shared_slots, reports_alone_hold_an_item_for_a_second_at_most) {
  const TargetId service("s");
  HoldLimit hold;
  cr_expect_not(hold.OnHeld(service, After(milliseconds(0))));
  hold.OnRefused(service, After(milliseconds(500)));
  cr_expect_not(hold.OnHeld(service, After(milliseconds(1'499))));
  cr_expect(hold.OnHeld(service, After(milliseconds(1'500))));
  cr_expect_not(hold.OnHeld(service, After(milliseconds(1'600))),
                "the next item must wait for the answer");
  hold.OnAccepted(service, After(milliseconds(1'601)));
  cr_expect(hold.OnHeld(service, After(milliseconds(1'602))));
}

}  // namespace
}  // namespace mulberryroad::batches
