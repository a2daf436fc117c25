// Decides how many upstreams to order where some were lost. Pure.
//
// It answers upstreams that are lost for good: nobody else replaces them, and a
// third of a model's upstreams less makes each step late to the end of the day.
// It orders no more than there were before. Backlog orders nothing: capacity
// that follows it costs more and serves worse than capacity that stays
// (docs/MEASURES.md).

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

/// The upstreams of a service in a failure domain.
struct CapacitySubject {
  TargetId service;
  FailureDomainId failure_domain;

  friend auto operator<=>(const CapacitySubject&,
                          const CapacitySubject&) = default;
};

/// Order that a subject has this many upstreams.
struct CapacityOrder {
  CapacitySubject subject;
  std::uint32_t count = 0;
  /// How many are registered now.
  std::uint32_t present = 0;
};

class CapacityPlan {
 public:
  /// Takes in what is registered. Every node does so all the time, since a new
  /// holder of the lease must know what was there before a loss.
  /// @param store_unstable the store was away a moment ago, so that entries may
  ///     be missing that are back soon
  void Observe(const std::map<UpstreamId, serving::Registration>& upstreams,
               bool store_unstable, Instant now);
  /// Returns what to order now, within the bounds of the manifest. Each order
  /// counts as under way until its upstreams can have started.
  std::vector<CapacityOrder> Next(const serving::Manifest& manifest,
                                  Instant now);

  /// In a process's first seconds upstreams are still registering.
  static constexpr std::chrono::milliseconds kLearnTime{5'000};
  /// More upstreams than before count as the new level after this time. A
  /// replacement starts before the one that it replaces leaves, which takes
  /// seconds.
  static constexpr std::chrono::milliseconds kSettleTime{15'000};
  /// An upstream that is missing this long is lost: more than a heartbeat of
  /// 1.2 s, in which a live one writes itself anew.
  static constexpr std::chrono::milliseconds kMissingTime{1'500};
  /// Left to started upstreams to register, beside their start-up time; orders
  /// that get no answer may be carried out so late, too.
  static constexpr std::chrono::milliseconds kRegisterTime{4'000};

 private:
  struct Level {
    std::uint32_t present = 0;
    /// How many there are to be.
    std::uint32_t wanted = 0;
    /// Since when there are more than that.
    std::optional<Instant> more_since;
    /// Since when there are fewer.
    std::optional<Instant> fewer_since;
    /// Until when an order is under way.
    Instant ordered_until{};
  };

  std::map<CapacitySubject, Level> levels_;
  /// Those that leave as planned.
  std::set<UpstreamId> leaving_;
  std::optional<Instant> begun_;
};

}  // namespace mulberryroad::duties

#endif  // MULBERRYROAD_SRC_DUTIES_CAPACITY_PLAN_H_
