// The sequence numbers of a batch as the log binds them: one rule that every
// reader applies to the records in offset order.

#ifndef MULBERRYROAD_SRC_ROLLOUT_BINDINGS_H_
#define MULBERRYROAD_SRC_ROLLOUT_BINDINGS_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "mulberryroad/rollout.pb.h"

namespace mulberryroad::rollout {

/// Groups that got their sequence numbers, and the first of these.
struct BoundGroups {
  std::uint64_t first_sequence = 0;
  std::vector<std::string> groups;
};

/// Replays the records of one batch. Records of an epoch below the highest
/// opened one are void, so that a former owner can bind nothing.
class Bindings {
 public:
  /// @return false if the record is void
  bool Apply(const v1::BatchOpened& opened);
  /// @param samples total number of samples in the record's groups
  /// @return false if the record is void
  bool Apply(const v1::SequenceBound& bound, std::uint64_t samples);
  /// @return false if the record is void
  bool Apply(const v1::BatchClosed& closed);

  /// Returns the highest epoch under which the batch was opened; 0 for none.
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
