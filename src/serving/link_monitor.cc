#include "serving/link_monitor.h"

#include <algorithm>

namespace mulberryroad::serving {

void LinkMonitor::OnReached(const UpstreamId& id, Instant now) {
  Link& link = links_[id];
  if (link.failing_since.has_value()) {
    recovered_ = now;
  }
  link = Link{};
  link.last_evidence = now;
  failing_.erase(id);
  last_reached_ = now;
}

void LinkMonitor::OnUnreachable(const UpstreamId& id, Instant now) {
  Link& link = links_[id];
  link.last_evidence = now;
  if (!link.failing_since.has_value()) {
    link.failing_since = now;
    failing_.insert(id);
  }
}

void LinkMonitor::OnReachedByPeer(const UpstreamId& id, Instant now) {
  Link& link = links_[id];
  link.last_evidence = now;
  link.reached_by_peer = link.failing_since.has_value();
  link.peer_failed.reset();
}

void LinkMonitor::OnUnreachableByPeer(const UpstreamId& id, Instant now) {
  Link& link = links_[id];
  link.last_evidence = now;
  link.reached_by_peer = false;
  link.peer_failed = now;
}

bool LinkMonitor::IsDown(const Link& link, Instant now) const {
  return link.peer_failed.has_value() && now < *link.peer_failed + kDownTime;
}

LinkPath LinkMonitor::path(const UpstreamId& id, Instant now) const {
  const auto found = links_.find(id);
  if (found != links_.end()) {
    const Link& link = found->second;
    if (IsDown(link, now)) {
      return LinkPath::kDirect;
    }
    if (link.failing_since.has_value()) {
      return LinkPath::kPeer;
    }
  }
  return likely_cut_off(now) ? LinkPath::kPeer : LinkPath::kDirect;
}

bool LinkMonitor::IsCutOff(std::size_t lost,
                           const std::optional<Instant>& first) const {
  return lost >= std::min(kMinLostLinks, links_.size()) && first.has_value() &&
         (!last_reached_.has_value() || *last_reached_ < *first);
}

bool LinkMonitor::cut_off() const {
  std::size_t lost = 0;
  std::optional<Instant> first;
  for (const UpstreamId& id : failing_) {
    const Link& link = links_.at(id);
    if (link.reached_by_peer) {
      ++lost;
      first =
          std::min(first.value_or(*link.failing_since), *link.failing_since);
    }
  }
  return IsCutOff(lost, first);
}

bool LinkMonitor::likely_cut_off(Instant now) const {
  std::size_t lost = 0;
  std::optional<Instant> first;
  for (const UpstreamId& id : failing_) {
    const Link& link = links_.at(id);
    if (!IsDown(link, now)) {
      ++lost;
      first =
          std::min(first.value_or(*link.failing_since), *link.failing_since);
    }
  }
  return IsCutOff(lost, first);
}

std::vector<UpstreamId> LinkMonitor::OtherProbes(Instant now) {
  std::vector<UpstreamId> others;
  const bool unanswered = std::any_of(
      failing_.begin(), failing_.end(), [this](const UpstreamId& id) {
        return !last_reached_.has_value() ||
               *last_reached_ < *links_.at(id).failing_since;
      });
  if (!unanswered) {
    return others;
  }
  for (auto& [id, link] : links_) {
    if (others.size() >= kOtherProbes) {
      break;
    }
    if (!link.failing_since.has_value() &&
        now >= link.probed + kProbeInterval) {
      link.probed = now;
      others.push_back(id);
    }
  }
  return others;
}

std::vector<UpstreamId> LinkMonitor::TakeProbes(Instant now) {
  std::vector<UpstreamId> probes = OtherProbes(now);
  const bool recovering =
      recovered_.has_value() && now < *recovered_ + kRecoveryTime;
  if (!recovering && now < last_probe_ + kProbeInterval) {
    return probes;
  }
  Link* next = nullptr;
  const UpstreamId* next_id = nullptr;
  for (const UpstreamId& id : failing_) {
    Link& link = links_.at(id);
    if (recovering && now >= link.probed + kProbeInterval) {
      link.probed = now;
      probes.push_back(id);
    } else if (!recovering && (next == nullptr || link.probed < next->probed)) {
      next = &link;
      next_id = &id;
    }
  }
  if (next != nullptr) {
    next->probed = now;
    last_probe_ = now;
    probes.push_back(*next_id);
  }
  return probes;
}

void LinkMonitor::Expire(Instant now) {
  std::erase_if(links_, [this, now](const auto& entry) {
    const bool expired = entry.second.last_evidence + kMaxAge < now;
    if (expired) {
      failing_.erase(entry.first);
    }
    return expired;
  });
}

std::size_t LinkMonitor::lost_links() const {
  return static_cast<std::size_t>(std::count_if(
      failing_.begin(), failing_.end(),
      [this](const auto& id) { return links_.at(id).reached_by_peer; }));
}

std::chrono::milliseconds LinkMonitor::unreachable_for(const UpstreamId& id,
                                                       Instant now) const {
  const auto found = links_.find(id);
  if (found == links_.end() || !found->second.failing_since.has_value()) {
    return std::chrono::milliseconds(0);
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      now - *found->second.failing_since);
}

}  // namespace mulberryroad::serving
