#include "platform/http_weight_store.h"

#include <utility>

#include "platform/json_exchange.h"

namespace mulberryroad::platform {

HttpWeightStore::HttpWeightStore(http::Client& client, Endpoint endpoint)
    : client_(client), endpoint_(std::move(endpoint)) {}

void HttpWeightStore::Newest(const TargetId& model,
                             ResponseCallback<v1::WeightVersions> on_response) {
  client_.Send(
      MakeJsonRequest(endpoint_, http::Method::kGet,
                      "/models/" + model.value()),
      [on_response = std::move(on_response)](const http::Result& result) {
        on_response(ParseResponse<v1::WeightVersions>(result));
      });
}

}  // namespace mulberryroad::platform
