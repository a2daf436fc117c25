// State of the upstreams of one pool: granted requests in flight, observed
// weight versions, and ordered indexes of the upstreams that can accept a
// request now.

#ifndef MULBERRYROAD_SRC_DISPATCH_UPSTREAM_TABLE_H_
#define MULBERRYROAD_SRC_DISPATCH_UPSTREAM_TABLE_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dispatch/prefix_index.h"
#include "dispatch/scheduler_types.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/control.pb.h"
#include "mulberryroad/platform.pb.h"

namespace mulberryroad::dispatch {

/// Properties that an upstream must have to run a request.
struct Requirement {
  std::uint32_t min_version = 0;
  /// The request may run on a reclaimable upstream.
  bool repeatable = false;

  friend auto operator<=>(const Requirement&, const Requirement&) = default;
};

/// Maximum of a counter over a sliding period of one to two windows.
class RecentMaximum {
 public:
  explicit RecentMaximum(std::chrono::milliseconds window) : window_(window) {}
  void Add(std::uint32_t value, Instant now);
  std::uint32_t value(Instant now);

 private:
  void AdvanceWindow(Instant now);

  std::chrono::milliseconds window_;
  Instant window_start_{};
  std::uint32_t current_ = 0;
  std::uint32_t previous_ = 0;
};

/// The scheduler's state of one upstream.
struct UpstreamState {
  UpstreamSpec spec;
  /// Last observed weight version; 0 if unknown.
  std::uint32_t version = 0;
  Instant version_observed_at{};
  bool listed = true;
  bool noticed_leaving = false;
  bool swapping = false;
  /// Time until which the swap is presumed to last. A load report that shows no
  /// swap ends the swap only if received report_lag or more after this time.
  Instant swap_presumed_until{};
  std::uint32_t slots = 1;
  std::uint32_t in_flight = 0;
  /// Requests at the engine that were not granted by this scheduler.
  std::uint32_t external_in_flight = 0;
  std::uint32_t failures = 0;
  bool suspended = false;

  bool leaving() const { return !listed || spec.leaving || noticed_leaving; }
  /// Fraction of slots in use; can exceed 1 if the engine queues requests.
  double load() const;
};

class UpstreamTable {
 public:
  explicit UpstreamTable(std::chrono::milliseconds report_lag);

  /// Replaces the list of upstreams. Upstreams that are no longer listed get no
  /// new requests and are removed once they have none in flight.
  void Replace(const std::vector<UpstreamSpec>& specs);
  /// Applies an engine's load report, which may be outdated by up to
  /// report_lag.
  void Observe(const UpstreamId& id, const v1::EngineLoad& load, Instant now);
  /// Discards the reported load of an engine whose poll failed.
  void ObservePollFailure(const UpstreamId& id);
  /// Applies a controller's notice that an upstream is leaving or swapping
  /// weights.
  void ApplyNotice(const v1::UpstreamNotice& notice, Instant now);
  /// Ends all suspensions that have expired.
  void EndExpiredSuspensions(Instant now);
  /// Returns when the next suspension expires, if there is one.
  std::optional<Instant> next_suspension_end() const;

  /// Marks one slot of an upstream as used.
  void AcquireSlot(UpstreamIndex index, Instant now);
  /// Marks one slot of an upstream as free.
  /// @param failed the request failed, so the upstream is suspended for a time
  /// that doubles with each consecutive failure
  /// @param observed_version weight version in the response; 0 if unknown
  void ReleaseSlot(UpstreamIndex index, bool failed,
                   std::uint32_t observed_version, Instant now);

  std::optional<UpstreamIndex> Find(const UpstreamId& id) const;
  const UpstreamState& at(UpstreamIndex index) const { return states_[index]; }
  /// Returns the number of upstreams in the current list.
  std::size_t listed_count() const { return listed_count_; }
  /// True if there are upstreams that are not leaving, and the request excludes
  /// all of them.
  bool AllExcluded(const v1::GrantRequest& request) const;
  /// True if there are upstreams that are not leaving, and each of them is
  /// suspended or excluded by the request.
  bool AllSuspendedOrExcluded(const v1::GrantRequest& request) const;
  /// Returns the highest hourly price in the current list.
  double highest_price() const { return highest_price_; }
  /// Returns the number of slots of the upstreams that are not leaving.
  std::uint32_t total_slots() const;
  /// Returns all upstreams, including unlisted ones with requests in flight, in
  /// ascending order.
  std::vector<UpstreamIndex> all() const;

  /// True if the upstream can accept a request with this requirement now.
  bool Eligible(UpstreamIndex index, const Requirement& requirement) const;
  bool AnyEligible(const Requirement& requirement) const;
  /// Returns the least loaded eligible upstreams.
  /// @param limit_per_bucket maximum number returned for each combination of
  /// version, class and reclaimability
  std::vector<UpstreamIndex> LeastLoaded(const Requirement& requirement,
                                         std::size_t limit_per_bucket) const;
  /// Returns the next eligible upstream after `last` in cyclic order, or
  /// nullopt if none is eligible.
  std::optional<UpstreamIndex> NextEligible(
      UpstreamIndex last, const Requirement& requirement) const;
  /// Returns a uniformly random eligible upstream, or nullopt if there is none.
  std::optional<UpstreamIndex> ChooseRandom(const Requirement& requirement,
                                            std::mt19937_64& random) const;

 private:
  /// Bucket key: the upstreams of one bucket differ only in load.
  struct BucketKey {
    std::uint32_t version = 0;
    bool reclaimable = false;
    std::string upstream_class;

    friend auto operator<=>(const BucketKey&, const BucketKey&) = default;
    bool Meets(const Requirement& requirement) const {
      return version >= requirement.min_version &&
             (!reclaimable || requirement.repeatable);
    }
  };
  struct Bucket {
    std::set<std::pair<double, UpstreamIndex>> by_load;
    std::set<UpstreamIndex> by_index;
    std::vector<UpstreamIndex> members;
  };
  struct IndexEntry {
    std::optional<BucketKey> key;
    double load = 0;
    std::size_t member_index = 0;
    /// Whether the upstream is counted in active_count_ and suspended_count_.
    bool active = false;
    bool suspended = false;
  };

  UpstreamIndex Add(const UpstreamSpec& spec);
  void Reindex(UpstreamIndex index);
  void UpdateCounts(UpstreamIndex index);
  void RemoveFromBucket(UpstreamIndex index);
  void AddToBucket(UpstreamIndex index);
  void SetVersion(UpstreamState* state, std::uint32_t version, Instant now);
  void Suspend(UpstreamIndex index, Instant now);

  std::chrono::milliseconds report_lag_;
  std::vector<UpstreamState> states_;
  std::vector<IndexEntry> entries_;
  std::vector<RecentMaximum> recent_in_flight_;
  std::unordered_map<std::string, UpstreamIndex> by_name_;
  std::map<BucketKey, Bucket> buckets_;
  std::set<std::pair<Instant, UpstreamIndex>> suspensions_;
  /// Number of upstreams that are not leaving, and how many of those are
  /// suspended.
  std::size_t active_count_ = 0;
  std::size_t suspended_count_ = 0;
  std::size_t listed_count_ = 0;
  double highest_price_ = 0;
};

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_UPSTREAM_TABLE_H_
