// Turns the demand of a pool into decisions to start, drain and stop upstreams.

#ifndef MULBERRYROAD_SRC_CONTROL_CAPACITY_POLICY_H_
#define MULBERRYROAD_SRC_CONTROL_CAPACITY_POLICY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::control {

/// A class that a pool may use, with the bounds of the declaration.
struct ClassOption {
  std::string name;
  double price_per_hour = 0;
  bool reclaimable = false;
  std::uint32_t slots = 1;
  std::uint32_t min_upstreams = 0;
  std::uint32_t max_upstreams = 0;

  double price_per_slot() const { return price_per_hour / slots; }
};

enum class UpstreamPhase {
  /// Ordered, not yet in the VM list.
  kStarting,
  kServing,
  /// Gets no new work on this controller's word.
  kDraining,
  /// Taken away by the platform.
  kLeaving,
};

struct UpstreamState {
  UpstreamId id;
  std::string upstream_class;
  UpstreamPhase phase = UpstreamPhase::kServing;
  std::uint32_t in_flight = 0;
};

/// A pool as the controller sees it.
struct PoolState {
  PoolId pool;
  std::uint32_t queued = 0;
  std::uint32_t in_flight = 0;
  /// Part of in_flight that may be run again elsewhere.
  std::uint32_t repeatable_in_flight = 0;
  std::size_t organisations = 0;
  std::vector<ClassOption> classes;
  std::vector<UpstreamState> upstreams;
};

/// A class that was weighed for a start.
struct ClassCandidate {
  std::string name;
  double price_per_slot = 0;
  /// Why it was not eligible; empty if it was.
  std::string excluded;
};

struct StartUpstream {
  std::string upstream_class;
  std::string reason;
  std::vector<ClassCandidate> candidates;
};
struct DrainUpstream {
  UpstreamId upstream;
  std::string reason;
};
/// Gives a draining upstream work again.
struct CancelDrain {
  UpstreamId upstream;
  std::string reason;
};
/// Stops an upstream that has drained.
struct StopUpstream {
  UpstreamId upstream;
  std::string reason;
};
using CapacityDecision =
    std::variant<StartUpstream, DrainUpstream, CancelDrain, StopUpstream>;

struct CapacityOptions {
  /// Spare slots as a share of demand.
  double headroom = 0.15;
  /// Part of the demand that the loss of all reclaimable upstreams must leave
  /// served, shared out by the organisations' weights.
  double floor_share = 0.3;
  /// Demand must have stayed low for this long before an upstream is drained.
  std::chrono::milliseconds hold_down{60'000};
  /// First and longest pause after a refused order of a class.
  std::chrono::milliseconds min_backoff{5'000};
  std::chrono::milliseconds max_backoff{300'000};
  /// Pause of a class after one of its upstreams was reclaimed.
  std::chrono::milliseconds reclaim_pause{30'000};
  /// Queued requests count up to this multiple of the present slots.
  double max_growth = 2.0;
  std::uint32_t max_starts_per_step = 8;
};

/// Highest value of a series over a sliding time span.
class SlidingPeak {
 public:
  explicit SlidingPeak(std::chrono::nanoseconds span) : span_(span) {}
  /// Adds a value and returns the peak.
  double Observe(Instant now, double value);

 private:
  struct Sample {
    Instant time;
    double value;
  };
  std::chrono::nanoseconds span_;
  std::deque<Sample> samples_;
};

/// Pure policy of all pools of a failure domain.
class CapacityPolicy {
 public:
  explicit CapacityPolicy(CapacityOptions options = {});

  /// Decides for one pool.
  std::vector<CapacityDecision> Decide(const PoolState& pool, Instant now);
  /// Tells that an order of a class was refused; the class is left alone for a
  /// growing time.
  void OrderRefused(const PoolId& pool, const std::string& upstream_class,
                    Instant now);
  /// Tells that an order of a class was carried out.
  void OrderDone(const PoolId& pool, const std::string& upstream_class);
  /// Tells that the platform took upstreams of a class back.
  void Reclaimed(const PoolId& pool, const std::string& upstream_class,
                 Instant now);

 private:
  struct ClassKey {
    PoolId pool;
    std::string upstream_class;

    friend auto operator<=>(const ClassKey&, const ClassKey&) = default;
  };
  struct Pause {
    Instant until{};
    std::chrono::nanoseconds length{0};
  };
  struct Peaks {
    SlidingPeak demand;
    SlidingPeak floor;
  };
  /// Slots wanted and present, worked on by the steps of one decision.
  struct Plan;

  Plan MakePlan(const PoolState& pool, Instant now);
  void StopDrained(const Plan& plan, std::vector<CapacityDecision>& decisions);
  void CancelDrains(Plan& plan, std::vector<CapacityDecision>& decisions);
  void StartMissing(Plan& plan, std::vector<CapacityDecision>& decisions);
  void DrainSurplus(Plan& plan, std::vector<CapacityDecision>& decisions);
  std::optional<StartUpstream> ChooseClass(const Plan& plan,
                                           bool durable_only) const;
  std::string ExclusionOf(const Plan& plan, const ClassOption& option,
                          bool durable_only) const;

  CapacityOptions options_;
  std::map<PoolId, Peaks> peaks_;
  std::map<ClassKey, Pause> pauses_;
};

}  // namespace mulberryroad::control

#endif  // MULBERRYROAD_SRC_CONTROL_CAPACITY_POLICY_H_
