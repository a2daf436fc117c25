// Replays a trace on a virtual clock through the decision code of the daemon:
// PoolScheduler, BatchPlan and CapacityPolicy. An engine is one formula of
// service time.

#ifndef MULBERRYROAD_SRC_REPLAY_REPLAY_H_
#define MULBERRYROAD_SRC_REPLAY_REPLAY_H_

#include <string>
#include <vector>

#include "control/capacity_policy.h"
#include "dispatch/scheduler_types.h"
#include "replay/trace.h"

namespace mulberryroad::replay {

/// One combination of decisions to measure.
struct Policy {
  std::string name;
  dispatch::SchedulerOptions scheduler;
  bool hedging = true;
  bool fixed_capacity = false;
  control::CapacityOptions capacity;
};

/// Returns the project's own policy, named "mulberry", and the baselines.
std::vector<Policy> Policies();

/// Replays a trace under a policy; the same input gives the same measures.
v1::ReplayRow Replay(const Trace& trace, const Policy& policy);

}  // namespace mulberryroad::replay

#endif  // MULBERRYROAD_SRC_REPLAY_REPLAY_H_
