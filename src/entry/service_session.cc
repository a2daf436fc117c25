#include "entry/service_session.h"

#include <chrono>
#include <utility>
#include <variant>

namespace mulberryroad::entry {

namespace {

constexpr std::chrono::milliseconds kUnknownRetry = std::chrono::seconds{1};

template <typename... Cases>
struct Overloaded : Cases... {
  using Cases::operator()...;
};
template <typename... Cases>
Overloaded(Cases...) -> Overloaded<Cases...>;

bool IsOutage(int status) {
  return status == kBadGateway || status == kUnavailable ||
         status == kGatewayTimeout;
}

std::string HeaderOr(const std::map<std::string, std::string>& headers,
                     const std::string& name, const std::string& otherwise) {
  const auto found = headers.find(name);
  return found == headers.end() ? otherwise : found->second;
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

ServiceSession::~ServiceSession() { closed_.disconnect(); }

void ServiceSession::Start() {
  self_ = shared_from_this();
  closed_ = exchange_->on_closed().connect([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->CallerGone();
    }
  });
  const std::optional<std::string> key =
      exchange_->request().header("idempotency-key");
  if (route_.idempotent || !key.has_value() || key->empty()) {
    AcquireSlot();
    return;
  }
  const auto keyed = std::make_shared<KeyedTry>(context_, exchange_->request(),
                                                *key, caller_, request_id_);
  keyed->Begin([self = shared_from_this(), keyed](const BeginOutcome& outcome) {
    std::visit(
        Overloaded{[&](const Proceed&) { self->Proceeded(keyed); },
                   [&](const Replay& replay) { self->Answer(replay); },
                   [&](const RequestError& error) { self->Fail(error); }},
        outcome);
  });
}

void ServiceSession::Proceeded(const std::shared_ptr<KeyedTry>& keyed) {
  if (ended_) {
    // The caller disconnected before the request was sent.
    keyed->FinishNotRun();
    return;
  }
  keyed_ = keyed;
  AcquireSlot();
}

void ServiceSession::Answer(const Replay& replay) {
  exchange_->Reply(replay.status, replay.body,
                   {{"Content-Type", replay.content_type},
                    {"Idempotent-Replayed", "true"},
                    {"X-Request-Id", request_id_.value()}});
  End();
}

void ServiceSession::AcquireSlot() {
  ++attempts_;
  grant_.reset();
  v1::GrantRequest wanted;
  wanted.set_request_id(request_id_.value());
  wanted.set_target(route_.target.value());
  wanted.set_organisation(caller_.organisation.value());
  wanted.set_kind(v1::WORK_CALLER);
  wanted.set_repeatable(route_.idempotent);
  wanted.set_deadline_ms(
      static_cast<std::uint64_t>(context_->options.queue_timeout.count()));
  for (const std::string& upstream : failed_upstreams_) {
    wanted.add_excluded_upstreams(upstream);
  }
  context_->broker.Acquire(
      std::move(wanted),
      [self = shared_from_this()](
          const std::variant<v1::Grant, v1::GrantRefusal>& reply) {
        std::visit([&](const auto& outcome) { self->Take(outcome); }, reply);
      });
}

void ServiceSession::Take(const v1::GrantRefusal& refusal) {
  if (ended_) {
    return;
  }
  const std::chrono::milliseconds retry_after{refusal.retry_after_ms()};
  Fail({kUnavailable, refusal.reason(), verdict_,
        retry_after.count() > 0 ? retry_after : kUnknownRetry});
}

void ServiceSession::Take(const v1::Grant& grant) {
  grant_ = grant;
  if (ended_) {
    ReleaseSlot(/*failed=*/false);
    return;
  }
  // The key may have been withdrawn while the request was queued.
  std::optional<RequestError> error =
      CheckAgain(context_->configuration, caller_);
  if (error.has_value()) {
    ReleaseSlot(/*failed=*/false);
    error->verdict = verdict_;
    Fail(*error);
    return;
  }
  const std::optional<Endpoint> endpoint = ParseEndpoint(grant.endpoint());
  if (!endpoint.has_value()) {
    ReleaseSlot(/*failed=*/true);
    AfterFailure(Verdict::kNotRun, "the upstream has no endpoint");
    return;
  }
  Send(*endpoint);
}

void ServiceSession::Send(const Endpoint& endpoint) {
  const http::Request& received = exchange_->request();
  http::ClientRequest sent;
  sent.endpoint = endpoint;
  sent.method = received.method;
  sent.path = received.target;
  sent.headers = {
      {"X-Request-Id", request_id_.value()},
      {"X-Organisation", caller_.organisation.value()},
      {"Authorization", "Bearer " + context_->options.upstream_credential}};
  if (const auto type = received.header("content-type")) {
    sent.headers.push_back({"Content-Type", *type});
  }
  if (const auto key = received.header("idempotency-key")) {
    sent.headers.push_back({"Idempotency-Key", *key});
  }
  sent.body = received.body;
  sent.timeout = context_->options.request_timeout;
  call_ = context_->client.Send(
      std::move(sent), [self = shared_from_this()](const http::Result& result) {
        std::visit([&](const auto& outcome) { self->Take(outcome); }, result);
      });
}

void ServiceSession::Take(const http::Response& response) {
  const std::string echo =
      HeaderOr(response.headers, "x-request-id", request_id_.value());
  if (echo != request_id_.value()) {
    if (const auto endpoint = ParseEndpoint(grant_->endpoint())) {
      context_->client.Forget(*endpoint);
    }
    ReleaseSlot(/*failed=*/true);
    AfterFailure(Verdict::kMayHaveRun,
                 "the answer is that of request \"" + echo + "\"");
    return;
  }
  if (route_.idempotent && IsOutage(response.status)) {
    ReleaseSlot(/*failed=*/true);
    AfterFailure(
        Verdict::kMayHaveRun,
        "status " + std::to_string(response.status) + " from the upstream");
    return;
  }
  ReleaseSlot(/*failed=*/false);
  const std::string type =
      HeaderOr(response.headers, "content-type", "application/octet-stream");
  if (keyed_ != nullptr) {
    keyed_->FinishRan(response.status, response.body, type);
  }
  if (!caller_.organisation.empty()) {
    context_->meter.Count(caller_.organisation, billing::Usage{});
  }
  exchange_->Reply(
      response.status, response.body,
      {{"Content-Type", type}, {"X-Request-Id", request_id_.value()}});
  End();
}

void ServiceSession::Take(const http::Failure& failure) {
  ReleaseSlot(/*failed=*/true);
  AfterFailure(failure.verdict, failure.reason);
}

void ServiceSession::AfterFailure(Verdict verdict, const std::string& reason) {
  if (verdict != Verdict::kNotRun) {
    verdict_ = Verdict::kMayHaveRun;
  }
  failed_upstreams_.push_back(grant_->upstream());
  const bool safe = verdict_ == Verdict::kNotRun || route_.idempotent;
  const bool again = safe && !exchange_->closed() &&
                     attempts_ < context_->options.max_attempts &&
                     context_->budget.Spend();
  WriteRetry(*context_, request_id_, caller_, route_.target, again, reason,
             verdict_);
  if (!again) {
    const int status =
        verdict_ == Verdict::kNotRun ? kUnavailable : kBadGateway;
    Fail({status, reason, verdict_, kUnknownRetry});
    return;
  }
  retry_timer_ = context_->loop.After(
      RetryPause(attempts_ - 1, context_->random), [weak = weak_from_this()] {
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

void ServiceSession::CallerGone() {
  const bool must_run_on = call_ != nullptr && !route_.idempotent;
  if (ended_ || must_run_on) {
    return;
  }
  if (call_ != nullptr && grant_.has_value()) {
    call_->Cancel();
    ReleaseSlot(/*failed=*/false);
  } else {
    v1::GrantRelease give_up;
    give_up.set_request_id(request_id_.value());
    context_->broker.Release(std::move(give_up));
  }
  if (keyed_ != nullptr && verdict_ == Verdict::kNotRun) {
    keyed_->FinishNotRun();
  }
  End();
}

void ServiceSession::Fail(const RequestError& error) {
  if (keyed_ != nullptr && verdict_ == Verdict::kNotRun) {
    keyed_->FinishNotRun();
  }
  ReplyError(*exchange_, error, request_id_);
  End();
}

void ServiceSession::End() {
  ended_ = true;
  retry_timer_.Cancel();
  const std::shared_ptr<ServiceSession> keep = std::move(self_);
  // Destroyed later from the event loop, because this may run inside one of the
  // session's own callbacks.
  context_->loop.Post([keep] {});
}

}  // namespace mulberryroad::entry
