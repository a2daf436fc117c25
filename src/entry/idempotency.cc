#include "entry/idempotency.h"

#include <chrono>
#include <utility>

#include "base/digest.h"

namespace mulberryroad::entry {

namespace {

constexpr int kRecordAttempts = 8;
constexpr std::chrono::milliseconds kRecordRetryDelay =
    std::chrono::milliseconds{500};
// Larger responses are not stored; a repeated request then gets an error saying
// that the request ran.
constexpr std::size_t kMaxStoredBodyBytes = 64U << 10U;

std::string RequestDigest(const http::Request& request) {
  const std::string method = std::to_string(static_cast<int>(request.method));
  return base::Sha256Hex(method + " " + request.path + "\n" + request.body);
}

BeginOutcome ToOutcome(const v1::LedgerReply& reply) {
  switch (reply.outcome()) {
    case v1::LedgerReply::PROCEED:
      return Proceed{};
    case v1::LedgerReply::REPLAY:
      if (reply.status() == 0) {
        return RequestError{kConflict,
                            "the request ran before; its answer is not kept",
                            Verdict::kRan,
                            {}};
      }
      return Replay{static_cast<int>(reply.status()), reply.body(),
                    reply.content_type()};
    case v1::LedgerReply::MAY_HAVE_RUN:
      return RequestError{kConflict,
                          "an earlier try under this idempotency key may have "
                          "run and its outcome is not known",
                          Verdict::kMayHaveRun,
                          {}};
    case v1::LedgerReply::MISMATCH:
      return RequestError{kUnprocessable,
                          "the idempotency key came before with another "
                          "request",
                          Verdict::kNotRun,
                          {}};
    default:
      return RequestError{kUnavailable,
                          "the request ledger is not available; this try was "
                          "not run",
                          Verdict::kNotRun,
                          std::chrono::milliseconds(reply.retry_after_ms())};
  }
}

}  // namespace

KeyedAttempt::KeyedAttempt(std::shared_ptr<GatewayContext> context,
                           const http::Request& request,
                           const std::string& idempotency_key,
                           const Caller& caller, const RequestId& request_id)
    : context_(std::move(context)) {
  intent_.set_organisation(caller.organisation.value());
  intent_.set_idempotency_key(idempotency_key);
  intent_.set_body_sha256(RequestDigest(request));
  intent_.set_created_unix_ms(
      static_cast<std::uint64_t>(UnixTime(context_->clock.wall_now()).count()));
  intent_.set_attempt(request_id.value());
}

void KeyedAttempt::Begin(std::function<void(const BeginOutcome&)> on_begun) {
  context_->ledger.Begin(
      intent_, [self = shared_from_this(),
                on_begun = std::move(on_begun)](const v1::LedgerReply& reply) {
        const BeginOutcome outcome = ToOutcome(reply);
        const bool may_be_stored =
            reply.outcome() == v1::LedgerReply::NOT_HOLDER;
        if (may_be_stored) {
          // The intent may have been stored although the reply of the
          // partition's holder was lost.
          self->RecordNotRun();
        }
        on_begun(outcome);
      });
}

void KeyedAttempt::RecordRan(int status, const std::string& body,
                             const std::string& content_type) {
  v1::LedgerOutcome outcome;
  if (body.size() <= kMaxStoredBodyBytes) {
    outcome.set_status(static_cast<std::uint32_t>(status));
    outcome.set_body(body);
    outcome.set_content_type(content_type);
  }
  StartRecording(std::move(outcome));
}

void KeyedAttempt::RecordNotRun() {
  v1::LedgerOutcome outcome;
  outcome.set_not_run(true);
  StartRecording(std::move(outcome));
}

void KeyedAttempt::StartRecording(v1::LedgerOutcome outcome) {
  outcome_ = std::move(outcome);
  outcome_.set_organisation(intent_.organisation());
  outcome_.set_idempotency_key(intent_.idempotency_key());
  outcome_.set_attempt(intent_.attempt());
  attempts_left_ = kRecordAttempts;
  recording_ = std::make_unique<OpenRequest>(context_);
  SendOutcome();
}

void KeyedAttempt::SendOutcome() {
  --attempts_left_;
  context_->ledger.Finish(
      outcome_, [self = shared_from_this()](const v1::LedgerReply& reply) {
        const bool recorded = reply.outcome() == v1::LedgerReply::RECORDED;
        if (recorded || self->attempts_left_ == 0) {
          self->recording_.reset();
          return;
        }
        self->retry_timer_ = self->context_->loop.After(
            kRecordRetryDelay, [self] { self->SendOutcome(); });
      });
}

}  // namespace mulberryroad::entry
