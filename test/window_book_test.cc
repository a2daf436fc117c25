// Tests the fold of usage records into windows.

#include "billing/window_book.h"

#include <criterion/criterion.h>

#include <map>
#include <string>
#include <vector>

#include "billing/window_rules.h"

namespace {

using namespace mulberryroad;           // NOLINT(google-build-using-namespace)
using namespace mulberryroad::billing;  // NOLINT(google-build-using-namespace)

constexpr WindowStart kFirst = 3'600;
constexpr WindowStart kSecond = 7'200;

v1::Record Append(const std::string& node, WindowStart window,
                  std::uint64_t requests) {
  v1::Record record;
  v1::UsageCounter& counter = *record.mutable_usage_append()->add_counters();
  counter.set_node_id(node);
  counter.set_incarnation(1);
  counter.set_window(window);
  counter.set_organisation("ballons");
  counter.set_requests(requests);
  return record;
}

v1::Record Close(WindowStart window, std::uint64_t epoch,
                 platform::Offset covered, std::uint64_t requests) {
  v1::Record record;
  v1::WindowClose& close = *record.mutable_window_close();
  close.set_window(window);
  close.set_epoch(epoch);
  close.set_covered_offset(covered);
  v1::UsageFigures& figures = *close.add_figures();
  figures.set_organisation("ballons");
  figures.set_requests(requests);
  return record;
}

v1::Record Reported(WindowStart window) {
  v1::Record record;
  record.mutable_window_reported()->set_window(window);
  record.mutable_window_reported()->set_organisation("ballons");
  return record;
}

std::uint64_t OpenRequests(const WindowBook& book) {
  const auto usage = book.open_usage();
  const auto found = usage.find("ballons");
  return found == usage.end() ? 0 : found->second.requests;
}

struct CloseCase {
  const char* name;
  std::vector<v1::Record> before;
  v1::Record close;
  CloseVerdict expected;
  std::uint64_t open_after;
};

}  // namespace

Test(window_book, judges_closes_by_the_order_of_the_stream) {
  const std::vector<v1::Record> two = {Append("a", kFirst, 3),
                                       Append("b", kFirst, 4)};
  std::vector<v1::Record> closed = two;
  closed.push_back(Close(kFirst, 5, 1, 7));
  std::vector<v1::Record> late = closed;
  late.push_back(Append("a", kFirst, 10));
  std::vector<v1::Record> crossed = two;
  crossed.push_back(Close(kSecond, 9, 1, 7));
  const std::vector<CloseCase> cases = {
      {"first close", two, Close(kFirst, 5, 1, 7), CloseVerdict::kValid, 0},
      {"part of the stream", two, Close(kFirst, 5, 0, 3), CloseVerdict::kValid,
       4},
      {"second close", closed, Close(kFirst, 5, 1, 7),
       CloseVerdict::kVoidClosedBefore, 0},
      {"successor closes again", closed, Close(kFirst, 8, 1, 7),
       CloseVerdict::kVoidClosedBefore, 0},
      {"stale holder after its successor", crossed, Close(kFirst, 5, 1, 7),
       CloseVerdict::kVoidOldEpoch, 0},
      {"covers itself", two, Close(kFirst, 5, 2, 7),
       CloseVerdict::kVoidCoverage, 7},
      {"covers less than before", closed, Close(kSecond, 5, 0, 0),
       CloseVerdict::kVoidCoverage, 0},
      {"late usage into the next window", late, Close(kSecond, 5, 3, 7),
       CloseVerdict::kValid, 0},
  };
  for (const CloseCase& test : cases) {
    WindowBook book;
    platform::Offset offset = 0;
    for (const v1::Record& record : test.before) {
      book.OnRecord(offset++, record);
    }
    const CloseVerdict verdict = book.OnRecord(offset, test.close);
    cr_assert_eq(static_cast<int>(verdict), static_cast<int>(test.expected),
                 "%s: expected verdict %d, got %d", test.name,
                 static_cast<int>(test.expected), static_cast<int>(verdict));
    cr_assert_eq(OpenRequests(book), test.open_after,
                 "%s: expected %lu open requests, got %lu", test.name,
                 test.open_after, OpenRequests(book));
  }
}

Test(window_book, takes_repeated_and_crossed_counters_once) {
  WindowBook book;
  const std::vector<std::uint64_t> counts = {2, 5, 5, 3, 9, 5};
  platform::Offset offset = 0;
  for (const std::uint64_t count : counts) {
    book.OnRecord(offset++, Append("a", kFirst, count));
  }
  cr_assert_eq(OpenRequests(book), 9, "expected 9, got %lu",
               OpenRequests(book));
}

Test(window_book, moves_usage_above_the_covered_offset_to_the_next_window) {
  WindowBook book;
  book.OnRecord(0, Append("a", kFirst, 5));
  book.OnRecord(1, Append("a", kFirst, 8));
  book.OnRecord(2, Close(kFirst, 1, 0, 5));
  book.OnRecord(3, Append("a", kFirst, 9));
  const v1::WindowClose next = book.Prepare(kSecond, 1, {});
  cr_assert_eq(next.figures_size(), 1);
  cr_assert_eq(next.figures(0).requests(), 4, "expected 3 + 1, got %lu",
               next.figures(0).requests());
  cr_assert_eq(next.covered_offset(), 3);
}

