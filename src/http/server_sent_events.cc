#include "http/server_sent_events.h"

#include <utility>

namespace mulberryroad::http {

namespace {

constexpr std::string_view kDataField = "data:";

// Parses the fields of one event.
RawEvent ReadEvent(std::string bytes) {
  RawEvent event;
  bool has_data = false;
  std::size_t at = 0;
  while (at < bytes.size()) {
    const std::size_t end = bytes.find('\n', at);
    std::string_view line(bytes.data() + at, end - at);
    at = end + 1;
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    const std::size_t colon = line.find(':');
    if (line.empty() || colon == std::string_view::npos || colon == 0) {
      continue;
    }
    const std::string name(line.substr(0, colon));
    std::string_view value = line.substr(colon + 1);
    if (value.starts_with(' ')) {
      value.remove_prefix(1);
    }
    if (name == "data") {
      if (has_data) {
        event.data += '\n';
      }
      event.data += value;
      has_data = true;
    } else if (name == "id") {
      event.id = value;
    } else {
      event.fields[name] = value;
    }
  }
  event.bytes = std::move(bytes);
  return event;
}

}  // namespace

std::vector<RawEvent> EventSplitter::Feed(std::string_view bytes) {
  std::vector<RawEvent> events;
  // The terminator of an event may span the old and the new bytes.
  std::size_t from = pending_.size() < 3 ? 0 : pending_.size() - 3;
  pending_ += bytes;
  while (true) {
    const std::size_t plain = pending_.find("\n\n", from);
    const std::size_t wide = pending_.find("\n\r\n", from);
    if (plain == std::string::npos && wide == std::string::npos) {
      break;
    }
    const std::size_t end =
        plain < wide ? plain + 2 : wide + std::string_view("\n\r\n").size();
    events.push_back(ReadEvent(pending_.substr(0, end)));
    pending_.erase(0, end);
    from = 0;
  }
  if (pending_.size() > kMaxEventBytes) {
    overflowed_ = true;
    pending_.clear();
  }
  return events;
}

std::string FormatEvent(std::string_view data) {
  std::string event = "data: ";
  event += data;
  event += "\n\n";
  return event;
}

std::vector<std::string> EventParser::Feed(std::string_view bytes) {
  std::vector<std::string> events;
  for (const char byte : bytes) {
    if (byte == '\n') {
      TakeLine(&events);
    } else if (byte != '\r') {
      line_ += byte;
    }
    if (line_.size() + data_.size() > kMaxEventBytes) {
      overflowed_ = true;
      line_.clear();
      data_.clear();
    }
  }
  return events;
}

void EventParser::TakeLine(std::vector<std::string>* events) {
  const std::string line = std::exchange(line_, {});
  if (line.empty()) {
    if (!data_.empty()) {
      events->push_back(std::exchange(data_, {}));
    }
    return;
  }
  if (!line.starts_with(kDataField)) {
    return;
  }
  std::string_view value = line;
  value.remove_prefix(kDataField.size());
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  if (!data_.empty()) {
    data_ += '\n';
  }
  data_ += value;
}

}  // namespace mulberryroad::http
