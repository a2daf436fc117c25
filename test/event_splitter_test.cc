// Tests of the splitter of event streams.

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <vector>

#include "http/server_sent_events.h"

namespace mulberryroad::http {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// As long as one call may keep the event loop from serving other requests.
constexpr milliseconds kTimeLimit{500};
constexpr std::size_t kManyBytes = 1'000'000;

std::string Repeat(const std::string& text, std::size_t bytes) {
  std::string repeated;
  while (repeated.size() < bytes) {
    repeated += text;
  }
  return repeated;
}

// Guards against a response that takes the whole processor, as the work for
// each byte grows with the bytes received.
Test(event_splitter, time_of_many_small_events_is_linear, .timeout = 60) {
  const std::vector<std::string> units = {
      "\n", "\r\n", "a\n\n", ":\r\n\r\n", "id:1\n\n", "\n\r", "data\n"};
  for (const std::string& unit : units) {
    EventSplitter splitter;
    const std::string bytes = Repeat(unit, kManyBytes);
    const auto start = steady_clock::now();
    splitter.Feed(bytes);
    const auto took =
        std::chrono::duration_cast<milliseconds>(steady_clock::now() - start);
    cr_expect_leq(took.count(), kTimeLimit.count(),
                  "%zu bytes of a unit of %zu bytes took %ld ms", bytes.size(),
                  unit.size(), static_cast<long>(took.count()));
  }
}

// Guards against memory of many times the size of a response.
Test(event_splitter, empty_lines_make_one_event) {
  EventSplitter splitter;
  const auto events = splitter.Feed(std::string(1'000, '\n'));
  cr_assert_eq(events.size(), 1);
  cr_assert_eq(events.front().bytes.size(), 1'000);
  cr_assert(splitter.between_events());
}

Test(event_splitter, event_with_too_many_fields_overflows) {
  EventSplitter splitter;
  std::string bytes;
  for (std::size_t i = 0; i <= EventSplitter::kMaxEventFields; ++i) {
    bytes += "field" + std::to_string(i) + ": x\n";
  }
  splitter.Feed(bytes + "\n");
  cr_assert(splitter.overflowed());
}

// Guards against bytes that are lost, doubled or delayed where the bytes of a
// stream are cut.
Test(event_splitter, any_cut_gives_the_same_bytes_and_events) {
  const std::string stream =
      "id: 1\ndata: a\n\n\n\r\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n: comment\n\n"
      "\n\nid: 3\ndata: d\n\n";
  for (std::size_t first = 0; first <= stream.size(); ++first) {
    for (std::size_t second = first; second <= stream.size(); ++second) {
      EventSplitter splitter;
      std::string bytes;
      std::string data;
      for (const std::string& part :
           {stream.substr(0, first), stream.substr(first, second - first),
            stream.substr(second)}) {
        for (const RawEvent& event : splitter.Feed(part)) {
          bytes += event.bytes;
          data += event.id.empty() ? "" : event.id + "=" + event.data + ";";
        }
      }
      cr_assert_str_eq(bytes.c_str(), stream.c_str(), "cut at %zu and %zu",
                       first, second);
      cr_assert_str_eq(data.c_str(), "1=a;2=b\nc;3=d;", "cut at %zu and %zu",
                       first, second);
      cr_assert(splitter.between_events());
    }
  }
}

}  // namespace
}  // namespace mulberryroad::http
