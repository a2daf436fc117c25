// LRU index of the upstreams that probably have a prompt prefix in their cache.
// Results are hints, because cache events arrive late and with gaps.

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

/// Number of prompt bytes per block; each block has one prefix hash.
constexpr std::size_t kPrefixBlockBytes = 64;
/// Upper bound of hashed blocks; prompts that differ only beyond it have equal
/// hashes.
constexpr std::size_t kMaxPrefixBlocks = 64;

/// Returns the chained hashes of the complete blocks of a prompt, in order.
std::vector<std::uint64_t> PrefixHashes(std::string_view prompt);

class PrefixIndex {
 public:
  /// @param capacity maximum number of prefixes; the least recently used one is
  /// evicted
  /// @param max_age age after which a holder is no longer returned
  PrefixIndex(std::size_t capacity, std::chrono::milliseconds max_age);

  /// Records that an upstream has a prefix cached.
  void Add(std::uint64_t hash, UpstreamIndex upstream, Instant now);
  /// Records that an upstream evicted a prefix.
  void Remove(std::uint64_t hash, UpstreamIndex upstream);
  /// Returns the upstreams that had a prefix cached recently, most recent
  /// first.
  std::vector<UpstreamIndex> Holders(std::uint64_t hash, Instant now) const;

  std::size_t size() const { return entries_.size(); }

 private:
  struct Holder {
    UpstreamIndex upstream = 0;
    Instant recorded_at{};
  };
  struct Entry {
    std::uint64_t hash = 0;
    std::vector<Holder> holders;
  };
  using LruList = std::list<Entry>;

  std::size_t capacity_;
  std::chrono::milliseconds max_age_;
  // Most recently used first.
  LruList lru_;
  std::unordered_map<std::uint64_t, LruList::iterator> entries_;
};

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_PREFIX_INDEX_H_
