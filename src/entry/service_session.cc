#include "entry/service_session.h"

#include <chrono>
#include <utility>
#include <variant>

namespace mulberryroad::entry {

namespace {

constexpr std::chrono::milliseconds kDefaultRetryAfter =
    std::chrono::seconds{1};

template <typename... Cases>
struct Overloaded : Cases... {
  using Cases::operator()...;
};
template <typename... Cases>
Overloaded(Cases...) -> Overloaded<Cases...>;

bool IsOutageStatus(int status) {
  return status == kBadGateway || status == kUnavailable ||
         status == kGatewayTimeout;
}

std::string HeaderOr(const std::map<std::string, std::string>& headers,
                     const std::string& name,
                     const std::string& default_value) {
  const auto found = headers.find(name);
  return found == headers.end() ? default_value : found->second;
}

}  // namespace

ServiceSession::ServiceSession(std::shared_ptr<GatewayContext> context,
                               std::shared_ptr<http::Exchange> exchange,
                               RequestId request_id, Caller caller,
                               ResolvedRoute route)
    : context_(std::move(context)),
      open_(context_),
      exchange_(std::move(exchange)),
      request_id_(std::move(request_id)),
      caller_(std::move(caller)),
      route_(std::move(route)) {}

ServiceSession::~ServiceSession() { closed_connection_.disconnect(); }

void ServiceSession::Start() {
  self_ = shared_from_this();
  closed_connection_ =
      exchange_->on_disconnected().connect([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->HandleCallerDisconnect();
        }
      });
  const std::optional<std::string> key =
      exchange_->request().header("idempotency-key");
  if (route_.idempotent || !key.has_value() || key->empty()) {
    AcquireSlot();
    return;
  }
  const auto keyed = std::make_shared<KeyedAttempt>(
      context_, exchange_->request(), *key, caller_, request_id_);
  keyed->Begin([self = shared_from_this(), keyed](const BeginOutcome& outcome) {
    std::visit(
        Overloaded{
            [&](const Proceed&) { self->HandleProceed(keyed); },
            [&](const Replay& replay) { self->ReplyStoredResponse(replay); },
            [&](const RequestError& error) { self->Fail(error); }},
        outcome);
  });
}

void ServiceSession::HandleProceed(const std::shared_ptr<KeyedAttempt>& keyed) {
  if (ended_) {
    // The caller disconnected before the request was sent.
    keyed->RecordNotRun();
    return;
  }
  keyed_ = keyed;
  AcquireSlot();
}

void ServiceSession::ReplyStoredResponse(const Replay& replay) {
  exchange_->Reply(replay.status, replay.body,
                   {{"Content-Type", replay.content_type},
                    {"Idempotent-Replayed", "true"},
                    {"X-Request-Id", request_id_.value()}});
  End();
}

void ServiceSession::AcquireSlot() {
  ++attempts_;
  grant_.reset();
  v1::GrantRequest grant_request;
  grant_request.set_request_id(request_id_.value());
  grant_request.set_target(route_.target.value());
  grant_request.set_organisation(caller_.organisation.value());
  grant_request.set_kind(v1::WORK_CALLER);
  grant_request.set_repeatable(route_.idempotent);
  grant_request.set_deadline_ms(
      static_cast<std::uint64_t>(context_->options.queue_timeout.count()));
  for (const std::string& upstream : failed_upstreams_) {
    grant_request.add_excluded_upstreams(upstream);
  }
  context_->broker.Acquire(
      std::move(grant_request),
      [self = shared_from_this()](
          const std::variant<v1::Grant, v1::GrantRefusal>& reply) {
        std::visit(
            [&](const auto& outcome) { self->HandleGrantReply(outcome); },
            reply);
      });
}

void ServiceSession::HandleGrantReply(const v1::GrantRefusal& refusal) {
  if (ended_) {
    return;
  }
  const std::chrono::milliseconds retry_after{refusal.retry_after_ms()};
  Fail({kUnavailable, refusal.reason(), verdict_,
        retry_after.count() > 0 ? retry_after : kDefaultRetryAfter});
}

void ServiceSession::HandleGrantReply(const v1::Grant& grant) {
  grant_ = grant;
  if (ended_) {
    ReleaseSlot(/*failed=*/false);
    return;
  }
  // The key may have been withdrawn while the request was queued.
  std::optional<RequestError> error =
      ReauthoriseCaller(context_->configuration, caller_);
  if (error.has_value()) {
    ReleaseSlot(/*failed=*/false);
    error->verdict = verdict_;
    Fail(*error);
    return;
  }
  const std::optional<Endpoint> endpoint = ParseEndpoint(grant.endpoint());
  if (!endpoint.has_value()) {
    ReleaseSlot(/*failed=*/true);
    RetryOrFail(Verdict::kNotRun, "the upstream has no endpoint");
    return;
  }
  Send(*endpoint);
}

