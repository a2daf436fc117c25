// Memory of the items of open batches, which the partition owners of a node
// share.

#ifndef MULBERRYROAD_SRC_BATCHES_ITEM_MEMORY_H_
#define MULBERRYROAD_SRC_BATCHES_ITEM_MEMORY_H_

#include <cstddef>
#include <functional>

namespace mulberryroad::batches {

/// Estimates the memory that an owner needs for items.
/// @param encoded_bytes size of the encoded items
/// @param items number of items
std::size_t ItemMemoryNeed(std::size_t encoded_bytes, std::size_t items);

/// Counts the bytes of items, as long as the process has room for them. Belongs
/// to the event loop's thread.
class ItemMemory {
 public:
  /// Sets the number of bytes that items hold.
  /// @return false if there is no room for so many; the number then stays as it
  ///     was. A lower number is always accepted.
  using Reserve = std::function<bool(std::size_t bytes)>;

  explicit ItemMemory(Reserve reserve);
  ItemMemory(const ItemMemory&) = delete;
  ItemMemory& operator=(const ItemMemory&) = delete;

  /// Counts bytes if there is room for them.
  /// @return whether they were counted
  bool Take(std::size_t bytes);
  /// Gives back bytes that were taken.
  void Give(std::size_t bytes);
  std::size_t held() const { return held_; }

 private:
  Reserve reserve_;
  std::size_t held_ = 0;
};

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_ITEM_MEMORY_H_
