// The usage report service over HTTP.

#ifndef MULBERRYROAD_SRC_PLATFORM_HTTP_USAGE_SERVICE_H_
#define MULBERRYROAD_SRC_PLATFORM_HTTP_USAGE_SERVICE_H_

#include "http/client.h"
#include "platform/platform.h"

namespace mulberryroad::platform {

/// Sends usage reports. An answer other than 200 is a failure, so that the
/// report is sent again unchanged.
class HttpUsageService final : public UsageService {
 public:
  HttpUsageService(http::Client& client, Endpoint endpoint);

  void Report(const v1::UsageReport& report,
              OnAnswer<v1::UsageReport> on_answer) override;

 private:
  http::Client& client_;
  Endpoint endpoint_;
};

}  // namespace mulberryroad::platform

#endif  // MULBERRYROAD_SRC_PLATFORM_HTTP_USAGE_SERVICE_H_