void ServiceSession::Send(const Endpoint& endpoint) {
  const http::Request& received = exchange_->request();
  http::ClientRequest http_request;
  http_request.endpoint = endpoint;
  http_request.method = received.method;
  http_request.path = received.target;
  http_request.headers = {
      {"X-Request-Id", request_id_.value()},
      {"X-Organisation", caller_.organisation.value()},
      {"Authorization", "Bearer " + context_->options.upstream_credential}};
  if (const auto type = received.header("content-type")) {
    http_request.headers.push_back({"Content-Type", *type});
  }
  if (const auto key = received.header("idempotency-key")) {
    http_request.headers.push_back({"Idempotency-Key", *key});
  }
  http_request.body = received.body;
  http_request.timeout = context_->options.request_timeout;
  call_ = context_->client.Send(
      std::move(http_request),
      [self = shared_from_this()](const http::Result& result) {
        std::visit(
            [&](const auto& outcome) { self->HandleHttpResult(outcome); },
            result);
      });
}

void ServiceSession::HandleHttpResult(const http::Response& response) {
  const std::string response_request_id =
      HeaderOr(response.headers, "x-request-id", request_id_.value());
  if (response_request_id != request_id_.value()) {
    if (const auto endpoint = ParseEndpoint(grant_->endpoint())) {
      context_->client.CloseIdleConnections(*endpoint);
    }
    ReleaseSlot(/*failed=*/true);
    RetryOrFail(Verdict::kMayHaveRun, "the answer is that of request \"" +
                                          response_request_id + "\"");
    return;
  }
  if (route_.idempotent && IsOutageStatus(response.status)) {
    ReleaseSlot(/*failed=*/true);
    RetryOrFail(
        Verdict::kMayHaveRun,
        "status " + std::to_string(response.status) + " from the upstream");
    return;
  }
  ReleaseSlot(/*failed=*/false);
  const std::string type =
      HeaderOr(response.headers, "content-type", "application/octet-stream");
  if (keyed_ != nullptr) {
    keyed_->RecordRan(response.status, response.body, type);
  }
  if (!caller_.organisation.empty()) {
    context_->meter.Count(caller_.organisation, billing::Usage{});
  }
  exchange_->Reply(
      response.status, response.body,
      {{"Content-Type", type}, {"X-Request-Id", request_id_.value()}});
  End();
}

void ServiceSession::HandleHttpResult(const http::Failure& failure) {
  ReleaseSlot(/*failed=*/true);
  RetryOrFail(failure.verdict, failure.reason);
}

void ServiceSession::RetryOrFail(Verdict verdict, const std::string& reason) {
  if (verdict != Verdict::kNotRun) {
    verdict_ = Verdict::kMayHaveRun;
  }
  failed_upstreams_.push_back(grant_->upstream());
  const bool safe = verdict_ == Verdict::kNotRun || route_.idempotent;
  const bool will_retry = safe && !exchange_->closed() &&
                          attempts_ < context_->options.max_attempts &&
                          context_->budget.TrySpend();
  WriteRetryDecision(*context_, request_id_, caller_, route_.target, will_retry,
                     reason, verdict_);
  if (!will_retry) {
    const int status =
        verdict_ == Verdict::kNotRun ? kUnavailable : kBadGateway;
    Fail({status, reason, verdict_, kDefaultRetryAfter});
    return;
  }
  retry_timer_ = context_->loop.After(
      RetryDelay(attempts_ - 1, context_->random), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->AcquireSlot();
        }
      });
}

void ServiceSession::ReleaseSlot(bool failed) {
  v1::GrantRelease release;
  release.set_grant_id(grant_->grant_id());
  release.set_upstream(grant_->upstream());
  release.set_target(route_.target.value());
  release.set_failed(failed);
  context_->broker.Release(std::move(release));
}

void ServiceSession::HandleCallerDisconnect() {
  const bool must_complete = call_ != nullptr && !route_.idempotent;
  if (ended_ || must_complete) {
    return;
  }
  if (call_ != nullptr && grant_.has_value()) {
    call_->Cancel();
    ReleaseSlot(/*failed=*/false);
  } else {
    v1::GrantRelease cancellation;
    cancellation.set_request_id(request_id_.value());
    context_->broker.Release(std::move(cancellation));
  }
  if (keyed_ != nullptr && verdict_ == Verdict::kNotRun) {
    keyed_->RecordNotRun();
  }
  End();
}

void ServiceSession::Fail(const RequestError& error) {
  if (keyed_ != nullptr && verdict_ == Verdict::kNotRun) {
    keyed_->RecordNotRun();
  }
  ReplyError(*exchange_, error, request_id_);
  End();
}

void ServiceSession::End() {
  ended_ = true;
  retry_timer_.Cancel();
  const std::shared_ptr<ServiceSession> self = std::move(self_);
  // Destroyed later from the event loop, because this may run inside one of the
  // session's own callbacks.
  context_->loop.Post([self] {});
}

}  // namespace mulberryroad::entry
