// Keys of a batch's records in the store. They sort in this order: the accepted
// batch, the results by position, the end, the progress of unfinished items by
// item and number, and the chunks of items.

#ifndef MULBERRYROAD_SRC_BATCHES_BATCH_KEYS_H_
#define MULBERRYROAD_SRC_BATCHES_BATCH_KEYS_H_

#include <cstdint>
#include <string>
#include <variant>

#include "platform/partition_store.h"

namespace mulberryroad::batches {

/// Topic of the accepted batches, their items and their ends, partitioned by
/// organisation.
inline constexpr char kBatchTopic[] = "keyed.batches";
/// Topic of the results and the progress of unfinished items, partitioned by
/// batch. Separate from `kBatchTopic`, so that a new owner of a batch partition
/// reads few records before it starts.
inline constexpr char kResultTopic[] = "keyed.results";

/// Key of an accepted batch.
struct AcceptedKey {
  std::string batch;
};
/// Key of the result at a position of a batch.
struct ResultKey {
  std::string batch;
  std::uint32_t position = 0;
};
/// Key of a range of the events of an unfinished item.
struct ProgressKey {
  std::string batch;
  std::string item;
  std::uint32_t number = 0;
};
/// Key of the record that marks a batch as ended.
struct EndKey {
  std::string batch;
};
/// Key of a chunk of a batch's items.
struct ChunkKey {
  std::string batch;
  std::uint32_t number = 0;
};
/// A key that does not have the format of a batch record.
struct UnrecognizedKey {};
using BatchKey = std::variant<AcceptedKey, ResultKey, ProgressKey, EndKey,
                              ChunkKey, UnrecognizedKey>;

std::string Encode(const AcceptedKey& key);
std::string Encode(const ResultKey& key);
std::string Encode(const ProgressKey& key);
std::string Encode(const EndKey& key);
std::string Encode(const ChunkKey& key);
/// Parses a key; returns UnrecognizedKey if it has another format.
BatchKey Decode(const std::string& key);

/// Returns whether an id is valid in a key: letters, digits, '-', '_' and '.',
/// and short enough that a key can hold two ids.
bool IsValidKeyId(const std::string& id);
/// Returns the id under which the progress of an item is stored: its own if it
/// is valid in a key, else a digest of it.
std::string ProgressIdOf(const std::string& item);
/// Returns the partition that holds the batches of an organisation. As a
/// trainer has one organisation, all its steps have the same owner, which
/// reuses its upstream connections and the outputs of incomplete groups of the
/// previous step.
/// @param partitions number of partitions of the topic
platform::PartitionId BatchPartitionOf(const std::string& organisation,
                                       int partitions);

/// Returns the partition that holds the results of a batch.
/// @param partitions number of partitions of the topic
platform::PartitionId ResultPartitionOf(const std::string& batch,
                                        int partitions);

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_BATCH_KEYS_H_
