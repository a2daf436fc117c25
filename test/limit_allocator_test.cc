// Tests how the rate limits of upstreams are divided among nodes.

#include "serving/limit_allocator.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>

namespace mulberryroad::serving {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kWindow{4'000};

Instant At(milliseconds time) { return Instant{} + seconds(100) + time; }

/// Requests that upstreams get from callers and items, with a new allocator now
/// and then.
struct Simulation {
  std::size_t upstreams = 3;
  double limit = 1;
  /// Requests per second, as a multiple of the sum of the limits.
  double load = 2;
  double background_load = 0;
  milliseconds takeover_interval{0};

  std::uint64_t requested = 0;
  std::uint64_t granted = 0;
  std::uint64_t background_granted = 0;
  /// Highest number of requests to one upstream within kWindow.
  std::size_t most_in_window = 0;

  void Run(seconds length, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    std::vector<LimitedUpstream> candidates;
    for (std::size_t i = 0; i < upstreams; ++i) {
      candidates.push_back({UpstreamId("u" + std::to_string(i)), limit});
    }
    const double total = limit * static_cast<double>(upstreams);
    std::exponential_distribution<double> gap(total * (load + background_load));
    std::uniform_real_distribution<double> unit(0, 1);
    std::optional<LimitAllocator> allocator(std::in_place);
    std::map<UpstreamId, std::deque<Instant>> received;
    double at_seconds = 0;
    milliseconds takeover = takeover_interval;
    while (at_seconds < static_cast<double>(length.count())) {
      at_seconds += gap(random);
      const auto time = duration_cast<milliseconds>(
          std::chrono::duration<double>(at_seconds));
      if (takeover_interval.count() > 0 && time >= takeover) {
        allocator.emplace();
        takeover += takeover_interval;
      }
      const bool background =
          unit(random) < background_load / (load + background_load);
      requested += background ? 0 : 1;
      const Allocation allocation = allocator->Allocate(
          candidates,
          background ? RequestPriority::kBackground : RequestPriority::kCaller,
          milliseconds(75), At(time));
      if (const auto* allocated = std::get_if<Allocated>(&allocation)) {
        ++(background ? background_granted : granted);
        std::deque<Instant>& times = received[allocated->upstream];
        const Instant sent = At(time) + allocated->delay;
        times.push_back(sent);
        while (times.front() + kWindow <= sent) {
          times.pop_front();
        }
        most_in_window = std::max(most_in_window, times.size());
      }
    }
  }

  std::size_t allowed() const {
    return static_cast<std::size_t>(std::floor(1.5 * limit * 4)) + 5;
  }
  /// Returns the granted requests of callers as a share of what the upstreams
  /// accept or of what callers request, whichever is less.
  double goodput(seconds length) const {
    return static_cast<double>(granted) /
           std::min(static_cast<double>(requested),
                    limit * static_cast<double>(upstreams) *
                        static_cast<double>(length.count()));
  }
};

constexpr seconds kLength{600};

Test(limit_allocator, limit_is_kept_in_every_window_and_used) {
  for (const std::size_t upstreams : {1, 4, 100}) {
    for (const double limit : {0.2, 1.3, 20.0}) {
      for (const double load : {0.5, 1.5, 4.0}) {
        const seconds length = upstreams > 4 ? seconds(40) : kLength;
        Simulation simulation{.upstreams = upstreams, .limit = limit};
        simulation.load = load;
        simulation.Run(length, 7);
        cr_expect_leq(simulation.most_in_window, simulation.allowed(),
                      "%zu upstreams, limit %.1f, load %.1f: %zu requests in 4 "
                      "s; allowed %zu",
                      upstreams, limit, load, simulation.most_in_window,
                      simulation.allowed());
        const double goal = load > 1 ? 0.85 : 0.95;
        // A single upstream with rare requests turns away those that come
        // close to each other.
        if (upstreams > 1 || load > 1) {
          cr_expect_geq(simulation.goodput(length), goal,
                        "%zu upstreams, limit %.1f, load %.1f: goodput %.2f",
                        upstreams, limit, load, simulation.goodput(length));
        }
      }
    }
  }
}

Test(limit_allocator, takeovers_do_not_exceed_the_limit) {
  Simulation simulation{.upstreams = 3, .limit = 1};
  simulation.load = 4;
  simulation.takeover_interval = milliseconds(1'500);
  simulation.Run(kLength, 7);
  cr_expect_leq(simulation.most_in_window, simulation.allowed(),
                "%zu requests in 4 s; allowed %zu", simulation.most_in_window,
                simulation.allowed());
}

Test(limit_allocator, background_work_gets_what_callers_leave) {
  Simulation busy{.upstreams = 4, .limit = 2};
  busy.load = 2;
  busy.background_load = 4;
  busy.Run(kLength, 7);
  cr_expect_geq(busy.goodput(kLength), 0.85, "goodput of callers %.2f",
                busy.goodput(kLength));
  Simulation idle{.upstreams = 4, .limit = 2};
  idle.load = 0.2;
  idle.background_load = 4;
  idle.Run(kLength, 7);
  const double background = static_cast<double>(idle.background_granted) /
                            (2.0 * 4 * static_cast<double>(kLength.count()));
  cr_expect_geq(background, 0.6, "share of background work %.2f", background);
}

Test(limit_allocator, denied_callers_are_told_later_and_later_times) {
  LimitAllocator allocator;
  const std::vector<LimitedUpstream> one = {{UpstreamId("u"), 1}};
  const Instant now = At(milliseconds(0));
  cr_assert(std::holds_alternative<Allocated>(
      allocator.Allocate(one, RequestPriority::kCaller, milliseconds(0), now)));
  milliseconds last{0};
  for (int i = 0; i < 3; ++i) {
    const Allocation denied =
        allocator.Allocate(one, RequestPriority::kCaller, milliseconds(0), now);
    const auto retry = std::get<NotAllocated>(denied).retry_after;
    cr_expect_gt(retry.count(), last.count(), "retry after %ld ms, then %ld",
                 static_cast<long>(last.count()),
                 static_cast<long>(retry.count()));
    last = retry;
  }
}

}  // namespace
}  // namespace mulberryroad::serving
