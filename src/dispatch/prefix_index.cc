#include "dispatch/prefix_index.h"

#include <algorithm>

#include "base/digest.h"

namespace mulberryroad::dispatch {

namespace {

constexpr std::size_t kMaxHolders = 4;

}  // namespace

std::vector<std::uint64_t> PrefixHashes(std::string_view prompt) {
  const std::size_t blocks =
      std::min(prompt.size() / kPrefixBlockBytes, kMaxPrefixBlocks);
  std::vector<std::uint64_t> hashes;
  hashes.reserve(blocks);
  std::uint64_t previous = 0;
  for (std::size_t block = 0; block < blocks; ++block) {
    previous = base::StableHash(
        prompt.substr(block * kPrefixBlockBytes, kPrefixBlockBytes), previous);
    hashes.push_back(previous);
  }
  return hashes;
}

PrefixIndex::PrefixIndex(std::size_t capacity,
                         std::chrono::milliseconds max_age)
    : capacity_(capacity), max_age_(max_age) {}

void PrefixIndex::Add(std::uint64_t hash, UpstreamIndex upstream, Instant now) {
  const auto found = entries_.find(hash);
  if (found == entries_.end()) {
    lru_.push_front({hash, {}});
    entries_[hash] = lru_.begin();
  } else {
    lru_.splice(lru_.begin(), lru_, found->second);
  }
  std::vector<Holder>& holders = lru_.front().holders;
  std::erase_if(holders, [&](const Holder& holder) {
    return holder.upstream == upstream;
  });
  holders.insert(holders.begin(), {upstream, now});
  if (holders.size() > kMaxHolders) {
    holders.pop_back();
  }
  if (entries_.size() > capacity_) {
    entries_.erase(lru_.back().hash);
    lru_.pop_back();
  }
}

void PrefixIndex::Remove(std::uint64_t hash, UpstreamIndex upstream) {
  const auto found = entries_.find(hash);
  if (found == entries_.end()) {
    return;
  }
  std::vector<Holder>& holders = found->second->holders;
  std::erase_if(holders, [&](const Holder& holder) {
    return holder.upstream == upstream;
  });
  if (holders.empty()) {
    lru_.erase(found->second);
    entries_.erase(found);
  }
}

std::vector<UpstreamIndex> PrefixIndex::Holders(std::uint64_t hash,
                                                Instant now) const {
  std::vector<UpstreamIndex> upstreams;
  const auto found = entries_.find(hash);
  if (found == entries_.end()) {
    return upstreams;
  }
  for (const Holder& holder : found->second->holders) {
    if (now - holder.recorded_at <= max_age_) {
      upstreams.push_back(holder.upstream);
    }
  }
  return upstreams;
}

}  // namespace mulberryroad::dispatch
