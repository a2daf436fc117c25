// Limits retries to a fraction of the requests, so that they do not overload a
// failing pool, and computes retry delays.

#ifndef MULBERRYROAD_SRC_ENTRY_RETRY_BUDGET_H_
#define MULBERRYROAD_SRC_ENTRY_RETRY_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <random>

namespace mulberryroad::entry {

/// Token bucket that is filled by requests and drained by retries.
class RetryBudget {
 public:
  /// @param share retries added to the balance per request
  /// @param most maximum and initial balance, in retries
  RetryBudget(double share, double most)
      : share_(share), most_(most), balance_(most) {}

  /// Adds the share of a new request to the balance.
  void Earn() { balance_ = std::min(most_, balance_ + share_); }

  /// Takes one retry from the balance.
  /// @return false if the balance is less than one retry
  bool Spend() {
    if (balance_ < 1) {
      return false;
    }
    balance_ -= 1;
    return true;
  }

  double balance() const { return balance_; }

 private:
  double share_;
  double most_;
  double balance_;
};

/// Returns the delay before a retry: exponential backoff with full jitter,
/// uniformly distributed between zero and a limit that doubles with each retry.
inline std::chrono::milliseconds RetryPause(int retries_before,
                                            std::mt19937_64& random) {
  constexpr std::chrono::milliseconds kFirstLimit{20};
  constexpr int kMaxDoublings = 6;
  const std::chrono::milliseconds limit =
      kFirstLimit * (1 << std::min(retries_before, kMaxDoublings));
  std::uniform_int_distribution<std::chrono::milliseconds::rep> draw(
      0, limit.count());
  return std::chrono::milliseconds(draw(random));
}

}  // namespace mulberryroad::entry

#endif  // MULBERRYROAD_SRC_ENTRY_RETRY_BUDGET_H_
