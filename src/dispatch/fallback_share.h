// Slots that a node takes without a dispatcher: of each upstream at most the
// node's own share, and only of upstreams that a dispatcher granted lately.

#ifndef MULBERRYROAD_SRC_DISPATCH_FALLBACK_SHARE_H_
#define MULBERRYROAD_SRC_DISPATCH_FALLBACK_SHARE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

#include "mulberryroad/clock.h"
#include "mulberryroad/dispatch.pb.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::dispatch {

class FallbackShare {
 public:
  /// An upstream is used for this long after its last grant, so that one that
  /// leaves meanwhile gets no new work after a few seconds.
  static constexpr std::chrono::milliseconds kMemory = std::chrono::seconds{5};

  /// Remembers the upstream of a dispatcher's grant.
  void Learn(const PoolId& pool, const v1::Grant& grant, Instant now);

  /// Takes a slot of the less busy of two upstreams drawn at random.
  /// @param entries number of nodes that share the upstreams
  std::optional<v1::Grant> Choose(const PoolId& pool,
                                  const v1::GrantRequest& request,
                                  std::size_t entries, Instant now,
                                  std::mt19937_64& random);

  /// Takes a slot back.
  /// @return false if it was not taken here
  bool Release(const v1::GrantRelease& release);

 private:
  struct Known {
    v1::Grant grant;
    Instant seen{};
    std::uint32_t in_use = 0;
    bool failed = false;
  };
  using Upstreams = std::map<std::string, Known>;

  struct Taken {
    PoolId pool;
    std::string upstream;
  };

  static bool Usable(const Known& known, const v1::GrantRequest& request,
                     std::size_t entries, Instant now);

  std::map<PoolId, Upstreams> pools_;
  std::unordered_map<std::uint64_t, Taken> taken_;
  std::uint64_t next_grant_ = 1;
};

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_FALLBACK_SHARE_H_
