// Options and dependencies that the classes of the rollout module share.

#ifndef MULBERRYROAD_SRC_ROLLOUT_SERVICES_H_
#define MULBERRYROAD_SRC_ROLLOUT_SERVICES_H_

#include <chrono>

#include "base/decision_log.h"
#include "base/event_loop.h"
#include "billing/meter.h"
#include "config/configuration.h"
#include "dispatch/broker.h"
#include "lease/leases.h"
#include "log/journal.h"
#include "membership/members.h"
#include "mulberryroad/clock.h"
#include "peer/transport.h"
#include "rollout/batch_plan.h"

namespace mulberryroad::rollout {

struct BatchHostOptions {
  BatchPlanOptions plan;
  /// Interval of BatchHost's periodic work.
  std::chrono::milliseconds tick{100};
  /// Time limit for a submission to acquire the lease and write the first copy.
  std::chrono::milliseconds open_timeout{15'000};
  std::chrono::milliseconds copy_timeout{2'000};
  std::chrono::milliseconds recover_timeout{1'000};
  std::chrono::milliseconds append_timeout{5'000};
  /// Time without a live owner after which a batch is reported as unknown.
  std::chrono::milliseconds takeover_grace{30'000};
  /// Time for which calls to a closed batch are still answered.
  std::chrono::milliseconds closed_retention{600'000};
};

/// References to the services of the process. All of them outlive the batches.
struct Services {
  base::EventLoop& loop;
  const Clock& clock;
  peer::Transport& transport;
  membership::Members& members;
  config::Configuration& config;
  lease::Leases& leases;
  log::Journal& journal;
  dispatch::Generator& generator;
  billing::Meter& meter;
  base::DecisionLog& decisions;
  BatchHostOptions options;
};

}  // namespace mulberryroad::rollout

#endif  // MULBERRYROAD_SRC_ROLLOUT_SERVICES_H_
