// Stores copies of batches that other nodes own, until the batches are closed.

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

/// Replicated state of one batch.
struct StoredCopy {
  v1::BatchSpec spec;
  std::uint64_t epoch = 0;
  std::uint64_t acknowledged = 0;
  std::map<std::pair<std::string, std::uint32_t>, v1::Sample> samples;
  Instant received{};
};

/// Copies of batches by batch id, held in memory.
class CopyStore {
 public:
  /// Applies an update from the owner of a batch. `kept` is false in the reply
  /// if the update is rejected, because its epoch is below the highest one
  /// seen.
  v1::BatchCopyReply Store(const v1::BatchCopy& copy, Instant now);
  /// Returns the copy of a batch, or null. Valid until the store changes.
  const StoredCopy* find(const BatchId& batch) const;
  /// Returns the copy of a batch for a new owner, or UNKNOWN_BATCH if there is
  /// none.
  v1::BatchReply Recover(const BatchId& batch) const;
  /// Stores the state of a batch that this node stops owning, unless the stored
  /// copy has a higher epoch.
  void StoreUnlessOlder(const BatchId& batch, StoredCopy copy);
  void Erase(const BatchId& batch) { copies_.erase(batch); }
  std::vector<BatchId> batches() const;

 private:
  std::map<BatchId, StoredCopy> copies_;
};

}  // namespace mulberryroad::rollout

#endif  // MULBERRYROAD_SRC_ROLLOUT_COPY_STORE_H_
