// OrderingService over HTTP with JSON bodies.

#ifndef MULBERRYROAD_SRC_PLATFORM_HTTP_ORDERING_SERVICE_H_
#define MULBERRYROAD_SRC_PLATFORM_HTTP_ORDERING_SERVICE_H_

#include <string>

#include "base/event_loop.h"
#include "http/client.h"
#include "platform/platform.h"

namespace mulberryroad::platform {

/// Status reason of an order that the service does not know.
inline constexpr char kUnknownOrder[] = "unknown";
/// Status reason of an order rejected because of an outdated fencing number.
inline constexpr char kOldFencing[] = "old fencing number";

class HttpOrderingService final : public OrderingService {
 public:
  HttpOrderingService(base::EventLoop& /*loop*/, http::Client& client,
                      Endpoint endpoint);

  void Send(const v1::PlatformOrder& order,
            ResponseCallback<v1::PlatformOrderStatus> on_response) override;
  void Status(const std::string& order_id,
              ResponseCallback<v1::PlatformOrderStatus> on_response) override;

 private:
  http::Client& client_;
  Endpoint endpoint_;
};

}  // namespace mulberryroad::platform

#endif  // MULBERRYROAD_SRC_PLATFORM_HTTP_ORDERING_SERVICE_H_
