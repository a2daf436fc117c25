// Formatting and parsing of server-sent events.

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

/// Returns an event with one line of data.
/// @param data must not contain a line break
std::string FormatEvent(std::string_view data);

/// An event with all its fields and its bytes as received.
struct RawEvent {
  std::string bytes;
  /// Empty if the event has no ID.
  std::string id;
  std::string data;
  /// Fields other than "id" and "data", by name.
  std::map<std::string, std::string> fields;
};

/// Splits a byte stream into events with all their fields and original bytes.
class EventSplitter {
 public:
  /// Consumes the next bytes and returns the events that they complete. Takes
  /// time linear in the number of bytes. Empty lines before an event are part
  /// of its bytes; those at the end of the input form an event without fields.
  std::vector<RawEvent> Feed(std::string_view bytes);

  /// True if no partial event is buffered.
  bool between_events() const { return pending_.empty(); }
  /// Size of the partial event.
  std::size_t pending_bytes() const { return pending_.size(); }
  /// True once an event exceeded kMaxEventFields or kMaxEventBytes; one that is
  /// too large is dropped.
  bool overflowed() const { return overflowed_; }

  static constexpr std::size_t kMaxEventBytes = 4U << 20U;
  /// Maximum number of fields besides "id" and "data".
  static constexpr std::size_t kMaxEventFields = 64;

 private:
  std::string pending_;
  bool overflowed_ = false;
};

/// Extracts the data of the events in a byte stream and ignores other fields.
class EventParser {
 public:
  /// Consumes the next bytes and returns the data of the events that they
  /// complete.
  std::vector<std::string> Feed(std::string_view bytes);

  /// True once an event exceeded kMaxEventBytes; such events are dropped.
  bool overflowed() const { return overflowed_; }
  /// True if no partial event is buffered.
  bool between_events() const { return line_.empty() && data_.empty(); }

  static constexpr std::size_t kMaxEventBytes = 4U << 20U;

 private:
  void ProcessLine(std::vector<std::string>* events);

  std::string line_;
  std::string data_;
  bool overflowed_ = false;
};

}  // namespace mulberryroad::http

#endif  // MULBERRYROAD_SRC_HTTP_SERVER_SENT_EVENTS_H_
