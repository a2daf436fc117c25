// Items of the batches of one partition. They stay in the store while there is
// no memory for them.

#ifndef MULBERRYROAD_SRC_BATCHES_BATCH_ITEMS_H_
#define MULBERRYROAD_SRC_BATCHES_BATCH_ITEMS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/structured_log.h"
#include "batches/batch_keys.h"
#include "batches/item_memory.h"
#include "batches/item_scheduler.h"
#include "mulberryroad/store.pb.h"
#include "platform/partition_store.h"

namespace mulberryroad::batches {

/// Keeps the chunks of a batch as they are read, as long as the memory allows
/// it, and reads the chunks of other batches when they are asked for. Must be
/// owned by a `std::shared_ptr` and used on the thread of the event loop.
class BatchItems : public std::enable_shared_from_this<BatchItems> {
 public:
  /// @param log,store,memory must outlive this
  /// @param partition partition of the batches
  BatchItems(base::StructuredLog& log, platform::PartitionStore& store,
             platform::PartitionId partition, ItemMemory& memory);
  ~BatchItems();
  BatchItems(const BatchItems&) = delete;
  BatchItems& operator=(const BatchItems&) = delete;

  /// Adds a chunk that was read. The first content of a chunk counts; a chunk
  /// that cannot be decoded is ignored.
  void Add(const ChunkKey& key, const std::string& value);
  /// Returns whether the items of a batch are in memory.
  /// @param chunks number of the batch's chunks
  bool IsLoaded(const std::string& batch, std::uint32_t chunks) const;
  /// Reads the chunks of a batch from the store if there is memory for them
  /// now. No effect while they are being read, or if they are in memory.
  /// @param on_loaded called if all were read; not after Remove
  void Load(const std::string& batch, std::function<void()> on_loaded);
  /// Makes a loaded batch open. From now on its chunks do not change.
  void Open(const std::string& batch);
  /// Returns the items of an open batch in order. The reference is valid until
  /// Remove.
  const std::vector<v1::BatchItem>& open_items(const std::string& batch) const {
    return entries_.at(batch).items;
  }
  /// Returns an item of an open batch, or null if there is none.
  const v1::BatchItem* Find(const ItemRef& item) const;
  /// Forgets a batch and gives its memory back.
  void Remove(const std::string& batch);

  /// Timeout of each read.
  static constexpr std::chrono::milliseconds kReadTimeout{500};

 private:
  struct Entry {
    /// Memory that each chunk needs, by its number.
    std::map<std::uint32_t, std::size_t> needs;
    /// Chunks in memory; empty once the batch is open.
    std::map<std::uint32_t, v1::BatchChunk> chunks;
    std::vector<v1::BatchItem> items;
    /// Bytes taken from the memory.
    std::size_t held = 0;
    /// There was no memory for a chunk; the batch holds none.
    bool dropped = false;
    bool loading = false;
    bool open = false;
  };

  void ReadPage(const std::string& batch, const std::string& after,
                std::function<void()> on_loaded);
  /// @return whether the page has the last chunk of the batch
  static bool AddPage(const platform::LatestPage& page,
                      const std::string& batch, Entry* entry);
  void Drop(Entry* entry);

  base::StructuredLog& log_;
  platform::PartitionStore& store_;
  platform::PartitionId partition_;
  ItemMemory& memory_;
  std::map<std::string, Entry> entries_;
};

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_BATCH_ITEMS_H_
