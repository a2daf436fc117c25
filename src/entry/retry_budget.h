// Bounds retries to a share of the traffic, so that a failing pool is not
// loaded further by them.

#ifndef MULBERRYROAD_SRC_ENTRY_RETRY_BUDGET_H_
#define MULBERRYROAD_SRC_ENTRY_RETRY_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <random>

namespace mulberryroad::entry {

class RetryBudget {
 public:
  /// @param share retries permitted for each request
  /// @param most retries that can be saved up
  RetryBudget(double share, double most)
      : share_(share), most_(most), balance_(most) {}

  /// Counts a new request.
  void Earn() { balance_ = std::min(most_, balance_ + share_); }

  /// Takes one retry out of the budget; false if there is none left.
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

/// Returns the pause before a retry: drawn between zero and a limit that
/// doubles with each retry.
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
