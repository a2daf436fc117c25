// LogService over HTTP.

#ifndef MULBERRYROAD_SRC_PLATFORM_HTTP_LOG_SERVICE_H_
#define MULBERRYROAD_SRC_PLATFORM_HTTP_LOG_SERVICE_H_

#include <chrono>
#include <string>

#include "base/event_loop.h"
#include "http/client.h"
#include "mulberryroad/endpoint.h"
#include "platform/log_service.h"

namespace mulberryroad::platform {

/// Uses the messages of proto/platform.proto. An append refused with a 4xx
/// status was not executed; after other errors its effect is unknown, unless
/// the request was never sent.
class HttpLogService final : public LogService {
 public:
  HttpLogService(base::EventLoop& loop, http::Client& client,
                 Endpoint endpoint);

  void Append(const std::string& stream, std::string record,
              std::chrono::milliseconds timeout,
              OnAppended on_appended) override;
  void Read(const std::string& stream, Offset from, std::uint32_t max_records,
            std::chrono::milliseconds wait, OnPage on_page) override;

 private:
  http::Client& client_;
  Endpoint endpoint_;
};

}  // namespace mulberryroad::platform

#endif  // MULBERRYROAD_SRC_PLATFORM_HTTP_LOG_SERVICE_H_
