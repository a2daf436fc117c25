#include "platform/http_log_service.h"

#include <algorithm>
#include <utility>

#include "mulberryroad/platform.pb.h"

namespace mulberryroad::platform {

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{1'000};
// Time that a read may take in addition to the requested wait.
constexpr std::chrono::milliseconds kReadTimeoutMargin{1'500};
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kServerError = 500;

PlatformFailure StatusFailure(const http::Response& response) {
  const bool rejected =
      response.status >= kBadRequest && response.status < kServerError;
  return {rejected ? Verdict::kNotRun : Verdict::kMayHaveRun,
          "the log service answered " + std::to_string(response.status)};
}

std::variant<LogPosition, PlatformFailure> ParseAppendResponse(
    const http::Result& result) {
  if (const auto* failure = std::get_if<http::Failure>(&result)) {
    return PlatformFailure{failure->verdict, failure->reason};
  }
  const auto& response = std::get<http::Response>(result);
  if (response.status != kOk) {
    return StatusFailure(response);
  }
  v1::LogAppended message;
  if (!message.ParseFromString(response.body)) {
    return PlatformFailure{Verdict::kMayHaveRun,
                           "the log service's answer cannot be read"};
  }
  return LogPosition{message.offset()};
}

std::variant<LogPage, PlatformFailure> ParseReadResponse(
    const http::Result& result) {
  if (const auto* failure = std::get_if<http::Failure>(&result)) {
    return PlatformFailure{failure->verdict, failure->reason};
  }
  const auto& response = std::get<http::Response>(result);
  if (response.status != kOk) {
    return StatusFailure(response);
  }
  v1::LogPage message;
  if (!message.ParseFromString(response.body)) {
    return PlatformFailure{Verdict::kRan,
                           "the log service's page cannot be read"};
  }
  LogPage page;
  page.first_offset = message.first_offset();
  page.next_offset = message.next_offset();
  page.records_from = message.records_from();
  page.records.assign(message.records().begin(), message.records().end());
  return page;
}

}  // namespace

HttpLogService::HttpLogService(base::EventLoop& /*loop*/, http::Client& client,
                               Endpoint endpoint)
    : client_(client), endpoint_(std::move(endpoint)) {}

void HttpLogService::Append(const std::string& stream, std::string record,
                            std::chrono::milliseconds timeout,
                            OnAppended on_appended) {
  http::ClientRequest request;
  request.endpoint = endpoint_;
  request.method = http::Method::kPost;
  request.path = "/streams/" + stream;
  request.headers = {{"Content-Type", "application/octet-stream"}};
  request.body = std::move(record);
  request.connect_timeout = std::min(kConnectTimeout, timeout);
  request.timeout = timeout;
  client_.Send(std::move(request),
               [on_appended = std::move(on_appended)](http::Result result) {
                 on_appended(ParseAppendResponse(result));
               });
}

void HttpLogService::Read(const std::string& stream, Offset from,
                          std::uint32_t max_records,
                          std::chrono::milliseconds wait, OnPage on_page) {
  http::ClientRequest request;
  request.endpoint = endpoint_;
  request.path = "/streams/" + stream + "?from=" + std::to_string(from) +
                 "&max=" + std::to_string(max_records) +
                 "&wait_ms=" + std::to_string(wait.count());
  request.connect_timeout = kConnectTimeout;
  request.timeout = wait + kReadTimeoutMargin;
  client_.Send(std::move(request),
               [on_page = std::move(on_page)](http::Result result) {
                 on_page(ParseReadResponse(result));
               });
}

}  // namespace mulberryroad::platform
