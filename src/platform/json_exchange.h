// Helpers for JSON requests to platform services over HTTP.

#ifndef MULBERRYROAD_SRC_PLATFORM_JSON_EXCHANGE_H_
#define MULBERRYROAD_SRC_PLATFORM_JSON_EXCHANGE_H_

#include <functional>
#include <string>
#include <utility>
#include <variant>

#include "base/json.h"
#include "http/client.h"
#include "platform/platform.h"

namespace mulberryroad::platform {

/// Returns a request with a JSON body, or without a body if `body` is empty.
inline http::ClientRequest MakeJsonRequest(const Endpoint& endpoint,
                                           http::Method method,
                                           std::string path,
                                           std::string body = {}) {
  http::ClientRequest request;
  request.endpoint = endpoint;
  request.method = method;
  request.path = std::move(path);
  request.body = std::move(body);
  if (!request.body.empty()) {
    request.headers.push_back({"Content-Type", "application/json"});
  }
  return request;
}

/// Parses the body of a response with status 200. Any other status and a
/// malformed body are failures with the verdict kMayHaveRun.
template <typename Message>
std::variant<Message, PlatformFailure> ParseResponse(
    const http::Result& result) {
  if (const auto* failure = std::get_if<http::Failure>(&result)) {
    return PlatformFailure{failure->verdict, failure->reason};
  }
  const auto& response = std::get<http::Response>(result);
  if (response.status != 200) {
    return PlatformFailure{
        Verdict::kMayHaveRun,
        "status " + std::to_string(response.status) + ": " + response.body};
  }
  Message message;
  std::string reason;
  if (!base::FromJson(response.body, &message, &reason)) {
    return PlatformFailure{Verdict::kMayHaveRun,
                           "malformed response: " + reason};
  }
  return message;
}

/// Returns the HTTP status of a response, or 0 if the request failed.
inline int HttpStatus(const http::Result& result) {
  const auto* response = std::get_if<http::Response>(&result);
  return response == nullptr ? 0 : response->status;
}

}  // namespace mulberryroad::platform

#endif  // MULBERRYROAD_SRC_PLATFORM_JSON_EXCHANGE_H_
