#include "log/stream_reader.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace mulberryroad::log {
namespace {

std::string Bytes(const std::string& writer, std::uint64_t sequence) {
  v1::Record record;
  record.set_writer(writer);
  record.set_sequence(sequence);
  record.mutable_lease_release()->set_role(writer);
  return record.SerializeAsString();
}

std::string SnapshotBytes(platform::Offset covered) {
  v1::Record record;
  record.set_writer("compactor");
  record.set_sequence(covered);
  record.mutable_snapshot()->set_covered_offset(covered);
  return record.SerializeAsString();
}

platform::LogPage Page(platform::Offset first, platform::Offset from,
                       std::vector<std::string> records,
                       platform::Offset next) {
  return {first, next, from, std::move(records)};
}

/// Renders events as "0 1 gap(5,9) bad3".
std::string Text(const std::vector<ReadEvent>& events) {
  std::string text;
  for (const ReadEvent& event : events) {
    if (const auto* deliver = std::get_if<Deliver>(&event)) {
      text += std::to_string(deliver->offset);
      text += deliver->record.has_snapshot() ? "s " : " ";
    } else if (const auto* gap = std::get_if<Gap>(&event)) {
      text += "gap(" + std::to_string(gap->expected) + "," +
              std::to_string(gap->first_retained) + ") ";
    } else {
      text += "bad" + std::to_string(std::get<Unreadable>(event).offset) + " ";
    }
  }
  return text;
}

void Expect(const std::vector<ReadEvent>& events, const std::string& expected) {
  const std::string found = Text(events);
  cr_expect(found == expected, "expected \"%s\", found \"%s\"",
            expected.c_str(), found.c_str());
}

Test(stream_reader, delivers_in_order_and_drops_repeats) {
  StreamReader reader;
  Expect(
      reader.Take(Page(
          0, 0, {Bytes("a", 0), Bytes("a", 0), Bytes("b", 0), "\xff\xff"}, 4)),
      "0 2 bad3 ");
  cr_expect(reader.caught_up());
  cr_expect(reader.position() == 4);
}

Test(stream_reader, an_empty_stream_is_caught_up_and_no_gap) {
  StreamReader reader;
  Expect(reader.Take(Page(0, 0, {}, 0)), "");
  cr_expect(reader.caught_up());
  cr_expect(!reader.gap().has_value());
}

Test(stream_reader, passes_over_records_that_it_has) {
  StreamReader reader;
  Expect(reader.Take(Page(0, 0, {Bytes("a", 0), Bytes("a", 1)}, 3)), "0 1 ");
  cr_expect(!reader.caught_up());
  Expect(reader.Take(Page(0, 1, {Bytes("a", 1), Bytes("a", 2)}, 3)), "2 ");
}

Test(stream_reader, expired_records_without_a_snapshot_are_a_gap) {
  StreamReader reader;
  Expect(reader.Take(Page(5, 5, {Bytes("a", 5)}, 6)), "gap(0,5) ");
  cr_expect(!reader.caught_up());
  cr_expect(reader.gap().has_value());
  Expect(reader.Take(Page(5, 5, {Bytes("a", 5)}, 6)), "");
  cr_expect(reader.gap().has_value(), "the gap must stay visible");
}

Test(stream_reader, an_empty_stream_whose_records_expired_is_a_gap) {
  StreamReader reader;
  Expect(reader.Take(Page(9, 9, {}, 9)), "gap(0,9) ");
  cr_expect(!reader.caught_up());
}

Test(stream_reader, starts_from_the_newest_snapshot_and_what_it_covers) {
  StreamReader reader;
  // Offsets 5 to 9: the snapshot at 8 covers 6, so that 7 is replayed.
  Expect(reader.Take(Page(5, 5,
                          {Bytes("a", 5), SnapshotBytes(5), Bytes("a", 7),
                           SnapshotBytes(6), Bytes("a", 9)},
                          10)),
         "6s ");
  cr_expect(reader.position() == 7);
  Expect(reader.Take(
             Page(5, 7, {Bytes("a", 7), SnapshotBytes(6), Bytes("a", 9)}, 10)),
         "7 8s 9 ");
  cr_expect(reader.caught_up());
}

Test(stream_reader, a_snapshot_that_leaves_a_gap_after_it_is_not_used) {
  StreamReader reader;
  Expect(reader.Take(Page(9, 9, {SnapshotBytes(3)}, 10)), "gap(0,9) ");
}

Test(stream_reader, a_running_reader_loads_a_snapshot_over_a_gap) {
  StreamReader reader;
  Expect(reader.Take(Page(0, 0, {Bytes("a", 0)}, 1)), "0 ");
  Expect(reader.Take(Page(7, 7, {Bytes("a", 7), SnapshotBytes(7)}, 9)), "7s ");
  Expect(reader.Take(Page(7, 8, {SnapshotBytes(7)}, 9)), "8s ");
  cr_expect(reader.caught_up());
}

Test(stream_reader, a_late_snapshot_closes_the_gap) {
  StreamReader reader;
  Expect(reader.Take(Page(5, 5, {}, 5)), "gap(0,5) ");
  Expect(reader.Take(Page(5, 5, {SnapshotBytes(4)}, 6)), "4s ");
  cr_expect(!reader.gap().has_value());
}

Test(stream_reader, delivers_the_live_records_of_a_snapshot) {
  v1::Record record;
  record.mutable_snapshot()->set_covered_offset(6);
  v1::Snapshot* snapshot = record.mutable_snapshot();
  snapshot->add_live_records()->ParseFromString(Bytes("a", 2));
  snapshot->add_live_offsets(2);
  StreamReader reader;
  Expect(
      reader.Take(Page(6, 6, {Bytes("a", 6), record.SerializeAsString()}, 8)),
      "6s 2 ");
}

Test(stream_reader, stops_at_its_limit) {
  StreamReader reader;
  Expect(reader.Take(Page(0, 0, {Bytes("a", 0), Bytes("a", 1)}, 2), 1), "0 ");
  cr_expect(reader.position() == 1);
}

}  // namespace
}  // namespace mulberryroad::log
