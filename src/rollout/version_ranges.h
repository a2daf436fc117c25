// The labels of a sample: which weight version produced which tokens.

#ifndef MULBERRYROAD_SRC_ROLLOUT_VERSION_RANGES_H_
#define MULBERRYROAD_SRC_ROLLOUT_VERSION_RANGES_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "mulberryroad/rollout.pb.h"

namespace mulberryroad::rollout {

/// Ranges in the order of their tokens.
using VersionRanges = std::vector<v1::VersionRange>;

/// Returns the oldest version among ranges, or nullopt if there are none.
std::optional<std::uint32_t> OldestVersion(const VersionRanges& ranges);

/// Joins the ranges of a sample's first tokens with those of later ones.
/// @param tokens number of tokens that `first` covers
/// @param later what it says of the first tokens is ignored
VersionRanges Join(const VersionRanges& first, std::uint32_t tokens,
                   const VersionRanges& later);

/// Tells whether ranges name exactly one version for each of a number of
/// tokens.
bool Covers(const VersionRanges& ranges, std::uint32_t tokens);

}  // namespace mulberryroad::rollout

#endif  // MULBERRYROAD_SRC_ROLLOUT_VERSION_RANGES_H_
