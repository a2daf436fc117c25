#include "http/server_sent_events.h"

#include <utility>

namespace mulberryroad::http {

namespace {

constexpr std::string_view kDataField = "data:";
// "\n\r\n"
constexpr std::size_t kMaxTerminatorBytes = 3;

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

// Returns the position after the empty line at a position, or the position
// itself if there is none.
std::size_t SkipEmptyLine(std::string_view text, std::size_t position) {
  if (text.substr(position, 1) == "\n") {
    return position + 1;
  }
  return text.substr(position, 2) == "\r\n" ? position + 2 : position;
}

// Returns the position after all empty lines at a position.
std::size_t SkipEmptyLines(std::string_view text, std::size_t position) {
  while (true) {
    const std::size_t next = SkipEmptyLine(text, position);
    if (next == position) {
      return position;
    }
    position = next;
  }
}

// Returns the position after the first empty line that follows another line,
// which is the end of an event; npos if there is none.
std::size_t FindEventEnd(std::string_view text, std::size_t position) {
  for (std::size_t feed = text.find('\n', position);
       feed != std::string_view::npos; feed = text.find('\n', feed + 1)) {
    const std::size_t end = SkipEmptyLine(text, feed + 1);
    if (end > feed + 1) {
      return end;
    }
  }
  return std::string_view::npos;
}

}  // namespace

std::vector<RawEvent> EventSplitter::Feed(std::string_view bytes) {
  std::vector<RawEvent> events;
  const auto add_event = [this, &events](std::size_t begin, std::size_t end) {
    events.push_back(ParseEvent(pending_.substr(begin, end - begin)));
    overflowed_ = overflowed_ || events.back().fields.size() > kMaxEventFields;
  };
  // The terminator of an event may span the old and the new bytes.
  std::size_t search = pending_.size() < kMaxTerminatorBytes
                           ? 0
                           : pending_.size() - kMaxTerminatorBytes;
  pending_ += bytes;
  std::size_t begin = 0;
  while (true) {
    if (search == begin) {
      search = SkipEmptyLines(pending_, begin);
    }
    const std::size_t end = FindEventEnd(pending_, search);
    if (end == std::string::npos) {
      break;
    }
    add_event(begin, end);
    begin = search = end;
  }
  // Empty lines at the end do not wait for the event that follows them.
  if (const std::size_t end = SkipEmptyLines(pending_, begin);
      end == pending_.size() && end > begin) {
    add_event(begin, end);
    begin = end;
  }
  // Once for all events: removing each of them would move the rest each time.
  pending_.erase(0, begin);
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
