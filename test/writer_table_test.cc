#include "log/writer_table.h"

#include <criterion/criterion.h>

#include <string>

namespace mulberryroad::log {
namespace {

Test(writer_table, drops_repeats_of_each_writer_alone) {
  struct Case {
    const char* writer;
    std::uint64_t sequence;
    bool fresh;
  };
  const Case cases[] = {{"a", 0, true},  {"a", 0, false}, {"b", 0, true},
                        {"a", 2, true},  {"a", 1, true},  {"a", 2, false},
                        {"a", 1, false}, {"a", 3, true}};
  WriterTable table;
  platform::Offset offset = 0;
  for (const Case& c : cases) {
    const bool fresh = table.Note(c.writer, c.sequence, offset);
    cr_expect(fresh == c.fresh, "offset %d: expected %d, found %d",
              static_cast<int>(offset), c.fresh, fresh);
    ++offset;
  }
}

Test(writer_table, is_the_same_after_a_snapshot) {
  WriterTable table;
  for (const std::uint64_t sequence : {0, 1, 2, 5, 9}) {
    table.Note("a", sequence, sequence);
  }
  v1::Snapshot snapshot;
  table.Save(snapshot.mutable_writers());
  WriterTable loaded;
  loaded.Load(snapshot.writers());
  for (const std::uint64_t sequence : {0, 2, 3, 4, 5, 9, 10}) {
    const bool expected = table.Note("a", sequence, 100 + sequence);
    const bool found = loaded.Note("a", sequence, 100 + sequence);
    cr_expect(expected == found, "sequence %d: expected %d, found %d",
              static_cast<int>(sequence), expected, found);
  }
}

Test(writer_table, forgets_silent_writers_by_offset) {
  WriterTable table;
  table.Note("old", 0, 0);
  table.Note("busy", 0, 1);
  table.Note("busy", 1, WriterTable::kForgetAfterOffsets / 2);
  table.Note("busy", 2, WriterTable::kForgetAfterOffsets + 10'000);
  cr_expect(table.size() == 1, "expected one writer, found %zu", table.size());
}

Test(writer_table, is_bounded_when_sequences_are_missing) {
  WriterTable table;
  for (std::uint64_t i = 0; i < 4 * WriterTable::kMaxSparse; ++i) {
    table.Note("a", 2 * i + 1, i);
  }
  v1::Snapshot snapshot;
  table.Save(snapshot.mutable_writers());
  cr_expect(static_cast<std::size_t>(snapshot.writers(0).seen_size()) <=
                WriterTable::kMaxSparse,
            "expected at most %zu sequences, found %d", WriterTable::kMaxSparse,
            snapshot.writers(0).seen_size());
}

}  // namespace
}  // namespace mulberryroad::log
