// WeightStore over HTTP with JSON bodies.

#ifndef MULBERRYROAD_SRC_PLATFORM_HTTP_WEIGHT_STORE_H_
#define MULBERRYROAD_SRC_PLATFORM_HTTP_WEIGHT_STORE_H_

#include "http/client.h"
#include "platform/platform.h"

namespace mulberryroad::platform {

/// Reads the newest weight version of each model.
class HttpWeightStore final : public WeightStore {
 public:
  HttpWeightStore(http::Client& client, Endpoint endpoint);

  void Newest(const TargetId& model,
              ResponseCallback<v1::WeightVersions> on_response) override;

 private:
  http::Client& client_;
  Endpoint endpoint_;
};

}  // namespace mulberryroad::platform

#endif  // MULBERRYROAD_SRC_PLATFORM_HTTP_WEIGHT_STORE_H_
