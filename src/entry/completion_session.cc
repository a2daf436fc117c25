#include "entry/completion_session.h"

#include <chrono>
#include <utility>
#include <variant>

#include "base/json.h"
#include "http/server_sent_events.h"

namespace mulberryroad::entry {

namespace {

constexpr std::chrono::milliseconds kDefaultRetryAfter =
    std::chrono::seconds{1};

int ErrorStatus(const dispatch::GenerationFailure& failure) {
  return failure.verdict == Verdict::kNotRun ? kUnavailable : kBadGateway;
}

}  // namespace

CompletionSession::CompletionSession(std::shared_ptr<GatewayContext> context,
                                     std::shared_ptr<http::Exchange> exchange,
                                     RequestId request_id, Caller caller,
                                     v1::CompletionRequest request,
                                     bool idempotent)
    : context_(std::move(context)),
      open_(context_),
      exchange_(std::move(exchange)),
      request_id_(std::move(request_id)),
      caller_(std::move(caller)),
      request_(std::move(request)),
      idempotent_(idempotent) {}

CompletionSession::~CompletionSession() {
  for (sigc::connection& connection : connections_) {
    connection.disconnect();
  }
}

void CompletionSession::Start() {
  self_ = shared_from_this();
  const std::weak_ptr<CompletionSession> weak = weak_from_this();
  const auto check_key = [weak] {
    if (const auto self = weak.lock()) {
      self->CheckKey();
    }
  };
  connections_.push_back(exchange_->on_disconnected().connect([weak] {
    if (const auto self = weak.lock()) {
      self->HandleCallerDisconnect();
    }
  }));
  connections_.push_back(context_->configuration.changed().connect(check_key));
  key_timer_ =
      context_->loop.Every(context_->options.key_check_interval, check_key);
  StartAttempt();
}

void CompletionSession::StartAttempt() {
  ++attempts_;
  dispatch::GenerationRequest generation_request;
  generation_request.request_id = request_id_;
  generation_request.organisation = caller_.organisation;
  generation_request.model = TargetId(request_.model());
  generation_request.prompt = request_.prompt();
  generation_request.max_tokens = request_.max_tokens();
  generation_request.deadline = context_->options.queue_timeout;
  generation_request.repeatable = idempotent_;
  generation_request.excluded_upstreams = failed_upstreams_;
  generation_request.resume_text = text_;
  generation_request.resume_tokens = tokens_;
  const std::weak_ptr<CompletionSession> weak = weak_from_this();
  call_ = context_->generator.Start(
      std::move(generation_request),
      [weak](const dispatch::GenerationChunk& piece) {
        if (const auto self = weak.lock()) {
          self->HandleChunk(piece);
        }
      },
      [weak](const std::variant<dispatch::GenerationResult,
                                dispatch::GenerationFailure>& outcome) {
        if (const auto self = weak.lock()) {
          std::visit([&](const auto& result) { self->HandleResult(result); },
                     outcome);
        }
      });
}

v1::CompletionChunk CompletionSession::NewChunk() const {
  v1::CompletionChunk chunk;
  chunk.set_request_id(request_id_.value());
  chunk.set_model(request_.model());
  return chunk;
}

void CompletionSession::WriteChunk(const v1::CompletionChunk& chunk) {
  if (!streaming_) {
    streaming_ = true;
    exchange_->StartStream(
        kOk, {{"Content-Type", std::string(http::kEventStreamType)},
              {"Cache-Control", "no-cache"},
              {"X-Request-Id", request_id_.value()}});
  }
  exchange_->Write(http::FormatEvent(base::ToJson(chunk)));
}

void CompletionSession::HandleChunk(const dispatch::GenerationChunk& piece) {
  if (ended_ || !request_.stream()) {
    return;
  }
  v1::CompletionChunk chunk = NewChunk();
  chunk.set_text(piece.text);
  chunk.set_tokens(piece.tokens);
  for (const v1::VersionRange& range : piece.versions) {
    v1::VersionRange& shifted = *chunk.add_versions();
    shifted.set_begin_token(range.begin_token() - delivered_tokens_);
    shifted.set_end_token(range.end_token() - delivered_tokens_);
    shifted.set_version(range.version());
  }
  delivered_tokens_ += piece.tokens;
  WriteChunk(chunk);
}

void CompletionSession::AppendOutput(
    const std::string& text, std::uint32_t tokens,
    const std::vector<v1::VersionRange>& versions) {
  text_ += text;
  tokens_ += tokens;
  for (const v1::VersionRange& range : versions) {
    const bool contiguous = !versions_.empty() &&
                            versions_.back().version() == range.version() &&
                            versions_.back().end_token() == range.begin_token();
    if (contiguous) {
      versions_.back().set_end_token(range.end_token());
    } else {
      versions_.push_back(range);
    }
  }
}

void CompletionSession::HandleResult(
    const dispatch::GenerationResult& generated) {
  if (ended_) {
    return;
  }
  AppendOutput(generated.text, generated.tokens, generated.versions);
  prompt_tokens_ = generated.prompt_tokens;
  v1::CompletionChunk final_chunk = NewChunk();
  final_chunk.set_done(true);
  final_chunk.set_prompt_tokens(prompt_tokens_);
  if (request_.stream()) {
    WriteChunk(final_chunk);
    exchange_->Finish();
  } else {
    final_chunk.set_text(text_);
    final_chunk.set_tokens(tokens_);
    final_chunk.mutable_versions()->Assign(versions_.begin(), versions_.end());
    exchange_->Reply(kOk, base::ToJson(final_chunk),
                     {{"Content-Type", "application/json"},
                      {"X-Request-Id", request_id_.value()}});
  }
  Bill(tokens_);
  End();
}

bool CompletionSession::ClaimRetry(const dispatch::GenerationFailure& failure) {
  const bool safe = failure.verdict == Verdict::kNotRun || idempotent_;
  const bool no_upstream = failure.upstream.empty();
  return safe && !no_upstream && attempts_ < context_->options.max_attempts &&
         context_->budget.TrySpend();
}

void CompletionSession::HandleResult(
    const dispatch::GenerationFailure& failure) {
  if (ended_) {
    return;
  }
  AppendOutput(failure.partial_text, failure.partial_tokens,
               failure.partial_versions);
  if (failure.verdict != Verdict::kNotRun) {
    verdict_ = Verdict::kMayHaveRun;
  }
  const bool will_retry = ClaimRetry(failure);
  WriteRetryDecision(*context_, request_id_, caller_,
                     TargetId(request_.model()), will_retry, failure.reason,
                     verdict_);
  if (!will_retry) {
    const std::chrono::milliseconds retry_after =
        failure.retry_after.count() > 0 ? failure.retry_after
                                        : kDefaultRetryAfter;
    Fail({ErrorStatus(failure), failure.reason, verdict_, retry_after});
    return;
  }
  failed_upstreams_.push_back(failure.upstream);
  retry_timer_ = context_->loop.After(
      RetryDelay(attempts_ - 1, context_->random), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->StartAttempt();
        }
      });
}

