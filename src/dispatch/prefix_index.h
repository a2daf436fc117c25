// Remembers which upstreams are likely to have a prompt prefix in their cache.
// The answers are hints: cache events are late and have gaps.

#ifndef MULBERRYROAD_SRC_DISPATCH_PREFIX_INDEX_H_
#define MULBERRYROAD_SRC_DISPATCH_PREFIX_INDEX_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mulberryroad/clock.h"

namespace mulberryroad::dispatch {

/// Index of an upstream in the pool's table.
using UpstreamIndex = std::uint32_t;

/// Bytes of a prompt that one prefix hash covers.
constexpr std::size_t kPrefixBlockBytes = 64;
/// Prefixes longer than this many blocks are not told apart.
constexpr std::size_t kMaxPrefixBlocks = 64;

/// Returns the chained hashes of a prompt's whole blocks, first block first.
std::vector<std::uint64_t> PrefixHashes(std::string_view prompt);

class PrefixIndex {
 public:
  PrefixIndex(std::size_t capacity, std::chrono::milliseconds max_age);

  /// Notes that an upstream holds a prefix.
  void Add(std::uint64_t hash, UpstreamIndex upstream, Instant now);
  /// Notes that an upstream no longer holds a prefix.
  void Remove(std::uint64_t hash, UpstreamIndex upstream);
  /// Returns the upstreams that lately held a prefix, the latest first.
  std::vector<UpstreamIndex> Holders(std::uint64_t hash, Instant now) const;

  std::size_t size() const { return entries_.size(); }

 private:
  struct Holder {
    UpstreamIndex upstream = 0;
    Instant seen{};
  };
  struct Entry {
    std::uint64_t hash = 0;
    std::vector<Holder> holders;
  };
  using Recency = std::list<Entry>;

  std::size_t capacity_;
  std::chrono::milliseconds max_age_;
  // Most recently used first.
  Recency recency_;
  std::unordered_map<std::uint64_t, Recency::iterator> entries_;
};

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_PREFIX_INDEX_H_