Test(window_book, gives_every_organisation_a_figure) {
  WindowBook book;
  book.OnRecord(0, Append("a", kFirst, 5));
  const v1::WindowClose close = book.Prepare(
      kFirst, 1, {OrganisationId("ballons"), OrganisationId("coulee")});
  cr_assert_eq(close.figures_size(), 2);
  cr_assert_eq(close.figures(1).organisation(), "coulee");
  cr_assert_eq(close.figures(1).requests(), 0);
}

Test(window_book, keeps_a_window_until_all_its_reports_are_taken) {
  WindowBook book;
  book.OnRecord(0, Append("a", kFirst, 5));
  book.OnRecord(1, Close(kFirst, 1, 0, 5));
  cr_assert_eq(book.unreported().size(), 1);
  book.OnRecord(2, Reported(kFirst));
  cr_assert(book.unreported().empty());
}

Test(window_book, voids_a_close_that_leaves_out_too_many_records) {
  WindowBook book;
  book.OnRecord(0, Append("a", kFirst, 5));
  const platform::Offset late = WindowBook::kMaxCloseLag + 1;
  const CloseVerdict verdict = book.OnRecord(late, Close(kFirst, 1, 0, 5));
  cr_assert_eq(static_cast<int>(verdict),
               static_cast<int>(CloseVerdict::kVoidCoverage));
  cr_assert_eq(OpenRequests(book), 5);
}

// A reader that starts from the live records judges as one that read all.
Test(window_book, comes_to_the_same_state_from_the_live_records) {
  std::map<platform::Offset, v1::Record> stream;
  platform::Offset offset = 0;
  const auto put = [&](const v1::Record& record) { stream[offset++] = record; };
  put(Append("a", kFirst, 5));
  put(Append("b", kFirst, 2));
  put(Append("a", kFirst, 8));
  put(Close(kFirst, 4, 1, 7));
  put(Append("b", kSecond, 1));
  put(Append("b", kFirst, 6));
  put(Close(kFirst, 9, 5, 99));
  put(Append("a", kSecond, 3));
  offset += WindowBook::kMaxCloseLag + 5;
  put(Append("a", kSecond, 4));
  WindowBook whole;
  for (const auto& [at, record] : stream) {
    whole.OnRecord(at, record);
  }
  // It fell behind before, and knows an old part of the stream.
  WindowBook restored;
  restored.OnRecord(0, stream[0]);
  v1::Record snapshot;
  snapshot.mutable_snapshot()->set_covered_offset(offset - 1);
  restored.OnRecord(offset - 1, snapshot);
  cr_assert_eq(OpenRequests(restored), 0, "a snapshot replaces all state");
  for (const platform::Offset live : whole.live_offsets()) {
    restored.OnRecord(live, stream[live]);
  }
  cr_assert_eq(OpenRequests(restored), OpenRequests(whole),
               "expected %lu open, got %lu", OpenRequests(whole),
               OpenRequests(restored));
  cr_assert_eq(restored.Prepare(kSecond, 9, {}).SerializeAsString(),
               whole.Prepare(kSecond, 9, {}).SerializeAsString(),
               "both readers prepare the same close");
  cr_assert_eq(restored.highest_epoch(), 9);
  cr_assert_eq(*restored.last_closed(), kFirst);
  const v1::Record close = Close(kSecond, 4, offset - 1, 0);
  cr_assert_eq(static_cast<int>(whole.OnRecord(offset, close)),
               static_cast<int>(CloseVerdict::kVoidOldEpoch));
  cr_assert_eq(static_cast<int>(restored.OnRecord(offset, close)),
               static_cast<int>(CloseVerdict::kVoidOldEpoch));
}

Test(window_rules, closes_windows_one_after_another_after_their_grace) {
  const WindowRules rules{std::chrono::seconds(3'600),
                          std::chrono::seconds(60)};
  const auto at = [](std::uint64_t seconds) {
    return WallTime{} + std::chrono::seconds(seconds);
  };
  WindowBook book;
  cr_assert_not(WindowToClose(book, at(99'999), rules).has_value(),
                "without usage there is nothing to close");
  book.OnRecord(0, Append("a", kFirst, 5));
  cr_assert_not(WindowToClose(book, at(7'259), rules).has_value());
  cr_assert_eq(WindowToClose(book, at(7'260), rules).value_or(0), kFirst);
  book.OnRecord(1, Close(kFirst, 1, 0, 5));
  cr_assert_not(WindowToClose(book, at(10'859), rules).has_value());
  cr_assert_eq(WindowToClose(book, at(10'860), rules).value_or(0), kSecond,
               "a window without usage is closed too");
  cr_assert_eq(WindowAt(at(7'199), rules), kFirst);
  cr_assert_eq(WindowAt(at(7'200), rules), kSecond);
}
