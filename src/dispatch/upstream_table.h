// The upstreams of one pool: exact requests in flight, observed versions, and
// ordered indexes of those that may take a request now.

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

/// What a request needs of an upstream.
struct Requirement {
  std::uint32_t min_version = 0;
  /// May run on an upstream that can be reclaimed.
  bool repeatable = false;

  friend auto operator<=>(const Requirement&, const Requirement&) = default;
};

/// Largest value of a counter over about the last one to two windows.
class RecentMaximum {
 public:
  explicit RecentMaximum(std::chrono::milliseconds window) : window_(window) {}
  void Add(std::uint32_t value, Instant now);
  std::uint32_t value(Instant now);

 private:
  void Turn(Instant now);

  std::chrono::milliseconds window_;
  Instant turned_{};
  std::uint32_t current_ = 0;
  std::uint32_t previous_ = 0;
};

/// One upstream as the scheduler knows it.
struct UpstreamState {
  UpstreamSpec spec;
  /// Weight version last observed; 0 if none was.
  std::uint32_t version = 0;
  Instant version_seen{};
  bool listed = true;
  bool noticed_leaving = false;
  bool swapping = false;
  Instant swapping_since{};
  std::uint32_t slots = 1;
  std::uint32_t in_flight = 0;
  /// Requests at the engine that this scheduler did not grant.
  std::uint32_t foreign = 0;
  std::uint32_t failures = 0;
  bool suspended = false;

  bool leaving() const { return !listed || spec.leaving || noticed_leaving; }
  /// Share of busy slots.
  double load() const;
};

class UpstreamTable {
 public:
  explicit UpstreamTable(std::chrono::milliseconds report_lag);

  /// Takes the pool's current list. Upstreams that are missing take no more
  /// work and are dropped when idle.
  void Replace(const std::vector<UpstreamSpec>& specs);
  /// Takes an engine's report, which may describe the past.
  void Observe(const UpstreamId& id, const v1::EngineLoad& load, Instant now);
  /// Forgets the reported load of an engine that does not answer.
  void ObserveSilence(const UpstreamId& id);
  /// Takes a controller's notice.
  void Notice(const v1::UpstreamNotice& notice, Instant now);
  /// Ends the suspensions that are over.
  void Refresh(Instant now);
  /// Returns when the next suspension ends.
  std::optional<Instant> next_refresh() const;

  void Take(UpstreamIndex index, Instant now);
  void Return(UpstreamIndex index, bool failed, std::uint32_t observed_version,
              Instant now);

  std::optional<UpstreamIndex> Find(const UpstreamId& id) const;
  const UpstreamState& at(UpstreamIndex index) const { return states_[index]; }
  std::size_t listed() const { return listed_; }
  /// True if upstreams stay, but the request excludes each of them.
  bool AllExcluded(const v1::GrantRequest& request) const;
  /// True if upstreams stay, but each of them is suspended or excluded.
  bool AllUnfit(const v1::GrantRequest& request) const;
  double highest_price() const { return highest_price_; }
  std::uint32_t total_slots() const;
  std::vector<UpstreamIndex> all() const;

  /// True if the upstream may take such a request now.
  bool Eligible(UpstreamIndex index, const Requirement& requirement) const;
  bool AnyEligible(const Requirement& requirement) const;
  /// Returns the least loaded eligible upstreams, some of each kind.
  std::vector<UpstreamIndex> LeastLoaded(const Requirement& requirement,
                                         std::size_t each) const;
  /// Returns the next eligible upstream behind one, in turn.
  std::optional<UpstreamIndex> After(UpstreamIndex last,
                                     const Requirement& requirement) const;
  /// Draws an eligible upstream, each with the same chance.
  std::optional<UpstreamIndex> Draw(const Requirement& requirement,
                                    std::mt19937_64& random) const;

 private:
  /// Upstreams that differ in nothing but their load.
  struct Kind {
    std::uint32_t version = 0;
    bool reclaimable = false;
    std::string upstream_class;

    friend auto operator<=>(const Kind&, const Kind&) = default;
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
  struct Entry {
    std::optional<Kind> kind;
    double load = 0;
    std::size_t member = 0;
    /// How the upstream is counted in staying_ and suspended_.
    bool staying = false;
    bool suspended = false;
  };

  UpstreamIndex Add(const UpstreamSpec& spec);
  void Reindex(UpstreamIndex index);
  void CountStanding(UpstreamIndex index);
  void RemoveFromBucket(UpstreamIndex index);
  void AddToBucket(UpstreamIndex index);
  void SetVersion(UpstreamState* state, std::uint32_t version, Instant now);
  void Suspend(UpstreamIndex index, Instant now);

  std::chrono::milliseconds report_lag_;
  std::vector<UpstreamState> states_;
  std::vector<Entry> entries_;
  std::vector<RecentMaximum> recent_in_flight_;
  std::unordered_map<std::string, UpstreamIndex> by_name_;
  std::map<Kind, Bucket> buckets_;
  std::set<std::pair<Instant, UpstreamIndex>> suspensions_;
  /// Upstreams that do not leave, and those of them that are suspended.
  std::size_t staying_ = 0;
  std::size_t suspended_ = 0;
  std::size_t listed_ = 0;
  double highest_price_ = 0;
};

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_UPSTREAM_TABLE_H_
