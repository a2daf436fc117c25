#include "entry/api_error.h"

#include "base/json.h"

namespace mulberryroad::entry {

v1::ApiError ToMessage(const RequestError& error, const RequestId& request_id) {
  v1::ApiError message;
  message.set_error(error.reason);
  message.set_verdict(std::string(ToString(error.verdict)));
  message.set_retry_after_ms(
      static_cast<std::uint64_t>(error.retry_after.count()));
  message.set_request_id(request_id.value());
  return message;
}

void ReplyError(http::Exchange& exchange, const RequestError& error,
                const RequestId& request_id) {
  http::Headers headers = {{"Content-Type", "application/json"},
                           {"X-Request-Id", request_id.value()}};
  if (error.retry_after.count() > 0) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(error.retry_after);
    headers.push_back({"Retry-After", std::to_string(seconds.count())});
  }
  exchange.Reply(error.status, base::ToJson(ToMessage(error, request_id)),
                 headers);
}

}  // namespace mulberryroad::entry
