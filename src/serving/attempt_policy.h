// Retry and hedging policy of one request: decides what follows each attempt at
// an upstream. Pure: no I/O and no clock.

#ifndef MULBERRYROAD_SRC_SERVING_ATTEMPT_POLICY_H_
#define MULBERRYROAD_SRC_SERVING_ATTEMPT_POLICY_H_

#include <chrono>
#include <variant>

#include "serving/upstream_caller.h"

namespace mulberryroad::serving {

/// Send the request to one more upstream.
struct SendAnother {};
/// Wait: another attempt is still in flight.
struct AwaitInFlight {};
/// Forward the response of the attempt that just ended to the caller.
struct Deliver {};
/// Reply that the request was not run: no upstream ran it and no attempt is
/// left.
struct FailNotRun {};
/// Reply that the request may have run: at least one attempt ended without a
/// response and no attempt is left.
struct FailMayHaveRun {};
using AttemptStep = std::variant<SendAnother, AwaitInFlight, Deliver,
                                 FailNotRun, FailMayHaveRun>;

struct AttemptRules {
  /// Whether the request may run more than once.
  bool repeatable = false;
  /// Maximum number of upstreams that may run the request.
  int max_runs = 1;
};

/// Attempts allowed beyond `max_runs` for those that did not run the request:
/// enough to find one free upstream among several that are full or unreachable.
inline constexpr int kExtraAttempts = 4;

/// Tracks the attempts of one request. A repeatable request has at most two of
/// them in flight at a time. Used on the event loop's thread.
class AttemptPolicy {
 public:
  explicit AttemptPolicy(AttemptRules rules) : rules_(rules) {}

  /// Records that an attempt was sent.
  void OnSent();
  /// Records that an attempt ended and returns the next step.
  /// @param untried_left whether an upstream is left that was not tried yet
  AttemptStep OnOutcome(const UpstreamOutcome& outcome, bool untried_left);
  /// Returns whether a second attempt may be sent while the first is in flight.
  bool may_hedge() const;
  /// Returns whether no attempt is in flight and no upstream ran the request or
  /// may have run it.
  bool known_not_run() const { return in_flight_ == 0 && !may_have_run_; }
  /// Returns the number of attempts in flight.
  int in_flight() const { return in_flight_; }
  /// Returns the number of attempts sent.
  int attempts() const { return attempts_; }

 private:
  bool may_send() const;

  AttemptRules rules_;
  int attempts_ = 0;
  int in_flight_ = 0;
  /// Attempts that ran or may have run the request.
  int runs_ = 0;
  bool may_have_run_ = false;
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_ATTEMPT_POLICY_H_
