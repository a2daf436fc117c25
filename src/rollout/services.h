// What the shells of the rollout module work with.

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
  /// Time between two looks at a batch.
  std::chrono::milliseconds tick{100};
  /// How long a submission waits for the batch's lease and its first copy.
  std::chrono::milliseconds open_timeout{15'000};
  std::chrono::milliseconds copy_timeout{2'000};
  std::chrono::milliseconds recover_timeout{1'000};
  std::chrono::milliseconds append_timeout{5'000};
  /// How long an owner may be gone before its batch counts as lost.
  std::chrono::milliseconds takeover_grace{30'000};
  /// How long a closed batch still answers its trainer.
  std::chrono::milliseconds closed_kept{600'000};
};

/// The services of the process, all of which outlive the batches.
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
