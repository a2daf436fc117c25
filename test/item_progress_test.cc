// Tests of the events of an item and of the records that store them.

#include "batches/item_progress.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace mulberryroad::batches {
namespace {

constexpr std::size_t kRecordBytes = 262'144;

serving::StreamEvent Event(std::uint64_t id, std::string data,
                           std::optional<std::uint64_t> version = 5) {
  return {"", std::to_string(id), std::move(data), version};
}

// Returns an output of events with one byte each, as long as it may be.
ItemProgress LongestOutput() {
  ItemProgress progress;
  progress.software = "v1";
  for (std::uint64_t id = 1;
       progress.AppendEvent(Event(id, "x"), MaxOutputBytes(kRecordBytes)) ==
       AppendEventResult::kAppended;
       ++id) {
  }
  return progress;
}

Test(item_progress, events_are_joined_by_line_feeds) {
  ItemProgress progress;
  progress.AppendEvent(Event(1, "a\nb"), 100);
  progress.AppendEvent(Event(2, ""), 100);
  progress.AppendEvent(Event(3, "c"), 100);
  cr_assert_str_eq(progress.text().c_str(), "a\nb\n\nc");
  cr_assert(progress.events.at(0) == "a\nb");
  cr_assert(progress.events.at(1).empty());
  cr_assert(progress.events.at(2) == "c");
}

// Guards against events of one byte that take 33 bytes each.
Test(item_progress, memory_of_small_events_is_not_bounded) {
  const ItemProgress progress = LongestOutput();
  cr_assert_gt(progress.last_event, 100'000);
  cr_assert_leq(progress.text().size(), kRecordBytes);
  // Two bytes of text and four of an offset for each event, in buffers that
  // grow by doubling.
  cr_assert_leq(progress.held_bytes(), 8 * kRecordBytes);
}

Test(item_progress, versions_of_an_output_are_not_bounded) {
  ItemProgress progress;
  std::uint64_t id = 1;
  while (progress.AppendEvent(Event(id, "x", id), kRecordBytes) ==
         AppendEventResult::kAppended) {
    ++id;
  }
  cr_assert_eq(progress.versions.size(), kMaxOutputVersions);
}

// Guards against records that the store refuses for their size.
Test(item_progress, record_of_progress_exceeds_the_limit_of_the_store) {
  const ItemProgress progress = LongestOutput();
  ItemProgress restored;
  const std::vector<v1::ProgressRecord> records =
      progress.RecordsSince(0, kRecordBytes);
  cr_assert_gt(records.size(), 1);
  for (const v1::ProgressRecord& record : records) {
    cr_assert_leq(record.ByteSizeLong(), kRecordBytes);
    cr_assert(restored.AppendRecord(record));
  }
  cr_assert(restored.text() == progress.text());
  cr_assert_eq(restored.last_event, progress.last_event);
  cr_assert(restored.versions == progress.versions);
}

Test(item_progress, record_without_new_events_marks_the_end) {
  ItemProgress progress;
  progress.AppendEvent(Event(1, "a"), kRecordBytes);
  progress.complete = true;
  const auto records = progress.RecordsSince(1, kRecordBytes);
  cr_assert_eq(records.size(), 1);
  cr_assert_eq(records[0].first_event(), 2);
  cr_assert_eq(records[0].events_size(), 0);
  cr_assert(records[0].complete());
}

}  // namespace
}  // namespace mulberryroad::batches
