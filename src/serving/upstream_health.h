// Judges upstreams by what becomes of this node's requests to them: takes those
// that fail out of use for some time, and back after trials.
//
// It answers upstreams that look sound by their own account and are not: that
// fail a share of their requests, often sooner than others work, that cut or
// garble answers, that are gone, or that come and go.

#ifndef MULBERRYROAD_SRC_SERVING_UPSTREAM_HEALTH_H_
#define MULBERRYROAD_SRC_SERVING_UPSTREAM_HEALTH_H_

#include <sigc++/signal.h>

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::serving {

/// How far an upstream is to be used.
enum class Standing {
  kSound,
  /// It failed or was late a moment ago: others come first.
  kSuspect,
  /// It was ejected and gets one request at a time to show that it works.
  kTrial,
  /// It gets no work, also while a trial is under way.
  kEjected,
};

/// Why an upstream was ejected.
struct Ejection {
  UpstreamId upstream;
  int failures_in_a_row = 0;
  /// Share of its latest requests that failed.
  double failure_share = 0;
  std::chrono::milliseconds time{0};
};

class UpstreamHealth {
 public:
  /// A request was sent there.
  void Started(const UpstreamId& id, Instant now);
  /// It began to answer a request well.
  void Served(const UpstreamId& id, Instant now);
  /// It answered a request well to the end.
  void Completed(const UpstreamId& id, Instant now);
  /// It lets a request wait unusually long.
  void Late(const UpstreamId& id, Instant now);
  /// It failed a request: an error of its own, a cut or foreign answer, none.
  void Failed(const UpstreamId& id, Instant now);
  /// A request there is over, however it ended.
  void Ended(const UpstreamId& id);
  /// It started anew: nothing of the past counts.
  void Forget(const UpstreamId& id) { records_.erase(id); }

  Standing standing(const UpstreamId& id, Instant now) const;
  /// Returns which of the upstreams of a service get no work now: the ejected
  /// ones, the worst of them if they are more than half of all. Failures that
  /// hit so many are likely not theirs, and the rest could not bear the load.
  std::set<UpstreamId> OutOfUse(const std::vector<UpstreamId>& service,
                                Instant now) const;

  /// Emitted when an upstream is ejected.
  sigc::signal<void(const Ejection&)>& on_ejected() { return on_ejected_; }
  /// Emitted when an ejected upstream has passed its trials.
  sigc::signal<void(const UpstreamId&)>& on_returned() { return on_returned_; }

  /// Lost or garbled answers of a sound upstream, 3% of all on the known
  /// deployments, come three in a row once in 37,000 requests.
  static constexpr int kFailuresInARow = 3;
  /// Ten times the share that a sound upstream fails, and less than a lame one
  /// (40%) does.
  static constexpr double kFailureShare = 0.3;
  /// Of so many requests a sound upstream fails three, which make the share, in
  /// 1 of 700 cases.
  static constexpr double kLeastRequests = 8;
  /// A failure or lateness makes suspect for this long: enough for several
  /// requests to go elsewhere, short against a restart.
  static constexpr std::chrono::milliseconds kSuspicionTime{2'000};
  /// The first ejection; it doubles with each one that follows soon.
  static constexpr std::chrono::milliseconds kEjectionTime{2'000};
  /// 8 s at most: a restart takes half as long.
  static constexpr int kMostDoublings = 2;
  /// One that fails 40% of its requests passes three trials in 1 of 5 cases.
  static constexpr int kTrials = 3;
  /// An upstream that stayed sound this long after its return counts as one
  /// that never failed: longer than the longest ejection.
  static constexpr std::chrono::milliseconds kProbation{10'000};
  /// Requests count half after this time: at a few a second, a share of the
  /// latest ten or twenty.
  static constexpr std::chrono::milliseconds kHalfLife{4'000};
  /// Of the upstreams of a service at most this share is out of use.
  static constexpr double kMostOutOfUse = 0.5;

 private:
  struct Record {
    /// Requests of late that went well and that failed, by age.
    double completed = 0;
    double failed = 0;
    Instant counted{};
    int failures_in_a_row = 0;
    std::optional<Instant> suspected;
    /// In a row, each within the probation of the one before.
    int ejections = 0;
    bool out = false;
    Instant out_until{};
    double share_when_ejected = 0;
    bool trial_open = false;
    int trials_passed = 0;
    Instant returned{};
  };

  static void Age(Record* record, Instant now);
  static bool Fails(const Record& record);
  void Eject(const UpstreamId& id, Record* record, Instant now);

  std::map<UpstreamId, Record> records_;
  sigc::signal<void(const Ejection&)> on_ejected_;
  sigc::signal<void(const UpstreamId&)> on_returned_;
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_UPSTREAM_HEALTH_H_
