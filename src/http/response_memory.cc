#include "http/response_memory.h"

#include <algorithm>
#include <utility>

namespace mulberryroad::http {

ResponseMemory::ResponseMemory(Reserve reserve)
    : reserve_(std::move(reserve)) {}

ResponseMemory::Id ResponseMemory::Add(std::function<void()> on_evicted) {
  const Id id = ++last_id_;
  entries_[id].on_evicted = std::move(on_evicted);
  return id;
}

void ResponseMemory::Remove(Id id) {
  Set(id, 0);
  entries_.erase(id);
}

void ResponseMemory::Set(Id id, std::size_t bytes) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.bytes == bytes) {
    return;
  }
  held_ = held_ - found->second.bytes + bytes;
  found->second.bytes = bytes;
  while (reserve_ && !reserve_(held_) && held_ > 0) {
    EvictLargest();
  }
}

void ResponseMemory::EvictLargest() {
  const auto largest =
      std::max_element(entries_.begin(), entries_.end(),
                       [](const auto& left, const auto& right) {
                         return left.second.bytes < right.second.bytes;
                       });
  held_ -= largest->second.bytes;
  const auto on_evicted = std::move(largest->second.on_evicted);
  entries_.erase(largest);
  on_evicted();
}

}  // namespace mulberryroad::http
