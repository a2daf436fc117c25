// Controls the capacity and the weight versions of one failure domain, under
// its lease.

#ifndef MULBERRYROAD_SRC_CONTROL_DOMAIN_CONTROLLER_H_
#define MULBERRYROAD_SRC_CONTROL_DOMAIN_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/decision_log.h"
#include "config/configuration.h"
#include "control/capacity_policy.h"
#include "control/order_executor.h"
#include "control/pool_observer.h"
#include "control/weight_rollout.h"
#include "lease/leases.h"
#include "log/compactor.h"
#include "log/journal.h"
#include "membership/members.h"
#include "mulberryroad/clock.h"
#include "peer/transport.h"
#include "platform/platform.h"

namespace mulberryroad::control {

/// What a controller works with.
struct ControlServices {
  const Clock& clock;
  peer::Transport& transport;
  membership::Members& members;
  config::Configuration& configuration;
  lease::Leases& leases;
  log::Journal& journal;
  platform::VmDirectory& directory;
  platform::OrderingService& ordering;
  platform::EngineControl& engines;
  platform::WeightStore& weights;
  base::DecisionLog& decisions;
};

/// Returns the role that controls a failure domain.
RoleId ControllerRole(const FailureDomainId& domain);

class DomainController {
 public:
  DomainController(const ControlServices& services, FailureDomainId domain);
  ~DomainController();
  DomainController(const DomainController&) = delete;
  DomainController& operator=(const DomainController&) = delete;

  /// Looks, decides and acts if the lease is held.
  void Tick();
  /// Returns the stream of orders if the lease is held, else nullopt.
  std::optional<log::LedStream> led_stream();

 private:
  /// One pool with its observed and decided state.
  struct Pool {
    PoolId id;
    std::unique_ptr<PoolObserver> observer;
    WeightRollout rollout;
    /// Upstreams that are to leave on our own word, with the reason.
    std::map<std::string, std::string> draining;
    /// VMs of the last decision, to notice those that vanished.
    std::map<std::string, v1::Vm> last_vms;
    /// Upstreams that we stopped; they may still be listed.
    std::set<std::string> stopped;
    std::set<std::string> reclaimed;
  };
  /// A started upstream that the VM list does not show yet.
  struct Started {
    PoolId pool;
    std::string upstream_class;
    WallTime expected_until{};
  };

  void UpdatePools();
  void Work(Pool& pool, const v1::Pool& declared);
  void NoticeReclaims(Pool& pool);
  void DecideCapacity(Pool& pool, const v1::Pool& declared);
  void DecideRollout(Pool& pool);
  void SendNotices(Pool& pool);
  PoolState StateOf(const Pool& pool, const v1::Pool& declared) const;
  void AddListed(const Pool& pool, PoolState& state) const;
  void AddStarting(const Pool& pool, PoolState& state) const;

  void Apply(Pool& pool, const StartUpstream& decision);
  void Apply(Pool& pool, const DrainUpstream& decision);
  void Apply(Pool& pool, const CancelDrain& decision);
  void Apply(Pool& pool, const StopUpstream& decision);
  void Apply(Pool& pool, const BeginSwap& decision);
  void Apply(Pool& pool, const EndSwap& decision);
  void Apply(Pool& pool, const TakeOut& decision);

  void OnSettled(const SettledOrder& settled);
  void OnRefused(const SettledOrder& settled);
  void Log(const Pool& pool, const std::string& kind, const std::string& chosen,
           const std::string& reason,
           const std::vector<ClassCandidate>& candidates = {});
  bool HasOpenOrder(const std::string& upstream) const;
  const v1::UpstreamClass* FindClass(const std::string& name) const;
  std::uint32_t DesiredVersion(const PoolId& pool) const;
  std::optional<Endpoint> EndpointOf(const std::string& upstream) const;

  ControlServices services_;
  FailureDomainId domain_;
  RoleId role_;
  std::map<PoolId, Pool> pools_;
  std::map<std::string, Started> started_;
  CapacityPolicy policy_;
  OrderExecutor orders_;
  std::optional<std::uint64_t> epoch_;
};

}  // namespace mulberryroad::control

#endif  // MULBERRYROAD_SRC_CONTROL_DOMAIN_CONTROLLER_H_
