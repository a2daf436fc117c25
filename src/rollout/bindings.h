// Binding of sequence numbers to samples, derived from the records of a batch
// in the log. Every reader applies the records in offset order and so reaches
// the same state.

#ifndef MULBERRYROAD_SRC_ROLLOUT_BINDINGS_H_
#define MULBERRYROAD_SRC_ROLLOUT_BINDINGS_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "mulberryroad/rollout.pb.h"

namespace mulberryroad::rollout {

/// Groups bound by one record, and the first sequence number assigned to them.
struct BoundGroups {
  std::uint64_t first_sequence = 0;
  std::vector<std::string> groups;
};

/// Replays the log records of one batch. Records with an epoch below the
/// highest opened epoch are ignored, which fences off a previous owner.
class Bindings {
 public:
  /// @return false if the record is ignored: its epoch is outdated, it
  ///     has no digest, or the batch was opened with another specification
  bool Apply(const v1::BatchOpened& opened);
  /// @param samples total number of samples in the record's groups
  /// @return false if the record is ignored: it is not of the current epoch,
  ///     does not continue the sequence, or names a group that is already bound
  bool Apply(const v1::SequenceBound& bound, std::uint64_t samples);
  /// @return false if the record is ignored: it is not of the current epoch
  bool Apply(const v1::BatchClosed& closed);

  /// Returns the highest epoch in which the batch was opened, or 0 if none.
  std::uint64_t epoch() const { return epoch_; }
  const std::string& spec_sha256() const { return spec_sha256_; }
  const std::string& owner_node() const { return owner_node_; }
  const std::string& copy_node() const { return copy_node_; }
  bool opened() const { return !spec_sha256_.empty(); }
  bool closed() const { return closed_; }
  std::uint64_t next_sequence() const { return next_sequence_; }
  const std::vector<BoundGroups>& bound() const { return bound_; }

 private:
  std::uint64_t epoch_ = 0;
  std::string spec_sha256_;
  std::string owner_node_;
  std::string copy_node_;
  bool closed_ = false;
  std::uint64_t next_sequence_ = 0;
  std::set<std::string> bound_groups_;
  std::vector<BoundGroups> bound_;
};

}  // namespace mulberryroad::rollout

#endif  // MULBERRYROAD_SRC_ROLLOUT_BINDINGS_H_
