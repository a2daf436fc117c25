// Expected run times of the samples of one batch, and the choice of stragglers
// that get a second attempt.

#ifndef MULBERRYROAD_SRC_ROLLOUT_STRAGGLER_H_
#define MULBERRYROAD_SRC_ROLLOUT_STRAGGLER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "mulberryroad/clock.h"

namespace mulberryroad::rollout {

struct HedgePolicy {
  bool enabled = true;
  /// Tokens that hedges may waste, as a share of the tokens of finished
  /// samples.
  double cost_share = 0.05;
  /// A second attempt must be expected to save at least this much.
  std::chrono::nanoseconds min_gain = std::chrono::seconds(1);
  /// An attempt without progress for this multiple of the usual delay is
  /// stalled.
  double stall_factor = 4.0;
  std::chrono::nanoseconds min_stall = std::chrono::seconds(3);
};

/// What is known of a running attempt.
struct AttemptProgress {
  Instant started{};
  std::optional<Instant> first_token;
  Instant last_progress{};
  /// Tokens that this attempt generated itself.
  std::uint32_t own_tokens = 0;
  /// Tokens of the sample so far, resumed ones included.
  std::uint32_t total_tokens = 0;
  std::uint32_t max_tokens = 0;
};

/// Learns from finished attempts and estimates running ones.
class RunTimes {
 public:
  /// Takes the figures of a finished attempt.
  void Add(const AttemptProgress& finished, Instant now);

  /// Returns true once enough attempts have finished for an estimate.
  bool known() const { return paces_.size() >= kMinFinished; }
  /// Returns the expected time of a whole generation; zero if unknown.
  std::chrono::nanoseconds Whole(std::uint32_t max_tokens) const;
  /// Returns the expected further time of an attempt where it runs.
  std::chrono::nanoseconds Remaining(const AttemptProgress& attempt,
                                     Instant now) const;
  /// Returns the expected time of an attempt that continues elsewhere.
  std::chrono::nanoseconds Elsewhere(const AttemptProgress& attempt) const;
  /// Returns the tokens that an attempt is expected to generate yet.
  std::uint32_t RemainingTokens(const AttemptProgress& attempt) const;
  /// Tells whether an attempt has stopped making progress.
  bool Stalled(const AttemptProgress& attempt, const HedgePolicy& policy,
               Instant now) const;
  std::uint64_t finished_tokens() const { return finished_tokens_; }

 private:
  static constexpr std::size_t kMinFinished = 4;
  static constexpr std::size_t kWindow = 64;

  std::chrono::nanoseconds Pace() const;
  std::chrono::nanoseconds FirstToken() const;
  double MeanTokens() const;

  // Time per token and delay of the first token of the latest finished
  // attempts.
  std::deque<std::chrono::nanoseconds> paces_;
  std::deque<std::chrono::nanoseconds> first_tokens_;
  std::uint64_t finished_tokens_ = 0;
  std::uint64_t finished_ = 0;
};

}  // namespace mulberryroad::rollout

#endif  // MULBERRYROAD_SRC_ROLLOUT_STRAGGLER_H_
