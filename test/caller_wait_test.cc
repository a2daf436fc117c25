// Tests admission of caller requests while samples of the same organisation are
// queued.

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <variant>

#include "dispatch/pool_scheduler.h"

namespace mulberryroad {
namespace {

using dispatch::Granted;
using dispatch::Queued;
using dispatch::Refused;

v1::GrantRequest Request(const std::string& id, v1::WorkKind kind) {
  v1::GrantRequest request;
  request.set_request_id(id);
  request.set_organisation("armor");
  request.set_kind(kind);
  request.set_max_tokens(10);
  request.set_repeatable(true);
  request.set_deadline_ms(kind == v1::WORK_CALLER ? 10'000 : 1'000'000);
  return request;
}

Test(caller_wait, queued_samples_do_not_add_to_expected_wait_of_caller) {
  dispatch::SchedulerOptions options;
  options.max_queue_time = std::chrono::seconds(2'000);
  dispatch::PoolScheduler scheduler(options, 1);
  scheduler.SetUpstreams(
      {{UpstreamId("e1"), "127.0.0.1:1", "durable", 1, 1.0, false, false}});
  Instant now{};
  auto granted = std::get<Granted>(
      scheduler.Admit(Request("first", v1::WORK_SAMPLE), now));
  for (int number = 0; number < 100; ++number) {
    const auto decision = scheduler.Admit(
        Request("sample-" + std::to_string(number), v1::WORK_SAMPLE), now);
    cr_assert(std::holds_alternative<Queued>(decision));
  }
  // One sample completes every five seconds, which establishes the drain rate.
  for (int number = 0; number < 20; ++number) {
    now += std::chrono::seconds(5);
    v1::GrantRelease release;
    release.set_grant_id(granted.grant.grant_id());
    release.set_upstream("e1");
    scheduler.Release(release, now);
    const auto scheduled = scheduler.Schedule(now);
    cr_assert_eq(scheduled.size(), 1, "granted %zu", scheduled.size());
    granted = std::get<Granted>(scheduled[0].outcome);
  }
  const auto first = scheduler.Admit(Request("call", v1::WORK_CALLER), now);
  cr_assert(
      std::holds_alternative<Queued>(first),
      "expected the caller request to be queued: it would be served next");
  scheduler.Admit(Request("call-2", v1::WORK_CALLER), now);
  const auto third = scheduler.Admit(Request("call-3", v1::WORK_CALLER), now);
  cr_assert(std::holds_alternative<Refused>(third),
            "expected a refusal: two caller requests are ahead and take longer "
            "than the deadline");
}

}  // namespace
}  // namespace mulberryroad
