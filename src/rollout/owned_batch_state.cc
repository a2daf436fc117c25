// Part of OwnedBatch: settings from the declaration and the decision log.

#include <algorithm>
#include <utility>

#include "rollout/owned_batch.h"

namespace mulberryroad::rollout {

namespace {

// Lower bound of the remaining time sent with a request. A batch past its
// deadline gets the same urgency as one with this much time left.
constexpr std::chrono::milliseconds kMinRemainingTime{30'000};

}  // namespace

void OwnedBatch::ApplyDeclaration() {
  const v1::Declaration* declaration = services_.config.declaration();
  if (declaration == nullptr || !plan_) {
    return;
  }
  for (const v1::Model& model : declaration->models()) {
    if (model.name() != spec_.model()) {
      continue;
    }
    plan_->SetBound({model.max_versions_behind(),
                     std::chrono::seconds(model.max_age_seconds())});
    if (model.version() != plan_->newest_version()) {
      ExecuteDecisions(
          plan_->OnNewestVersion(model.version(), services_.clock.now()));
    }
  }
}

Freshness OwnedBatch::MakeFreshness() const {
  Freshness freshness{FreshnessBound{}};
  const v1::Declaration* declaration = services_.config.declaration();
  if (declaration == nullptr) {
    return freshness;
  }
  for (const v1::Model& model : declaration->models()) {
    if (model.name() == spec_.model()) {
      freshness.SetBound({model.max_versions_behind(),
                          std::chrono::seconds(model.max_age_seconds())});
      freshness.SetNewest(model.version(), services_.clock.now());
    }
  }
  return freshness;
}

std::chrono::milliseconds OwnedBatch::RemainingTime() const {
  if (spec_.deadline_ms() == 0) {
    return std::chrono::milliseconds{0};
  }
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      services_.clock.now() - submitted_);
  const std::chrono::milliseconds remaining =
      std::chrono::milliseconds(spec_.deadline_ms()) - elapsed;
  return std::max(remaining, kMinRemainingTime);
}

void OwnedBatch::LogDecision(const std::string& kind,
                             const std::string& request,
                             const std::string& reason) {
  v1::Decision decision;
  decision.set_kind(kind);
  decision.set_request_id(request);
  decision.set_organisation(spec_.organisation());
  decision.set_target(spec_.model());
  decision.set_batch(id_.value());
  decision.set_epoch(epoch_);
  decision.set_reason(reason);
  services_.decisions.Write(std::move(decision));
}

std::string OwnedBatch::RequestName(AttemptId attempt, SampleKey sample) const {
  const v1::GroupSpec& group = spec_.groups(static_cast<int>(sample.group));
  std::string name =
      id_.value() + "/" + group.id() + "/" + std::to_string(sample.index);
  if (attempt != 0) {
    name += "/" + std::to_string(epoch_) + "-" + std::to_string(attempt);
  }
  return name;
}

}  // namespace mulberryroad::rollout
