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
  /// @param max_balance maximum and initial balance, in retries
  RetryBudget(double share, double max_balance)
      : share_(share), max_balance_(max_balance), balance_(max_balance) {}

  /// Adds the share of a new request to the balance.
  void AddRequest() { balance_ = std::min(max_balance_, balance_ + share_); }

  /// Takes one retry from the balance.
  /// @return false if the balance is less than one retry
  bool TrySpend() {
    if (balance_ < 1) {
      return false;
    }
    balance_ -= 1;
    return true;
  }

  double balance() const { return balance_; }

 private:
  double share_;
  double max_balance_;
  double balance_;
};

/// Returns the delay before a retry: exponential backoff with full jitter,
/// uniformly distributed between zero and a limit that doubles with each retry.
inline std::chrono::milliseconds RetryDelay(int previous_retries,
                                            std::mt19937_64& random) {
  constexpr std::chrono::milliseconds kInitialLimit{20};
  constexpr int kMaxDoublings = 6;
  const std::chrono::milliseconds limit =
      kInitialLimit * (1 << std::min(previous_retries, kMaxDoublings));
  std::uniform_int_distribution<std::chrono::milliseconds::rep> draw(
      0, limit.count());
  return std::chrono::milliseconds(draw(random));
}

}  // namespace mulberryroad::entry

#endif  // MULBERRYROAD_SRC_ENTRY_RETRY_BUDGET_H_
