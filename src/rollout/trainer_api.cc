#include "rollout/trainer_api.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <set>
#include <utility>

#include "base/json.h"

namespace mulberryroad::rollout {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorised = 401;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr std::uint64_t kIsolatedRetryMs = 1'000;
constexpr std::uint64_t kMillisecondsPerSecond = 1'000;
constexpr std::uint64_t kMaxWaitMs = 60'000;
constexpr std::uint64_t kMaxBatchSamples = 100'000;
constexpr std::size_t kMaxIdLength = 128;
constexpr std::string_view kBatchPathPrefix = "/v1/batches/";

void ReplyError(const std::shared_ptr<http::Exchange>& exchange, int status,
                const std::string& error, Verdict verdict,
                std::uint64_t retry_after_ms) {
  v1::ApiError body;
  body.set_error(error);
  body.set_verdict(std::string(ToString(verdict)));
  body.set_retry_after_ms(retry_after_ms);
  http::Headers headers;
  if (retry_after_ms > 0) {
    const std::uint64_t seconds =
        (retry_after_ms + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
    headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  exchange->Reply(status, base::ToJson(body), headers);
}

bool IsValidId(const std::string& id) {
  return !id.empty() && id.size() <= kMaxIdLength &&
         std::all_of(id.begin(), id.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

std::optional<std::uint64_t> ParseNumber(const std::string& text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, value);
  return error == std::errc{} && last == end && !text.empty()
             ? std::optional(value)
             : std::nullopt;
}

// Returns the ID of a path /v1/batches/ID/ACTION, or nullopt if the path does
// not match or the ID is invalid.
std::optional<std::string> ParseBatchId(const std::string& path,
                                        const std::string& action) {
  const std::string suffix = "/" + action;
  if (!path.starts_with(kBatchPathPrefix) || !path.ends_with(suffix) ||
      path.size() <= kBatchPathPrefix.size() + suffix.size()) {
    return std::nullopt;
  }
  const std::string id =
      path.substr(kBatchPathPrefix.size(),
                  path.size() - kBatchPathPrefix.size() - suffix.size());
  return IsValidId(id) ? std::optional(id) : std::nullopt;
}

}  // namespace

std::optional<std::string> ValidateSpec(const v1::BatchSpec& spec,
                                        const v1::Declaration* declaration) {
  if (!IsValidId(spec.id())) {
    return "\"id\" must be 1 to 128 letters, digits, '-', '_' or '.'";
  }
  if (declaration == nullptr) {
    return "no declaration is in force";
  }
  const auto& models = declaration->models();
  if (std::none_of(models.begin(), models.end(), [&](const v1::Model& model) {
        return model.name() == spec.model();
      })) {
    return "no model \"" + spec.model() + "\" is declared";
  }
  if (spec.groups().empty()) {
    return "a batch needs at least one group";
  }
  std::set<std::string> ids;
  std::uint64_t samples = 0;
  for (const v1::GroupSpec& group : spec.groups()) {
    if (group.id().empty() || !ids.insert(group.id()).second) {
      return "group id \"" + group.id() + "\" is empty or stands twice";
    }
    if (group.samples() == 0 || group.max_tokens() == 0) {
      return "group \"" + group.id() +
             "\" needs \"samples\" and \"max_tokens\" above 0";
    }
    samples += group.samples();
  }
  if (samples > kMaxBatchSamples) {
    return "a batch holds at most " + std::to_string(kMaxBatchSamples) +
           " samples";
  }
  return std::nullopt;
}

TrainerApi::TrainerApi(http::Server& server, config::Configuration& config,
                       BatchHost& host, base::DecisionLog& decisions)
    : config_(config), host_(host), decisions_(decisions) {
  server.Route(http::Method::kPost, "/v1/batches",
               [this](const Exchange& exchange) { Post(exchange); });
  server.Route(http::Method::kGet, "/v1/batches",
               [this](const Exchange& exchange) { Pull(exchange); });
}

std::optional<OrganisationId> TrainerApi::Authorise(const Exchange& exchange) {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string header =
      exchange->request().header("authorization").value_or("");
  config::KeyRefusal refusal = config::KeyRefusal::kUnknown;
  std::optional<OrganisationId> organisation;
  if (header.starts_with(kScheme)) {
    organisation = config_.Authorise(
        std::string_view(header).substr(kScheme.size()), &refusal);
  }
  if (organisation.has_value()) {
    return organisation;
  }
  if (refusal == config::KeyRefusal::kIsolated) {
    ReplyError(exchange, kUnavailable, "keys cannot be checked here now",
               Verdict::kNotRun, kIsolatedRetryMs);
  } else {
    Reject(exchange, kUnauthorised, "a valid key is needed");
  }
  return std::nullopt;
}

void TrainerApi::Post(const Exchange& exchange) {
  const std::optional<OrganisationId> organisation = Authorise(exchange);
  if (!organisation.has_value()) {
    return;
  }
  const std::string& path = exchange->request().path;
  if (path == "/v1/batches") {
    Submit(exchange, *organisation);
  } else if (const auto batch = ParseBatchId(path, "ack"); batch.has_value()) {
    Acknowledge(exchange, *organisation, *batch);
  } else {
    Reject(exchange, kNotFound, "no such path");
  }
}

void TrainerApi::Submit(const Exchange& exchange,
                        const OrganisationId& organisation) {
  v1::BatchCall call;
  v1::BatchSpec& spec = *call.mutable_submit();
  std::string reason;
  if (!base::FromJson(exchange->request().body, &spec, &reason)) {
    Reject(exchange, kBadRequest, "malformed specification: " + reason);
    return;
  }
  if (!spec.organisation().empty() &&
      spec.organisation() != organisation.value()) {
    Reject(exchange, kBadRequest,
           "\"organisation\" is not the one that the key speaks for");
    return;
  }
  spec.set_organisation(organisation.value());
  if (const auto invalid_reason = ValidateSpec(spec, config_.declaration());
      invalid_reason.has_value()) {
    Reject(exchange, kBadRequest, *invalid_reason);
    return;
  }
  call.set_batch(spec.id());
  call.set_organisation(organisation.value());
  Send(std::move(call), exchange);
}

void TrainerApi::Acknowledge(const Exchange& exchange,
                             const OrganisationId& organisation,
                             const std::string& batch) {
  v1::BatchAckBody body;
  std::string reason;
  if (!base::FromJson(exchange->request().body, &body, &reason)) {
    Reject(exchange, kBadRequest, "malformed acknowledgement: " + reason);
    return;
  }
  v1::BatchCall call;
  call.set_batch(batch);
  call.set_organisation(organisation.value());
  call.mutable_ack()->set_batch(batch);
  call.mutable_ack()->set_cursor(body.cursor());
  Send(std::move(call), exchange);
}

void TrainerApi::Pull(const Exchange& exchange) {
  const std::optional<OrganisationId> organisation = Authorise(exchange);
  if (!organisation.has_value()) {
    return;
  }
  const http::Request& request = exchange->request();
  const auto batch = ParseBatchId(request.path, "samples");
  if (!batch.has_value()) {
    Reject(exchange, kNotFound, "no such path");
    return;
  }
  const auto cursor = ParseNumber(request.parameter("cursor").value_or("0"));
  const auto max = ParseNumber(request.parameter("max").value_or("64"));
  const auto wait = ParseNumber(request.parameter("wait_ms").value_or("0"));
  if (!cursor.has_value() || !max.has_value() || !wait.has_value()) {
    Reject(exchange, kBadRequest,
           "\"cursor\", \"max\" and \"wait_ms\" must be whole numbers");
    return;
  }
  v1::BatchCall call;
  call.set_batch(*batch);
  call.set_organisation(organisation->value());
  call.mutable_pull()->set_batch(*batch);
  call.mutable_pull()->set_cursor(*cursor);
  call.mutable_pull()->set_max_samples(
      static_cast<std::uint32_t>(std::min(*max, kMaxBatchSamples)));
  call.mutable_pull()->set_wait_ms(std::min(*wait, kMaxWaitMs));
  Send(std::move(call), exchange);
}

void TrainerApi::Send(v1::BatchCall call, const Exchange& exchange) {
  const std::string batch = call.batch();
  host_.Call(std::move(call), [exchange, batch](const v1::BatchReply& reply) {
    const Verdict verdict =
        reply.may_have_run() ? Verdict::kMayHaveRun : Verdict::kNotRun;
    v1::BatchPage page;
    switch (reply.outcome()) {
      case v1::BatchReply::OK:
        page.set_batch(batch);
        *page.mutable_samples() = reply.samples();
        page.set_next_cursor(reply.next_cursor());
        page.set_complete(reply.complete());
        exchange->Reply(kOk, base::ToJson(page));
        return;
      case v1::BatchReply::UNKNOWN_BATCH:
        ReplyError(exchange, kNotFound, reply.reason(), verdict, 0);
        return;
      case v1::BatchReply::CONFLICT:
        ReplyError(exchange, kConflict, reply.reason(), verdict, 0);
        return;
      case v1::BatchReply::INVALID:
        ReplyError(exchange, kBadRequest, reply.reason(), verdict, 0);
        return;
      default:
        ReplyError(exchange, kUnavailable, reply.reason(), verdict,
                   reply.retry_after_ms());
    }
  });
}

void TrainerApi::Reject(const Exchange& exchange, int status,
                        const std::string& reason) {
  v1::Decision decision;
  decision.set_kind("refuse");
  decision.set_reason(reason);
  decision.set_verdict(std::string(ToString(Verdict::kNotRun)));
  decisions_.Write(std::move(decision));
  ReplyError(exchange, status, reason, Verdict::kNotRun, 0);
}

}  // namespace mulberryroad::rollout
