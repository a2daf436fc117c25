#include "batches/item_scorer.h"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace mulberryroad::batches {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kServerError = 500;

double DrawUnit(std::mt19937_64& random) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

}  // namespace

ItemScorer::ItemScorer(
    BatchContext& context,
    std::function<std::optional<int>(const std::string& batch)> max_attempts,
    std::function<void(const ItemRef&, ItemScoreResult)> on_result)
    : context_(context),
      max_attempts_(std::move(max_attempts)),
      on_result_(std::move(on_result)),
      permits_(context.permits, [this] { PostSchedule(); }) {}

void ItemScorer::Add(const PendingScore& pending, const v1::BatchItem& stored,
                     Instant give_up) {
  requests_[pending.item] = {stored.id(), stored.scorer(), give_up};
  scheduler_.Add(pending);
  PostSchedule();
}

void ItemScorer::Cancel(const ItemRef& item) {
  CancelCall(item);
  scheduler_.Remove(item);
  requests_.erase(item);
}

void ItemScorer::CancelBatch(const std::string& batch) {
  while (true) {
    const auto request = requests_.lower_bound({batch, 0});
    if (request == requests_.end() || request->first.batch != batch) {
      return;
    }
    Cancel(ItemRef(request->first));
  }
}

void ItemScorer::Stop() {
  timer_.Cancel();
  while (!requests_.empty()) {
    Cancel(ItemRef(requests_.begin()->first));
  }
}

void ItemScorer::CancelCall(const ItemRef& item) {
  const auto call = calls_.find(item);
  if (call == calls_.end()) {
    return;
  }
  call->second.call->Cancel();
  context_.request_loads.OnRequestEnded(call->second.upstream,
                                        /*answered=*/false);
  context_.scorer_limits[call->second.service].OnEnd(call->second.repeat);
  calls_.erase(call);
}

std::optional<int> ItemScorer::MaxFailures(const ItemRef& item) const {
  const v1::ScorerRequest& scorer = requests_.at(item).scorer;
  const serving::Route* route =
      context_.catalog.FindRoute(scorer.host(), scorer.path());
  const std::optional<int> of_batch = max_attempts_(item.batch);
  if (route == nullptr || !of_batch.has_value()) {
    return of_batch;
  }
  return std::max(*of_batch, route->max_attempts);
}

// One pass covers all items that complete in the same loop iteration.
void ItemScorer::PostSchedule() {
  if (std::exchange(schedule_posted_, true)) {
    return;
  }
  context_.loop.Post([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->schedule_posted_ = false;
      self->Schedule();
    }
  });
}

void ItemScorer::Schedule() {
  const Instant now = context_.clock.now();
  std::set<TargetId> full;
  scheduler_.Place(
      now, [this, &full](const ItemRef& item, const std::set<UpstreamId>& tried,
                         int earlier_calls) {
        return TrySend(item, tried, earlier_calls, &full);
      });
  const auto due = scheduler_.next_due();
  if (!due.has_value()) {
    timer_.Cancel();
    return;
  }
  // An item that is due already waits for a slot or for a route.
  const auto delay = *due > now ? *due - now : kRecheckInterval;
  timer_ = context_.loop.After(delay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Schedule();
    }
  });
}

