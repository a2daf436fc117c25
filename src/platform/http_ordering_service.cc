#include "platform/http_ordering_service.h"

#include <utility>

#include "base/json.h"
#include "platform/json_exchange.h"

namespace mulberryroad::platform {

namespace {

v1::PlatformOrderStatus MakeNotAcceptedStatus(const std::string& order_id,
                                              const char* reason) {
  v1::PlatformOrderStatus status;
  status.set_order_id(order_id);
  status.set_reason(reason);
  return status;
}

}  // namespace

HttpOrderingService::HttpOrderingService(base::EventLoop& /*loop*/,
                                         http::Client& client,
                                         Endpoint endpoint)
    : client_(client), endpoint_(std::move(endpoint)) {}

void HttpOrderingService::Send(
    const v1::PlatformOrder& order,
    ResponseCallback<v1::PlatformOrderStatus> on_response) {
  client_.Send(MakeJsonRequest(endpoint_, http::Method::kPost, "/orders",
                               base::ToJson(order)),
               [id = order.order_id(), on_response = std::move(on_response)](
                   const http::Result& result) {
                 if (HttpStatus(result) == 409) {
                   on_response(MakeNotAcceptedStatus(id, kOldFencing));
                   return;
                 }
                 on_response(ParseResponse<v1::PlatformOrderStatus>(result));
               });
}

void HttpOrderingService::Status(
    const std::string& order_id,
    ResponseCallback<v1::PlatformOrderStatus> on_response) {
  client_.Send(
      MakeJsonRequest(endpoint_, http::Method::kGet, "/orders/" + order_id),
      [order_id,
       on_response = std::move(on_response)](const http::Result& result) {
        if (HttpStatus(result) == 404) {
          on_response(MakeNotAcceptedStatus(order_id, kUnknownOrder));
          return;
        }
        on_response(ParseResponse<v1::PlatformOrderStatus>(result));
      });
}

}  // namespace mulberryroad::platform
