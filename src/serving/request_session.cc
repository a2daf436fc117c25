#include "serving/request_session.h"

#include <algorithm>
#include <utility>

namespace mulberryroad::serving {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

AttemptRules MakeAttemptRules(const SessionRequest& request) {
  const bool repeatable =
      request.kind == RouteKind::kIdempotent ||
      (request.kind == RouteKind::kStreaming && request.resumable);
  return {repeatable, std::max(1, request.max_attempts)};
}

}  // namespace

RequestSession::RequestSession(ServingContext& context,
                               std::shared_ptr<http::Exchange> exchange,
                               SessionRequest request)
    : context_(context),
      exchange_(std::move(exchange)),
      request_(std::move(request)),
      policy_(MakeAttemptRules(request_)),
      started_(context.clock.now()),
      last_event_id_(request_.resume_after),
      queue_wait_left_(duration_cast<milliseconds>(request_.target_latency *
                                                   kQueueWaitShare)) {}

void RequestSession::Start() {
  self_ = shared_from_this();
  exchange_->on_disconnected().connect([weak = weak_from_this()] {
    const auto session = weak.lock();
    if (session != nullptr && !session->finished_) {
      session->CancelAttempts();
      session->Finish("the caller disconnected", 0);
    }
  });
  if (time_left() <= milliseconds(0)) {
    ReplyNotRun("the deadline passed before the first attempt",
                kRetryAfterFull);
    return;
  }
  deadline_timer_ = context_.loop.After(time_left(), [this] { OnDeadline(); });
  if (streaming() && !request_.resume_after.empty()) {
    FindOrigin();
  } else {
    SendAttempt();
  }
}

StreamId RequestSession::stream_id() const {
  return {request_.outgoing.organisation,
          request_.resumes.empty() ? request_.outgoing.id : request_.resumes};
}

void RequestSession::FindOrigin() {
  context_.origins.Find(
      {request_.outgoing.organisation, request_.resumes}, request_.services,
      std::min(kMaxOriginWait, time_left()),
      [self = shared_from_this()](const OriginResult& result) {
        if (!self->finished_) {
          self->OnOrigin(result);
        }
      });
}

void RequestSession::OnOrigin(const OriginResult& result) {
  const auto* known = std::get_if<OriginKnown>(&result);
  if (known == nullptr) {
    const std::string& reason = std::get<OriginUnknown>(result).reason;
    context_.log.Write("stream.origin_unknown",
                       {{"request", request_.outgoing.id.value()},
                        {"stream", request_.resumes.value()},
                        {"reason", reason}});
    ReplyNotRun("the origin of the stream is unknown: " + reason, std::nullopt);
    return;
  }
  context_.log.Write("stream.origin",
                     {{"request", request_.outgoing.id.value()},
                      {"stream", request_.resumes.value()},
                      {"service", known->origin.service.value()},
                      {"software", known->origin.software},
                      {"source", ToString(known->source)},
                      {"seen_by", known->node},
                      {"age_ms", known->age.count()}});
  const auto& services = request_.services;
  if (std::find(services.begin(), services.end(), known->origin.service) ==
      services.end()) {
    ReplyNotRun("the route no longer leads to the service of the stream",
                std::nullopt);
    return;
  }
  request_.service = known->origin.service;
  software_ = known->origin.software;
  if (OriginIsGone()) {
    ReplyNotRun("no upstream of the stream's software version is left",
                std::nullopt);
    return;
  }
  SendAttempt();
}

bool RequestSession::OriginIsGone() const {
  if (!software_.has_value() || !FittingUpstreams().empty() ||
      context_.directory.Ready(request_.service).empty()) {
    return false;
  }
  // Upstreams in evacuated domains return.
  const auto& upstreams = context_.directory.all();
  return std::none_of(
      upstreams.begin(), upstreams.end(), [this](const auto& entry) {
        const Registration& upstream = entry.second;
        return upstream.service == request_.service && !upstream.draining &&
               upstream.software == *software_ && !software_->empty() &&
               context_.directory.IsEvacuated(upstream);
      });
}

std::vector<const Registration*> RequestSession::FittingUpstreams() const {
  std::vector<const Registration*> fitting =
      context_.directory.Ready(request_.service);
  if (software_.has_value()) {
    // Upstreams that name no version may run different ones.
    std::erase_if(fitting, [this](const Registration* upstream) {
      return upstream->software != *software_ || software_->empty();
    });
  }
  return fitting;
}

milliseconds RequestSession::time_left() const {
  return duration_cast<milliseconds>(request_.deadline - context_.clock.now());
}

std::vector<const Registration*> RequestSession::UntriedUpstreams() const {
  std::vector<const Registration*> untried = FittingUpstreams();
  std::erase_if(untried, [this](const Registration* upstream) {
    return tried_upstreams_.contains(upstream->id);
  });
  return untried;
}

void RequestSession::Finish(const std::string& outcome, int status) {
  finished_ = true;
  if (ticket_.has_value()) {
    context_.admission->Remove(request_.service, *ticket_);
    EndQueueWait("ended");
  }
  if (connection_lost_) {
    context_.crash_reporter.Report(content(), request_.outgoing.id);
  }
  deadline_timer_.Cancel();
  hedge_timer_.Cancel();
  const auto took = context_.clock.now() - started_;
  context_.metrics.Count("requests_total",
                         {{"status", std::to_string(status)}});
  context_.metrics.Observe("request_duration_seconds", {}, took);
  context_.log.Write(
      "request.end",
      {{"request", request_.outgoing.id.value()},
       {"organisation", request_.outgoing.organisation.value()},
       {"service", request_.service.value()},
       {"upstream", last_upstream_.value()},
       {"manifest", static_cast<std::int64_t>(context_.catalog.version())},
       {"tries", static_cast<std::int64_t>(policy_.attempts())},
       {"status", static_cast<std::int64_t>(status)},
       {"outcome", outcome},
       {"took_ms", duration_cast<milliseconds>(took).count()}});
  // `self_` may be the last reference, and a member function is still running:
  // release it on the next iteration of the event loop.
  context_.loop.Post([self = std::move(self_)] {});
}

}  // namespace mulberryroad::serving
