// Source of permits for tests: keeps each request until the test ends it.

#ifndef MULBERRYROAD_TEST_FAKES_FAKE_PERMITS_H_
#define MULBERRYROAD_TEST_FAKES_FAKE_PERMITS_H_

#include <chrono>
#include <functional>
#include <utility>
#include <vector>

#include "serving/permit_source.h"

namespace mulberryroad::fakes {

class FakePermits final : public serving::PermitSource {
 public:
  struct Request {
    std::vector<UpstreamId> candidates;
    serving::RequestPriority priority = serving::RequestPriority::kCaller;
    std::chrono::milliseconds max_wait{0};
    std::function<void(serving::PermitResult)> on_result;
  };

  void Acquire(std::vector<UpstreamId> candidates,
               serving::RequestPriority priority,
               std::chrono::milliseconds max_wait,
               std::function<void(serving::PermitResult)> on_result) override {
    requests.push_back(
        {std::move(candidates), priority, max_wait, std::move(on_result)});
  }

  /// All requests in the order of Acquire.
  std::vector<Request> requests;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_FAKE_PERMITS_H_
