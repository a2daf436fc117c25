// Tests that retries are limited to a share of the requests and that the
// balance is bounded.

#include "entry/retry_budget.h"

#include <criterion/criterion.h>

namespace mulberryroad::entry {
namespace {

Test(retry_budget, limits_retries_to_share_of_requests) {
  constexpr int kRequests = 100;
  constexpr double kMaxBalance = 10;
  RetryBudget budget(0.1, kMaxBalance);
  int retries = 0;
  for (int number = 0; number < kRequests; ++number) {
    budget.AddRequest();
    retries += budget.TrySpend() ? 1 : 0;
  }
  cr_expect_leq(retries, 20, "expected at most 20 retries, found %d", retries);
  cr_expect_geq(retries, 19, "expected at least 19 retries, found %d", retries);
}

Test(retry_budget, balance_is_bounded) {
  RetryBudget budget(0.5, 3);
  for (int number = 0; number < 1'000; ++number) {
    budget.AddRequest();
  }
  int retries = 0;
  while (budget.TrySpend()) {
    ++retries;
  }
  cr_expect_eq(retries, 3, "expected 3 retries, found %d", retries);
}

}  // namespace
}  // namespace mulberryroad::entry
