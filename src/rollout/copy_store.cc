#include "rollout/copy_store.h"

#include <algorithm>
#include <utility>

namespace mulberryroad::rollout {

v1::BatchCopyReply CopyStore::Keep(const v1::BatchCopy& copy, Instant now) {
  v1::BatchCopyReply reply;
  const BatchId batch(copy.batch());
  HeldCopy& held = held_[batch];
  if (copy.epoch() < held.epoch) {
    return reply;
  }
  reply.set_kept(true);
  if (copy.closed()) {
    held_.erase(batch);
    return reply;
  }
  held.epoch = copy.epoch();
  held.acknowledged = std::max(held.acknowledged, copy.acknowledged());
  held.received = now;
  if (copy.has_spec()) {
    held.spec = copy.spec();
  }
  for (const v1::Sample& sample : copy.samples()) {
    held.samples[{sample.group(), sample.index()}] = sample;
  }
  return reply;
}

const HeldCopy* CopyStore::find(const BatchId& batch) const {
  const auto found = held_.find(batch);
  return found == held_.end() ? nullptr : &found->second;
}

v1::BatchReply CopyStore::Recover(const BatchId& batch) const {
  v1::BatchReply reply;
  const HeldCopy* held = find(batch);
  if (held == nullptr || held->spec.id().empty()) {
    reply.set_outcome(v1::BatchReply::UNKNOWN_BATCH);
    return reply;
  }
  reply.set_outcome(v1::BatchReply::OK);
  *reply.mutable_spec() = held->spec;
  reply.set_epoch(held->epoch);
  reply.set_acknowledged(held->acknowledged);
  for (const auto& [key, sample] : held->samples) {
    *reply.add_samples() = sample;
  }
  return reply;
}

void CopyStore::Adopt(const BatchId& batch, HeldCopy copy) {
  const HeldCopy* held = find(batch);
  if (held == nullptr || held->epoch <= copy.epoch) {
    held_[batch] = std::move(copy);
  }
}

std::vector<BatchId> CopyStore::batches() const {
  std::vector<BatchId> ids;
  ids.reserve(held_.size());
  for (const auto& [id, held] : held_) {
    ids.push_back(id);
  }
  return ids;
}

}  // namespace mulberryroad::rollout
