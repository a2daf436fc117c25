// Inputs, policies and decisions of the pool scheduler.

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

/// Names a queued request within one scheduler.
using Ticket = std::uint64_t;

/// What the VM list and the declaration say of one upstream.
struct UpstreamSpec {
  UpstreamId id;
  /// IP:port.
  std::string endpoint;
  std::string upstream_class;
  /// Requests that the upstream runs at once.
  std::uint32_t slots = 1;
  double price_per_hour = 0;
  bool reclaimable = false;
  bool leaving = false;
};

/// Weighs prefix affinity against load, price and reclaim risk. The best score
/// wins.
struct AffinityChoice {
  double affinity_weight = 1.0;
  double load_weight = 1.0;
  double price_weight = 0.25;
  double reclaim_weight = 0.05;
};
/// Takes the upstreams in turn.
struct RoundRobinChoice {};
/// Takes the upstream with the smallest share of busy slots.
struct LeastInFlightChoice {};
/// Draws two upstreams at random and takes the less busy one.
struct TwoRandomChoice {};
using ChoicePolicy = std::variant<AffinityChoice, RoundRobinChoice,
                                  LeastInFlightChoice, TwoRandomChoice>;

/// Serves the organisation with the fewest tokens per weight first.
struct FairQueuePolicy {
  /// An organisation that was idle is ahead of the others by at most this many
  /// tokens per weight.
  double max_saved_tokens = 4'096;
};
/// Serves requests in the order of their arrival.
struct FifoQueuePolicy {};
using QueuePolicy = std::variant<FairQueuePolicy, FifoQueuePolicy>;

struct SchedulerOptions {
  ChoicePolicy choice = AffinityChoice{};
  QueuePolicy queue = FairQueuePolicy{};
  std::size_t max_queued = 2'000;
  /// A request without a deadline is refused after this time in the queue.
  std::chrono::milliseconds max_queue_time{30'000};
  /// A grant that is not released by then counts as released.
  std::chrono::milliseconds grant_lease{180'000};
  /// Load reports describe the engine at most this long ago.
  std::chrono::milliseconds report_lag{5'000};
  /// Prefix hints older than this are not used.
  std::chrono::milliseconds prefix_max_age{300'000};
  std::size_t max_prefixes = 100'000;
};

/// A slot was given.
struct Granted {
  v1::Grant grant;
  std::vector<v1::Candidate> candidates;
};
/// The request waits; Schedule decides on it later.
struct Queued {
  Ticket ticket = 0;
};
/// The request has not run and does not wait.
struct Refused {
  std::string reason;
  std::chrono::milliseconds retry_after{0};
};
using AdmissionDecision = std::variant<Granted, Queued, Refused>;

/// The end of a queued request's wait.
struct ScheduledDecision {
  Ticket ticket = 0;
  v1::GrantRequest request;
  std::variant<Granted, Refused> outcome;
};

/// Returns the words for a refusal in a message to a peer.
inline v1::GrantRefusal ToMessage(const Refused& refused) {
  v1::GrantRefusal message;
  message.set_reason(refused.reason);
  message.set_retry_after_ms(
      static_cast<std::uint64_t>(refused.retry_after.count()));
  return message;
}

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_SCHEDULER_TYPES_H_
