// Tests a node's cumulative counters and the copies it keeps for others.

#include "billing/counter_set.h"

#include <criterion/criterion.h>

namespace {

using namespace mulberryroad;           // NOLINT(google-build-using-namespace)
using namespace mulberryroad::billing;  // NOLINT(google-build-using-namespace)

const OrganisationId kBallons("ballons");

CounterSet MakeSet() { return {NodeId("a"), 7}; }

}  // namespace

Test(counter_set, is_appended_only_when_the_log_shows_its_latest_counts) {
  CounterSet set = MakeSet();
  set.Count(kBallons, {1, 10, 20}, 3'600);
  const Counters first = set.Unappended();
  set.Count(kBallons, {1, 1, 2}, 3'600);
  set.MarkAppended(first);
  const Counters rest = set.Unappended();
  cr_assert_eq(rest.size(), 1, "the second growth is not in the log");
  cr_assert_eq(rest[0].requests(), 2);
  cr_assert_eq(rest[0].generated_tokens(), 22);
  set.MarkAppended(rest);
  cr_assert(set.Unappended().empty());
}

Test(counter_set, copies_again_to_a_new_partner) {
  CounterSet set = MakeSet();
  set.Count(kBallons, {1, 0, 0}, 3'600);
  set.MarkCopied(set.Uncopied());
  cr_assert(set.Uncopied().empty());
  set.ForgetCopies();
  cr_assert_eq(set.Uncopied().size(), 1);
  set.MarkAppended(set.Unappended());
  cr_assert(set.Uncopied().empty(), "what is in the log needs no copy");
}

Test(counter_set, never_counts_into_a_window_before_the_latest) {
  CounterSet set = MakeSet();
  set.Count(kBallons, {1, 0, 0}, 7'200);
  set.Count(kBallons, {1, 0, 0}, 3'600);
  const Counters all = set.all();
  cr_assert_eq(all.size(), 1);
  cr_assert_eq(all[0].window(), 7'200);
  cr_assert_eq(all[0].requests(), 2);
}

Test(counter_set, forgets_old_windows_only_once_they_are_in_the_log) {
  CounterSet set = MakeSet();
  set.Count(kBallons, {1, 0, 0}, 3'600);
  set.Forget(7'200);
  cr_assert_eq(set.all().size(), 1);
  set.MarkAppended(set.Unappended());
  set.Forget(7'200);
  cr_assert(set.all().empty());
}

Test(copy_keeper, holds_the_highest_counts_until_the_log_covers_them) {
  CounterSet set = MakeSet();
  set.Count(kBallons, {1, 5, 5}, 3'600);
  const Counters early = set.all();
  set.Count(kBallons, {1, 5, 5}, 3'600);
  const Counters later = set.all();
  CopyKeeper keeper;
  v1::UsageCopy copy;
  *copy.add_counters() = later[0];
  keeper.Keep(copy);
  *copy.mutable_counters(0) = early[0];
  keeper.Keep(copy);
  const CopyKeeper::Run run{"a", 7};
  cr_assert_eq(keeper.Of(run)[0].requests(), 2, "an old copy changes nothing");
  v1::UsageAppend append;
  *append.add_counters() = early[0];
  keeper.Seen(append);
  cr_assert_eq(keeper.Of(run).size(), 1);
  *append.mutable_counters(0) = later[0];
  keeper.Seen(append);
  cr_assert(keeper.runs().empty());
}