std::optional<UpstreamId> ItemScorer::TrySend(const ItemRef& item,
                                              const std::set<UpstreamId>& tried,
                                              int earlier_calls,
                                              std::set<TargetId>* full) {
  const Request& request = requests_.at(item);
  if (context_.clock.now() >= request.give_up) {
    return std::nullopt;
  }
  const serving::Route* route =
      context_.catalog.FindRoute(request.scorer.host(), request.scorer.path());
  // Without a route the item waits: a later manifest may add it.
  const TargetId* service =
      route == nullptr
          ? nullptr
          : serving::ChooseService(*route, DrawUnit(context_.random));
  if (service == nullptr || full->contains(*service)) {
    return std::nullopt;
  }
  const serving::Registration* upstream = ChooseScorer(*service, tried);
  if (upstream == nullptr) {
    full->insert(*service);
    return std::nullopt;
  }
  std::uint32_t max_in_flight = 0;
  for (const serving::Registration* ready :
       context_.directory.Ready(*service)) {
    max_in_flight += ScorerSlots(ready->slots);
  }
  ScorerLimit& limit = context_.scorer_limits[*service];
  const bool repeat = earlier_calls > 0;
  if (!limit.TryStart(repeat, max_in_flight)) {
    // First calls are placed before repeats, so that a blocked repeat does not
    // keep a first call from being sent.
    full->insert(*service);
    return std::nullopt;
  }
  calls_[item] = {nullptr,
                  upstream->id,
                  *service,
                  route->target_latency,
                  context_.clock.now(),
                  repeat};
  Send(item, *upstream, *route, earlier_calls);
  return upstream->id;
}

const serving::Registration* ItemScorer::ChooseScorer(
    const TargetId& service, const std::set<UpstreamId>& tried) {
  const Instant now = context_.clock.now();
  std::vector<const serving::Registration*> usable = serving::UsableUpstreams(
      context_.directory.Ready(service), context_.request_loads, now);
  std::erase_if(usable, [this, now](const serving::Registration* upstream) {
    return !context_.request_loads.HasFreeSlot(
        upstream->id, ScorerSlots(upstream->slots), now);
  });
  // Those without a permit are not chosen below.
  const std::vector<UpstreamId> limited =
      serving::UpstreamsToAskFor(usable, context_.request_loads, now);
  permits_.Request(limited, serving::PendingPermitsFor(
                                limited, context_.request_loads, now));
  const double draw = DrawUnit(context_.random);
  const serving::Registration* untried = serving::ChooseUpstream(
      usable, context_.request_loads, tried, context_.own_domain, now, draw);
  return untried != nullptr
             ? untried
             : serving::ChooseUpstream(usable, context_.request_loads, {},
                                       context_.own_domain, now, draw);
}

void ItemScorer::Send(const ItemRef& item,
                      const serving::Registration& upstream,
                      const serving::Route& route, int earlier_calls) {
  const Request& request = requests_.at(item);
  const Instant now = context_.clock.now();
  serving::OutgoingRequest outgoing;
  outgoing.id = RequestId(request.scorer.id());
  outgoing.method = http::Method::kPost;
  outgoing.host = request.scorer.host();
  outgoing.target = request.scorer.path();
  outgoing.body = request.scorer.body();
  serving::CallOptions options;
  options.deadline = std::min(
      ScoreCallTimeout(route.target_latency, route.timeout, earlier_calls),
      std::max(milliseconds(1),
               duration_cast<milliseconds>(request.give_up - now)));
  context_.log.Write(
      "score.start",
      {{"request", request.item_id},
       {"score_request", request.scorer.id()},
       {"batch", item.batch},
       {"upstream", upstream.id.value()},
       {"earlier_calls", static_cast<std::int64_t>(earlier_calls)},
       {"timeout_ms", options.deadline.count()},
       {"in_flight", static_cast<std::int64_t>(
                         context_.scorer_limits[upstream.service].in_flight())},
       {"limit", static_cast<std::int64_t>(
                     context_.scorer_limits[upstream.service].limit())},
       {"manifest", static_cast<std::int64_t>(context_.catalog.version())}});
  context_.request_loads.OnRequestSent(upstream.id, now);
  calls_.at(item).call = context_.caller.Send(
      upstream, outgoing, std::move(options),
      [weak = weak_from_this(), item](const serving::UpstreamOutcome& outcome) {
        if (const auto self = weak.lock()) {
          self->OnDone(item, outcome);
        }
      });
}