void CompletionSession::CheckKey() {
  if (ended_) {
    return;
  }
  std::optional<RequestError> error =
      ReauthoriseCaller(context_->configuration, caller_);
  if (error.has_value()) {
    call_->Cancel();
    error->verdict = Verdict::kMayHaveRun;
    Fail(*error);
  }
}

void CompletionSession::HandleCallerDisconnect() {
  if (ended_) {
    return;
  }
  call_->Cancel();
  if (delivered_tokens_ > 0) {
    Bill(delivered_tokens_);
  }
  End();
}

void CompletionSession::Fail(const RequestError& error) {
  if (streaming_) {
    exchange_->Write("event: error\n" + http::FormatEvent(base::ToJson(
                                            ToMessage(error, request_id_))));
    exchange_->Finish();
    Bill(delivered_tokens_);
  } else {
    ReplyError(*exchange_, error, request_id_);
  }
  End();
}

void CompletionSession::Bill(std::uint32_t tokens) {
  if (caller_.organisation.empty()) {
    return;
  }
  billing::Usage usage;
  usage.prompt_tokens = prompt_tokens_;
  usage.generated_tokens = tokens;
  context_->meter.Count(caller_.organisation, usage);
}

void CompletionSession::End() {
  ended_ = true;
  key_timer_.Cancel();
  retry_timer_.Cancel();
  const std::shared_ptr<CompletionSession> self = std::move(self_);
  // Destroyed later from the event loop, because this may run inside one of the
  // session's own callbacks.
  context_->loop.Post([self] {});
}

}  // namespace mulberryroad::entry
