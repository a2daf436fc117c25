#include "batches/item_memory.h"

#include <utility>

namespace mulberryroad::batches {

namespace {

// Memory of an item besides its encoding: the decoded message, and its entries
// in the scheduler and in the batch.
constexpr std::size_t kItemOverheadBytes = 400;

}  // namespace

std::size_t ItemMemoryNeed(std::size_t encoded_bytes, std::size_t items) {
  return encoded_bytes + items * kItemOverheadBytes;
}

ItemMemory::ItemMemory(Reserve reserve) : reserve_(std::move(reserve)) {}

bool ItemMemory::Take(std::size_t bytes) {
  if (!reserve_(held_ + bytes)) {
    return false;
  }
  held_ += bytes;
  return true;
}

void ItemMemory::Give(std::size_t bytes) {
  held_ -= bytes;
  reserve_(held_);
}

}  // namespace mulberryroad::batches
