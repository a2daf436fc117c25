// Tests the order of waiting requests: priorities, fair shares, waits and
// refusals, mostly under simulated load.

#include "serving/admission_queue.h"

#include <cmath>
#include <deque>
#include <set>
#include <vector>

#include "fakes/serving_fixture.h"

namespace mulberryroad::serving {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using Ticket = AdmissionQueue::Ticket;

constexpr milliseconds kMaxWait{250};
constexpr int kSlots = 24;
constexpr double kServiceMs = 25;

Instant At(std::int64_t millis) { return Instant{} + milliseconds(millis); }

struct Caller {
  double share = 0;
  std::uint32_t priority = 0;
  int offered = 0;
  int served = 0;
  double used_ms = 0;
};

/// One service with kSlots slots, in steps of 1 ms. Requests that end their
/// wait without overload join the upstreams' own queue.
struct Simulation {
  explicit Simulation(std::size_t count) : callers(count) {
    double sum = 0;
    for (std::size_t i = 0; i < count; ++i) {
      sum += callers[i].share = std::pow(static_cast<double>(i) + 1, -1.2);
    }
    for (Caller& caller : callers) {
      caller.share /= sum;
    }
  }

  struct Request {
    std::size_t caller = 0;
    Instant arrived;
    microseconds service{0};
  };

  RequestRank RankOf(std::size_t request) const {
    const std::size_t caller = requests[request].caller;
    return {OrganisationId(std::to_string(caller)), callers[caller].priority,
            0};
  }
  double Draw() { return std::uniform_real_distribution<double>(0, 1)(random); }
  void Begin(std::size_t request) {
    running.emplace(now + requests[request].service, request);
  }
  void Refuse(const AdmissionRefusal& refusal) {
    ++refused;
    retries.insert(refusal.retry_after);
    last_refusal = now;
  }

