// Memory of the outputs of items that no run holds, and of their records that
// are not in the store yet.

#ifndef MULBERRYROAD_SRC_BATCHES_OUTPUT_MEMORY_H_
#define MULBERRYROAD_SRC_BATCHES_OUTPUT_MEMORY_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "base/metrics.h"
#include "base/structured_log.h"
#include "batches/item_progress.h"
#include "http/response_memory.h"
#include "platform/partition_store.h"

namespace mulberryroad::batches {

class OutputMemory;

/// Owns an output and counts it. If the memory evicts the output, it becomes
/// empty, as if the item had never run.
class HeldOutput {
 public:
  /// Holds an empty output.
  HeldOutput() = default;
  HeldOutput(HeldOutput&& other) noexcept = default;
  HeldOutput& operator=(HeldOutput&& other) noexcept = default;

  const ItemProgress& progress() const;
  /// Returns the output, which is not counted from now on.
  ItemProgress Take();

 private:
  friend class OutputMemory;
  struct State;

  /// Null for an empty output.
  std::shared_ptr<State> state_;
};

/// Counts outputs and records, and evicts the largest outputs while there is no
/// room for all. Belongs to the event loop's thread.
class OutputMemory {
 public:
  /// @param reserve sets the number of bytes in use; see ResponseMemory
  /// @param log,metrics receive the evictions
  OutputMemory(http::ResponseMemory::Reserve reserve, base::StructuredLog& log,
               base::Metrics& metrics);
  OutputMemory(const OutputMemory&) = delete;
  OutputMemory& operator=(const OutputMemory&) = delete;

  /// Whether an output may be evicted.
  enum class Eviction { kAllowed, kForbidden };
  /// Takes an output, which is evicted at once if it does not fit.
  HeldOutput Hold(ItemProgress progress,
                  Eviction eviction = Eviction::kAllowed);
  /// Counts records until the returned pointer is destroyed: in their queue and
  /// encoded for the append that is in flight. They are not evicted.
  std::shared_ptr<void> HoldRecords(
      const std::vector<platform::KeyedRecord>& records);
  /// Returns false while what cannot be evicted takes up all of the memory. No
  /// further output should be started then.
  bool HasRoom() { return memory_->HasRoom(); }
  /// Bytes in use.
  std::size_t held() const { return memory_->held(); }

 private:
  friend class HeldOutput;

  std::shared_ptr<http::ResponseMemory> memory_;
  base::StructuredLog& log_;
  base::Metrics& metrics_;
};

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_OUTPUT_MEMORY_H_
