// Strives for the controller's lease of this node's failure domain, and of
// domains that have no node left.

#ifndef MULBERRYROAD_SRC_CONTROL_CONTROLLER_H_
#define MULBERRYROAD_SRC_CONTROL_CONTROLLER_H_

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "base/event_loop.h"
#include "control/domain_controller.h"

namespace mulberryroad::control {

struct ControllerOptions {
  /// Time between two decisions.
  std::chrono::milliseconds interval{1'000};
};

class Controller {
 public:
  Controller(base::EventLoop& loop, const Clock& clock,
             peer::Transport& transport, membership::Members& members,
             config::Configuration& configuration, lease::Leases& leases,
             log::Journal& journal, platform::VmDirectory& directory,
             platform::OrderingService& ordering,
             platform::EngineControl& engines, platform::WeightStore& weights,
             base::DecisionLog& decisions, FailureDomainId own,
             ControllerOptions options);

  /// Gives all leases up, for a graceful stop.
  void Stop();
  /// Does the work that is due; a timer calls it.
  void Tick();
  /// Returns the streams of orders that this node leads.
  std::vector<log::LedStream> led_streams();

 private:
  std::set<FailureDomainId> WantedDomains() const;

  ControlServices services_;
  FailureDomainId own_;
  std::map<FailureDomainId, std::unique_ptr<DomainController>> domains_;
  base::Timer timer_;
};

}  // namespace mulberryroad::control

#endif  // MULBERRYROAD_SRC_CONTROL_CONTROLLER_H_
