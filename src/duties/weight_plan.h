// Decides which upstream loads which weight version next. Pure.
//
// Upstreams are shared out among the models of their service, as each change of
// weights costs an upstream about a second and its cached prompts. Few load at
// a time, since the weight store slows down beyond that.

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

/// Load this version at this upstream.
struct LoadWeights {
  UpstreamId upstream;
  TargetId model;
  std::uint64_t version = 0;
};

struct WeightPlanRules {
  /// Share of the upstreams that load at a time. The weight store is said to
  /// slow down beyond 2 loads of 12 or 9 upstreams, and 9 of 45.
  double share_at_once = 0.2;
  /// A load that is not seen to end in this time is taken to have failed: three
  /// times what one takes when the weight store is slow.
  std::chrono::milliseconds patience{3'000};
};

/// Shares upstreams out among models, about as many to each. One that leaves
/// or joins changes the share of few others.
std::map<TargetId, std::vector<UpstreamId>> ShareUpstreams(
    const std::vector<const serving::Registration*>& upstreams);

class WeightPlan {
 public:
  explicit WeightPlan(WeightPlanRules rules = {}) : rules_(rules) {}

  /// A trainer named a version.
  void Named(const TargetId& model, std::uint64_t version);
  /// Returns the newest version named; 1, the one at the start, if none was.
  std::uint64_t newest(const TargetId& model) const {
    return newest_naming(model).version;
  }

  /// Returns the loads to order now. Each counts as under way until its version
  /// shows among the registrations, Ended is called, or its patience is over.
  std::vector<LoadWeights> Next(
      const std::map<UpstreamId, serving::Registration>& upstreams,
      Instant now);
  /// The order came to nothing.
  void Ended(const UpstreamId& upstream) { under_way_.erase(upstream); }
  std::size_t under_way() const { return under_way_.size(); }

  /// Versions behind the newest under which trainers let a step run.
  static constexpr std::uint64_t kAllowedLag = 1;

 private:
  struct Load {
    TargetId model;
    std::uint64_t version = 0;
    Instant since;
  };

  /// The newest version of a model.
  struct Naming {
    std::uint64_t version = 1;
    /// Number of the naming among those of all models.
    std::uint64_t order = 0;
  };
  /// An upstream that could load a model's newest version, with what the model
  /// would have without this load.
  struct Candidate {
    /// Upstreams that a step of the newest version may run on.
    std::size_t usable = 0;
    /// Upstreams that have the newest version.
    std::size_t fresh = 0;
    /// Order in which the models' newest versions were named: the next version
    /// of the one named first is due first.
    std::uint64_t named = 0;
    /// Versions that this upstream is behind.
    std::uint64_t lag = 0;
    UpstreamId upstream;
    TargetId model;
  };

  Naming newest_naming(const TargetId& model) const;
  std::size_t at_once(std::size_t upstreams) const;
  /// Adds the upstreams of a model's share that lag, most useful first.
  void AddLagging(const TargetId& model, const std::vector<UpstreamId>& share,
                  const std::map<UpstreamId, serving::Registration>& upstreams,
                  std::vector<Candidate>* candidates) const;
  void Settle(const std::map<UpstreamId, serving::Registration>& upstreams,
              Instant now);

  WeightPlanRules rules_;
  std::map<TargetId, Naming> newest_;
  std::uint64_t namings_ = 0;
  std::map<UpstreamId, Load> under_way_;
};

}  // namespace mulberryroad::duties

#endif  // MULBERRYROAD_SRC_DUTIES_WEIGHT_PLAN_H_
