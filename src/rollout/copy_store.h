// Copies of other nodes' batches, kept until they are closed.

#ifndef MULBERRYROAD_SRC_ROLLOUT_COPY_STORE_H_
#define MULBERRYROAD_SRC_ROLLOUT_COPY_STORE_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"
#include "mulberryroad/rollout.pb.h"

namespace mulberryroad::rollout {

/// What is kept of one batch.
struct HeldCopy {
  v1::BatchSpec spec;
  std::uint64_t epoch = 0;
  std::uint64_t acknowledged = 0;
  std::map<std::pair<std::string, std::uint32_t>, v1::Sample> samples;
  Instant received{};
};

class CopyStore {
 public:
  /// Takes a copy. One of an epoch below the newest seen is refused.
  v1::BatchCopyReply Keep(const v1::BatchCopy& copy, Instant now);
  /// Returns what is kept of a batch, or null.
  const HeldCopy* find(const BatchId& batch) const;
  /// Answers a successor.
  v1::BatchReply Recover(const BatchId& batch) const;
  /// Keeps what a former owner gives up, unless a later owner's copies are
  /// here already.
  void Adopt(const BatchId& batch, HeldCopy copy);
  void Forget(const BatchId& batch) { held_.erase(batch); }
  std::vector<BatchId> batches() const;

 private:
  std::map<BatchId, HeldCopy> held_;
};

}  // namespace mulberryroad::rollout

#endif  // MULBERRYROAD_SRC_ROLLOUT_COPY_STORE_H_
