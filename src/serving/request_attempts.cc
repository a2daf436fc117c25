// Attempts of a request: choice of the upstream, permits, hedging, outcomes.

#include <algorithm>
#include <utility>

#include "serving/request_session.h"

namespace mulberryroad::serving {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int kFirstServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

std::string DescribeOutcome(const UpstreamOutcome& outcome) {
  struct Visitor {
    std::string operator()(const NotRun& result) const {
      return "not run: " + result.reason;
    }
    std::string operator()(const MayHaveRun& result) const {
      return "may have run: " + result.reason;
    }
    std::string operator()(const CompleteResponse& result) const {
      return "status " + std::to_string(result.status);
    }
  };
  return std::visit(Visitor{}, outcome);
}

}  // namespace

const Registration* RequestSession::ChooseUntried() {
  std::uniform_real_distribution<double> draw_distribution(0.0, 1.0);
  const double draw = draw_distribution(context_.random);
  const auto choose = [&](const std::vector<const Registration*>& upstreams) {
    return ChooseUpstream(upstreams, context_.loads, tried_upstreams_,
                          context_.own_domain, context_.clock.now(), draw);
  };
  std::vector<const Registration*> fitting = FittingUpstreams();
  if (!streaming() || software_.has_value()) {
    return choose(fitting);
  }
  // A stream begins at a version that the store lists, if it can: a node that
  // does not know the version yet would otherwise assume that the stream has
  // the version that it knows.
  std::vector<const Registration*> declared = fitting;
  std::erase_if(declared, [this](const Registration* upstream) {
    return !context_.origins.IsDeclared(
        {upstream->service, upstream->software});
  });
  const Registration* chosen = choose(declared);
  return chosen != nullptr ? chosen : choose(fitting);
}

CallOptions RequestSession::MakeCallOptions(int number) {
  CallOptions options;
  options.deadline = time_left();
  options.resume_after = last_event_id_;
  if (streaming()) {
    options.stream = StreamHandler{
        [self = shared_from_this(), number](const StreamStart& start) {
          self->OnStreamStart(number, start);
        },
        [self = shared_from_this(), number](const StreamEvent& event) {
          self->OnStreamEvent(number, event);
        }};
  }
  return options;
}

const std::string& RequestSession::content() {
  if (content_.empty()) {
    content_ = ContentDigest(request_.outgoing);
  }
  return content_;
}

bool RequestSession::FailIfCrashing() {
  if (context_.crashes.empty() || !context_.crashes.IsCrashing(content())) {
    return false;
  }
  const std::vector<Crash> crashes = context_.crashes.crashes(content());
  const Crash& newest = *std::max_element(
      crashes.begin(), crashes.end(),
      [](const Crash& a, const Crash& b) { return a.at < b.at; });
  context_.metrics.Count("crashing_requests_total", {});
  context_.log.Write("request.crashing",
                     {{"request", request_.outgoing.id.value()},
                      {"content", content()},
                      {"crashes", static_cast<std::int64_t>(crashes.size())},
                      {"newest_upstream", newest.upstream.id.value()},
                      {"seen_by", newest.node},
                      {"newest_ms_ago", duration_cast<milliseconds>(
                                            context_.clock.now() - newest.at)
                                            .count()}});
  FailRequest(kBadGateway, "the request crashes the upstreams that run it");
  return true;
}

