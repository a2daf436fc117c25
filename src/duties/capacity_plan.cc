#include "duties/capacity_plan.h"

#include <algorithm>

namespace mulberryroad::duties {

void CapacityPlan::Observe(
    const std::map<UpstreamId, serving::Registration>& upstreams,
    bool store_unstable, Instant now) {
  if (!begun_.has_value() && !upstreams.empty()) {
    begun_ = now;
  }
  for (auto& [subject, level] : levels_) {
    level.present = 0;
  }
  std::set<UpstreamId> leaving;
  for (const auto& [id, upstream] : upstreams) {
    // Upstreams on spot capacity are not ordered by this plan.
    if (upstream.spot) {
      continue;
    }
    Level& level = levels_[{upstream.service, upstream.failure_domain}];
    if (!upstream.draining) {
      ++level.present;
      continue;
    }
    leaving.insert(id);
    if (!leaving_.contains(id)) {
      level.wanted -= std::min<std::uint32_t>(level.wanted, 1);
    }
  }
  leaving_ = std::move(leaving);
  const bool learning = begun_.has_value() && now < *begun_ + kLearnTime;
  for (auto& [subject, level] : levels_) {
    if (level.present > level.wanted) {
      level.more_since = level.more_since.value_or(now);
      if (learning || now >= *level.more_since + kSettleTime) {
        level.wanted = level.present;
      }
    }
    if (level.present <= level.wanted) {
      level.more_since.reset();
    }
    if (level.present >= level.wanted || store_unstable) {
      level.fewer_since.reset();
    } else {
      level.fewer_since = level.fewer_since.value_or(now);
    }
  }
}

std::vector<CapacityOrder> CapacityPlan::Next(const serving::Manifest& manifest,
                                              Instant now) {
  std::vector<CapacityOrder> orders;
  for (const serving::Service& service : manifest.services) {
    if (!service.scaling.has_value()) {
      continue;
    }
    const serving::Scaling& bounds = *service.scaling;
    for (auto& [subject, level] : levels_) {
      const bool lost = subject.service == service.name &&
                        level.fewer_since.has_value() &&
                        now >= *level.fewer_since + kMissingTime;
      const std::uint32_t count = std::clamp(level.wanted, bounds.min,
                                             std::max(bounds.min, bounds.max));
      if (lost && now >= level.ordered_until && count > level.present) {
        level.ordered_until = now + bounds.start_up + kRegisterTime;
        orders.push_back({subject, count, level.present});
      }
    }
  }
  return orders;
}

}  // namespace mulberryroad::duties
