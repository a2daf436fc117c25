#include "rollout/copy_store.h"

#include <algorithm>
#include <utility>

namespace mulberryroad::rollout {

v1::BatchCopyReply CopyStore::Store(const v1::BatchCopy& copy, Instant now) {
  v1::BatchCopyReply reply;
  const BatchId batch(copy.batch());
  StoredCopy& held = copies_[batch];
  if (copy.epoch() < held.epoch) {
    return reply;
  }
  reply.set_kept(true);
  if (copy.closed()) {
    copies_.erase(batch);
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

const StoredCopy* CopyStore::find(const BatchId& batch) const {
  const auto found = copies_.find(batch);
  return found == copies_.end() ? nullptr : &found->second;
}

v1::BatchReply CopyStore::Recover(const BatchId& batch) const {
  v1::BatchReply reply;
  const StoredCopy* held = find(batch);
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

void CopyStore::StoreUnlessOlder(const BatchId& batch, StoredCopy copy) {
  const StoredCopy* held = find(batch);
  if (held == nullptr || held->epoch <= copy.epoch) {
    copies_[batch] = std::move(copy);
  }
}

std::vector<BatchId> CopyStore::batches() const {
  std::vector<BatchId> ids;
  ids.reserve(copies_.size());
  for (const auto& [id, held] : copies_) {
    ids.push_back(id);
  }
  return ids;
}

}  // namespace mulberryroad::rollout
