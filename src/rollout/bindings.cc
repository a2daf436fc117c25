#include "rollout/bindings.h"

#include <algorithm>

namespace mulberryroad::rollout {

bool Bindings::Apply(const v1::BatchOpened& opened) {
  const bool other_spec =
      !spec_sha256_.empty() && spec_sha256_ != opened.spec_sha256();
  if (opened.epoch() < epoch_ || other_spec || opened.spec_sha256().empty()) {
    return false;
  }
  epoch_ = opened.epoch();
  spec_sha256_ = opened.spec_sha256();
  owner_node_ = opened.owner_node();
  copy_node_ = opened.copy_node();
  return true;
}

bool Bindings::Apply(const v1::SequenceBound& bound, std::uint64_t samples) {
  const auto& groups = bound.groups();
  const bool repeated = std::any_of(groups.begin(), groups.end(),
                                    [this](const std::string& group) {
                                      return bound_groups_.contains(group);
                                    });
  if (!opened() || bound.epoch() != epoch_ || repeated ||
      bound.first_sequence() != next_sequence_) {
    return false;
  }
  bound_groups_.insert(groups.begin(), groups.end());
  bound_.push_back({next_sequence_, {groups.begin(), groups.end()}});
  next_sequence_ += samples;
  return true;
}

bool Bindings::Apply(const v1::BatchClosed& closed) {
  if (!opened() || closed.epoch() != epoch_) {
    return false;
  }
  closed_ = true;
  return true;
}

}  // namespace mulberryroad::rollout
