// Tests how long upstreams count as cold, and that the requests of all nodes to
// a cold upstream stay under its bound.

#include "serving/cold_upstreams.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "serving/limit_allocator.h"
#include "serving/permit_source.h"
#include "serving/upstream_statements.h"

namespace mulberryroad::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kColdPerS = 8.2;
constexpr double kBound = kColdPerS * 1.5 + 5;
const UpstreamId kUpstream("u");  // NOLINT(cert-err58-cpp)

Instant At(milliseconds time) { return Instant{} + seconds(100) + time; }

std::vector<Service> Services(milliseconds after_start = milliseconds(3'000),
                              double per_second = kColdPerS) {
  Service service;
  service.name = TargetId("s");
  service.cold_start = {after_start, per_second};
  return {service};
}

Registration Registered(std::int64_t started,
                        std::optional<milliseconds> left) {
  Registration registration;
  registration.id = kUpstream;
  registration.service = TargetId("s");
  registration.started = milliseconds(started);
  registration.cold_left = left;
  return registration;
}

struct Subject {
  ColdUpstreams cold;
  int periods = 0;
  Subject() {
    cold.SetServices(Services(), At(milliseconds(0)));
    cold.on_cold().connect([this](const ColdPeriod&) { ++periods; });
  }
  bool IsCold(int at) const {
    return cold.grant(kUpstream, At(milliseconds(at))).has_value();
  }
};

// Guards against a cold time that is lost, or restarted by each heartbeat.
Test(cold_upstreams, stated_time_counts_from_reading) {
  Subject subject;
  subject.cold.OnRegistered(Registered(5, milliseconds(2'000)), 1, true,
                            At(milliseconds(0)));
  cr_expect(subject.IsCold(1'999));
  cr_expect(!subject.IsCold(2'000));
  // The same record again, as a peer passes it on during an outage, and an
  // older one.
  for (const int left : {2'000, 3'000}) {
    subject.cold.OnRegistered(Registered(5, milliseconds(left)),
                              left == 2'000 ? 1 : 0, true,
                              At(milliseconds(900)));
    cr_expect(!subject.IsCold(2'000));
  }
  // A peer's copy ended just before this record.
  subject.cold.OnRegistered(Registered(5, milliseconds(900)), 1, true,
                            At(milliseconds(1'000)));
  cr_expect(!subject.IsCold(1'900));
  subject.cold.OnRegistered(Registered(5, milliseconds(800)), 2, true,
                            At(milliseconds(1'200)));
  cr_expect(!subject.IsCold(2'000));
  cr_expect_eq(subject.periods, 1);
  subject.cold.OnRegistered(Registered(5, milliseconds(500)), 3, true,
                            At(milliseconds(9'000)));
  cr_expect(subject.IsCold(9'400), "it becomes cold again");
  cr_expect_eq(subject.periods, 2);
}

// Guards against a flood at an upstream that restarted without saying that it
// is cold.
Test(cold_upstreams, restart_without_stated_time_is_cold) {
  Subject subject;
  subject.cold.OnRegistered(Registered(5, std::nullopt), 1,
                            /*just_started=*/false, At(milliseconds(0)));
  cr_expect(!subject.IsCold(1), "it started long before this node");
  subject.cold.OnRegistered(Registered(9, std::nullopt), 2, true,
                            At(milliseconds(100)));
  cr_expect(subject.IsCold(3'099));
  cr_expect(!subject.IsCold(3'100));
  cr_expect(subject.cold.find(kUpstream, At(milliseconds(200)))->source ==
            ColdSource::kRestart);
  subject.cold.OnRegistered(Registered(5, milliseconds(60'000)), 3, true,
                            At(milliseconds(4'000)));
  cr_expect(!subject.IsCold(4'001), "of an earlier process");
}

// Guards against values that block an upstream for long, or that free it.
Test(cold_upstreams, values_out_of_bounds_are_clamped) {
  Subject subject;
  cr_expect(!subject.cold.OnRegistered(Registered(5, milliseconds(900'000)), 1,
                                       true, At(milliseconds(0))));
  cr_expect(subject.IsCold(59'999));
  cr_expect(!subject.IsCold(60'000));
  cr_expect(!subject.cold.OnRegistered(Registered(9, milliseconds(-1)), 2, true,
                                       At(milliseconds(70'000))));
  cr_expect(subject.IsCold(72'999));
  cr_expect_eq(
      subject.cold
          .SetServices(Services(milliseconds(-1'000), -1), At(milliseconds(0)))
          .size(),
      1);
  cr_expect(!subject.IsCold(70'001), "no limit");
}

// Guards against nodes that extend a cold time by reporting it to each other.
Test(cold_upstreams, reports_do_not_extend_each_other) {
  Subject nodes[2];
  nodes[0].cold.OnRegistered(Registered(5, milliseconds(2'000)), 1, true,
                             At(milliseconds(0)));
  int end = 0;
  for (int at = 1; at < 10'000; at += 100) {
    // Two messages of 45 ms.
    for (const int hop : {0, 1}) {
      const Instant sent = At(milliseconds(at + 45 * hop));
      nodes[1 - hop].cold.OnReported(
          kUpstream, milliseconds(5),
          nodes[hop].cold.ReportedTime(kUpstream, sent), kColdPerS,
          sent + milliseconds(45));
    }
    end = nodes[0].IsCold(at) || nodes[1].IsCold(at) ? at : end;
  }
  cr_expect_leq(end, 2'100);
  cr_expect_geq(end, 1'900);
}

// Guards against permits of a warm upstream that are used once it is cold.
Test(cold_upstreams, permits_of_a_warm_upstream_end) {
  Subject subject;
  UpstreamStatements statements(&subject.cold);
  statements.OnResponse(kUpstream, milliseconds(5),
                        {.requests_per_second = 100}, At(milliseconds(0)));
  statements.AddPermit(kUpstream, At(milliseconds(200)));
  cr_expect(statements.MaySend(kUpstream, At(milliseconds(1))));
  subject.cold.OnRegistered(Registered(5, milliseconds(2'000)), 1, true,
                            At(milliseconds(1)));
  cr_expect(!statements.MaySend(kUpstream, At(milliseconds(1))));
  cr_expect_eq(*statements.limit(kUpstream, At(milliseconds(1))), kColdPerS);
  statements.AddPermit(kUpstream, At(milliseconds(200)), /*for_cold=*/true);
  cr_expect(statements.MaySend(kUpstream, At(milliseconds(1))));
  statements.OnResponse(kUpstream, milliseconds(5), {.requests_per_second = 1},
                        At(milliseconds(2)));
  cr_expect_eq(*statements.limit(kUpstream, At(milliseconds(2))), 1,
               "the lower limit holds");
}

Test(cold_upstreams, grant_stays_under_narrow_bounds) {
  for (const double rate : {0.1, 1.0, kColdPerS, 50.0, 1'000.0}) {
    for (const ColdBounds bounds :
         {ColdBounds{1.5, 5}, ColdBounds{1, 2}, ColdBounds{2, 3}}) {
      const ColdGrant grant = GrantForCold(rate, bounds);
      cr_expect_leq(grant.requests_per_second, rate);
      cr_expect_leq(grant.burst + 1 + 1.3 * grant.requests_per_second,
                    rate * bounds.factor + bounds.requests + 0.02);
    }
  }
  cr_expect_eq(GrantForCold(kColdPerS, {}).requests_per_second, kColdPerS);
}

/// Keeps the results back.
struct SlowSource final : PermitSource {
  std::vector<std::function<void(PermitResult)>> asked;
  void Acquire(std::vector<UpstreamId> /*candidates*/,
               RequestPriority /*priority*/, milliseconds /*max_wait*/,
               std::function<void(PermitResult)> on_result) override {
    asked.push_back(std::move(on_result));
  }
};

// Guards against cold upstreams that idle while one permit is asked for.
Test(cold_upstreams, background_work_asks_for_several_permits) {
  SlowSource source;
  int granted = 0;
  BackgroundPermits permits(source, [&granted] { ++granted; });
  for (int i = 0; i < 3; ++i) {
    permits.Request({kUpstream}, kMaxPendingPermits);
  }
  cr_expect_eq(source.asked.size(), kMaxPendingPermits);
  source.asked[0](PermitGranted{});
  source.asked[1](PermitDenied{});
  permits.Request({kUpstream}, kMaxPendingPermits);
  cr_expect_eq(source.asked.size(), kMaxPendingPermits + 2);
  cr_expect_eq(granted, 1);
}

/// Nodes that ask for one cold upstream through messages with delays. The
/// allocators decide as PermitExchange does.
struct Simulation {
  struct Node {
    ColdUpstreams cold;
    std::unique_ptr<UpstreamStatements> statements;
    LimitAllocator allocator;
    int pending = 0;
  };
  std::size_t count = 1;
  int longest_delay = 3;
  bool items = true;
  double callers_per_second = 0;
  /// Intervals at which another node becomes the allocator, and at which a node
  /// cannot reach it for half a second; 0 for never.
  int owner_interval = 0;
  int cut_interval = 0;
  /// Time by which the nodes' reads of the registration differ.
  int read_skew = 0;
  /// Whether each permit is used as late as possible after some time, and as
  /// early as possible after that.
  bool bunched = false;
  bool old_allocators = false;

  std::vector<Node> nodes;
  std::mt19937_64 random{1};
  std::size_t owner = 0;
  int owner_since = -100'000;
  std::vector<int> arrivals;
  int denied_without_allocator = 0;

  struct Event {
    int at;
    int order;
    std::function<void(int)> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  std::priority_queue<Event> events;
  int order = 0;

  void Post(int at, std::function<void(int)> run) {
    events.push({at, order++, std::move(run)});
  }
  int Delay() {
    return std::uniform_int_distribution<int>(0, longest_delay)(random);
  }
  bool IsCut(std::size_t node, int at) const {
    return cut_interval > 0 && node == count - 1 && count > 1 &&
           at % cut_interval < 500;
  }

  void Send(std::size_t index, int at) {
    Node& node = nodes[index];
    if (node.statements->MaySend(kUpstream, At(milliseconds(at)))) {
      node.statements->OnRequestSent(kUpstream, At(milliseconds(at)));
      arrivals.push_back(at + std::min(Delay(), 2));
    }
  }

  void Ask(std::size_t index, RequestPriority priority, int at) {
    ++nodes[index].pending;
    const std::size_t asked = owner;
    if (IsCut(index, at) && asked != index) {
      Post(at + 100, [this, index](int) {
        ++denied_without_allocator;
        --nodes[index].pending;
      });
      return;
    }
    const int delay = asked == index ? 0 : Delay();
    Post(at + delay, [this, index, asked, priority, at](int received) {
      Decide(index, asked, priority, at, received);
    });
  }

  void Decide(std::size_t index, std::size_t asked, RequestPriority priority,
              int at, int received) {
    Node& allocating = nodes[asked];
    const Instant now = At(milliseconds(received));
    if (asked != owner) {
      --nodes[index].pending;
      return;
    }
    // The request names the limit.
    const auto grant = nodes[index].cold.grant(kUpstream, At(milliseconds(at)));
    LimitedUpstream limited{kUpstream, grant->requests_per_second};
    if (!old_allocators) {
      limited.cold_burst = grant->burst;
      limited.settled = received - owner_since >= 1'100;
    }
    const Allocation allocation = allocating.allocator.Allocate(
        {limited}, priority, LimitAllocator::kMaxColdDelay, now);
    const int back = received + (asked == index ? 0 : Delay());
    if (back - at > 100) {
      Post(at + 100, [this, index](int) { --nodes[index].pending; });
      return;
    }
    const auto* granted = std::get_if<Allocated>(&allocation);
    const int wait =
        granted == nullptr ? 0 : static_cast<int>(granted->delay.count());
    Post(back + wait, [this, index, granted = granted != nullptr, at, wait,
                       replied = back](int done) {
      --nodes[index].pending;
      if (!granted) {
        return;
      }
      const int until = std::min(replied + 200, at + 300) + wait;
      nodes[index].statements->AddPermit(kUpstream, At(milliseconds(until)),
                                         /*for_cold=*/true);
      const bool late = bunched && done % 2'000 < 1'000;
      Post(late ? until : done, [this, index](int sent) { Send(index, sent); });
    });
  }

  /// Runs for the time during which the upstream is cold.
  void Run(int length) {
    nodes = std::vector<Node>(count);
    for (std::size_t i = 0; i < count; ++i) {
      nodes[i].statements =
          std::make_unique<UpstreamStatements>(&nodes[i].cold);
      nodes[i].cold.SetServices(Services(), At(milliseconds(0)));
      const int read = std::uniform_int_distribution<int>(0, read_skew)(random);
      // A node sends nothing to a process that it does not know.
      Post(read, [this, i, length](int at) {
        for (int time = at; time < length + at; time += 1'200) {
          Post(time, [this, i, length, at](int now) {
            const int left = std::min(length + at - now, 60'000);
            nodes[i].cold.OnRegistered(Registered(5, milliseconds(left)),
                                       static_cast<std::uint64_t>(now - at) + 1,
                                       true, At(milliseconds(now)));
          });
        }
      });
      Post(read + 1, [this, i](int at) { Tick(i, at); });
    }
    if (owner_interval > 0) {
      Post(owner_interval, [this](int at) { MoveOwner(at); });
    }
    while (!events.empty() && events.top().at < length) {
      const Event event = events.top();
      events.pop();
      event.run(event.at);
    }
    std::sort(arrivals.begin(), arrivals.end());
  }

  void MoveOwner(int at) {
    // CheckOwnership discards the state of the partition that is lost.
    nodes[owner].allocator.Retain([](const UpstreamId&) { return false; });
    owner = (owner + 1) % std::min<std::size_t>(count, 2);
    owner_since = at;
    Post(at + owner_interval, [this](int next) { MoveOwner(next); });
  }

  void Tick(std::size_t index, int at) {
    // Items wait at six nodes at most; each of them asks for one permit at a
    // time and places items every 50 ms.
    if (items && index < 6 && nodes[index].pending == 0) {
      Ask(index, RequestPriority::kBackground, at);
    }
    const double share = callers_per_second * 0.05 / static_cast<double>(count);
    for (int i = std::poisson_distribution<int>(share)(random); i > 0; --i) {
      Ask(index, RequestPriority::kCaller, at);
    }
    Post(at + 50, [this, index](int next) { Tick(index, next); });
  }

  std::size_t MostInOneSecond() const {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < arrivals.size(); ++last) {
      while (arrivals[last] - arrivals[first] > 1'000) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }
};

constexpr int kLength = 60'000;

// Guards against more requests than a cold upstream survives: it crashes. The
// limit in the messages must suffice for an allocator of an earlier version.
Test(cold_bound, holds_in_every_second) {
  for (const std::size_t count : {1, 12, 90}) {
    for (int variant = 0; variant < 128; ++variant) {
      Simulation simulation;
      simulation.count = count;
      simulation.random.seed(static_cast<std::uint64_t>(variant) + 1);
      simulation.old_allocators = (variant & 64) != 0;
      // Allocators of an earlier version grant a request after each move.
      const bool often = (variant & 8) != 0 && !simulation.old_allocators;
      const int interval = often ? 400 : 1'700;
      simulation.owner_interval = (variant & 1) != 0 ? interval : 0;
      simulation.cut_interval = (variant & 2) != 0 ? 2'000 : 0;
      simulation.read_skew = (variant & 4) != 0 ? 1'000 : 0;
      simulation.longest_delay = (variant & 8) != 0 ? 60 : 3;
      simulation.callers_per_second = (variant & 16) != 0 ? 200 : 12;
      simulation.bunched = (variant & 32) != 0;
      simulation.Run(kLength);
      cr_log_info("%zu nodes, variant %d: %zu in a second, %zu in all", count,
                  variant, simulation.MostInOneSecond(),
                  simulation.arrivals.size());
      cr_expect_leq(static_cast<double>(simulation.MostInOneSecond()), kBound,
                    "%zu requests with %zu nodes, variant %d",
                    simulation.MostInOneSecond(), count, variant);
      cr_expect_gt(simulation.arrivals.size(), 60U, "%zu requests, variant %d",
                   simulation.arrivals.size(), variant);
    }
  }
}

// Guards against a cold upstream that is left idle, also when only items wait,
// whose owners ask for one permit at a time.
Test(cold_bound, rate_is_used) {
  for (const std::size_t count : {1, 12, 90}) {
    for (const double callers : {0.0, 4.0, 40.0}) {
      Simulation simulation;
      simulation.count = count;
      simulation.callers_per_second = callers;
      simulation.Run(kLength);
      cr_expect_geq(static_cast<double>(simulation.arrivals.size()),
                    0.7 * kColdPerS * kLength / 1'000,
                    "%zu requests with %zu nodes, %.0f callers",
                    simulation.arrivals.size(), count, callers);
      cr_log_info("undisturbed, %zu nodes, %.0f callers: %zu in all", count,
                  callers, simulation.arrivals.size());
    }
  }
}

// Guards against a node that sends to a cold upstream without an allocator.
Test(cold_bound, cut_node_sends_nothing) {
  Simulation simulation;
  simulation.count = 2;
  simulation.items = false;
  simulation.cut_interval = 500;
  simulation.callers_per_second = 20;
  simulation.Run(5'000);
  cr_expect_gt(simulation.denied_without_allocator, 0);
  const Instant end = At(milliseconds(4'999));
  const UpstreamStatements& cut = *simulation.nodes[1].statements;
  cr_expect(!cut.MaySend(kUpstream, end));
  cr_expect(cut.MaySend(UpstreamId("warm"), end));
}

}  // namespace
}  // namespace mulberryroad::serving