void RequestSession::SendAttempt() {
  if (FailIfCrashing()) {
    return;
  }
  const Registration* upstream = ChooseUntried();
  if ((upstream == nullptr || IsBusy(*upstream)) && !permit_denied_) {
    std::vector<UpstreamId> limited = UpstreamsWithoutPermit(
        UntriedUpstreams(), context_.loads, context_.clock.now());
    if (!limited.empty()) {
      AcquirePermit(std::move(limited), upstream == nullptr);
      return;
    }
  }
  if (upstream == nullptr) {
    EndWithoutUpstream("the service has no upstream that accepts requests",
                       kRetryAfterNoUpstream);
    return;
  }
  if (!turn_ && WaitForTurn()) {
    return;
  }
  turn_ = false;
  if (request_.rank.has_value() && context_.admission != nullptr) {
    context_.admission->OnStarted(request_.service, *request_.rank);
  }
  const int number = next_attempt_number_++;
  tried_upstreams_.insert(upstream->id);
  last_upstream_ = upstream->id;
  policy_.OnSent();
  context_.loads.OnRequestSent(upstream->id, context_.clock.now());
  if (!last_event_id_.empty()) {
    context_.log.Write("stream.resumed",
                       {{"request", request_.outgoing.id.value()},
                        {"resume_after", last_event_id_},
                        {"upstream", upstream->id.value()},
                        {"software", upstream->software}});
  }
  Attempt& attempt = attempts_[number];
  attempt.upstream = upstream->id;
  attempt.upstream_started = upstream->started;
  attempt.software = upstream->software;
  attempt.sent = context_.clock.now();
  attempt.call = context_.caller.Send(
      *upstream, request_.outgoing, MakeCallOptions(number),
      [self = shared_from_this(), number](UpstreamOutcome outcome) {
        self->OnAttemptDone(number, std::move(outcome));
      });
  ScheduleHedge();
}

void RequestSession::EndWithoutUpstream(const std::string& reason,
                                        milliseconds retry) {
  if (policy_.in_flight() > 0) {
    return;
  }
  if (policy_.known_not_run()) {
    ReplyNotRun(reason, retry);
  } else {
    FailRequest(kBadGateway,
                "no untried upstream is left; an earlier attempt may have run");
  }
}

bool RequestSession::IsBusy(const Registration& upstream) const {
  return context_.loads.running(upstream.id) >= upstream.slots ||
         context_.loads.full(upstream.id, context_.clock.now()) ||
         context_.loads.at_pace_limit(upstream.id, context_.clock.now());
}

bool RequestSession::HasFreeSlot() const {
  const Instant now = context_.clock.now();
  const std::vector<const Registration*> usable =
      UsableUpstreams(UntriedUpstreams(), context_.loads, now);
  return std::any_of(
      usable.begin(), usable.end(), [this, now](const Registration* upstream) {
        return context_.loads.MaySend(upstream->id, now) && !IsBusy(*upstream);
      });
}

bool RequestSession::WaitForTurn() {
  // A request with an attempt in flight is already being served.
  if (!request_.rank.has_value() || context_.admission == nullptr ||
      policy_.in_flight() > 0) {
    return false;
  }
  if (ticket_.has_value()) {
    return true;
  }
  const bool at_once =
      !context_.admission->HasWaiting(request_.service) && HasFreeSlot();
  if (at_once || queue_wait_left_ <= milliseconds(0)) {
    return false;
  }
  const auto added = context_.admission->Add(
      request_.service, {*request_.rank, request_.deadline, queue_wait_left_},
      {[this] { return HasFreeSlot() || UntriedUpstreams().empty(); },
       [self = shared_from_this()] { self->OnTurn(); }});
  if (const auto* refusal = std::get_if<AdmissionRefusal>(&added)) {
    // After an attempt that may have run, a refusal would not be "not run".
    if (!policy_.known_not_run()) {
      return false;
    }
    RefuseQueued(*refusal);
    return true;
  }
  ticket_ = std::get<AdmissionQueue::Ticket>(added);
  queued_at_ = context_.clock.now();
  queue_timer_ =
      context_.loop.After(queue_wait_left_, [this] { OnQueueWaitEnd(); });
  return true;
}

void RequestSession::EndQueueWait(const std::string& result) {
  const auto waited = context_.clock.now() - queued_at_;
  ticket_.reset();
  queue_timer_.Cancel();
  queue_wait_left_ -= duration_cast<milliseconds>(waited);
  context_.metrics.Observe("request_queue_seconds", {{"result", result}},
                           waited);
}

void RequestSession::OnTurn() {
  EndQueueWait("sent");
  turn_ = true;
  SendAttempt();
}

void RequestSession::OnQueueWaitEnd() {
  const auto refusal = context_.admission->EndWait(request_.service, *ticket_);
  const bool refused = refusal.has_value() && policy_.known_not_run();
  EndQueueWait(refused ? "refused" : "sent without a slot");
  if (refused) {
    RefuseQueued(*refusal);
  } else {
    turn_ = true;
    SendAttempt();
  }
}

