#include "replay/replay.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <utility>
#include <variant>

#include "control/capacity_policy.h"
#include "dispatch/pool_scheduler.h"
#include "rollout/batch_plan.h"

namespace mulberryroad::replay {

namespace {

namespace histogram = boost::histogram;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr milliseconds kTickInterval{200};
constexpr milliseconds kControlInterval{1'000};
constexpr milliseconds kCopyDelay{2};
constexpr milliseconds kBindDelay{10};
// Time after which a caller no longer retries a refused request. Also the time
// for which the cheap class is unavailable after a reclaim.
constexpr milliseconds kCallerTimeout{120'000};
constexpr milliseconds kMinRetryDelay{100};
constexpr std::uint64_t kCallDeadlineMs = 10'000;
constexpr std::uint64_t kSampleDeadlineMs = 26ULL * 60 * 1'000;
constexpr double kMsPerHour = 3'600'000;
// Processing cost of a prompt whose prefix is cached, relative to an uncached
// one.
constexpr double kCachedPromptCost = 0.1;
constexpr std::size_t kCachedPrefixes = 48;
// A weight swap starts only while fewer than 1 in this many engines are
// swapping.
constexpr std::size_t kMaxSwappingDivisor = 4;
const TargetId kModel("model");

double ToMs(nanoseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}
nanoseconds FromMs(double ms) {
  return nanoseconds(static_cast<std::int64_t>(ms * 1e6));
}
Instant InstantAtMs(std::uint64_t ms) { return Instant{} + milliseconds(ms); }

using WaitHistogram = decltype(histogram::make_histogram(
    histogram::axis::regular<double, histogram::axis::transform::log>(
        200, 1.0, 200'000.0)));

WaitHistogram MakeHistogram() {
  return histogram::make_histogram(
      histogram::axis::regular<double, histogram::axis::transform::log>(
          200, 1.0, 200'000.0));
}

// Returns the upper edge of the histogram bin that contains the quantile.
double Quantile(const WaitHistogram& waits, double quantile) {
  const double total = histogram::algorithm::sum(waits);
  double below = 0;
  for (const auto& bin : histogram::indexed(waits, histogram::coverage::all)) {
    below += *bin;
    if (below >= quantile * total) {
      return bin.bin().upper();
    }
  }
  return 0;
}

struct Engine {
  UpstreamId id;
  std::string failure_domain;
  const v1::UpstreamClass* kind = nullptr;
  Instant ordered{};
  Instant ready{};
  std::uint32_t version = 1;
  bool draining = false;
  bool leaving = false;
  bool swapping = false;
  double slowdown_factor = 1;
  std::set<std::string> running;
  std::deque<std::uint64_t> cache;
  std::deque<std::pair<Instant, v1::EngineLoad>> reports;
};

// A caller's request or an attempt at a sample, queued or running.
struct Work {
  v1::GrantRequest request;
  std::uint32_t tokens = 0;
  Instant arrival{};
  // Zero for requests of callers.
  rollout::AttemptId attempt = 0;
  std::string batch;
  std::string engine;
  std::uint64_t grant = 0;
  // `done` tokens have been generated at `progress_time`, and one more follows
  // every `time_per_token`.
  Instant progress_time{};
  nanoseconds time_per_token{0};
  std::uint32_t done = 0;
  std::uint32_t tokens_resumed = 0;
  rollout::VersionRanges versions;
  std::uint64_t finish_event_id = 0;

  Instant end() const {
    return progress_time + time_per_token * (tokens - done);
  }
};

struct Batch {
  std::unique_ptr<rollout::BatchPlan> plan;
  v1::BatchArrival arrival;
  Instant start{};
  std::optional<Instant> completed_at;
  std::uint64_t cursor = 0;
  std::set<std::pair<std::string, std::uint32_t>> delivered;
};

class Simulation {
 public:
  Simulation(const Trace& trace, const Policy& policy)
      : trace_(trace),
        policy_(policy),
        setup_(trace.front().setup()),
        scheduler_(policy.scheduler, setup_.seed()),
        capacity_(policy.capacity),
        end_(InstantAtMs(trace.back().at_ms())) {
    row_.set_trace(setup_.name());
    row_.set_seed(setup_.seed());
    row_.set_policy(policy.name);
    for (const std::string& domain : setup_.failure_domains()) {
      for (const v1::UpstreamClass& kind : setup_.classes()) {
        for (std::uint32_t i = 0; i < setup_.upstreams_per_class(); ++i) {
          AddEngine(domain, kind, now_);
        }
      }
    }
  }

  v1::ReplayRow Run() {
    for (const v1::TraceEvent& event : trace_) {
      ScheduleAfter(InstantAtMs(event.at_ms()) - now_,
                    [this, &event] { HandleEvent(event); });
    }
    ScheduleAfter(nanoseconds{0}, [this] { Tick(); });
    ScheduleAfter(nanoseconds{0}, [this] { RunCapacityPolicy(); });
    while (!events_.empty() && events_.top().at <= end_) {
      const Event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
      RunScheduler();
    }
    now_ = end_;
    return MakeRow();
  }

 private:
  struct Event {
    Instant at;
    std::uint64_t order;
    std::function<void()> run;

    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  void ScheduleAfter(nanoseconds delay, std::function<void()> run) {
    events_.push({now_ + delay, next_serial_++, std::move(run)});
  }

  // Handlers of trace events.

  void HandleEvent(const v1::TraceEvent& event) {
    if (event.has_caller()) {
      HandleCaller(event.caller());
    } else if (event.has_batch()) {
      HandleBatch(event.batch());
    } else if (event.has_version()) {
      newest_ = event.version().version();
      for (auto& [id, batch] : batches_) {
        ExecuteDecisions(id, batch.plan->OnNewestVersion(newest_, now_));
      }
    } else if (event.has_reclaim()) {
      HandleReclaim(event.reclaim());
    } else if (event.has_outage()) {
      outages_[event.outage().upstream_class()] =
          InstantAtMs(event.outage().until_ms());
    } else if (event.has_slowdown()) {
      HandleSlowdown(event.slowdown());
    }
  }

  void HandleCaller(const v1::CallerArrival& call) {
    Work work;
    work.request.set_request_id("call-" + std::to_string(next_serial_++));
    work.request.set_organisation(call.organisation());
    work.request.set_kind(v1::WORK_CALLER);
    work.request.add_prefix_hashes(call.prefix() + 1);
    work.request.set_prompt_tokens(call.prompt_tokens());
    work.request.set_max_tokens(2 * call.tokens());
    work.request.set_repeatable(call.repeatable());
    work.request.set_deadline_ms(kCallDeadlineMs);
    work.tokens = call.tokens();
    work.arrival = now_;
    Submit(std::move(work));
  }

  void HandleBatch(const v1::BatchArrival& arrival) {
    v1::BatchSpec spec;
    spec.set_id(arrival.id());
    spec.set_organisation(arrival.organisation());
    const std::uint32_t per_group = arrival.samples_per_group();
    for (std::uint32_t i = 0; i * per_group < SampleCount(arrival); ++i) {
      v1::GroupSpec& group = *spec.add_groups();
      group.set_id(std::to_string(i));
      group.set_samples(per_group);
      group.set_max_tokens(2'001);
    }
    rollout::Freshness freshness(
        {setup_.max_versions_behind(),
         std::chrono::seconds(setup_.max_age_seconds())});
    freshness.SetNewest(newest_, now_);
    rollout::BatchPlanOptions options;
    options.hedge.enabled = policy_.hedging;
    Batch& batch = batches_[arrival.id()];
    batch.arrival = arrival;
    batch.start = now_;
    batch.plan = std::make_unique<rollout::BatchPlan>(std::move(spec), options,
                                                      freshness, now_);
  }

  static std::uint32_t SampleCount(const v1::BatchArrival& arrival) {
    return static_cast<std::uint32_t>(arrival.sample_tokens_size());
  }

  void HandleReclaim(const v1::DomainReclaim& reclaim) {
    for (auto& [id, engine] : engines_) {
      if (engine.failure_domain == reclaim.failure_domain() &&
          engine.kind->reclaimable()) {
        engine.leaving = true;
        capacity_.Reclaimed(PoolOf(engine.failure_domain), engine.kind->name(),
                            now_);
        ScheduleAfter(milliseconds(reclaim.notice_ms()),
                      [this, id = id] { HandleEngineLoss(id); });
      }
    }
    outages_["cheap@" + reclaim.failure_domain()] = now_ + kCallerTimeout;
    UpdateUpstreams();
  }

  void HandleSlowdown(const v1::EngineSlowdown& slow) {
    bool even = false;
    for (auto& [id, engine] : engines_) {
      if (engine.failure_domain == slow.failure_domain()) {
        engine.slowdown_factor = even ? slow.factor() : 1;
        even = !even;
      }
    }
  }

  // Admission and execution on engines.

  void Submit(Work work) {
    const std::string id = work.request.request_id();
    const auto decision = scheduler_.Admit(work.request, now_);
    works_[id] = std::move(work);
    if (const auto* granted = std::get_if<dispatch::Granted>(&decision)) {
      StartWork(id, granted->grant);
    } else if (const auto* refused =
                   std::get_if<dispatch::Refused>(&decision)) {
      HandleRefusal(id, refused->retry_after);
    }
  }

  void RunScheduler() {
    for (const auto& decision : scheduler_.Schedule(now_)) {
      const std::string& id = decision.request.request_id();
      if (const auto* granted =
              std::get_if<dispatch::Granted>(&decision.outcome)) {
        StartWork(id, granted->grant);
      } else {
        HandleRefusal(
            id, std::get<dispatch::Refused>(decision.outcome).retry_after);
      }
    }
  }

  void HandleRefusal(const std::string& id, milliseconds retry_after) {
    Work work = std::move(works_.at(id));
    works_.erase(id);
    if (work.attempt != 0) {
      ExecuteDecisions(
          work.batch,
          batches_.at(work.batch)
              .plan->OnFailed(work.attempt,
                              {Verdict::kNotRun, "", retry_after, {}}, now_));
    } else if (now_ - work.arrival > kCallerTimeout) {
      CountWait(work);
      row_.set_unserved_calls(row_.unserved_calls() + 1);
    } else {
      ScheduleAfter(std::max(retry_after, kMinRetryDelay),
                    [this, work = std::move(work)] { Submit(work); });
    }
  }

  void StartWork(const std::string& id, const v1::Grant& grant) {
    Work& work = works_.at(id);
    Engine& engine = engines_.at(grant.upstream());
    work.engine = grant.upstream();
    work.grant = grant.grant_id();
    engine.running.insert(id);
    if (work.attempt == 0) {
      CountWait(work);
    }
    const auto others = static_cast<double>(engine.running.size() - 1);
    work.time_per_token =
        FromMs(1'000 / setup_.tokens_per_second() *
               (1 + setup_.batch_cost() * others) * engine.slowdown_factor);
    work.progress_time = now_ + FromMs(1'000 * UncachedTokens(work, &engine) /
                                       setup_.prompt_tokens_per_second());
    ScheduleFinish(id, &work);
  }

  void ScheduleFinish(const std::string& id, Work* work) {
    const std::uint64_t finish_event_id = ++work->finish_event_id;
    ScheduleAfter(work->end() - now_, [this, id, finish_event_id] {
      const auto found = works_.find(id);
      if (found != works_.end() &&
          found->second.finish_event_id == finish_event_id) {
        Finish(id);
      }
    });
  }

  static double UncachedTokens(const Work& work, Engine* engine) {
    const std::uint64_t prefix = work.request.prefix_hashes(0);
    const bool cached = std::erase(engine->cache, prefix) > 0;
    engine->cache.push_back(prefix);
    if (engine->cache.size() > kCachedPrefixes) {
      engine->cache.pop_front();
    }
    return work.request.prompt_tokens() * (cached ? kCachedPromptCost : 1.0);
  }

  // Reports the tokens generated since the last report to the batch's plan.
  void ReportProgress(Work* work) {
    if (now_ <= work->progress_time || work->time_per_token.count() == 0) {
      return;
    }
    const auto generated = static_cast<std::uint32_t>(
        (now_ - work->progress_time) / work->time_per_token);
    const std::uint32_t new_tokens =
        std::min(generated, work->tokens - work->done);
    if (new_tokens == 0) {
      return;
    }
    v1::VersionRange range;
    range.set_begin_token(work->tokens_resumed + work->done);
    range.set_end_token(work->tokens_resumed + work->done + new_tokens);
    range.set_version(engines_.at(work->engine).version);
    work->versions.push_back(range);
    work->done += new_tokens;
    work->progress_time += work->time_per_token * new_tokens;
    if (work->attempt != 0) {
      batches_.at(work->batch)
          .plan->OnTokens(work->attempt,
                          {"", new_tokens, {range}, UpstreamId(work->engine)},
                          now_);
    }
  }

  void Finish(const std::string& id) {
    ReportProgress(&works_.at(id));
    const Work work = Release(id, false);
    const double tokens = work.tokens;
    if (work.request.repeatable()) {
      repeatable_tokens_ += tokens;
      cheap_tokens_ +=
          engines_.at(work.engine).kind->reclaimable() ? tokens : 0;
    }
    if (work.attempt != 0) {
      ExecuteDecisions(work.batch,
                       batches_.at(work.batch)
                           .plan->OnFinished(work.attempt,
                                             {UpstreamId(work.engine), "",
                                              work.tokens, 0, work.versions},
                                             now_));
    }
  }

  Work Release(const std::string& id, bool failed) {
    Work work = std::move(works_.at(id));
    works_.erase(id);
    v1::GrantRelease release;
    release.set_grant_id(work.grant);
    release.set_request_id(id);
    release.set_upstream(work.engine);
    release.set_tokens(work.done);
    release.set_failed(failed);
    if (!work.engine.empty()) {
      engines_.at(work.engine).running.erase(id);
      release.set_observed_version(engines_.at(work.engine).version);
    }
    scheduler_.Release(release, now_);
    return work;
  }

  void HandleEngineLoss(const std::string& id) {
    if (!engines_.contains(id)) {
      // The engine was drained and stopped before the notice period ended.
      return;
    }
    for (const std::string& running : std::set(engines_.at(id).running)) {
      if (!works_.contains(running)) {
        continue;
      }
      ReportProgress(&works_.at(running));
      Work work = Release(running, true);
      if (work.attempt == 0) {
        // Reclaimable upstreams run repeatable requests only, so the request
        // can be submitted again.
        work.engine.clear();
        work.versions.clear();
        work.done = 0;
        // Invalidates the pending finish event of the lost engine.
        ++work.finish_event_id;
        Submit(std::move(work));
        continue;
      }
      ExecuteDecisions(
          work.batch,
          batches_.at(work.batch)
              .plan->OnFailed(work.attempt,
                              {Verdict::kMayHaveRun, "", {}, UpstreamId(id)},
                              now_));
    }
    StopEngine(id);
  }

  void AddEngine(const std::string& domain, const v1::UpstreamClass& kind,
                 Instant ready) {
    Engine engine;
    engine.id = UpstreamId(kind.name() + "-" + domain + "-" +
                           std::to_string(next_serial_++));
    engine.failure_domain = domain;
    engine.kind = &kind;
    engine.ordered = now_;
    engine.ready = ready;
    engine.version = newest_;
    engines_[engine.id.value()] = std::move(engine);
    UpdateUpstreams();
  }

  void StopEngine(const std::string& id) {
    const Engine& engine = engines_.at(id);
    const double hours = ToMs(now_ - engine.ordered) / kMsPerHour;
    row_.set_spending(row_.spending() + hours * engine.kind->price_per_hour());
    engines_.erase(id);
    UpdateUpstreams();
  }

  void UpdateUpstreams() {
    std::vector<dispatch::UpstreamSpec> specs;
    for (const auto& [id, engine] : engines_) {
      if (engine.ready <= now_) {
        specs.push_back({engine.id, "127.0.0.1:1", engine.kind->name(),
                         engine.kind->slots(), engine.kind->price_per_hour(),
                         engine.kind->reclaimable(),
                         engine.leaving || engine.draining});
      }
    }
    scheduler_.SetUpstreams(specs);
  }

  // Periodic work: progress, load reports, weight swaps and capacity.

  void Tick() {
    for (auto& [id, work] : works_) {
      if (!work.engine.empty()) {
        ReportProgress(&work);
      }
    }
    std::size_t swapping = 0;
    for (auto& [id, engine] : engines_) {
      swapping += engine.swapping ? 1 : 0;
      Report(&engine);
    }
    for (auto& [id, engine] : engines_) {
      const bool outdated = engine.version < newest_ && !engine.swapping;
      if (outdated && swapping * kMaxSwappingDivisor < engines_.size()) {
        ++swapping;
        SwapWeights(id, &engine);
      }
    }
    for (auto& [id, batch] : batches_) {
      ExecuteDecisions(id, batch.plan->Tick(now_));
      Pull(id);
    }
    ScheduleAfter(kTickInterval, [this] { Tick(); });
  }

  void Report(Engine* engine) {
    v1::EngineLoad load;
    load.set_running(static_cast<std::uint32_t>(engine->running.size()));
    load.set_version(engine->version);
    load.set_slots(engine->kind->slots());
    load.set_swapping(engine->swapping);
    engine->reports.emplace_back(now_, std::move(load));
    const milliseconds lag(setup_.report_lag_ms());
    while (engine->reports.size() > 1 &&
           engine->reports[1].first + lag <= now_) {
      engine->reports.pop_front();
    }
    scheduler_.ObserveLoad(engine->id, engine->reports.front().second, now_);
  }

  void SwapWeights(const std::string& id, Engine* engine) {
    const milliseconds pause(setup_.swap_ms());
    engine->swapping = true;
    SendNotice(*engine);
    for (const std::string& running : engine->running) {
      Work& work = works_.at(running);
      work.progress_time = std::max(work.progress_time, now_) + pause;
      ScheduleFinish(running, &work);
    }
    ScheduleAfter(pause, [this, id, version = newest_] {
      const auto found = engines_.find(id);
      if (found != engines_.end()) {
        found->second.swapping = false;
        found->second.version = version;
        SendNotice(found->second);
      }
    });
  }

  void SendNotice(const Engine& engine) {
    v1::UpstreamNotice notice;
    notice.set_upstream(engine.id.value());
    notice.set_leaving(engine.leaving || engine.draining);
    notice.set_swapping(engine.swapping);
    notice.set_version(engine.version);
    scheduler_.ApplyNotice(notice, now_);
  }

  static PoolId PoolOf(const std::string& domain) {
    return {kModel, FailureDomainId(domain)};
  }

  void RunCapacityPolicy() {
    UpdateUpstreams();
    for (const std::string& domain : setup_.failure_domains()) {
      if (policy_.fixed_capacity) {
        break;
      }
      for (const auto& decision :
           capacity_.Decide(MakePoolState(domain), now_)) {
        std::visit([&](const auto& one) { Order(domain, one); }, decision);
      }
    }
    ScheduleAfter(kControlInterval, [this] { RunCapacityPolicy(); });
  }

  control::PoolState MakePoolState(const std::string& domain) const {
    control::PoolState pool;
    pool.pool = PoolOf(domain);
    const auto domains =
        static_cast<std::size_t>(setup_.failure_domains_size());
    pool.queued = static_cast<std::uint32_t>(
        (scheduler_.queued() + domains - 1) / domains);
    pool.organisations = 8;
    for (const v1::UpstreamClass& kind : setup_.classes()) {
      pool.classes.push_back({kind.name(), kind.price_per_hour(),
                              kind.reclaimable(), kind.slots(), 0,
                              setup_.max_per_class()});
    }
    for (const auto& [id, engine] : engines_) {
      if (engine.failure_domain != domain) {
        continue;
      }
      control::UpstreamState state{engine.id, engine.kind->name()};
      state.in_flight = static_cast<std::uint32_t>(engine.running.size());
      state.phase = engine.leaving        ? control::UpstreamPhase::kLeaving
                    : engine.draining     ? control::UpstreamPhase::kDraining
                    : engine.ready > now_ ? control::UpstreamPhase::kStarting
                                          : control::UpstreamPhase::kServing;
      pool.upstreams.push_back(std::move(state));
      pool.in_flight += static_cast<std::uint32_t>(engine.running.size());
      for (const std::string& running : engine.running) {
        pool.repeatable_in_flight +=
            works_.at(running).request.repeatable() ? 1 : 0;
      }
    }
    return pool;
  }

  void Order(const std::string& domain, const control::StartUpstream& start) {
    const std::string& name = start.upstream_class;
    if (outages_[name] > now_ || outages_[name + "@" + domain] > now_) {
      capacity_.OrderRefused(PoolOf(domain), name, now_);
      return;
    }
    capacity_.OrderDone(PoolOf(domain), name);
    const auto& classes = setup_.classes();
    const auto& kind = *std::find_if(
        classes.begin(), classes.end(),
        [&](const v1::UpstreamClass& one) { return one.name() == name; });
    AddEngine(domain, kind,
              now_ + std::chrono::seconds(kind.start_up_seconds()));
  }
  void Order(const std::string&, const control::DrainUpstream& drain) {
    engines_.at(drain.upstream.value()).draining = true;
    UpdateUpstreams();
  }
  void Order(const std::string&, const control::CancelDrain& cancel) {
    engines_.at(cancel.upstream.value()).draining = false;
    UpdateUpstreams();
  }
  void Order(const std::string&, const control::StopUpstream& stop) {
    StopEngine(stop.upstream.value());
  }

  // Execution of the decisions of a batch's plan.

  void ExecuteDecisions(const std::string& id,
                        const rollout::BatchDecisions& decisions) {
    for (const rollout::BatchDecision& decision : decisions) {
      std::visit([&](const auto& one) { Execute(id, one); }, decision);
    }
  }

  void Execute(const std::string& id, const rollout::StartSample& start) {
    const v1::BatchArrival& arrival = batches_.at(id).arrival;
    const std::uint32_t position =
        start.sample.group * arrival.samples_per_group() + start.sample.index;
    Work work;
    work.attempt = start.attempt;
    work.batch = id;
    work.tokens_resumed = start.resume.tokens;
    work.tokens =
        std::max(1U, arrival.sample_tokens(static_cast<int>(position)) -
                         work.tokens_resumed);
    v1::GrantRequest& request = work.request;
    request.set_request_id(id + "/" + std::to_string(start.attempt));
    request.set_organisation(arrival.organisation());
    request.set_kind(v1::WORK_SAMPLE);
    request.add_prefix_hashes(std::hash<std::string>()(id) +
                              start.sample.group);
    request.set_prompt_tokens(arrival.prompt_tokens());
    request.set_max_tokens(2'001);
    request.set_repeatable(true);
    request.set_deadline_ms(kSampleDeadlineMs);
    request.set_min_version(start.min_version);
    for (const UpstreamId& excluded : start.excluded) {
      request.add_excluded_upstreams(excluded.value());
    }
    ScheduleAfter(nanoseconds{0},
                  [this, work = std::move(work)] { Submit(work); });
  }
  void Execute(const std::string& id, const rollout::CancelAttempt& cancel) {
    const std::string request = id + "/" + std::to_string(cancel.attempt);
    if (works_.contains(request)) {
      Release(request, false);
    }
  }
  void Execute(const std::string& id, const rollout::CopySample& copy) {
    ScheduleAfter(kCopyDelay, [this, id, key = copy.key] {
      ExecuteDecisions(id, batches_.at(id).plan->OnCopied({key}, now_));
    });
  }
  void Execute(const std::string& id, const rollout::BindGroups& bind) {
    ScheduleAfter(kBindDelay, [this, id, bind] {
      ExecuteDecisions(id, batches_.at(id).plan->OnBound(
                               {bind.first_sequence, bind.groups}));
      Pull(id);
    });
  }
  void Execute(const std::string& id, const rollout::Deliver& page) {
    Batch& batch = batches_.at(id);
    for (const v1::Sample& sample : page.samples) {
      const bool first =
          batch.delivered.insert({sample.group(), sample.index()}).second;
      row_.set_samples_delivered(row_.samples_delivered() + 1);
      row_.set_samples_doubled(row_.samples_doubled() + (first ? 0 : 1));
      CheckFreshness(sample);
    }
    batch.cursor = page.next_cursor;
    if (page.complete && !batch.completed_at.has_value()) {
      batch.completed_at = now_;
    }
  }
  void Execute(const std::string&, const rollout::DropSample&) {}
  void Execute(const std::string&, const rollout::Bill&) {}
  void Execute(const std::string&, const rollout::CloseBatch&) {}

  void Pull(const std::string& id) {
    Batch& batch = batches_.at(id);
    if (!batch.completed_at.has_value()) {
      ExecuteDecisions(id, batch.plan->Pull(batch.cursor, 1'024, now_));
      ExecuteDecisions(id, batch.plan->Acknowledge(batch.cursor, now_));
    }
  }

  // Checks the staleness bound from the sample's labels, independently of the
  // plan.
  void CheckFreshness(const v1::Sample& sample) {
    std::uint32_t oldest = newest_;
    for (const v1::VersionRange& range : sample.versions()) {
      oldest = std::min(oldest, range.version());
    }
    const double age_s = (ToMs(now_.time_since_epoch()) -
                          static_cast<double>(sample.first_token_unix_ms())) /
                         1'000;
    const bool stale = oldest + setup_.max_versions_behind() < newest_ ||
                       age_s > setup_.max_age_seconds();
    row_.set_samples_stale(row_.samples_stale() + (stale ? 1 : 0));
    row_.set_max_sample_age_s(std::max(row_.max_sample_age_s(), age_s));
  }

  void CountWait(const Work& work) {
    const double wait = std::max(1.0, ToMs(now_ - work.arrival));
    const std::string& organisation = work.request.organisation();
    waits_.try_emplace(organisation, MakeHistogram()).first->second(wait);
    all_waits_(wait);
  }

  // Returns a lower bound of the time to deliver a batch under any policy: the
  // time to generate its longest sample alone, or to generate all its tokens on
  // the maximum number of engines, whichever is longer.
  double LowerBoundMs(const v1::BatchArrival& arrival) const {
    double longest = 0;
    double total = 0;
    for (const std::uint32_t tokens : arrival.sample_tokens()) {
      longest = std::max<double>(longest, tokens);
      total += tokens;
    }
    double rate = 0;
    for (const v1::UpstreamClass& kind : setup_.classes()) {
      const double slots = kind.slots();
      rate += setup_.failure_domains_size() * setup_.max_per_class() * slots *
              setup_.tokens_per_second() /
              (1 + setup_.batch_cost() * (slots - 1));
    }
    const double alone = longest / setup_.tokens_per_second();
    return 1'000 * std::max(alone, total / rate);
  }

  v1::ReplayRow MakeRow() {
    while (!engines_.empty()) {
      StopEngine(engines_.begin()->first);
    }
    double wasted = 0;
    double generated = 0;
    for (const auto& [id, batch] : batches_) {
      const double idle_ms =
          ToMs(batch.completed_at.value_or(end_) - batch.start);
      row_.set_trainer_idle_s(row_.trainer_idle_s() + idle_ms / 1'000);
      row_.set_idle_lower_bound_s(row_.idle_lower_bound_s() +
                                  LowerBoundMs(batch.arrival) / 1'000);
      row_.set_samples_expected(row_.samples_expected() +
                                SampleCount(batch.arrival));
      const rollout::BatchCounts& counts = batch.plan->counts();
      row_.set_hedges(row_.hedges() + counts.hedges);
      row_.set_samples_dropped(row_.samples_dropped() + counts.dropped_stale);
      wasted += static_cast<double>(counts.wasted_tokens);
      for (const std::uint32_t tokens : batch.arrival.sample_tokens()) {
        generated += tokens;
      }
    }
    row_.set_wasted_share(generated == 0 ? 0 : wasted / generated);
    row_.set_cheap_share(
        repeatable_tokens_ == 0 ? 0 : cheap_tokens_ / repeatable_tokens_);
    row_.set_all_p99_wait_ms(Quantile(all_waits_, 0.99));
    for (const auto& [organisation, waits] : waits_) {
      const double p99 = Quantile(waits, 0.99);
      if (organisation != setup_.flooding_organisation() &&
          p99 > row_.worst_p99_wait_ms()) {
        row_.set_worst_p99_wait_ms(p99);
        row_.set_worst_organisation(organisation);
      }
    }
    return row_;
  }

  const Trace& trace_;
  const Policy& policy_;
  const v1::TraceSetup& setup_;
  dispatch::PoolScheduler scheduler_;
  control::CapacityPolicy capacity_;
  Instant now_{};
  Instant end_;
  std::uint32_t newest_ = 1;
  std::uint64_t next_serial_ = 0;
  std::priority_queue<Event> events_;
  std::map<std::string, Engine> engines_;
  std::map<std::string, Work> works_;
  std::map<std::string, Batch> batches_;
  std::map<std::string, Instant> outages_;
  std::map<std::string, WaitHistogram> waits_;
  WaitHistogram all_waits_ = MakeHistogram();
  double repeatable_tokens_ = 0;
  double cheap_tokens_ = 0;
  v1::ReplayRow row_;
};

}  // namespace

std::vector<Policy> Policies() {
  const dispatch::SchedulerOptions own;
  std::vector<Policy> policies{{"mulberry", own, true, false, {}},
                               {"round-robin", own, true, false, {}},
                               {"least-in-flight", own, true, false, {}},
                               {"two-random", own, true, false, {}},
                               {"fifo", own, true, false, {}},
                               {"no-hedging", own, false, false, {}},
                               {"fixed-capacity", own, true, true, {}}};
  policies[1].scheduler.choice = dispatch::RoundRobinChoice{};
  policies[2].scheduler.choice = dispatch::LeastInFlightChoice{};
  policies[3].scheduler.choice = dispatch::TwoRandomChoice{};
  policies[4].scheduler.queue = dispatch::FifoQueuePolicy{};
  return policies;
}

v1::ReplayRow Replay(const Trace& trace, const Policy& policy) {
  return Simulation(trace, policy).Run();
}

}  // namespace mulberryroad::replay
