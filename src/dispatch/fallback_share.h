// Grants slots on this node while the pool's dispatcher is unreachable. Uses at
// most this node's share of the slots of each upstream, and only upstreams on
// which a dispatcher recently granted a slot.

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
  /// Time after a dispatcher's last grant on an upstream during which the
  /// upstream may be used. Bounds how long a leaving upstream gets new work.
  static constexpr std::chrono::milliseconds kMaxGrantAge =
      std::chrono::seconds{5};

  /// Records the upstream of a dispatcher's grant as usable, even if a request
  /// failed on it before.
  void RecordGrant(const PoolId& pool, const v1::Grant& grant, Instant now);

  /// Grants a slot on the less loaded of two upstreams chosen at random.
  /// @param sharing_nodes number of nodes that share the upstreams
  /// @return nullopt if no recorded upstream is usable
  std::optional<v1::Grant> Acquire(const PoolId& pool,
                                   const v1::GrantRequest& request,
                                   std::size_t sharing_nodes, Instant now,
                                   std::mt19937_64& random);

  /// Releases a slot granted by Acquire.
  /// @return false if the grant is unknown or already released
  bool Release(const v1::GrantRelease& release);

 private:
  struct KnownUpstream {
    v1::Grant grant;
    Instant granted_at{};
    std::uint32_t in_use = 0;
    bool failed = false;
  };
  using Upstreams = std::map<std::string, KnownUpstream>;

  struct LocalGrant {
    PoolId pool;
    std::string upstream;
  };

  static bool Usable(const KnownUpstream& known,
                     const v1::GrantRequest& request, std::size_t sharing_nodes,
                     Instant now);

  std::map<PoolId, Upstreams> pools_;
  std::unordered_map<std::uint64_t, LocalGrant> local_grants_;
  std::uint64_t next_grant_ = 1;
};

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_FALLBACK_SHARE_H_
