#include "dispatch/engine_generator.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "base/json.h"
#include "dispatch/completion_reader.h"
#include "dispatch/prefix_index.h"

namespace mulberryroad::dispatch {

namespace {

constexpr int kOk = 200;
// Used to estimate the number of prompt tokens.
constexpr std::size_t kBytesPerPromptToken = 4;

v1::GrantRequest ToGrantRequest(const GenerationRequest& request) {
  v1::GrantRequest grant_request;
  grant_request.set_request_id(request.request_id.value());
  grant_request.set_target(request.model.value());
  grant_request.set_organisation(request.organisation.value());
  grant_request.set_kind(request.kind);
  for (const std::uint64_t hash : PrefixHashes(request.prompt)) {
    grant_request.add_prefix_hashes(hash);
  }
  grant_request.set_prompt_tokens(
      static_cast<std::uint32_t>(request.prompt.size() / kBytesPerPromptToken));
  grant_request.set_max_tokens(request.max_tokens);
  grant_request.set_repeatable(request.repeatable);
  grant_request.set_deadline_ms(
      static_cast<std::uint64_t>(request.deadline.count()));
  grant_request.set_min_version(request.min_version);
  for (const UpstreamId& upstream : request.excluded_upstreams) {
    grant_request.add_excluded_upstreams(upstream.value());
  }
  return grant_request;
}

std::string ToBody(const GenerationRequest& request) {
  v1::CompletionRequest body;
  body.set_model(request.model.value());
  body.set_prompt(request.prompt);
  body.set_max_tokens(request.max_tokens);
  body.set_stream(true);
  body.set_resume_text(request.resume_text);
  body.set_resume_tokens(request.resume_tokens);
  return base::ToJson(body);
}

}  // namespace

/// Holds a reference to itself until it has finished or was cancelled.
class EngineGenerator::Generation final
    : public GenerationCall,
      public std::enable_shared_from_this<Generation> {
 public:
  Generation(std::shared_ptr<const Context> context, GenerationRequest request,
             OnChunk on_chunk, OnGenerationDone on_generated)
      : context_(std::move(context)),
        request_(std::move(request)),
        on_chunk_(std::move(on_chunk)),
        on_generated_(std::move(on_generated)),
        reader_(request_.request_id, request_.resume_tokens) {}

  void Start() {
    self_ = shared_from_this();
    context_->broker.Acquire(
        ToGrantRequest(request_),
        [self = shared_from_this()](
            std::variant<v1::Grant, v1::GrantRefusal> reply) {
          std::visit(
              [&](auto& outcome) {
                self->HandleGrantReply(std::move(outcome));
              },
              reply);
        });
  }

  void Cancel() override {
    if (ended_) {
      return;
    }
    if (grant_.has_value()) {
      call_->Cancel();
      ReleaseSlot(/*failed=*/false);
    } else {
      v1::GrantRelease cancellation;
      cancellation.set_request_id(request_.request_id.value());
      context_->broker.Release(std::move(cancellation));
    }
    MarkEnded();
  }

  std::uint32_t tokens() const override { return reader_.tokens(); }

 private:
  void HandleGrantReply(v1::GrantRefusal refusal) {
    if (ended_) {
      return;
    }
    GenerationFailure failure;
    failure.verdict = Verdict::kNotRun;
    failure.reason = refusal.reason();
    failure.retry_after = std::chrono::milliseconds(refusal.retry_after_ms());
    Finish(std::move(failure));
  }

  void HandleGrantReply(v1::Grant grant) {
    grant_ = std::move(grant);
    if (ended_) {
      // The generation was cancelled before the grant arrived.
      ReleaseSlot(/*failed=*/false);
      return;
    }
    const std::optional<Endpoint> endpoint = ParseEndpoint(grant_->endpoint());
    if (!endpoint.has_value()) {
      ReleaseSlot(/*failed=*/true);
      Fail(Verdict::kNotRun, "the upstream has no endpoint");
      return;
    }
    Send(*endpoint);
  }

  void Send(const Endpoint& endpoint) {
    http::ClientRequest http_request;
    http_request.endpoint = endpoint;
    http_request.method = http::Method::kPost;
    http_request.path = "/v1/completions";
    http_request.headers = {
        {"Content-Type", "application/json"},
        {"X-Request-Id", request_.request_id.value()},
        {"X-Organisation", request_.organisation.value()},
        {"Authorization", "Bearer " + context_->options.credential}};
    http_request.body = ToBody(request_);
    http_request.timeout = context_->options.timeout;
    call_ = context_->client.Send(
        std::move(http_request),
        [self = shared_from_this()](http::Result result) {
          std::visit(
              [&](auto& outcome) {
                self->HandleHttpResult(std::move(outcome));
              },
              result);
        },
        [self = shared_from_this()](int status, std::string_view piece) {
          self->ConsumeBytes(status, piece);
          return true;
        });
  }

  void ConsumeBytes(int status, std::string_view bytes) {
    if (ended_ || status != kOk) {
      return;
    }
    for (const GenerationChunk& piece : reader_.Feed(bytes)) {
      if (on_chunk_ && !ended_) {
        on_chunk_(piece);
      }
    }
    if (!ended_ && reader_.error().has_value()) {
      call_->Cancel();
      ReleaseSlot(/*failed=*/true);
      Fail(Verdict::kMayHaveRun, *reader_.error());
    }
  }

  void HandleHttpResult(http::Response response) {
    ConsumeBytes(response.status, response.body);
    if (ended_) {
      return;
    }
    if (response.status != kOk) {
      ReleaseSlot(/*failed=*/true);
      Fail(Verdict::kMayHaveRun,
           "status " + std::to_string(response.status) + " from the upstream");
      return;
    }
    if (!reader_.complete()) {
      ReleaseSlot(/*failed=*/true);
      Fail(Verdict::kMayHaveRun, "the answer ended before its last chunk");
      return;
    }
    ReleaseSlot(/*failed=*/false);
    GenerationResult generated;
    generated.upstream = UpstreamId(grant_->upstream());
    generated.text = reader_.text();
    generated.tokens = reader_.tokens();
    generated.prompt_tokens = reader_.prompt_tokens();
    generated.versions = reader_.versions();
    Finish(std::move(generated));
  }

  void HandleHttpResult(const http::Failure& failure) {
    if (ended_) {
      return;
    }
    ReleaseSlot(/*failed=*/true);
    Fail(failure.verdict, failure.reason);
  }

  void ReleaseSlot(bool failed) {
    v1::GrantRelease release;
    release.set_grant_id(grant_->grant_id());
    release.set_upstream(grant_->upstream());
    release.set_target(request_.model.value());
    release.set_tokens(reader_.tokens());
    release.set_failed(failed);
    release.set_observed_version(reader_.observed_version());
    context_->broker.Release(std::move(release));
  }

  void Fail(Verdict verdict, std::string reason) {
    GenerationFailure failure;
    failure.verdict = verdict;
    failure.reason = std::move(reason);
    failure.partial_text = reader_.text();
    failure.partial_tokens = reader_.tokens();
    failure.partial_versions = reader_.versions();
    if (grant_.has_value()) {
      failure.upstream = UpstreamId(grant_->upstream());
    }
    WriteFailure(failure);
    Finish(std::move(failure));
  }

  void WriteFailure(const GenerationFailure& failure) const {
    v1::Decision decision;
    decision.set_kind("upstream failed");
    decision.set_request_id(request_.request_id.value());
    decision.set_organisation(request_.organisation.value());
    decision.set_target(request_.model.value());
    decision.set_chosen(failure.upstream.value());
    decision.set_reason(failure.reason);
    decision.set_verdict(std::string(ToString(failure.verdict)));
    context_->decisions.Write(std::move(decision));
  }

  void Finish(std::variant<GenerationResult, GenerationFailure> outcome) {
    const OnGenerationDone on_generated = std::move(on_generated_);
    const std::shared_ptr<Generation> self = MarkEnded();
    on_generated(std::move(outcome));
  }

  std::shared_ptr<Generation> MarkEnded() {
    ended_ = true;
    return std::move(self_);
  }

  std::shared_ptr<const Context> context_;
  GenerationRequest request_;
  OnChunk on_chunk_;
  OnGenerationDone on_generated_;
  CompletionReader reader_;
  std::optional<v1::Grant> grant_;
  std::shared_ptr<http::Call> call_;
  bool ended_ = false;
  // Reset when the generation ends.
  std::shared_ptr<Generation> self_;
};

EngineGenerator::EngineGenerator(base::EventLoop& loop, const Clock& clock,
                                 http::Client& client, Broker& broker,
                                 base::DecisionLog& decisions,
                                 EngineGeneratorOptions options)
    : context_(std::make_shared<Context>(Context{
          loop, clock, client, broker, decisions, std::move(options)})) {}

EngineGenerator::~EngineGenerator() = default;

std::shared_ptr<GenerationCall> EngineGenerator::Start(
    GenerationRequest request, OnChunk on_chunk,
    OnGenerationDone on_generated) {
  auto generation = std::make_shared<Generation>(context_, std::move(request),
                                                 std::move(on_chunk),
                                                 std::move(on_generated));
  generation->Start();
  return generation;
}

}  // namespace mulberryroad::dispatch
