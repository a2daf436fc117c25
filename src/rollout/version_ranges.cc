#include "rollout/version_ranges.h"

#include <algorithm>

namespace mulberryroad::rollout {

std::optional<std::uint32_t> OldestVersion(const VersionRanges& ranges) {
  std::optional<std::uint32_t> oldest;
  for (const v1::VersionRange& range : ranges) {
    oldest = std::min(oldest.value_or(range.version()), range.version());
  }
  return oldest;
}

VersionRanges JoinRanges(const VersionRanges& first, std::uint32_t tokens,
                         const VersionRanges& later) {
  VersionRanges joined = first;
  for (const v1::VersionRange& range : later) {
    if (range.end_token() <= tokens) {
      continue;
    }
    v1::VersionRange clipped = range;
    clipped.set_begin_token(std::max(range.begin_token(), tokens));
    if (!joined.empty() && joined.back().version() == clipped.version() &&
        joined.back().end_token() == clipped.begin_token()) {
      joined.back().set_end_token(clipped.end_token());
    } else {
      joined.push_back(clipped);
    }
  }
  return joined;
}

bool Covers(const VersionRanges& ranges, std::uint32_t tokens) {
  std::uint32_t covered = 0;
  for (const v1::VersionRange& range : ranges) {
    if (range.begin_token() != covered || range.end_token() < covered) {
      return false;
    }
    covered = range.end_token();
  }
  return covered == tokens;
}

}  // namespace mulberryroad::rollout
