#include "duties/capacity_plan.h"

#include <algorithm>

namespace mulberryroad::duties {

void CapacityPlan::Observe(
    const std::map<UpstreamId, serving::Registration>& upstreams,
    bool store_unstable, Instant now) {
  if (!first_observed_at_.has_value() && !upstreams.empty()) {
    first_observed_at_ = now;
  }
  for (auto& [target, upstream_count] : counts_) {
    upstream_count.present = 0;
  }
  std::set<UpstreamId> draining;
  for (const auto& [id, upstream] : upstreams) {
    // Upstreams on spot capacity are not ordered by this plan.
    if (upstream.spot) {
      continue;
    }
    UpstreamCount& upstream_count =
        counts_[{upstream.service, upstream.failure_domain}];
    if (!upstream.draining) {
      ++upstream_count.present;
      continue;
    }
    draining.insert(id);
    if (!draining_.contains(id)) {
      upstream_count.expected -=
          std::min<std::uint32_t>(upstream_count.expected, 1);
    }
  }
  draining_ = std::move(draining);
  const bool learning = first_observed_at_.has_value() &&
                        now < *first_observed_at_ + kInitialLearningTime;
  for (auto& [target, upstream_count] : counts_) {
    if (upstream_count.present > upstream_count.expected) {
      upstream_count.surplus_since = upstream_count.surplus_since.value_or(now);
      if (learning || now >= *upstream_count.surplus_since + kIncreaseDelay) {
        upstream_count.expected = upstream_count.present;
      }
    }
    if (upstream_count.present <= upstream_count.expected) {
      upstream_count.surplus_since.reset();
    }
    if (upstream_count.present >= upstream_count.expected || store_unstable) {
      upstream_count.deficit_since.reset();
    } else {
      upstream_count.deficit_since = upstream_count.deficit_since.value_or(now);
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
    for (auto& [target, upstream_count] : counts_) {
      const bool lost = target.service == service.name &&
                        upstream_count.deficit_since.has_value() &&
                        now >= *upstream_count.deficit_since + kLossDelay;
      const std::uint32_t count =
          std::clamp(upstream_count.expected, bounds.min,
                     std::max(bounds.min, bounds.max));
      if (lost && now >= upstream_count.order_pending_until &&
          count > upstream_count.present) {
        upstream_count.order_pending_until =
            now + bounds.start_up + kRegistrationTime;
        orders.push_back({target, count, upstream_count.present});
      }
    }
  }
  return orders;
}

}  // namespace mulberryroad::duties
