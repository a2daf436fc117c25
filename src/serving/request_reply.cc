// Response of a request: streamed, complete, refused or failed.

#include <algorithm>
#include <utility>

#include "serving/request_session.h"

namespace mulberryroad::serving {

namespace {

using std::chrono::milliseconds;

constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

}  // namespace

void RequestSession::OnStreamStart(int number, const StreamStart& start) {
  if (finished_ || !attempts_.contains(number)) {
    return;
  }
  streaming_attempt_ = number;
  context_.loads.health().OnResponseStarted(attempts_.at(number).upstream,
                                            context_.clock.now());
  if (!stream_started_) {
    head_ = start;
  }
}

void RequestSession::ForwardHead() {
  // A resumed stream keeps the headers that its first upstream sent.
  if (!std::exchange(stream_started_, true)) {
    exchange_->StartStream(head_.status, head_.headers);
  }
}

void RequestSession::OnStreamEvent(int number, const StreamEvent& event) {
  if (finished_ || number != streaming_attempt_) {
    return;
  }
  if (!software_.has_value()) {
    software_ = attempts_.at(number).software;
    context_.origins.Begin(stream_id(), {request_.service, *software_},
                           request_.services);
  }
  ForwardHead();
  if (!event.id.empty()) {
    last_event_id_ = event.id;
  } else if (!event.data.empty()) {
    has_unnumbered_events_ = true;
  }
  exchange_->Write(event.bytes);
}

void RequestSession::DeliverResponse(int number,
                                     const CompleteResponse& response) {
  CancelAttempts();
  if (stream_started_ && number != streaming_attempt_) {
    FailRequest(kBadGateway,
                "an attempt to resume the stream ended with status " +
                    std::to_string(response.status));
    return;
  }
  if (number == streaming_attempt_) {
    ForwardHead();
    exchange_->Finish();
    if (software_.has_value()) {
      context_.origins.Complete(stream_id());
    }
  } else {
    exchange_->Reply(response.status, response.body, response.headers);
  }
  Finish("answered", response.status);
}

void RequestSession::ReplyNotRun(const std::string& reason,
                                 std::optional<milliseconds> retry) {
  if (stream_started_) {
    // A started response cannot be replaced; an abort marks it incomplete.
    FailRequest(kBadGateway, reason);
    return;
  }
  http::Headers headers;
  if (retry.has_value()) {
    headers.push_back(context_.retry_after(*retry));
  }
  exchange_->Reply(kServiceUnavailable,
                   R"({"error":"no upstream is free","verdict":"not run"})",
                   headers);
  Finish("refused: " + reason, kServiceUnavailable);
}

void RequestSession::FailRequest(int status, const std::string& reason) {
  CancelAttempts();
  if (stream_started_) {
    exchange_->Abort();
  } else {
    exchange_->Reply(
        status, R"({"error":"no whole answer came","verdict":"may have run"})");
  }
  Finish("failed: " + reason, status);
}

void RequestSession::OnDeadline() {
  if (finished_) {
    return;
  }
  if (policy_.known_not_run()) {
    ReplyNotRun("the deadline passed before an upstream could run the request",
                kRetryAfterFull);
  } else {
    FailRequest(kGatewayTimeout,
                "the deadline passed without a complete response");
  }
}

}  // namespace mulberryroad::serving
