// Collects what is known of one pool: its VMs, its demand and its engines'
// versions.

#ifndef MULBERRYROAD_SRC_CONTROL_POOL_OBSERVER_H_
#define MULBERRYROAD_SRC_CONTROL_POOL_OBSERVER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "membership/members.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/control.pb.h"
#include "mulberryroad/ids.h"
#include "peer/transport.h"
#include "platform/platform.h"

namespace mulberryroad::control {

/// Everything is asked anew at each Poll; answers that have grown old are not
/// used.
class PoolObserver {
 public:
  PoolObserver(const Clock& clock, peer::Transport& transport,
               membership::Members& members, platform::VmDirectory& directory,
               platform::EngineControl& engines, platform::WeightStore& weights,
               PoolId pool, bool is_model);

  /// Asks the VM list, the dispatcher, the weight store and the engines.
  void Poll();
  /// Tells the dispatcher which upstreams leave or swap. A notice is repeated
  /// until it is acknowledged, and to each new dispatcher.
  void Notify(const v1::UpstreamNotice& notice);

  /// Returns true if the VM list and the demand are known and fresh.
  bool fresh() const;
  const std::map<std::string, v1::Vm>& vms() const { return vms_; }
  const v1::DemandReply& demand() const { return demand_; }
  /// Returns the last report of an engine, or null if it is missing or old.
  const v1::EngineLoad* engine(const std::string& upstream) const;
  std::optional<std::uint32_t> newest_version() const { return newest_; }
  /// Returns true once an upstream that was announced as leaving has had no
  /// work for some time.
  bool drained(const std::string& upstream) const;

  static constexpr std::chrono::milliseconds kFreshFor{5'000};
  /// From the dispatcher's acknowledgement until an idle upstream counts as
  /// drained.
  static constexpr std::chrono::milliseconds kDrainQuiet{5'000};
  /// A request granted by an earlier dispatcher has ended after this time.
  static constexpr std::chrono::milliseconds kLongestRequest{120'000};

 private:
  struct Seen {
    v1::EngineLoad load;
    Instant time{};
    bool asked = false;
  };
  struct Notice {
    v1::UpstreamNotice sent;
    std::optional<Instant> acknowledged;
    bool under_way = false;
  };

  void PollVms();
  void PollDemand();
  void PollEngines();
  void PollStore();
  void Send(const std::string& upstream);
  bool IsFresh(const std::optional<Instant>& time) const;
  std::uint32_t InFlight(const std::string& upstream) const;

  const Clock& clock_;
  peer::Transport& transport_;
  membership::Members& members_;
  platform::VmDirectory& directory_;
  platform::EngineControl& engines_;
  platform::WeightStore& weights_;
  PoolId pool_;
  bool is_model_;
  std::map<std::string, v1::Vm> vms_;
  std::optional<Instant> vms_time_;
  v1::DemandReply demand_;
  std::optional<Instant> demand_time_;
  /// When the demand that demand_ answers was asked.
  Instant demand_asked_{};
  std::map<std::string, Seen> reports_;
  std::map<std::string, Notice> notices_;
  /// Run of the node that is the pool's dispatcher.
  std::string dispatcher_;
  Instant dispatcher_since_{};
  std::optional<std::uint32_t> newest_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::control

#endif  // MULBERRYROAD_SRC_CONTROL_POOL_OBSERVER_H_
