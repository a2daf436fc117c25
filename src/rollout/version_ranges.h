// Version labels of a sample: which weight version generated which tokens.

#ifndef MULBERRYROAD_SRC_ROLLOUT_VERSION_RANGES_H_
#define MULBERRYROAD_SRC_ROLLOUT_VERSION_RANGES_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "mulberryroad/rollout.pb.h"

namespace mulberryroad::rollout {

/// Token ranges with their weight versions, ordered by token position.
using VersionRanges = std::vector<v1::VersionRange>;

/// Returns the lowest version among the ranges, or nullopt if there are none.
std::optional<std::uint32_t> OldestVersion(const VersionRanges& ranges);

/// Appends the ranges of later tokens to those of a sample's first tokens.
/// @param tokens number of tokens that `first` covers
/// @param later parts of these ranges below `tokens` are ignored
VersionRanges JoinRanges(const VersionRanges& first, std::uint32_t tokens,
                         const VersionRanges& later);

/// Returns whether the ranges are contiguous from token 0 and cover exactly the
/// given number of tokens.
bool Covers(const VersionRanges& ranges, std::uint32_t tokens);

}  // namespace mulberryroad::rollout

#endif  // MULBERRYROAD_SRC_ROLLOUT_VERSION_RANGES_H_
