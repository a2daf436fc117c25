// Decides which upstream loads which weight version next. Pure: no I/O and no
// clock.
//
// The upstreams of a service are partitioned among its models, since each
// weight load costs an upstream about a second and its prompt cache. Only a few
// load at a time, since the weight store slows down beyond that.

#ifndef MULBERRYROAD_SRC_DUTIES_WEIGHT_PLAN_H_
#define MULBERRYROAD_SRC_DUTIES_WEIGHT_PLAN_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"
#include "serving/upstreams.h"

namespace mulberryroad::duties {

/// Order to load a weight version at an upstream.
struct LoadWeights {
  UpstreamId upstream;
  TargetId model;
  std::uint64_t version = 0;
};

/// Limits of the weight loads.
struct WeightPlanRules {
  /// Maximum share of the upstreams that load at a time. The weight store is
  /// said to slow down beyond 2 concurrent loads with 9 or 12 upstreams, and
  /// beyond 9 with 45.
  double max_loading_share = 0.2;
  /// Time after which a load that was not seen to end counts as failed: three
  /// times the duration of a load when the weight store is slow.
  std::chrono::milliseconds load_timeout{3'000};
};

/// Partitions the upstreams among their models into shares of about equal size.
/// An upstream that joins or leaves moves few others to another model.
std::map<TargetId, std::vector<UpstreamId>> AssignUpstreams(
    const std::vector<const serving::Registration*>& upstreams);

/// Newest versions of the models and the loads in progress.
class WeightPlan {
 public:
  explicit WeightPlan(WeightPlanRules rules = {}) : rules_(rules) {}

  /// Records a weight version that a trainer published. Older versions are
  /// ignored.
  void OnVersionPublished(const TargetId& model, std::uint64_t version);
  /// Returns the newest published version; 1, the initial version, if there is
  /// none.
  std::uint64_t newest(const TargetId& model) const {
    return newest_published(model).version;
  }

  /// Returns the loads to order now, most urgent first. Each is in progress
  /// until its version is registered, its upstream is removed, OnLoadFailed is
  /// called or `load_timeout` has passed.
  std::vector<LoadWeights> Next(
      const std::map<UpstreamId, serving::Registration>& upstreams,
      Instant now);
  /// Records that an order failed, so that the upstream can be ordered again.
  void OnLoadFailed(const UpstreamId& upstream) {
    loads_in_progress_.erase(upstream);
  }
  /// Returns the number of loads in progress.
  std::size_t loads_in_progress() const { return loads_in_progress_.size(); }

  /// Maximum number of versions behind the newest that a trainer's step may run
  /// on.
  static constexpr std::uint64_t kMaxVersionsBehind = 1;

 private:
  /// A load in progress.
  struct Load {
    TargetId model;
    std::uint64_t version = 0;
    Instant since;
  };

  /// The newest published version of a model.
  struct PublishedVersion {
    std::uint64_t version = 1;
    /// Sequence number of its publication among those of all models.
    std::uint64_t order = 0;
  };
  /// An upstream that could load a model's newest version. The counts are those
  /// of the model's share after the loads in progress and the candidates before
  /// this one.
  struct Candidate {
    /// Upstreams whose version is recent enough for a step of the newest
    /// version.
    std::size_t usable = 0;
    /// Upstreams that have the newest version.
    std::size_t up_to_date = 0;
    /// Sequence number of the publication. The model published first goes
    /// first, since its next version is due first.
    std::uint64_t publication_order = 0;
    /// Number of versions that this upstream is behind.
    std::uint64_t versions_behind = 0;
    UpstreamId upstream;
    TargetId model;
  };

  PublishedVersion newest_published(const TargetId& model) const;
  /// Returns the maximum number of concurrent loads.
  std::size_t max_concurrent_loads(std::size_t upstreams) const;
  /// Adds the upstreams of a model's share that are behind the newest version
  /// and not loading, those furthest behind first.
  void AddCandidates(
      const TargetId& model, const std::vector<UpstreamId>& share,
      const std::map<UpstreamId, serving::Registration>& upstreams,
      std::vector<Candidate>* candidates) const;
  /// Removes the loads that ended, failed or timed out.
  void RemoveEndedLoads(
      const std::map<UpstreamId, serving::Registration>& upstreams,
      Instant now);

  WeightPlanRules rules_;
  std::map<TargetId, PublishedVersion> newest_;
  std::uint64_t publications_ = 0;
  /// At most one load per upstream.
  std::map<UpstreamId, Load> loads_in_progress_;
};

}  // namespace mulberryroad::duties

#endif  // MULBERRYROAD_SRC_DUTIES_WEIGHT_PLAN_H_