void RequestSession::RefuseQueued(const AdmissionRefusal& refusal) {
  context_.metrics.Count("requests_queue_refused_total", {});
  context_.log.Write(
      "request.queue_refused",
      {{"request", request_.outgoing.id.value()},
       {"service", request_.service.value()},
       {"organisation", request_.outgoing.organisation.value()},
       {"organisation_priority",
        static_cast<std::int64_t>(request_.rank->organisation_priority)},
       {"route_priority",
        static_cast<std::int64_t>(request_.rank->route_priority)},
       {"reason", refusal.reason},
       {"expected_wait_ms", refusal.expected_wait.count()},
       {"retry_ms", refusal.retry_after.count()}});
  EndWithoutUpstream(refusal.reason, refusal.retry_after);
}

void RequestSession::RecordServiceTime(microseconds used) {
  if (request_.rank.has_value() && context_.admission != nullptr) {
    context_.admission->OnEnded(request_.service, *request_.rank, used);
  }
}

void RequestSession::AcquirePermit(std::vector<UpstreamId> upstreams,
                                   bool may_wait) {
  if (std::exchange(awaiting_permit_, true)) {
    return;
  }
  const auto max_wait = may_wait
                            ? duration_cast<milliseconds>(
                                  request_.target_latency * kPermitWaitShare)
                            : milliseconds(0);
  context_.permits.Acquire(
      std::move(upstreams), RequestPriority::kCaller,
      std::min(max_wait, time_left()),
      [self = shared_from_this()](const PermitResult& result) {
        self->awaiting_permit_ = false;
        if (self->finished_) {
          return;
        }
        if (const auto* denied = std::get_if<PermitDenied>(&result)) {
          self->OnPermitDenied(*denied);
        } else {
          self->SendAttempt();
        }
      });
}

void RequestSession::OnPermitDenied(const PermitDenied& denied) {
  permit_denied_ = true;
  if (ChooseUntried() != nullptr) {
    SendAttempt();
    return;
  }
  context_.log.Write("request.limited",
                     {{"request", request_.outgoing.id.value()},
                      {"service", request_.service.value()},
                      {"upstream", denied.upstream.value()},
                      {"requests_per_second", denied.requests_per_second},
                      {"learned_ms_ago", denied.learned_ago.count()},
                      {"decided_by", denied.decided_by},
                      {"retry_ms", denied.retry_after.count()}});
  EndWithoutUpstream("the rate limits of the service's upstreams are used up",
                     denied.retry_after);
}

void RequestSession::ScheduleHedge() {
  if (streaming() || !policy_.may_hedge()) {
    return;
  }
  const auto delay =
      duration_cast<milliseconds>(request_.target_latency * kHedgeDelayShare);
  hedge_timer_ = context_.loop.After(delay, [this] {
    if (!finished_ && policy_.may_hedge() && ChooseUntried() != nullptr) {
      for (const auto& [number, attempt] : attempts_) {
        context_.loads.health().OnRequestLate(attempt.upstream,
                                              context_.clock.now());
      }
      context_.metrics.Count("request_hedges_total", {});
      SendAttempt();
    }
  });
}

void RequestSession::RecordConnectionLost(const Attempt& ended) {
  connection_lost_ = true;
  context_.crashes.OnConnectionLost(content(),
                                    {{ended.upstream, ended.upstream_started},
                                     context_.node,
                                     context_.clock.now()});
}

