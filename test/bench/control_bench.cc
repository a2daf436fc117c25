// Cost of control and billing decisions, and sizes of their records.

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "billing/window_book.h"
#include "control/capacity_policy.h"
#include "control/order_book.h"
#include "control/weight_rollout.h"

namespace {

using namespace mulberryroad;           // NOLINT(google-build-using-namespace)
using namespace mulberryroad::control;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

PoolState MakePool(std::int64_t upstreams) {
  PoolState pool;
  pool.pool = {TargetId("drafting"), FailureDomainId("morbihan")};
  pool.organisations = 100;
  pool.classes = {{"durable", 8.0, false, 8, 1, 4'000},
                  {"cheap", 2.0, true, 8, 0, 4'000}};
  for (std::int64_t i = 0; i < upstreams; ++i) {
    pool.upstreams.push_back({UpstreamId("vm-" + std::to_string(i)),
                              i % 2 == 0 ? "durable" : "cheap"});
  }
  pool.in_flight = static_cast<std::uint32_t>(upstreams * 6);
  pool.repeatable_in_flight = pool.in_flight / 2;
  return pool;
}

void CapacityDecision(benchmark::State& state) {
  const PoolState pool = MakePool(state.range(0));
  CapacityPolicy policy;
  Instant now{};
  while (state.KeepRunning()) {
    now += seconds(1);
    benchmark::DoNotOptimize(policy.Decide(pool, now));
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(CapacityDecision)
    ->Arg(12)
    ->Arg(110)
    ->Arg(550)
    ->Arg(2'200)
    ->Complexity();

void RolloutStep(benchmark::State& state) {
  std::vector<EngineState> engines;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    engines.push_back({UpstreamId("vm-" + std::to_string(i)), 1});
  }
  WeightRollout rollout;
  Instant now{};
  while (state.KeepRunning()) {
    now += seconds(1);
    benchmark::DoNotOptimize(rollout.Step({2, 2, 25}, engines, now));
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(RolloutStep)->Arg(12)->Arg(110)->Arg(550)->Arg(2'200)->Complexity();

v1::Record UsageRecord(std::int64_t organisations, std::uint64_t requests) {
  v1::Record record;
  record.set_writer("entry-vm-117/1764800000000");
  record.set_sequence(requests);
  for (std::int64_t i = 0; i < organisations; ++i) {
    v1::UsageCounter& counter = *record.mutable_usage_append()->add_counters();
    counter.set_node_id("entry-vm-117");
    counter.set_incarnation(1'764'800'000'000);
    counter.set_window(1'764'799'200);
    counter.set_organisation("organisation-" + std::to_string(i));
    counter.set_requests(requests);
    counter.set_prompt_tokens(requests * 500);
    counter.set_generated_tokens(requests * 200);
  }
  return record;
}

// One record of the usage stream, as a node appends it.
void FoldUsageRecord(benchmark::State& state) {
  billing::WindowBook book;
  platform::Offset offset = 0;
  std::uint64_t requests = 0;
  while (state.KeepRunning()) {
    state.PauseTiming();
    const v1::Record record = UsageRecord(state.range(0), ++requests);
    state.ResumeTiming();
    book.OnRecord(offset++, record);
  }
  state.counters["record_bytes"] =
      static_cast<double>(UsageRecord(state.range(0), 10'000).ByteSizeLong());
}
BENCHMARK(FoldUsageRecord)->Arg(8)->Arg(30)->Arg(100)->Iterations(20'000);

// The close of a window after one interval of appends of all nodes.
void PrepareClose(benchmark::State& state) {
  billing::WindowBook book;
  for (platform::Offset node = 0; node < 420; ++node) {
    v1::Record record = UsageRecord(state.range(0), 100);
    for (auto& counter : *record.mutable_usage_append()->mutable_counters()) {
      counter.set_node_id("entry-vm-" + std::to_string(node));
    }
    book.OnRecord(node, record);
  }
  v1::Record close;
  while (state.KeepRunning()) {
    *close.mutable_window_close() = book.Prepare(1'764'799'200, 7, {});
    benchmark::DoNotOptimize(close);
  }
  state.counters["record_bytes"] = static_cast<double>(close.ByteSizeLong());
}
BENCHMARK(PrepareClose)->Arg(8)->Arg(30)->Arg(100);

// Intent, read-back, answer and outcome of one order.
void OrderRoundTrip(benchmark::State& state) {
  OrderBook book(RoleId("controller/morbihan"));
  book.Gained(5);
  WallTime now{};
  platform::Offset offset = 0;
  v1::Record intent_record;
  v1::Record outcome_record;
  while (state.KeepRunning()) {
    now += seconds(1);
    v1::OrderIntent order;
    order.set_kind(v1::ORDER_START);
    order.set_target("drafting");
    order.set_failure_domain("morbihan");
    order.set_upstream_class("reclaimable");
    const auto intent = book.Intend(order, now);
    *intent_record.mutable_order_intent() = *intent;
    book.OnRecord(offset++, intent_record);
    book.Next(now);
    book.Answered(intent->order_id(), OrderDone{"drafting-morbihan-17"}, now);
    for (const OrderStep& next : book.Next(now)) {
      *outcome_record.mutable_order_outcome() =
          std::get<RecordOutcome>(next).outcome;
      book.OnRecord(offset++, outcome_record);
    }
  }
  state.counters["order_bytes"] = static_cast<double>(
      intent_record.ByteSizeLong() + outcome_record.ByteSizeLong());
}
BENCHMARK(OrderRoundTrip);

}  // namespace

BENCHMARK_MAIN();
