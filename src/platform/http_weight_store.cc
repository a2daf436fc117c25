#include "platform/http_weight_store.h"

#include <utility>

#include "platform/json_exchange.h"

namespace mulberryroad::platform {

HttpWeightStore::HttpWeightStore(http::Client& client, Endpoint endpoint)
    : client_(client), endpoint_(std::move(endpoint)) {}

void HttpWeightStore::Newest(const TargetId& model,
                             OnAnswer<v1::WeightVersions> on_answer) {
  client_.Send(MakeJsonRequest(endpoint_, http::Method::kGet,
                               "/models/" + model.value()),
               [on_answer = std::move(on_answer)](const http::Result& result) {
                 on_answer(ParseResponse<v1::WeightVersions>(result));
               });
}

}  // namespace mulberryroad::platform
