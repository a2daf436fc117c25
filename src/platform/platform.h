// The platform's other interfaces: VM list, ordering, usage reports, weight
// store, engine orders.

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

/// Takes the answer of a platform call or the reason why there is none.
template <typename Answer>
using OnAnswer = std::function<void(std::variant<Answer, PlatformFailure>)>;

/// The lagging list of live and leaving VMs.
class VmDirectory {
 public:
  virtual ~VmDirectory() = default;
  /// Lists the nodes of the system.
  virtual void ListNodes(OnAnswer<v1::VmList> on_answer) = 0;
  /// Lists the upstreams of one pool.
  virtual void ListPool(const PoolId& pool, OnAnswer<v1::VmList> on_answer) = 0;
};

/// Starts and stops upstreams.
class OrderingService {
 public:
  virtual ~OrderingService() = default;
  /// Sends an order in one piece. After kMayHaveRun the status is asked under
  /// the same order id.
  virtual void Send(const v1::PlatformOrder& order,
                    OnAnswer<v1::PlatformOrderStatus> on_answer) = 0;
  /// Asks what became of an order; accepted is false and reason "unknown" if it
  /// never arrived.
  virtual void Status(const std::string& order_id,
                      OnAnswer<v1::PlatformOrderStatus> on_answer) = 0;
};

/// Takes usage reports; a report sent again under its id is taken once.
class UsageService {
 public:
  virtual ~UsageService() = default;
  virtual void Report(const v1::UsageReport& report,
                      OnAnswer<v1::UsageReport> on_answer) = 0;
};

/// Tells which weight versions exist; the engines load them from there
/// themselves.
class WeightStore {
 public:
  virtual ~WeightStore() = default;
  virtual void Newest(const TargetId& model,
                      OnAnswer<v1::WeightVersions> on_answer) = 0;
};

/// Orders to and reports from one engine.
class EngineControl {
 public:
  virtual ~EngineControl() = default;
  virtual void Load(const Endpoint& engine, const v1::LoadVersion& order,
                    OnAnswer<v1::EngineLoad> on_answer) = 0;
  virtual void Report(const Endpoint& engine,
                      OnAnswer<v1::EngineLoad> on_answer) = 0;
  virtual void Events(const Endpoint& engine, std::uint64_t from,
                      OnAnswer<v1::CacheEvents> on_answer) = 0;
};

}  // namespace mulberryroad::platform

#endif  // MULBERRYROAD_SRC_PLATFORM_PLATFORM_H_
