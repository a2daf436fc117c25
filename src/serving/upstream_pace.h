// Slow start of an upstream that has just started or recovered. Performs no I/O
// and reads no clock.

#ifndef MULBERRYROAD_SRC_SERVING_UPSTREAM_PACE_H_
#define MULBERRYROAD_SRC_SERVING_UPSTREAM_PACE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "mulberryroad/clock.h"

namespace mulberryroad::serving {

/// Why an upstream is used below its slots.
enum class PaceCause {
  /// Its process has just started.
  kStarted,
  /// It passed its trials after an ejection.
  kReadmitted,
  /// It accepted a request after it had refused all of them for a time, as
  /// during a weight load.
  kRefusalsEnded,
  /// Its failure domain was returned to service.
  kReturned,
};

/// Returns the name of a cause in log lines.
std::string_view PaceCauseName(PaceCause cause);

/// Limits this node's requests at one upstream: the requests in flight from a
/// start or recovery until the upstream is settled, which means that it may use
/// all its slots, and at all times the requests that it has not yet accepted.
class UpstreamPace {
 public:
  /// Sets the number of slots at which the upstream is settled. Without it,
  /// Begin() has no effect.
  void SetSlots(std::uint32_t slots);
  /// Begins a slow start.
  /// @param running requests in flight, which an upstream that only refused
  ///     further ones keeps
  /// @param spread time of this node within the spread of all nodes: delays the
  ///     first request if the cause is one that all nodes learn of together,
  ///     and each further one after a failure
  void Begin(PaceCause cause, std::uint32_t running,
             std::chrono::milliseconds spread, Instant now);
  /// Records an acceptance. It raises the limit by one if the upstream kept its
  /// state (PaceCause::kRefusalsEnded) or `reference` is unknown, so that the
  /// limit doubles with each round trip; otherwise only latency samples do.
  /// @param reference latency that counts as normal, see OnLatency()
  void OnAccepted(std::optional<double> reference, Instant now);
  /// Records a refusal: further requests are refused until one is accepted. It
  /// does not limit an upstream that kept its state, because its slots are
  /// probably used by other nodes.
  /// @param accepted requests in flight that it has accepted; the limit does
  /// not
  ///     fall below them
  void OnRefused(std::uint32_t accepted, Instant now);
  /// Records a failed request.
  void OnFailed(Instant now);
  /// Records the time of a unit of work. Raises the limit, unless the latency
  /// since the start is above kRaisedFactor times the reference.
  /// @param reference latency in microseconds that counts as normal; nullopt if
  ///     unknown
  void OnLatency(std::chrono::microseconds latency,
                 std::optional<double> reference, Instant now);
  /// Adds a sample to the settled latency. Ignored below the slots.
  void AddSettledSample(std::chrono::microseconds latency);
  /// Ends the slow start and discards what the window is based on; keeps the
  /// slots and the settled latency.
  void Reset();

  /// Returns whether the upstream is limited to fewer requests than its slots.
  bool below_slots() const { return below_slots_; }
  /// Returns whether it is, and may have lost its state.
  bool may_be_cold() const {
    return below_slots_ && cause_ != PaceCause::kRefusalsEnded;
  }
  /// Returns the time when the current or last slow start began.
  Instant began() const { return began_; }
  /// Returns the maximum number of requests in flight; the maximum of the type
  /// once the upstream is settled.
  std::uint32_t max_in_flight(Instant now) const;
  /// Returns the maximum number of requests sent but neither accepted nor
  /// refused. It starts small and doubles per round trip, also on a settled
  /// upstream, since one that loads weights refuses all requests of a burst.
  std::uint32_t max_unanswered(Instant now) const;
  /// Returns the average latency in microseconds while settled; nullopt before
  /// kMinSettledSamples.
  std::optional<double> settled_latency() const;

  /// Latency above this multiple of the reference is raised. The margin is for
  /// the variation of an average over about three samples.
  static constexpr double kRaisedFactor = 1.5;
  /// Raised latency that has not fallen by a tenth for this long is the new
  /// normal one, so that an upstream that stays slower gets its share of work.
  static constexpr std::chrono::milliseconds kMaxHold{3'000};
  static constexpr int kMinSettledSamples = 5;

 private:
  void Grow(Instant now);
  /// Halves the limit, once for each burst.
  /// @return false if the burst was counted before
  bool Shrink(double min_limit, Instant now);
  bool LatencyRaised(std::optional<double> reference) const;
  bool AcceptedRecently(Instant now) const;

  std::uint32_t slots_ = 0;
  bool below_slots_ = false;
  PaceCause cause_ = PaceCause::kStarted;
  std::chrono::milliseconds spread_{0};
  Instant began_{};
  /// No request is to be sent before this time.
  Instant not_before_{};
  double limit_ = 0;
  /// Limit above which it grows by one per round instead of doubling: half of
  /// the limit at the last refusal or failure.
  double threshold_ = 0;
  Instant shrunk_at_{};
  int failures_ = 0;
  /// Average latency since the start, in microseconds.
  std::optional<double> latency_us_;
  /// Since when the latency is raised without having fallen, and its value
  /// then.
  std::optional<Instant> held_since_;
  double held_latency_us_ = 0;
  double settled_us_ = 0;
  int settled_samples_ = 0;
  /// Time of the last acceptance; nullopt after a refusal.
  std::optional<Instant> accepted_at_;
  std::uint32_t window_ = 0;
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_UPSTREAM_PACE_H_
