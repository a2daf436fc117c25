// Discrete-event simulation that replays a trace on a virtual clock through the
// daemon's decision code: PoolScheduler, BatchPlan and CapacityPolicy. An
// engine is modelled by a formula for its service time.

#ifndef MULBERRYROAD_SRC_REPLAY_REPLAY_H_
#define MULBERRYROAD_SRC_REPLAY_REPLAY_H_

#include <string>
#include <vector>

#include "control/capacity_policy.h"
#include "dispatch/scheduler_types.h"
#include "replay/trace.h"

namespace mulberryroad::replay {

/// One combination of scheduling, hedging and capacity policies to measure.
struct Policy {
  std::string name;
  dispatch::SchedulerOptions scheduler;
  bool hedging = true;
  bool fixed_capacity = false;
  control::CapacityOptions capacity;
};

/// Returns the daemon's default policy, named "mulberry", then the baselines.
std::vector<Policy> Policies();

/// Replays a trace under a policy. Deterministic: the same input gives the same
/// result.
/// @param trace valid trace, from ReadTrace or GenerateTrace
v1::ReplayRow Replay(const Trace& trace, const Policy& policy);

}  // namespace mulberryroad::replay

#endif  // MULBERRYROAD_SRC_REPLAY_REPLAY_H_
