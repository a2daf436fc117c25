// Interfaces of the platform's VM directory, ordering service, usage service,
// weight store and engines.

#ifndef MULBERRYROAD_SRC_PLATFORM_PLATFORM_H_
#define MULBERRYROAD_SRC_PLATFORM_PLATFORM_H_

#include <functional>
#include <string>
#include <variant>

#include "mulberryroad/endpoint.h"
#include "mulberryroad/ids.h"
#include "mulberryroad/platform.pb.h"
#include "platform/log_service.h"

namespace mulberryroad::platform {

/// Receives the response to a platform call, or the failure.
template <typename Answer>
using ResponseCallback =
    std::function<void(std::variant<Answer, PlatformFailure>)>;

/// The list of live and leaving VMs. It may lag behind the actual state.
class VmDirectory {
 public:
  virtual ~VmDirectory() = default;
  /// Lists the nodes of the system.
  virtual void ListNodes(ResponseCallback<v1::VmList> on_response) = 0;
  /// Lists the upstreams of one pool.
  virtual void ListPool(const PoolId& pool,
                        ResponseCallback<v1::VmList> on_response) = 0;
};

/// Starts and stops upstreams.
class OrderingService {
 public:
  virtual ~OrderingService() = default;
  /// Sends an order. After a failure with kMayHaveRun the caller queries the
  /// status of the same order ID.
  virtual void Send(const v1::PlatformOrder& order,
                    ResponseCallback<v1::PlatformOrderStatus> on_response) = 0;
  /// Queries the status of an order. If the service never received the
  /// order, `accepted` is false and `reason` is "unknown".
  virtual void Status(
      const std::string& order_id,
      ResponseCallback<v1::PlatformOrderStatus> on_response) = 0;
};

/// Accepts usage reports. Reports with the same ID are counted once.
class UsageService {
 public:
  virtual ~UsageService() = default;
  virtual void Report(const v1::UsageReport& report,
                      ResponseCallback<v1::UsageReport> on_response) = 0;
};

/// Provides the newest weight version of each model. Engines load the weights
/// from the store directly.
class WeightStore {
 public:
  virtual ~WeightStore() = default;
  /// Reads the newest weight version of a model.
  virtual void Newest(const TargetId& model,
                      ResponseCallback<v1::WeightVersions> on_response) = 0;
};

/// Sends orders to engines and reads their reports.
class EngineControl {
 public:
  virtual ~EngineControl() = default;
  /// Orders an engine to load a version of the weights.
  virtual void Load(const Endpoint& engine, const v1::LoadVersion& order,
                    ResponseCallback<v1::EngineLoad> on_response) = 0;
  /// Reads the load report of an engine.
  virtual void Report(const Endpoint& engine,
                      ResponseCallback<v1::EngineLoad> on_response) = 0;
  /// Reads an engine's cache events from sequence number `from` on.
  virtual void Events(const Endpoint& engine, std::uint64_t from,
                      ResponseCallback<v1::CacheEvents> on_response) = 0;
};

}  // namespace mulberryroad::platform

#endif  // MULBERRYROAD_SRC_PLATFORM_PLATFORM_H_
