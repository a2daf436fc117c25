// EngineControl over HTTP with JSON bodies.

#ifndef MULBERRYROAD_SRC_PLATFORM_HTTP_ENGINE_CONTROL_H_
#define MULBERRYROAD_SRC_PLATFORM_HTTP_ENGINE_CONTROL_H_

#include "http/client.h"
#include "platform/platform.h"

namespace mulberryroad::platform {

class HttpEngineControl final : public EngineControl {
 public:
  explicit HttpEngineControl(http::Client& client);

  void Load(const Endpoint& engine, const v1::LoadVersion& order,
            ResponseCallback<v1::EngineLoad> on_response) override;
  void Report(const Endpoint& engine,
              ResponseCallback<v1::EngineLoad> on_response) override;
  void Events(const Endpoint& engine, std::uint64_t from,
              ResponseCallback<v1::CacheEvents> on_response) override;

 private:
  http::Client& client_;
};

}  // namespace mulberryroad::platform

#endif  // MULBERRYROAD_SRC_PLATFORM_HTTP_ENGINE_CONTROL_H_
