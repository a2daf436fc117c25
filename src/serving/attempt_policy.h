// Decides what happens after each try of a request at an upstream. Pure.

#ifndef MULBERRYROAD_SRC_SERVING_ATTEMPT_POLICY_H_
#define MULBERRYROAD_SRC_SERVING_ATTEMPT_POLICY_H_

#include <chrono>
#include <variant>

#include "serving/upstream_caller.h"

namespace mulberryroad::serving {

/// Send the request to one more upstream.
struct TryNext {};
/// Another try is still under way.
struct AwaitOthers {};
/// Pass the upstream's answer on.
struct Deliver {};
/// No upstream ran the request, and none will.
struct RefuseNotRun {};
/// The request may have run; promise nothing.
struct FailUnknown {};
using AttemptStep =
    std::variant<TryNext, AwaitOthers, Deliver, RefuseNotRun, FailUnknown>;

struct AttemptRules {
  /// The request may run more than once.
  bool repeatable = false;
  /// Upstreams that may run it.
  int max_runs = 1;
};

/// Tries that did not run the request, beyond those that may have: enough to
/// find one free upstream among several that are full or gone.
inline constexpr int kExtraTries = 4;

/// The tries of one request. A repeatable request has at most two of them under
/// way at a time.
class AttemptPolicy {
 public:
  explicit AttemptPolicy(AttemptRules rules) : rules_(rules) {}

  /// A try was sent.
  void Sent();
  /// A try ended.
  /// @param others_left whether an untried upstream is left
  AttemptStep OnOutcome(const UpstreamOutcome& outcome, bool others_left);
  /// True if a second try may be sent beside the one under way.
  bool may_hedge() const;
  /// True if no upstream ran the request, whatever is still under way.
  bool certainly_not_run() const { return open_ == 0 && !may_have_run_; }
  int open() const { return open_; }
  int tries() const { return tries_; }

 private:
  bool may_try() const;

  AttemptRules rules_;
  int tries_ = 0;
  int open_ = 0;
  /// Tries that ran or may have run the request.
  int runs_ = 0;
  bool may_have_run_ = false;
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_ATTEMPT_POLICY_H_
