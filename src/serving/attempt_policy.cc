#include "serving/attempt_policy.h"

namespace mulberryroad::serving {

namespace {

constexpr int kFirstServerError = 500;

}  // namespace

void AttemptPolicy::Sent() {
  ++tries_;
  ++open_;
}

bool AttemptPolicy::may_try() const {
  const bool runs_left =
      runs_ + open_ < rules_.max_runs && (runs_ == 0 || rules_.repeatable);
  return runs_left && tries_ < rules_.max_runs + kExtraTries;
}

bool AttemptPolicy::may_hedge() const {
  return rules_.repeatable && open_ == 1 && may_try();
}

AttemptStep AttemptPolicy::OnOutcome(const UpstreamOutcome& outcome,
                                     bool others_left) {
  --open_;
  if (const auto* whole = std::get_if<Whole>(&outcome)) {
    ++runs_;
    may_have_run_ = true;
    const bool failed = whole->status >= kFirstServerError;
    if (!failed || !rules_.repeatable) {
      return Deliver{};
    }
    if (open_ > 0) {
      return AwaitOthers{};
    }
    if (others_left && may_try()) {
      return TryNext{};
    }
    return Deliver{};
  }
  if (std::holds_alternative<MayHaveRun>(outcome)) {
    ++runs_;
    may_have_run_ = true;
  }
  if (open_ > 0) {
    return AwaitOthers{};
  }
  if (others_left && may_try()) {
    return TryNext{};
  }
  if (may_have_run_) {
    return FailUnknown{};
  }
  return RefuseNotRun{};
}

}  // namespace mulberryroad::serving
