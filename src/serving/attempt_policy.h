// Retry and hedging policy of one request: decides what follows each attempt at
// an upstream. Pure: no I/O and no clock.

#ifndef MULBERRYROAD_SRC_SERVING_ATTEMPT_POLICY_H_
#define MULBERRYROAD_SRC_SERVING_ATTEMPT_POLICY_H_

#include <chrono>
#include <variant>

#include "serving/upstream_caller.h"

namespace mulberryroad::serving {

/// Send the request to one more upstream.
struct TryNext {};
/// Wait: another attempt is still in flight.
struct AwaitOthers {};
/// Forward this upstream's response to the caller.
struct Deliver {};
/// Reply that the request was not run: no upstream ran it and no attempt is
/// left.
struct RefuseNotRun {};
/// Reply that the request may have run: at least one attempt ended without a
/// response and no attempt is left.
struct FailUnknown {};
using AttemptStep =
    std::variant<TryNext, AwaitOthers, Deliver, RefuseNotRun, FailUnknown>;

struct AttemptRules {
  /// Whether the request may run more than once.
  bool repeatable = false;
  /// Maximum number of upstreams that may run the request.
  int max_runs = 1;
};

/// Attempts allowed beyond `max_runs` for those that did not run the request:
/// enough to find one free upstream among several that are full or gone.
inline constexpr int kExtraTries = 4;

/// Tracks the attempts of one request. A repeatable request has at most two of
/// them in flight at a time. Used on the event loop's thread.
class AttemptPolicy {
 public:
  explicit AttemptPolicy(AttemptRules rules) : rules_(rules) {}

  /// Records that an attempt was sent.
  void Sent();
  /// Records that an attempt ended and returns the next step.
  /// @param others_left whether an upstream is left that was not tried yet
  AttemptStep OnOutcome(const UpstreamOutcome& outcome, bool others_left);
  /// Returns whether a second attempt may be sent while the first is in flight.
  bool may_hedge() const;
  /// Returns whether no attempt is in flight and no upstream ran the request or
  /// may have run it.
  bool certainly_not_run() const { return open_ == 0 && !may_have_run_; }
  /// Returns the number of attempts in flight.
  int open() const { return open_; }
  /// Returns the number of attempts sent.
  int tries() const { return tries_; }

 private:
  bool may_try() const;

  AttemptRules rules_;
  int tries_ = 0;
  int open_ = 0;
  /// Attempts that ran or may have run the request.
  int runs_ = 0;
  bool may_have_run_ = false;
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_ATTEMPT_POLICY_H_
