// Memory of responses: those that a client is receiving, or their outputs that
// a receiver keeps.

#ifndef MULBERRYROAD_SRC_HTTP_RESPONSE_MEMORY_H_
#define MULBERRYROAD_SRC_HTTP_RESPONSE_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace mulberryroad::http {

/// Counts the bytes of responses, and evicts the largest ones while the process
/// has no room for all. Performs no I/O.
class ResponseMemory {
 public:
  using Id = std::uint64_t;
  /// Sets the number of bytes that all responses hold.
  /// @return false if there is no room for so many; the number then stays as it
  ///     was. A lower number is always accepted.
  using Reserve = std::function<bool(std::size_t bytes)>;

  /// @param reserve empty for no limit
  explicit ResponseMemory(Reserve reserve);
  ResponseMemory(const ResponseMemory&) = delete;
  ResponseMemory& operator=(const ResponseMemory&) = delete;

  /// Adds a response without bytes.
  /// @param on_evicted called once if the response must be given up; it counts
  ///     no more then. Must not call other methods than Remove. Null if the
  ///     response cannot be given up.
  Id Add(std::function<void()> on_evicted);
  /// Removes a response; does nothing if it was evicted.
  void Remove(Id id);
  /// Sets the bytes that a response holds. May evict this one or others.
  void Set(Id id, std::size_t bytes);

  std::size_t held() const { return held_; }
  /// Returns false while the responses that cannot be given up have no room.
  bool HasRoom();

 private:
  struct Entry {
    std::size_t bytes = 0;
    std::function<void()> on_evicted;
  };

  /// @return false if no response can be given up
  bool EvictLargest();

  Reserve reserve_;
  std::map<Id, Entry> entries_;
  std::size_t held_ = 0;
  /// The last reservation failed, and nothing was left to evict.
  bool exhausted_ = false;
  Id last_id_ = 0;
};

}  // namespace mulberryroad::http

#endif  // MULBERRYROAD_SRC_HTTP_RESPONSE_MEMORY_H_
