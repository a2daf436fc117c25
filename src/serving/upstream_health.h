// Passive health checks (outlier detection): ejects upstreams from the outcomes
// of this node's requests, and readmits them after successful trial requests.
//
// It detects upstreams that report themselves healthy and are not: those that
// fail a share of their requests, often faster than others serve them, that cut
// or corrupt responses, that are unreachable, or that flap.

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

/// Health of an upstream, which decides how it is used.
enum class HealthState {
  kHealthy,
  /// It failed or was late within kSuspectTime: others are preferred.
  kSuspect,
  /// Its ejection time is over: it gets one trial request at a time.
  kTrial,
  /// It gets no requests. Also reported while a trial request is in flight.
  kEjected,
};

/// Details of an ejection, for the log.
struct Ejection {
  UpstreamId upstream;
  int failures_in_a_row = 0;
  /// Share of its recent requests that failed.
  double failure_share = 0;
  /// Length of the ejection.
  std::chrono::milliseconds duration{0};
};

/// Failure statistics of the upstreams. Used on the event loop's thread.
class UpstreamHealth {
 public:
  /// Records that a request was sent to the upstream.
  void OnRequestSent(const UpstreamId& id, Instant now);
  /// Records the start of a successful response.
  void OnResponseStarted(const UpstreamId& id, Instant now);
  /// Records that a successful response is complete.
  void OnResponseCompleted(const UpstreamId& id, Instant now);
  /// Records that a request has waited unusually long for its response.
  void OnRequestLate(const UpstreamId& id, Instant now);
  /// Records a failed request: a server error, a cut response, a response to
  /// another request, or none.
  void OnRequestFailed(const UpstreamId& id, Instant now);
  /// Records the end of a request, whatever its outcome.
  void OnRequestEnded(const UpstreamId& id);
  /// Clears the statistics of an upstream whose process was restarted.
  void Reset(const UpstreamId& id) { statistics_.erase(id); }

  /// Returns the health of an upstream; kHealthy if it has no statistics.
  HealthState health_state(const UpstreamId& id, Instant now) const;
  /// Returns the upstreams of a service that get no requests now: the ejected
  /// ones, at most half of the service, those with the highest failure shares
  /// first. If more than half fail, the cause is probably not in the upstreams,
  /// and the remaining ones could not carry the load.
  std::set<UpstreamId> ExcludedUpstreams(const std::vector<UpstreamId>& service,
                                         Instant now) const;

  /// Returns whether any upstream is ejected or on trial.
  bool has_ejected() const;

  /// Emitted when an upstream is ejected.
  sigc::signal<void(const Ejection&)>& on_ejected() { return on_ejected_; }
  /// Emitted when an ejected upstream has passed its trials.
  sigc::signal<void(const UpstreamId&, Instant)>& on_readmitted() {
    return on_readmitted_;
  }
  /// Emitted for each failed request.
  sigc::signal<void(const UpstreamId&, Instant)>& on_failed() {
    return on_failed_;
  }

  /// Consecutive failures that eject an upstream. On the known deployments 3%
  /// of a healthy upstream's responses are lost or corrupted, so three in a row
  /// occur once in 37,000 requests.
  static constexpr int kConsecutiveFailures = 3;
  /// Share of failed requests that ejects an upstream: ten times that of a
  /// healthy one, and less than that of a degraded one (40%).
  static constexpr double kFailureShare = 0.3;
  /// Minimum number of recent requests for a failure share. A healthy upstream
  /// reaches the share, with three failures of 8 requests, in 1 of 700 cases.
  static constexpr double kMinRequests = 8;
  /// How long an upstream stays suspect after a failure or a late response:
  /// enough to send several requests elsewhere, short compared with a restart.
  static constexpr std::chrono::milliseconds kSuspectTime{2'000};
  /// Length of the first ejection. It doubles with each one that follows within
  /// the probation time.
  static constexpr std::chrono::milliseconds kEjectionTime{2'000};
  /// Maximum number of doublings. The longest ejection is 8 s; a restart takes
  /// half of that.
  static constexpr int kMaxDoublings = 2;
  /// Successful trial requests needed for readmission. An upstream that fails
  /// 40% of its requests passes all three in 1 of 5 cases.
  static constexpr int kRequiredTrials = 3;
  /// Time after readmission within which a new ejection counts as a repeated
  /// one: longer than the longest ejection.
  static constexpr std::chrono::milliseconds kProbationTime{10'000};
  /// Half-life of the request counts. At a few requests a second the failure
  /// share covers about the last ten or twenty requests.
  static constexpr std::chrono::milliseconds kHalfLife{4'000};
  /// Maximum share of a service's upstreams that are ejected at a time.
  static constexpr double kMaxExcludedShare = 0.5;

 private:
  struct Statistics {
    /// Recent successful and failed requests, with exponential decay.
    double completed = 0;
    double failed = 0;
    /// When the decay was last applied.
    Instant decayed_at{};
    int failures_in_a_row = 0;
    /// Time of the last failure or late response.
    std::optional<Instant> suspected_at;
    /// Consecutive ejections, each within the probation time of the previous
    /// one.
    int ejections = 0;
    bool ejected = false;
    Instant ejected_until{};
    double failure_share_at_ejection = 0;
    bool trial_in_flight = false;
    int trials_passed = 0;
    Instant readmitted_at{};
  };

  static void Decay(Statistics* statistics, Instant now);
  static bool ExceedsFailureLimits(const Statistics& statistics);
  void Eject(const UpstreamId& id, Statistics* statistics, Instant now);

  std::map<UpstreamId, Statistics> statistics_;
  sigc::signal<void(const Ejection&)> on_ejected_;
  sigc::signal<void(const UpstreamId&, Instant)> on_readmitted_;
  sigc::signal<void(const UpstreamId&, Instant)> on_failed_;
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_UPSTREAM_HEALTH_H_
