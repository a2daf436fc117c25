#include "http/server_sent_events.h"

#include <utility>

namespace mulberryroad::http {

namespace {

constexpr std::string_view kDataField = "data:";

}  // namespace

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
