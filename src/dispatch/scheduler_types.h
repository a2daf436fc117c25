// Input, policy and decision types of the pool scheduler.

#ifndef MULBERRYROAD_SRC_DISPATCH_SCHEDULER_TYPES_H_
#define MULBERRYROAD_SRC_DISPATCH_SCHEDULER_TYPES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/decision.pb.h"
#include "mulberryroad/dispatch.pb.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::dispatch {

/// Identifies a queued request within one scheduler.
using Ticket = std::uint64_t;

/// Properties of one upstream, from the VM list and the declaration.
struct UpstreamSpec {
  UpstreamId id;
  /// IP:port.
  std::string endpoint;
  std::string upstream_class;
  /// Number of requests that the upstream runs concurrently.
  std::uint32_t slots = 1;
  double price_per_hour = 0;
  bool reclaimable = false;
  bool leaving = false;
};

/// Chooses the upstream with the highest score: prefix affinity minus load,
/// price and reclaim risk, each multiplied by its weight.
struct AffinityChoice {
  double affinity_weight = 1.0;
  double load_weight = 1.0;
  double price_weight = 0.25;
  double reclaim_weight = 0.05;
};
/// Chooses upstreams in cyclic order.
struct RoundRobinChoice {};
/// Chooses the upstream with the lowest fraction of busy slots.
struct LeastInFlightChoice {};
/// Chooses the less loaded of two random upstreams.
struct TwoRandomChoice {};
using ChoicePolicy = std::variant<AffinityChoice, RoundRobinChoice,
                                  LeastInFlightChoice, TwoRandomChoice>;

/// Serves the organisation with the lowest virtual token counter first.
struct FairQueuePolicy {
  /// Upper bound, in tokens, of the credit over the others that an organisation
  /// gains while it is idle.
  double max_idle_credit_tokens = 4'096;
};
/// Serves requests in order of arrival.
struct FifoQueuePolicy {};
using QueuePolicy = std::variant<FairQueuePolicy, FifoQueuePolicy>;

struct SchedulerOptions {
  ChoicePolicy choice = AffinityChoice{};
  QueuePolicy queue = FairQueuePolicy{};
  std::size_t max_queued = 2'000;
  /// Maximum queueing time of a request without a deadline.
  std::chrono::milliseconds max_queue_time{30'000};
  /// Time after which an unreleased grant is treated as released.
  std::chrono::milliseconds grant_lease{180'000};
  /// Maximum age of the engine state that a load report describes.
  std::chrono::milliseconds report_lag{5'000};
  /// Age after which prefix hints are ignored.
  std::chrono::milliseconds prefix_max_age{300'000};
  std::size_t max_prefixes = 100'000;
};

/// The request was granted a slot.
struct Granted {
  v1::Grant grant;
  std::vector<v1::Candidate> candidates;
};
/// The request was queued; a later call of PoolScheduler::Schedule decides on
/// it.
struct Queued {
  Ticket ticket = 0;
};
/// The request was refused: it is not queued and has not run.
struct Refused {
  std::string reason;
  std::chrono::milliseconds retry_after{0};
};
using AdmissionDecision = std::variant<Granted, Queued, Refused>;

/// The outcome of a queued request.
struct ScheduledDecision {
  Ticket ticket = 0;
  v1::GrantRequest request;
  std::variant<Granted, Refused> outcome;
};

/// Converts a refusal to the message sent to peers.
inline v1::GrantRefusal ToMessage(const Refused& refused) {
  v1::GrantRefusal message;
  message.set_reason(refused.reason);
  message.set_retry_after_ms(
      static_cast<std::uint64_t>(refused.retry_after.count()));
  return message;
}

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_SCHEDULER_TYPES_H_
