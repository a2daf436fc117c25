// Cost of one dispatch decision by the number of upstreams and organisations:
// admit a request, complete one, and schedule those that wait.

#include <benchmark/benchmark.h>

#include <deque>
#include <string>
#include <vector>

#include "dispatch/pool_scheduler.h"

namespace mulberryroad::dispatch {
namespace {

constexpr std::uint32_t kSlots = 8;
constexpr std::size_t kPrefixes = 512;
constexpr int kBlocksOfPrefix = 8;

/// A pool whose slots are all busy, with a queue behind them.
class BusyPool {
 public:
  BusyPool(std::int64_t upstreams, std::int64_t organisations,
           const ChoicePolicy& choice, std::size_t queued)
      : organisations_(organisations), scheduler_(Options(choice), 1) {
    std::vector<UpstreamSpec> specs;
    for (std::int64_t number = 0; number < upstreams; ++number) {
      UpstreamSpec spec;
      spec.id = UpstreamId("upstream-" + std::to_string(number));
      spec.slots = kSlots;
      spec.price_per_hour = 1;
      specs.push_back(spec);
    }
    scheduler_.SetUpstreams(specs);
    const auto slots = static_cast<std::size_t>(upstreams) * kSlots;
    while (running_.size() < slots) {
      Keep(scheduler_.Admit(NextRequest(), now_));
    }
    while (scheduler_.queued() < queued) {
      scheduler_.Admit(NextRequest(), now_);
    }
  }

  /// One finished request, the grant that follows and one new request.
  void Turn() {
    now_ += std::chrono::microseconds{100};
    v1::GrantRelease release;
    release.set_grant_id(running_.front());
    release.set_tokens(120);
    running_.pop_front();
    scheduler_.Release(release, now_);
    for (const ScheduledDecision& decision : scheduler_.Schedule(now_)) {
      if (const auto* granted = std::get_if<Granted>(&decision.outcome)) {
        running_.push_back(granted->grant.grant_id());
      }
    }
    Keep(scheduler_.Admit(NextRequest(), now_));
  }

 private:
  static SchedulerOptions Options(const ChoicePolicy& choice) {
    SchedulerOptions options;
    options.choice = choice;
    options.max_queued = 100'000;
    options.max_queue_time = std::chrono::hours{1};
    options.grant_lease = std::chrono::hours{1};
    return options;
  }

  v1::GrantRequest NextRequest() {
    v1::GrantRequest request;
    request.set_request_id("request-" + std::to_string(next_));
    request.set_organisation(
        "organisation-" +
        std::to_string(static_cast<std::int64_t>(next_) % organisations_));
    request.set_max_tokens(200);
    request.set_prompt_tokens(400);
    for (int block = 0; block < kBlocksOfPrefix; ++block) {
      request.add_prefix_hashes((next_ % kPrefixes) * kBlocksOfPrefix +
                                static_cast<std::uint64_t>(block));
    }
    ++next_;
    return request;
  }

  void Keep(const AdmissionDecision& decision) {
    if (const auto* granted = std::get_if<Granted>(&decision)) {
      running_.push_back(granted->grant.grant_id());
    }
  }

  std::int64_t organisations_;
  PoolScheduler scheduler_;
  Instant now_{std::chrono::seconds{1}};
  std::uint64_t next_ = 0;
  std::deque<std::uint64_t> running_;
};

void RunTurns(benchmark::State& state, const ChoicePolicy& choice,
              std::size_t queued) {
  BusyPool pool(state.range(0), state.range(1), choice, queued);
  for ([[maybe_unused]] auto step : state) {
    pool.Turn();
  }
  state.SetComplexityN(state.range(0));
}

void BM_AffinityWithoutQueue(benchmark::State& state) {
  RunTurns(state, AffinityChoice{}, 0);
}
void BM_AffinityWithQueue(benchmark::State& state) {
  RunTurns(state, AffinityChoice{}, 4'000);
}
void BM_RoundRobin(benchmark::State& state) {
  RunTurns(state, RoundRobinChoice{}, 0);
}
void BM_LeastInFlight(benchmark::State& state) {
  RunTurns(state, LeastInFlightChoice{}, 0);
}
void BM_TwoRandom(benchmark::State& state) {
  RunTurns(state, TwoRandomChoice{}, 0);
}

/// Upstreams grow at 8 organisations, then organisations at 110 upstreams.
void Sizes(benchmark::internal::Benchmark* bench) {
  for (const std::int64_t upstreams : {4, 12, 110, 550, 2'200}) {
    bench->Args({upstreams, 8});
  }
  for (const std::int64_t organisations : {64, 256, 1'000}) {
    bench->Args({110, organisations});
  }
  bench->ArgNames({"upstreams", "organisations"});
}

BENCHMARK(BM_AffinityWithoutQueue)->Apply(Sizes);
BENCHMARK(BM_AffinityWithQueue)->Apply(Sizes);
BENCHMARK(BM_RoundRobin)->Apply(Sizes);
BENCHMARK(BM_LeastInFlight)->Apply(Sizes);
BENCHMARK(BM_TwoRandom)->Apply(Sizes);

}  // namespace
}  // namespace mulberryroad::dispatch

BENCHMARK_MAIN();
