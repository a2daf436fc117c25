// Decides how many upstreams to order to replace lost ones. Pure: no I/O and no
// clock.
//
// No other component replaces upstreams that are lost for good, and with a
// third of a model's upstreams missing every training step is late for the rest
// of the day. The plan orders no more upstreams than there were before the
// loss. It doesn't scale with the backlog: capacity that follows the backlog
// costs more and serves worse than constant capacity (docs/MEASURES.md).

#ifndef MULBERRYROAD_SRC_DUTIES_CAPACITY_PLAN_H_
#define MULBERRYROAD_SRC_DUTIES_CAPACITY_PLAN_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"
#include "serving/manifest.h"
#include "serving/upstreams.h"

namespace mulberryroad::duties {

/// A service in a failure domain: the unit in which upstreams are counted and
/// ordered.
struct CapacityTarget {
  TargetId service;
  FailureDomainId failure_domain;

  friend auto operator<=>(const CapacityTarget&,
                          const CapacityTarget&) = default;
};

/// Order to bring a service in a failure domain to this many upstreams.
struct CapacityOrder {
  CapacityTarget target;
  /// Total number of upstreams ordered.
  std::uint32_t count = 0;
  /// Number of upstreams registered when the order was made.
  std::uint32_t present = 0;
};

/// Expected number of upstreams by service and failure domain, learned from the
/// registrations.
class CapacityPlan {
 public:
  /// Updates the counts from the registrations. Every node calls it on each
  /// tick, with or without the lease, since a new holder must know the counts
  /// from before a loss.
  /// @param store_unstable whether the store has an outage or recently had one,
  ///     so that live upstreams may be missing until they register again
  void Observe(const std::map<UpstreamId, serving::Registration>& upstreams,
               bool store_unstable, Instant now);
  /// Returns the orders that are due, within the bounds of the manifest. Each
  /// is pending until its upstreams have had time to start; no other is made
  /// for the same service and failure domain meanwhile.
  std::vector<CapacityOrder> Next(const serving::Manifest& manifest,
                                  Instant now);

  /// Time after the first registration in which any higher count is accepted at
  /// once: the upstreams are still registering.
  static constexpr std::chrono::milliseconds kInitialLearningTime{5'000};
  /// Time after which a higher count becomes the expected one. A rolling
  /// replacement exceeds the expected count for some seconds, until the
  /// replaced upstream leaves.
  static constexpr std::chrono::milliseconds kIncreaseDelay{15'000};
  /// Time after which a missing upstream counts as lost: more than the
  /// heartbeat interval of 1.2 s, in which a live one registers again.
  static constexpr std::chrono::milliseconds kLossDelay{1'500};
  /// Time for a new upstream to register, in addition to its start-up time. An
  /// order whose response is missing may also take effect this late.
  static constexpr std::chrono::milliseconds kRegistrationTime{4'000};

 private:
  /// State of one service in one failure domain.
  struct UpstreamCount {
    std::uint32_t present = 0;
    /// Expected number of upstreams.
    std::uint32_t expected = 0;
    /// Start of the current surplus over `expected`; nullopt without one.
    std::optional<Instant> surplus_since;
    /// Start of the current deficit below `expected`; nullopt without one.
    std::optional<Instant> deficit_since;
    /// Time until which an order is pending.
    Instant order_pending_until{};
  };

  std::map<CapacityTarget, UpstreamCount> counts_;
  /// Draining upstreams: they leave as planned and are not replaced.
  std::set<UpstreamId> draining_;
  /// Time of the first observation with registrations.
  std::optional<Instant> first_observed_at_;
};

}  // namespace mulberryroad::duties

#endif  // MULBERRYROAD_SRC_DUTIES_CAPACITY_PLAN_H_
