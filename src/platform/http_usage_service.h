// UsageService over HTTP with JSON bodies.

#ifndef MULBERRYROAD_SRC_PLATFORM_HTTP_USAGE_SERVICE_H_
#define MULBERRYROAD_SRC_PLATFORM_HTTP_USAGE_SERVICE_H_

#include "http/client.h"
#include "platform/platform.h"

namespace mulberryroad::platform {

/// Sends usage reports. Any status other than 200 is a failure, after which the
/// caller resends the same report.
class HttpUsageService final : public UsageService {
 public:
  HttpUsageService(http::Client& client, Endpoint endpoint);

  void Report(const v1::UsageReport& report,
              ResponseCallback<v1::UsageReport> on_response) override;

 private:
  http::Client& client_;
  Endpoint endpoint_;
};

}  // namespace mulberryroad::platform

#endif  // MULBERRYROAD_SRC_PLATFORM_HTTP_USAGE_SERVICE_H_
