#include "platform/http_engine_control.h"

#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "base/json.h"

namespace mulberryroad::platform {

namespace {

constexpr std::chrono::milliseconds kReportTimeout = std::chrono::seconds{2};
// The engine responds to a load order only after the weights are loaded.
constexpr std::chrono::milliseconds kLoadTimeout = std::chrono::seconds{60};
constexpr int kOk = 200;
constexpr int kConflict = 409;

template <typename Message>
std::variant<Message, PlatformFailure> ParseResponse(
    const http::Result& result) {
  if (const auto* failure = std::get_if<http::Failure>(&result)) {
    return PlatformFailure{failure->verdict, failure->reason};
  }
  const auto& response = std::get<http::Response>(result);
  if (response.status != kOk) {
    const Verdict verdict =
        response.status == kConflict ? Verdict::kNotRun : Verdict::kMayHaveRun;
    return PlatformFailure{
        verdict, "status " + std::to_string(response.status) + " from engine"};
  }
  Message message;
  std::string reason;
  if (!base::FromJson(response.body, &message, &reason)) {
    return PlatformFailure{Verdict::kMayHaveRun,
                           "malformed response from engine: " + reason};
  }
  return message;
}

template <typename Message>
http::ResultCallback MakeResponseHandler(
    ResponseCallback<Message> on_response) {
  return [on_response = std::move(on_response)](const http::Result& result) {
    on_response(ParseResponse<Message>(result));
  };
}

http::ClientRequest MakeGetRequest(const Endpoint& engine, std::string path) {
  http::ClientRequest request;
  request.endpoint = engine;
  request.path = std::move(path);
  request.timeout = kReportTimeout;
  return request;
}

}  // namespace

HttpEngineControl::HttpEngineControl(http::Client& client) : client_(client) {}

void HttpEngineControl::Load(const Endpoint& engine,
                             const v1::LoadVersion& order,
                             ResponseCallback<v1::EngineLoad> on_response) {
  http::ClientRequest request;
  request.endpoint = engine;
  request.method = http::Method::kPost;
  request.path = "/v1/load-version";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = base::ToJson(order);
  request.timeout = kLoadTimeout;
  client_.Send(std::move(request), MakeResponseHandler(std::move(on_response)));
}

void HttpEngineControl::Report(const Endpoint& engine,
                               ResponseCallback<v1::EngineLoad> on_response) {
  client_.Send(MakeGetRequest(engine, "/v1/load"),
               MakeResponseHandler(std::move(on_response)));
}

void HttpEngineControl::Events(const Endpoint& engine, std::uint64_t from,
                               ResponseCallback<v1::CacheEvents> on_response) {
  client_.Send(
      MakeGetRequest(engine, "/v1/cache-events?from=" + std::to_string(from)),
      MakeResponseHandler(std::move(on_response)));
}

}  // namespace mulberryroad::platform
