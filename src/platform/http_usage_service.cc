#include "platform/http_usage_service.h"

#include <utility>

#include "base/json.h"
#include "platform/json_exchange.h"

namespace mulberryroad::platform {

HttpUsageService::HttpUsageService(http::Client& client, Endpoint endpoint)
    : client_(client), endpoint_(std::move(endpoint)) {}

void HttpUsageService::Report(const v1::UsageReport& report,
                              ResponseCallback<v1::UsageReport> on_response) {
  client_.Send(
      MakeJsonRequest(endpoint_, http::Method::kPost, "/reports",
                      base::ToJson(report)),
      [on_response = std::move(on_response)](const http::Result& result) {
        on_response(ParseResponse<v1::UsageReport>(result));
      });
}

}  // namespace mulberryroad::platform
