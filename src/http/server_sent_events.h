// Server-sent events as used for streamed completions: "data" fields only.

#ifndef MULBERRYROAD_SRC_HTTP_SERVER_SENT_EVENTS_H_
#define MULBERRYROAD_SRC_HTTP_SERVER_SENT_EVENTS_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mulberryroad::http {

/// Media type of an event stream.
inline constexpr std::string_view kEventStreamType = "text/event-stream";

/// Returns one event that carries a line of data.
std::string FormatEvent(std::string_view data);

/// One event with all its fields, and its bytes as received.
struct RawEvent {
  std::string bytes;
  /// Empty if the event has none.
  std::string id;
  std::string data;
  /// Fields other than "id" and "data", by name.
  std::map<std::string, std::string> fields;
};

/// Splits a byte stream into whole events and keeps their bytes.
class EventSplitter {
 public:
  /// Takes the next bytes and returns the events completed by them.
  std::vector<RawEvent> Feed(std::string_view bytes);

  /// True if the stream stands between two events.
  bool between_events() const { return pending_.empty(); }
  /// True if an event is longer than kMaxEventBytes; it is then dropped.
  bool overflowed() const { return overflowed_; }

  static constexpr std::size_t kMaxEventBytes = 4U << 20U;

 private:
  std::string pending_;
  bool overflowed_ = false;
};

/// Splits a byte stream into events.
class EventParser {
 public:
  /// Takes the next bytes and returns the data of the events completed by them.
  std::vector<std::string> Feed(std::string_view bytes);

  /// True if an event is longer than this parser takes; it is then dropped.
  bool overflowed() const { return overflowed_; }
  /// True if the stream stands between two events.
  bool between_events() const { return line_.empty() && data_.empty(); }

  static constexpr std::size_t kMaxEventBytes = 4U << 20U;

 private:
  void TakeLine(std::vector<std::string>* events);

  std::string line_;
  std::string data_;
  bool overflowed_ = false;
};

}  // namespace mulberryroad::http

#endif  // MULBERRYROAD_SRC_HTTP_SERVER_SENT_EVENTS_H_
