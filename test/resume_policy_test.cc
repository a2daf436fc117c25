// Tests when an interrupted item goes on, waits or starts again.

#include "batches/resume_policy.h"

#include <criterion/criterion.h>

namespace mulberryroad::batches {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr microseconds kInterval{10'000};

Test(resume_policy, item_waits_no_longer_than_its_events_take_again) {
  // 40 events take 400 ms.
  const auto decide = [](milliseconds waited) {
    return DecideResume({40, kInterval, waited}, /*registered=*/true,
                        /*free=*/false);
  };
  cr_expect(std::holds_alternative<AwaitVersion>(decide(milliseconds(0))));
  cr_expect(std::holds_alternative<AwaitVersion>(decide(milliseconds(399))));
  cr_expect(std::holds_alternative<RestartItem>(decide(milliseconds(400))));
}

Test(resume_policy, item_without_its_version_starts_again_at_once) {
  cr_expect(std::holds_alternative<RestartItem>(DecideResume(
      {400, kInterval, milliseconds(0)}, /*registered=*/false, false)));
}

Test(resume_policy, free_slot_of_the_version_is_used_however_late) {
  cr_expect(std::holds_alternative<ResumeItem>(
      DecideResume({1, kInterval, milliseconds(5'000)}, true, /*free=*/true)));
}

}  // namespace
}  // namespace mulberryroad::batches
