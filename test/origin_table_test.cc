// Tests which origins of streams are stored, and which are derived.

#include "serving/origin_table.h"

#include <criterion/criterion.h>

namespace mulberryroad::serving {
namespace {

using std::chrono::milliseconds;

const TargetId& Engines() {
  static const auto* const service = new TargetId("engines");
  return *service;
}

StreamOrigin At(const std::string& software) { return {Engines(), software}; }

Test(origin_table, single_declared_version_needs_no_record) {
  OriginTable table;
  cr_expect(table.Add("s1", At("v1"), OriginRecord::kNone, false, Instant{}),
            "the version is not declared yet");
  table.OnDeclared(At("v1"));
  cr_expect(!table.Add("s2", At("v1"), OriginRecord::kNone, false, Instant{}));
  cr_expect(table.Add("s3", At("v2"), OriginRecord::kNone, false, Instant{}),
            "its version is not declared");
  cr_expect(table.Add("s4", At("v1"), OriginRecord::kNone, true, Instant{}),
            "the route leads to two services");
}

Test(origin_table, streams_that_began_before_the_second_version_get_records) {
  OriginTable table;
  table.OnDeclared(At("v1"));
  table.Add("open", At("v1"), OriginRecord::kNone, false, Instant{});
  table.Add("complete", At("v1"), OriginRecord::kNone, false, Instant{});
  cr_expect(!table.Complete("complete"), "it has no record");
  const auto keys = table.OnDeclared(At("v2"));
  cr_assert_eq(keys.size(), 1);
  cr_expect(keys.front() == "open");
  cr_expect(table.OnDeclared(At("v2")).empty(), "it has a record now");
  cr_expect(table.Complete("open"), "its record must be deleted");
  cr_expect(
      table.Add("later", At("v2"), OriginRecord::kNone, false, Instant{}));
}

Test(origin_table, streams_expire_after_the_longest_stream) {
  OriginTable table;
  table.Add("s1", At("v1"), OriginRecord::kNone, false, Instant{});
  table.Expire(Instant{} + OriginTable::kMaxAge);
  cr_expect_not_null(table.find("s1"));
  table.Expire(Instant{} + OriginTable::kMaxAge + milliseconds(1));
  cr_expect_null(table.find("s1"));
}

Test(origin_table, oldest_streams_are_removed_at_the_limit) {
  OriginTable table;
  for (std::size_t i = 0; i <= OriginTable::kMaxStreams; ++i) {
    table.Add("s" + std::to_string(i), At("v1"), OriginRecord::kNone, false,
              Instant{} + milliseconds(i));
  }
  cr_expect_eq(table.size(), OriginTable::kMaxStreams);
  cr_expect_null(table.find("s0"));
}

Test(origin_table, origin_is_derived_only_from_a_single_version) {
  const SoftwareVersions one{{Engines(), {"v1"}}};
  const SoftwareVersions other{{Engines(), {"v2"}}};
  const SoftwareVersions both{{Engines(), {"v1", "v2"}}};
  const auto only = OnlyOrigin({Engines()}, one, one);
  cr_assert(only.has_value());
  cr_expect(*only == At("v1"));
  cr_expect(OnlyOrigin({Engines()}, one, {}).has_value());
  cr_expect(!OnlyOrigin({Engines()}, both, one).has_value());
  cr_expect(!OnlyOrigin({Engines()}, one, other).has_value(),
            "a registered version may not be declared yet");
  cr_expect(!OnlyOrigin({Engines()}, {}, one).has_value(),
            "a version that is gone may not have been declared");
  cr_expect(!OnlyOrigin({Engines(), TargetId("desk")}, one, one).has_value());
}

Test(append_pacer, interval_follows_the_store) {
  AppendPacer pacer;
  cr_expect(pacer.interval() == AppendPacer::kMinInterval);
  for (int i = 0; i < 20; ++i) {
    pacer.OnFailed();
  }
  cr_expect(pacer.interval() == AppendPacer::kMaxInterval);
  pacer.OnAppended(milliseconds(5));
  cr_expect(pacer.interval() < AppendPacer::kMaxInterval);
  const auto before = pacer.interval();
  pacer.OnAppended(AppendPacer::kSlowAppend + milliseconds(1));
  cr_expect(pacer.interval() > before);
}

}  // namespace
}  // namespace mulberryroad::serving
