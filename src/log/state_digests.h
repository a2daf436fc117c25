// Compares the state of this node with the snapshots that others append.

#ifndef MULBERRYROAD_SRC_LOG_STATE_DIGESTS_H_
#define MULBERRYROAD_SRC_LOG_STATE_DIGESTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "mulberryroad/record.pb.h"
#include "platform/log_service.h"

namespace mulberryroad::log {

/// Remembers the digest of a stream's state after each of the latest records.
class StateDigests {
 public:
  explicit StateDigests(std::string stream);

  /// Notes the digest of the state after the record at an offset.
  void Note(platform::Offset offset, std::string digest);
  /// Compares a snapshot with the state that this node had at the covered
  /// offset; logs a difference.
  /// @param offset where the snapshot was handed out
  /// @return false if they differ
  bool Compare(platform::Offset offset, const v1::Snapshot& snapshot);

  std::uint64_t mismatches() const { return mismatches_; }
  /// Snapshots whose covered offset was remembered.
  std::uint64_t compared() const { return compared_; }

  static constexpr std::size_t kRemembered = 512;

 private:
  std::string stream_;
  std::map<platform::Offset, std::string> digests_;
  std::uint64_t mismatches_ = 0;
  std::uint64_t compared_ = 0;
};

}  // namespace mulberryroad::log

#endif  // MULBERRYROAD_SRC_LOG_STATE_DIGESTS_H_
