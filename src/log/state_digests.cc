#include "log/state_digests.h"

#include <utility>

#include "base/decision_log.h"

namespace mulberryroad::log {

StateDigests::StateDigests(std::string stream) : stream_(std::move(stream)) {}

void StateDigests::Note(platform::Offset offset, std::string digest) {
  digests_[offset] = std::move(digest);
  if (digests_.size() > kRemembered) {
    digests_.erase(digests_.begin());
  }
}

bool StateDigests::Compare(platform::Offset offset,
                           const v1::Snapshot& snapshot) {
  if (snapshot.covered_offset() == offset) {
    return true;
  }
  // Between two noted offsets lie only repeats, which change nothing.
  auto own = digests_.upper_bound(snapshot.covered_offset());
  if (own == digests_.begin()) {
    return true;
  }
  --own;
  ++compared_;
  if (own->second == snapshot.state_sha256()) {
    return true;
  }
  ++mismatches_;
  base::LogError("snapshot-mismatch",
                 "stream " + stream_ + ": the snapshot at offset " +
                     std::to_string(offset) + " has state " +
                     snapshot.state_sha256() + " at offset " +
                     std::to_string(snapshot.covered_offset()) +
                     " but this node had " + own->second);
  return false;
}

}  // namespace mulberryroad::log