void RequestSession::RecordOutcome(const Attempt& ended,
                                   const UpstreamOutcome& outcome) {
  const Instant now = context_.clock.now();
  UpstreamLoads& loads = context_.loads;
  const auto* not_run = std::get_if<NotRun>(&outcome);
  const bool refused = not_run != nullptr && not_run->full;
  RecordServiceTime(not_run != nullptr
                        ? microseconds(0)
                        : duration_cast<microseconds>(now - ended.sent));
  loads.OnRequestEnded(
      ended.upstream,
      refused || std::holds_alternative<CompleteResponse>(outcome));
  if (const auto* complete = std::get_if<CompleteResponse>(&outcome)) {
    loads.OnAccepted(ended.upstream, now);
    if (!context_.crashes.empty()) {
      context_.crash_reporter.Withdraw(content());
    }
    if (complete->status < kFirstServerError) {
      if (!streaming()) {
        loads.health().OnResponseStarted(ended.upstream, now);
        loads.RecordLatency(ended.upstream,
                            duration_cast<microseconds>(now - ended.sent), now);
      }
      loads.health().OnResponseCompleted(ended.upstream, now);
    } else if (complete->status != kGatewayTimeout) {
      // A 504 means that the deadline expired, which depends more on the
      // request than on the upstream.
      loads.health().OnRequestFailed(ended.upstream, now);
    }
  } else if (refused) {
    loads.OnRefused(ended.upstream, now);
  } else {
    loads.health().OnRequestFailed(ended.upstream, now);
    const auto* lost = std::get_if<MayHaveRun>(&outcome);
    if (lost != nullptr && lost->connection_lost) {
      RecordConnectionLost(ended);
    }
  }
  const bool ran = !std::holds_alternative<NotRun>(outcome);
  if (ran && !std::exchange(usage_counted_, true)) {
    context_.count_usage(request_.outgoing.organisation);
  }
}

void RequestSession::OnAttemptDone(int number, UpstreamOutcome outcome) {
  const auto found = attempts_.find(number);
  if (finished_ || found == attempts_.end()) {
    return;
  }
  const Attempt ended = std::move(found->second);
  attempts_.erase(found);
  if (number == streaming_attempt_ && std::holds_alternative<NotRun>(outcome)) {
    outcome = MayHaveRun{"the upstream refused a stream that it had begun"};
  }
  RecordOutcome(ended, outcome);
  if (has_unnumbered_events_ &&
      !std::holds_alternative<CompleteResponse>(outcome)) {
    FailRequest(kBadGateway, "a stream without event ids cannot be resumed");
    return;
  }
  const AttemptStep step =
      policy_.OnOutcome(outcome, !UntriedUpstreams().empty());
  if (!std::holds_alternative<Deliver>(step)) {
    context_.log.Write(
        "request.try_failed",
        {{"request", request_.outgoing.id.value()},
         {"upstream", ended.upstream.value()},
         {"content", content()},
         {"outcome", DescribeOutcome(outcome)},
         {"tries", static_cast<std::int64_t>(policy_.attempts())},
         {"took_ms",
          duration_cast<milliseconds>(context_.clock.now() - ended.sent)
              .count()}});
  }
  struct Visitor {
    RequestSession& session;
    int number;
    const UpstreamOutcome& outcome;
    void operator()(const SendAnother&) const { session.SendAttempt(); }
    void operator()(const AwaitInFlight&) const {}
    void operator()(const Deliver&) const {
      session.DeliverResponse(number, std::get<CompleteResponse>(outcome));
    }
    void operator()(const FailNotRun&) const {
      const auto* not_run = std::get_if<NotRun>(&outcome);
      session.ReplyNotRun(
          "every upstream tried refused the request or could not be reached",
          not_run != nullptr && not_run->unreachable ? kRetryAfterUnreachable
                                                     : kRetryAfterFull);
    }
    void operator()(const FailMayHaveRun&) const {
      if (session.time_left() <= milliseconds(0)) {
        session.OnDeadline();
      } else {
        session.FailRequest(kBadGateway,
                            "no complete response; the request may have run");
      }
    }
  };
  std::visit(Visitor{*this, number, outcome}, step);
}

void RequestSession::CancelAttempts() {
  for (const auto& [number, attempt] : attempts_) {
    if (attempt.call->sent() && !std::exchange(usage_counted_, true)) {
      context_.count_usage(request_.outgoing.organisation);
    }
    attempt.call->Cancel();
    context_.loads.OnRequestEnded(attempt.upstream, /*answered=*/false);
    RecordServiceTime(
        duration_cast<microseconds>(context_.clock.now() - attempt.sent));
  }
  attempts_.clear();
}

}  // namespace mulberryroad::serving
