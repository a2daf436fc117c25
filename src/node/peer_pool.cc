#include "node/peer_pool.h"

namespace mulberryroad::node {

void PeerPool::SetPeers(const std::vector<Endpoint>& peers) {
  std::map<Endpoint, Peer> kept;
  for (const Endpoint& peer : peers) {
    const auto known = peers_.find(peer);
    kept[peer] = known == peers_.end() ? Peer{} : known->second;
  }
  peers_ = std::move(kept);
}

std::optional<Endpoint> PeerPool::Choose(const std::set<Endpoint>& tried,
                                         Instant now,
                                         std::mt19937_64& random) const {
  std::vector<const std::pair<const Endpoint, Peer>*> usable;
  for (const auto& entry : peers_) {
    const Peer& peer = entry.second;
    if (!tried.contains(entry.first) && now >= peer.refused_until &&
        peer.in_flight < kMaxInFlight) {
      usable.push_back(&entry);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  const auto* first = usable[random() % usable.size()];
  const auto* second = usable[random() % usable.size()];
  return first->second.in_flight <= second->second.in_flight ? first->first
                                                             : second->first;
}

void PeerPool::OnSent(const Endpoint& peer) {
  if (const auto found = peers_.find(peer); found != peers_.end()) {
    ++found->second.in_flight;
  }
}

void PeerPool::OnEnded(const Endpoint& peer) {
  if (const auto found = peers_.find(peer);
      found != peers_.end() && found->second.in_flight > 0) {
    --found->second.in_flight;
  }
}

void PeerPool::OnRefused(const Endpoint& peer, Instant now) {
  if (const auto found = peers_.find(peer); found != peers_.end()) {
    found->second.refused_until = now + kRefusedTime;
  }
}

}  // namespace mulberryroad::node
