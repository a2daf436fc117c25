#include "http/response_memory.h"

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
  exhausted_ = false;
  while (reserve_ && !exhausted_ && !reserve_(held_)) {
    exhausted_ = !EvictLargest();
  }
}

bool ResponseMemory::HasRoom() {
  exhausted_ = exhausted_ && !reserve_(held_);
  return !exhausted_;
}

bool ResponseMemory::EvictLargest() {
  auto largest = entries_.end();
  for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) {
    if (entry->second.on_evicted && entry->second.bytes > 0 &&
        (largest == entries_.end() ||
         entry->second.bytes > largest->second.bytes)) {
      largest = entry;
    }
  }
  if (largest == entries_.end()) {
    return false;
  }
  held_ -= largest->second.bytes;
  const auto on_evicted = std::move(largest->second.on_evicted);
  entries_.erase(largest);
  on_evicted();
  return true;
}

}  // namespace mulberryroad::http