ScoreOutcome ItemScorer::RecordOutcome(
    const Call& ended, const serving::UpstreamOutcome& outcome) {
  const Instant now = context_.clock.now();
  const auto latency = duration_cast<microseconds>(now - ended.sent);
  serving::UpstreamLoads& loads = context_.request_loads;
  ScorerLimit& limit = context_.scorer_limits[ended.service];
  limit.OnEnd(ended.repeat);
  context_.metrics.Observe("score_call_seconds", {}, latency);
  const auto* not_run = std::get_if<serving::NotRun>(&outcome);
  const auto* response = std::get_if<serving::CompleteResponse>(&outcome);
  const bool refused = not_run != nullptr && not_run->full;
  loads.OnRequestEnded(ended.upstream, refused || response != nullptr);
  if (refused) {
    loads.OnRefused(ended.upstream, now);
    limit.OnOverload(now);
    return ScoreRefused{};
  }
  if (response == nullptr) {
    loads.health().OnRequestFailed(ended.upstream, now);
    limit.OnOverload(now);
    if (not_run != nullptr) {
      return ScoreRefused{};
    }
    return ScoreLost{};
  }
  loads.OnAccepted(ended.upstream, now);
  limit.OnAnswered(latency, ended.target_latency, now);
  if (response->signature.size() > kMaxScoreBytes) {
    // It would not fit into the record of the result.
    return ScoreLost{};
  }
  if (response->status >= kFirstSuccess && response->status < kFirstRedirect) {
    loads.health().OnResponseStarted(ended.upstream, now);
    loads.health().OnResponseCompleted(ended.upstream, now);
    loads.RecordLatency(ended.upstream, latency, now);
    return ScoreReceived{response->signature};
  }
  // Whether a server error is the fault of the upstream or of the request is
  // known once another upstream has answered; see AcceptScore::faulty.
  if (response->status == kServerError) {
    return ScoreFailed{};
  }
  return ScoreLost{};
}

void ItemScorer::OnDone(const ItemRef& item,
                        const serving::UpstreamOutcome& outcome) {
  const auto call = calls_.find(item);
  if (call == calls_.end()) {
    return;
  }
  const Call ended = std::move(call->second);
  calls_.erase(call);
  const Instant now = context_.clock.now();
  const ScoreOutcome score = RecordOutcome(ended, outcome);
  static constexpr const char* kOutcomeNames[] = {"scored", "failed", "refused",
                                                  "lost"};
  const ScoreDecision decision = scheduler_.OnCallEnd(
      item, score, MaxFailures(item), now, DrawUnit(context_.random));
  static constexpr const char* kDecisionNames[] = {"list", "give up", "repeat",
                                                   "ignore"};
  const auto* repeat = std::get_if<RepeatScore>(&decision);
  const Request& request = requests_.at(item);
  context_.log.Write(
      "score.end",
      {{"request", request.item_id},
       {"score_request", request.scorer.id()},
       {"batch", item.batch},
       {"upstream", ended.upstream.value()},
       {"outcome", kOutcomeNames[score.index()]},
       {"decision", kDecisionNames[decision.index()]},
       {"repeat_ms", repeat == nullptr ? 0 : repeat->delay.count()},
       {"took_ms", duration_cast<milliseconds>(now - ended.sent).count()}});
  context_.metrics.Count("score_calls_total",
                         {{"outcome", kOutcomeNames[score.index()]}});
  if (const auto* accepted = std::get_if<AcceptScore>(&decision)) {
    for (const UpstreamId& upstream : accepted->faulty) {
      context_.request_loads.health().OnRequestFailed(upstream, now);
    }
    requests_.erase(item);
    on_result_(item, ItemScored{accepted->score});
  } else if (std::holds_alternative<GiveUpScore>(decision)) {
    requests_.erase(item);
    on_result_(item, ItemUnscorable{});
  }
  PostSchedule();
}

}  // namespace mulberryroad::batches
