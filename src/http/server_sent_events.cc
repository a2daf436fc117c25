#include "http/server_sent_events.h"

#include <utility>

namespace mulberryroad::http {

namespace {

constexpr std::string_view kDataField = "data:";

// Parses the fields of one event.
RawEvent ParseEvent(std::string bytes) {
  RawEvent event;
  bool has_data = false;
  std::size_t position = 0;
  while (position < bytes.size()) {
    const std::size_t end = bytes.find('\n', position);
    std::string_view line(bytes.data() + position, end - position);
    position = end + 1;
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
  std::size_t search_start = pending_.size() < 3 ? 0 : pending_.size() - 3;
  pending_ += bytes;
  while (true) {
    const std::size_t lf_terminator = pending_.find("\n\n", search_start);
    const std::size_t crlf_terminator = pending_.find("\n\r\n", search_start);
    if (lf_terminator == std::string::npos &&
        crlf_terminator == std::string::npos) {
      break;
    }
    const std::size_t end =
        lf_terminator < crlf_terminator
            ? lf_terminator + 2
            : crlf_terminator + std::string_view("\n\r\n").size();
    events.push_back(ParseEvent(pending_.substr(0, end)));
    pending_.erase(0, end);
    search_start = 0;
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
      ProcessLine(&events);
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

void EventParser::ProcessLine(std::vector<std::string>* events) {
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
