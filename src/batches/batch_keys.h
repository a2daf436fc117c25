// Keys of a batch's records in the store. In their order stand first what was
// accepted, then the results by position, the end, and the items.

#ifndef MULBERRYROAD_SRC_BATCHES_BATCH_KEYS_H_
#define MULBERRYROAD_SRC_BATCHES_BATCH_KEYS_H_

#include <cstdint>
#include <string>
#include <variant>

#include "platform/partition_store.h"

namespace mulberryroad::batches {

/// Topic of what was accepted and ended, by organisation.
inline constexpr char kBatchTopic[] = "keyed.batches";
/// Topic of the results, by batch. It is apart, so that the owner of a
/// partition reads little when it takes over.
inline constexpr char kResultTopic[] = "keyed.results";

/// What a key names.
struct AcceptedKey {
  std::string batch;
};
struct ResultKey {
  std::string batch;
  std::uint32_t position = 0;
};
/// Part of the events of an unfinished item.
struct ProgressKey {
  std::string batch;
  std::string item;
  std::uint32_t number = 0;
};
struct EndKey {
  std::string batch;
};
struct ChunkKey {
  std::string batch;
  std::uint32_t number = 0;
};
struct ForeignKey {};
using BatchKey = std::variant<AcceptedKey, ResultKey, ProgressKey, EndKey,
                              ChunkKey, ForeignKey>;

std::string Encode(const AcceptedKey& key);
std::string Encode(const ResultKey& key);
std::string Encode(const ProgressKey& key);
std::string Encode(const EndKey& key);
std::string Encode(const ChunkKey& key);
BatchKey Decode(const std::string& key);

/// Returns whether an id can be part of a key, with room for another beside it.
bool IsBatchId(const std::string& id);
/// Returns the partition that holds the batches of an organisation. A trainer
/// has one organisation: the owner of its partition keeps connections to the
/// upstreams from step to step, and what the last step left of its groups.
platform::PartitionId PartitionOf(const std::string& organisation,
                                  int partitions);

/// Returns the partition that holds the results of a batch.
platform::PartitionId ResultPartitionOf(const std::string& batch,
                                        int partitions);

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_BATCH_KEYS_H_
