#include "dispatch/fallback_share.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mulberryroad::dispatch {

namespace {

// Bit set in the ids of grants that were not issued by a dispatcher.
constexpr std::uint64_t kLocalGrantBit = std::uint64_t{1} << 63U;
constexpr int kRandomCandidates = 2;

}  // namespace

void FallbackShare::RecordGrant(const PoolId& pool, const v1::Grant& grant,
                                Instant now) {
  KnownUpstream& known = pools_[pool][grant.upstream()];
  known.grant = grant;
  known.granted_at = now;
  known.failed = false;
}

bool FallbackShare::Usable(const KnownUpstream& known,
                           const v1::GrantRequest& request,
                           std::size_t sharing_nodes, Instant now) {
  const auto& excluded = request.excluded_upstreams();
  const bool is_excluded = std::find(excluded.begin(), excluded.end(),
                                     known.grant.upstream()) != excluded.end();
  const std::size_t share = std::max<std::size_t>(
      1, known.grant.slots() / std::max<std::size_t>(sharing_nodes, 1));
  const bool reclaim_safe = request.repeatable() || !known.grant.reclaimable();
  return !is_excluded && reclaim_safe && !known.failed &&
         now - known.granted_at <= kMaxGrantAge &&
         known.grant.version() >= request.min_version() && known.in_use < share;
}

std::optional<v1::Grant> FallbackShare::Acquire(const PoolId& pool,
                                                const v1::GrantRequest& request,
                                                std::size_t sharing_nodes,
                                                Instant now,
                                                std::mt19937_64& random) {
  std::vector<KnownUpstream*> usable;
  for (auto& [name, known] : pools_[pool]) {
    if (Usable(known, request, sharing_nodes, now)) {
      usable.push_back(&known);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> draw(0, usable.size() - 1);
  KnownUpstream* chosen = usable[draw(random)];
  for (int drawn = 1; drawn < kRandomCandidates; ++drawn) {
    KnownUpstream* other = usable[draw(random)];
    chosen = other->in_use < chosen->in_use ? other : chosen;
  }
  ++chosen->in_use;
  v1::Grant grant = chosen->grant;
  grant.set_grant_id(kLocalGrantBit | next_grant_++);
  grant.set_reason("own share, the dispatcher cannot be reached");
  local_grants_[grant.grant_id()] = LocalGrant{pool, grant.upstream()};
  return grant;
}

bool FallbackShare::Release(const v1::GrantRelease& release) {
  const auto found = local_grants_.find(release.grant_id());
  if (found == local_grants_.end()) {
    return false;
  }
  KnownUpstream& known = pools_[found->second.pool][found->second.upstream];
  known.in_use -= known.in_use > 0 ? 1 : 0;
  known.failed = known.failed || release.failed();
  local_grants_.erase(found);
  return true;
}

}  // namespace mulberryroad::dispatch
