// Replays recorded usage streams against the window book. Each line is a record
// of the stream with its offset, or a statement about the book at that point.

#include <criterion/criterion.h>
#include <google/protobuf/struct.pb.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <string>

#include "base/json.h"
#include "billing/window_book.h"
#include "billing/window_rules.h"

namespace {

using namespace mulberryroad;           // NOLINT(google-build-using-namespace)
using namespace mulberryroad::billing;  // NOLINT(google-build-using-namespace)
using Line = google::protobuf::Struct;

const char* NameOf(CloseVerdict verdict) {
  switch (verdict) {
    case CloseVerdict::kNotAClose:
      return "";
    case CloseVerdict::kValid:
      return "valid";
    case CloseVerdict::kVoidClosedBefore:
      return "closed before";
    case CloseVerdict::kVoidOldEpoch:
      return "old epoch";
    case CloseVerdict::kVoidCoverage:
      return "coverage";
  }
  return "unknown";
}

double Number(const Line& line, const std::string& field) {
  const auto found = line.fields().find(field);
  return found == line.fields().end() ? 0 : found->second.number_value();
}

void ReadRecord(const std::string& place, const Line& line, WindowBook& book) {
  v1::Record record;
  std::string reason;
  const std::string json =
      base::ToJson(line.fields().at("record").struct_value());
  cr_assert(base::FromJson(json, &record, &reason), "%s: %s", place.c_str(),
            reason.c_str());
  const auto offset = static_cast<platform::Offset>(Number(line, "offset"));
  const std::string actual = NameOf(book.OnRecord(offset, record));
  const auto verdict = line.fields().find("verdict");
  const std::string expected =
      verdict == line.fields().end() ? "" : verdict->second.string_value();
  cr_assert_eq(actual, expected, "%s: expected '%s', got '%s'", place.c_str(),
               expected.c_str(), actual.c_str());
}

void CheckBook(const std::string& place, const Line& line,
               const WindowBook& book) {
  for (const auto& [organisation, requests] :
       line.fields().at("open").struct_value().fields()) {
    const auto usage = book.open_usage();
    const auto found = usage.find(organisation);
    const double open =
        found == usage.end() ? 0 : static_cast<double>(found->second.requests);
    cr_assert_eq(open, requests.number_value(),
                 "%s: expected %.0f open requests of %s, got %.0f",
                 place.c_str(), requests.number_value(), organisation.c_str(),
                 open);
  }
  const auto unreported = static_cast<std::size_t>(Number(line, "unreported"));
  cr_assert_eq(book.unreported().size(), unreported,
               "%s: expected %zu unreported windows, got %zu", place.c_str(),
               unreported, book.unreported().size());
}

void CheckPrepared(const std::string& place, const Line& line,
                   const WindowBook& book) {
  const auto window = static_cast<WindowStart>(Number(line, "prepare"));
  const v1::WindowClose close = book.Prepare(window, 1, {});
  double requests = 0;
  for (const v1::UsageFigures& figures : close.figures()) {
    requests += static_cast<double>(figures.requests());
  }
  cr_assert_eq(requests, Number(line, "requests"),
               "%s: expected %.0f requests, got %.0f", place.c_str(),
               Number(line, "requests"), requests);
}

void CheckDue(const std::string& place, const Line& line,
              const WindowBook& book) {
  const WallTime at =
      WallTime{} + std::chrono::seconds(
                       static_cast<std::int64_t>(Number(line, "at_second")));
  const WindowRules rules{std::chrono::seconds(60), std::chrono::seconds(10)};
  const auto due = WindowToClose(book, at, rules);
  const auto expected = static_cast<WindowStart>(Number(line, "due"));
  cr_assert_eq(due.value_or(0), expected, "%s: expected window %lu, got %lu",
               place.c_str(), expected, due.value_or(0));
}

void Run(const std::string& place, const Line& line, WindowBook& book) {
  const auto& fields = line.fields();
  if (fields.contains("record")) {
    ReadRecord(place, line, book);
  } else if (fields.contains("prepare")) {
    CheckPrepared(place, line, book);
  } else if (fields.contains("due")) {
    CheckDue(place, line, book);
  } else {
    CheckBook(place, line, book);
  }
}

}  // namespace

Test(billing_trace, every_trace_ends_as_stated) {
  std::size_t traces = 0;
  const std::filesystem::path folder(TEST_DATA_DIR "/traces/billing");
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    std::ifstream file(entry.path());
    WindowBook book;
    std::string text;
    for (int number = 1; std::getline(file, text); ++number) {
      const std::string place =
          entry.path().filename().string() + ":" + std::to_string(number);
      Line line;
      std::string reason;
      cr_assert(base::FromJson(text, &line, &reason), "%s: %s", place.c_str(),
                reason.c_str());
      Run(place, line, book);
    }
    ++traces;
  }
  cr_assert_geq(traces, 4, "expected 4 traces, got %zu", traces);
}
