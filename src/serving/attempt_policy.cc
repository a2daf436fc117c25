#include "serving/attempt_policy.h"

namespace mulberryroad::serving {

namespace {

constexpr int kFirstServerError = 500;

}  // namespace

void AttemptPolicy::OnSent() {
  ++attempts_;
  ++in_flight_;
}

bool AttemptPolicy::may_send() const {
  const bool runs_left =
      runs_ + in_flight_ < rules_.max_runs && (runs_ == 0 || rules_.repeatable);
  return runs_left && attempts_ < rules_.max_runs + kExtraAttempts;
}

bool AttemptPolicy::may_hedge() const {
  return rules_.repeatable && in_flight_ == 1 && may_send();
}

AttemptStep AttemptPolicy::OnOutcome(const UpstreamOutcome& outcome,
                                     bool untried_left) {
  --in_flight_;
  if (const auto* complete = std::get_if<CompleteResponse>(&outcome)) {
    ++runs_;
    may_have_run_ = true;
    const bool failed = complete->status >= kFirstServerError;
    if (!failed || !rules_.repeatable) {
      return Deliver{};
    }
    if (in_flight_ > 0) {
      return AwaitInFlight{};
    }
    if (untried_left && may_send()) {
      return SendAnother{};
    }
    return Deliver{};
  }
  if (std::holds_alternative<MayHaveRun>(outcome)) {
    ++runs_;
    may_have_run_ = true;
  }
  if (in_flight_ > 0) {
    return AwaitInFlight{};
  }
  if (untried_left && may_send()) {
    return SendAnother{};
  }
  if (may_have_run_) {
    return FailMayHaveRun{};
  }
  return FailNotRun{};
}

}  // namespace mulberryroad::serving
