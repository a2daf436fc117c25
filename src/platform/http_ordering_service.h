// The ordering service over HTTP.

#ifndef MULBERRYROAD_SRC_PLATFORM_HTTP_ORDERING_SERVICE_H_
#define MULBERRYROAD_SRC_PLATFORM_HTTP_ORDERING_SERVICE_H_

#include <string>

#include "base/event_loop.h"
#include "http/client.h"
#include "platform/platform.h"

namespace mulberryroad::platform {

/// Reason of a status for an order that the service has never seen.
inline constexpr char kUnknownOrder[] = "unknown";
/// Reason of a status for an order refused for an old fencing number.
inline constexpr char kOldFencing[] = "old fencing number";

class HttpOrderingService final : public OrderingService {
 public:
  HttpOrderingService(base::EventLoop& /*loop*/, http::Client& client,
                      Endpoint endpoint);

  void Send(const v1::PlatformOrder& order,
            OnAnswer<v1::PlatformOrderStatus> on_answer) override;
  void Status(const std::string& order_id,
              OnAnswer<v1::PlatformOrderStatus> on_answer) override;

 private:
  http::Client& client_;
  Endpoint endpoint_;
};

}  // namespace mulberryroad::platform

#endif  // MULBERRYROAD_SRC_PLATFORM_HTTP_ORDERING_SERVICE_H_