  void Arrive(std::size_t request) {
    if (queue.size() == 0 && running.size() < capacity && upstreams.empty()) {
      queue.OnStarted(RankOf(request));
      Begin(request);
      return;
    }
    const auto added = queue.Add(
        {RankOf(request), now + milliseconds(2'000), kMaxWait}, now, Draw());
    if (const auto* ticket = std::get_if<Ticket>(&added)) {
      waiting[*ticket] = request;
    } else {
      Refuse(std::get<AdmissionRefusal>(added));
    }
  }

  void EndWaits() {
    while (!waiting.empty() &&
           now >= requests[waiting.begin()->second].arrived + kMaxWait) {
      const auto [ticket, request] = *waiting.begin();
      waiting.erase(ticket);
      const bool overloaded = queue.overloaded(now);
      queue.Remove(ticket, now);
      if (overloaded) {
        Refuse(queue.Refuse("waited", now, Draw()));
      } else {
        queue.OnStarted(RankOf(request));
        upstreams.push_back(request);
      }
    }
  }

  void Serve() {
    while (!running.empty() && running.begin()->first <= now) {
      const std::size_t request = running.begin()->second;
      Caller& caller = callers[requests[request].caller];
      ++caller.served;
      caller.used_ms +=
          static_cast<double>(requests[request].service.count()) / 1'000;
      queue.OnEnded(RankOf(request), requests[request].service);
      running.erase(running.begin());
    }
    for (; running.size() < capacity && !upstreams.empty();
         upstreams.pop_front()) {
      Begin(upstreams.front());
    }
    while (running.size() < capacity) {
      const auto next = queue.TakeNext(now, [](auto) { return true; });
      if (!next.has_value()) {
        return;
      }
      const std::size_t request = waiting.extract(*next).mapped();
      queue.OnStarted(RankOf(request));
      Begin(request);
    }
  }

  /// @param load offered load as a share of the full capacity
  void Run(int millis, double load) {
    std::poisson_distribution<int> arrivals(load * kSlots / kServiceMs);
    std::uniform_int_distribution<int> service(15'000, 35'000);
    std::vector<double> shares;
    for (const Caller& caller : callers) {
      shares.push_back(caller.share);
    }
    std::discrete_distribution<std::size_t> choose(shares.begin(),
                                                   shares.end());
    for (int i = 0; i < millis; ++i, now += milliseconds(1)) {
      EndWaits();
      Serve();
      for (int left = arrivals(random); left > 0; --left) {
        const std::size_t caller = choose(random);
        ++callers[caller].offered;
        requests.push_back({caller, now, microseconds(service(random))});
        Arrive(requests.size() - 1);
      }
    }
  }

  std::vector<Caller> callers;
  std::size_t capacity = kSlots;
  AdmissionQueue queue;
  std::mt19937_64 random{7};
  Instant now = At(0);
  std::vector<Request> requests;
  std::map<Ticket, std::size_t> waiting;
  std::deque<std::size_t> upstreams;
  std::multimap<Instant, std::size_t> running;
  int refused = 0;
  std::set<milliseconds> retries;
  Instant last_refusal = At(0);
};

/// Returns the most that each organisation gets if the capacity is shared
/// equally among those that need it.
double FairShare(const std::vector<Caller>& callers, double capacity) {
  std::multiset<double> needs;
  for (const Caller& caller : callers) {
    needs.insert(caller.offered * kServiceMs);
  }
  auto left = static_cast<double>(needs.size());
  for (const double need : needs) {
    if (need > capacity / left) {
      return capacity / left;
    }
    capacity -= need;
    --left;
  }
  return *needs.rbegin();
}

Test(admission_queue, nothing_is_refused_below_capacity) {
  for (const std::size_t count : {2U, 200U}) {
    Simulation simulation(count);
    simulation.Run(10'000, 0.5);
    cr_expect_eq(simulation.refused, 0, "%zu organisations", count);
  }
}

// Overload must not leave slots idle, or let a large organisation take the
// share of small ones.
Test(admission_queue, overload_is_shared_fairly) {
  for (const double load : {1.5, 4.0}) {
    for (const std::size_t count : {2U, 20U, 200U}) {
      Simulation simulation(count);
      simulation.Run(20'000, load);
      const double capacity = 20'000.0 * kSlots;
      const double share = FairShare(simulation.callers, capacity);
      double used = 0;
      for (const Caller& caller : simulation.callers) {
        used += caller.used_ms;
        const double need = caller.offered * kServiceMs;
        const double due = std::min(share, need);
        // One that needs about its share loses the bursts that do not fit into
        // the longest wait. Those with few requests are not compared.
        const double least =
            need > 0.7 * share && need < 1.4 * share ? 0.75 : 0.85;
        cr_expect(caller.offered < 100 || (caller.used_ms >= least * due &&
                                           caller.used_ms <= 1.15 * due),
                  "load %.1f, %zu organisations: %.0f of %.0f ms", load, count,
                  caller.used_ms, due);
      }
      cr_expect_geq(used, 0.95 * capacity);
    }
  }
}

Test(admission_queue, higher_priority_is_served_first) {
  Simulation simulation(20);
  for (std::size_t i = 1; i < simulation.callers.size(); ++i) {
    simulation.callers[i].priority = 1;
  }
  simulation.Run(20'000, 2.0);
  const Caller& first = simulation.callers[0];
  cr_expect_geq(first.served, 0.98 * first.offered, "%d of %d", first.served,
                first.offered);
}

// Callers that are refused together and return together are refused again.
Test(admission_queue, refusals_are_spread_and_end_with_the_overload) {
  Simulation simulation(50);
  simulation.Run(3'000, 0.5);
  simulation.Run(2'000, 3.0);
  const Instant burst_end = simulation.now;
  simulation.Run(3'000, 0.5);
  cr_expect_gt(simulation.refused, 0);
  cr_expect_geq(simulation.retries.size(), 20);
  cr_expect(*simulation.retries.begin() >= AdmissionQueue::kMinRetry);
  cr_expect(simulation.last_refusal < burst_end + milliseconds(1'000));
  simulation.capacity = kSlots * 2 / 3;
  const int before = simulation.refused;
  simulation.Run(10'000, 0.8);
  simulation.capacity = kSlots;
  const Instant recovered = simulation.now;
  simulation.Run(5'000, 0.8);
  cr_expect(simulation.last_refusal < recovered + milliseconds(1'000));
  // A sixth of the load exceeds what is left.
  cr_expect_leq(simulation.refused - before,
                0.25 * 10'000 * 0.8 * kSlots / kServiceMs);
}

Test(admission_queue, idle_organisation_gains_no_credit) {
  AdmissionQueue queue;
  const RequestRank busy{OrganisationId("busy"), 0, 0};
  const RequestRank idle{OrganisationId("idle"), 0, 0};
  for (int i = 0; i < 100; ++i) {
    queue.OnStarted(busy);
    queue.OnEnded(busy, milliseconds(25));
  }
  std::map<Ticket, const RequestRank*> ranks;
  for (int i = 0; i < 6; ++i) {
    for (const RequestRank* rank : {&busy, &idle}) {
      const auto added = queue.Add({*rank, At(9'000), kMaxWait}, At(0), 0);
      ranks[std::get<Ticket>(added)] = rank;
    }
  }
  int busy_served = 0;
  for (int i = 0; i < 6; ++i) {
    const auto next = queue.TakeNext(At(1), [](auto) { return true; });
    cr_assert(next.has_value());
    busy_served += ranks[*next] == &busy ? 1 : 0;
    queue.OnStarted(*ranks[*next]);
  }
  cr_expect_geq(busy_served, 2, "%d of 6", busy_served);
}

Test(admission_queue, order_is_priority_then_deadline) {
  AdmissionQueue queue;
  const auto add = [&](std::uint32_t organisation_priority,
                       std::uint32_t route_priority, int deadline) {
    return std::get<Ticket>(
        queue.Add({{OrganisationId("o"), organisation_priority, route_priority},
                   At(deadline),
                   kMaxWait},
                  At(0), 0));
  };
  const auto unlisted = add(kLowestPriority, 0, 900);
  const auto later = add(1, 1, 2'000);
  const auto sooner = add(1, 1, 1'000);
  const auto route = add(1, 0, 3'000);
  const auto top = add(0, 5, 4'000);
  const auto take = [&queue](Ticket blocked) {
    const auto may_send = [blocked](Ticket ticket) {
      return ticket != blocked;
    };
    return queue.TakeNext(At(1), may_send).value_or(0);
  };
  cr_expect_eq(take(top), route, "a request without a slot blocks no other");
  cr_expect_eq(take(0), top);
  cr_expect_eq(take(0), sooner);
  cr_expect_eq(take(0), later);
  queue.Remove(unlisted, At(1));
  cr_expect_eq(take(0), 0);
}

// Guards against requests that wait beside a free slot, as many before them can
// use other upstreams only.
Test(admission_queue, many_requests_without_a_slot_block_the_others) {
  AdmissionQueue queue;
  const auto add = [&](std::uint32_t route_priority) {
    return std::get<Ticket>(queue.Add(
        {{OrganisationId("o"), 0, route_priority}, At(1'000), kMaxWait}, At(0),
        0));
  };
  std::set<Ticket> blocked;
  for (int i = 0; i < 10 * AdmissionQueue::kMaxLookahead; ++i) {
    blocked.insert(add(0));
  }
  const Ticket free = add(1);
  int checked = 0;
  const auto may_send = [&](Ticket ticket) {
    ++checked;
    return !blocked.contains(ticket);
  };
  int calls = 0;
  Ticket taken = 0;
  while (taken == 0 && calls < 20) {
    ++calls;
    taken = queue.TakeNext(At(1), may_send).value_or(0);
  }
  cr_expect_eq(taken, free);
  cr_expect_leq(checked, 2 * AdmissionQueue::kMaxLookahead * calls);
  // The first requests are looked at each time.
  blocked.erase(blocked.begin());
  cr_expect(queue.TakeNext(At(1), may_send).has_value());
}

// Sessions with one upstream of four slots: five requests fill it, then one of
// the highest priority arrives. After the longest wait, requests are sent
// without a slot, as they are without priorities.
Test(admission_queue, session_waits_for_a_slot_in_order) {
  fakes::ServingFixture fixture;
  AdmissionQueues queues(fixture.loop, fixture.clock, fixture.metrics,
                         fixture.random);
  fixture.context.admission = &queues;
  fixture.directory.Put(fakes::MakeUpstream("u1", "desk"));
  fixture.server.SetFallbackHandler([&](const auto& exchange) {
    SessionRequest request;
    request.service = TargetId("desk");
    request.deadline = fixture.clock.now() + milliseconds(5'000);
    request.target_latency = milliseconds(1'200);
    request.outgoing.target = exchange->request().path;
    request.rank = RequestRank{OrganisationId("o"),
                               exchange->request().path == "/top" ? 0U : 1U, 0};
    std::make_shared<RequestSession>(fixture.context, exchange,
                                     std::move(request))
        ->Start();
  });
  const auto& sent = fixture.upstreams.requests;
  const auto post = [&](const std::string& path) {
    http::ClientRequest request;
    request.endpoint = fixture.address;
    request.path = path;
    fixture.client.Send(std::move(request), [](const http::Result&) {});
    fakes::RunFor(fixture.loop, milliseconds(10));
  };
  for (const char* path : {"/1", "/2", "/3", "/4", "/5", "/top"}) {
    post(path);
  }
  cr_assert_eq(sent.size(), 4, "a request with a free slot is sent at once");
  sent[0]->done(CompleteResponse{200, {}, "done"});
  cr_assert(fakes::RunUntil(fixture.loop, [&] { return sent.size() > 4; }));
  cr_expect_str_eq(sent[4]->request.target.c_str(), "/top");
  cr_expect_eq(sent.size(), 5);
  cr_assert(fakes::RunUntil(fixture.loop, [&] { return sent.size() > 5; }));
  cr_expect_str_eq(sent[5]->request.target.c_str(), "/5");
  cr_expect_eq(queues.size(), 0);
}

}  // namespace
}  // namespace mulberryroad::serving
