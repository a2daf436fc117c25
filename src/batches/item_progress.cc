#include "batches/item_progress.h"

#include <cstdlib>
#include <utility>

namespace mulberryroad::batches {

namespace {

// Estimate of a node of a set or map, with the allocator's overhead.
constexpr std::size_t kNodeBytes = 64;
// Room in a result record for the key (255 bytes), the id of the item (1,000),
// kMaxOutputVersions of at most 11 bytes each, and a score of kMaxScoreBytes.
constexpr std::size_t kResultOverheadBytes = 12U << 10U;
// Most bytes that the encoding adds to an event: a tag and its length.
constexpr std::size_t kEncodedEventBytes = 5;
// Room in a progress record for the key and all fields but the events.
constexpr std::size_t kProgressOverheadBytes = 8U << 10U;

// Returns what a record of so many bytes has left beside its overhead.
std::size_t RoomBeside(std::size_t overhead, std::size_t bytes) {
  return bytes > overhead ? bytes - overhead : 1;
}

}  // namespace

std::size_t MaxOutputBytes(std::size_t max_record_bytes) {
  return RoomBeside(kResultOverheadBytes, max_record_bytes);
}

void EventTexts::Append(std::string_view data) {
  if (!ends_.empty()) {
    joined_ += '\n';
  }
  joined_ += data;
  ends_.push_back(static_cast<std::uint32_t>(joined_.size()));
}

std::string_view EventTexts::at(std::size_t index) const {
  const std::size_t begin = index == 0 ? 0 : ends_[index - 1] + 1;
  return std::string_view(joined_).substr(begin, ends_[index] - begin);
}

std::size_t ItemProgress::held_bytes() const {
  return sizeof(ItemProgress) + events.held_bytes() + software.capacity() +
         versions.size() * kNodeBytes;
}

AppendEventResult ItemProgress::AppendEvent(const serving::StreamEvent& event,
                                            std::size_t max_bytes) {
  const std::uint64_t id = std::strtoull(event.id.c_str(), nullptr, 10);
  if (id != last_event + 1) {
    return AppendEventResult::kOutOfOrder;
  }
  const std::uint64_t new_version = event.version.value_or(version);
  if (text().size() + 1 + event.data.size() > max_bytes ||
      (versions.size() >= kMaxOutputVersions &&
       !versions.contains(new_version))) {
    return AppendEventResult::kTooLong;
  }
  last_event = id;
  version = new_version;
  versions.insert(version);
  events.Append(event.data);
  return AppendEventResult::kAppended;
}

std::vector<v1::ProgressRecord> ItemProgress::RecordsSince(
    std::uint64_t event, std::size_t max_bytes) const {
  const std::size_t max_events_bytes =
      RoomBeside(kProgressOverheadBytes, max_bytes);
  std::vector<v1::ProgressRecord> records;
  std::size_t bytes = 0;
  const auto add_record = [this, &records, &bytes](std::uint64_t after) {
    v1::ProgressRecord& record = records.emplace_back();
    record.set_first_event(after + 1);
    record.set_version(version);
    record.set_software(software);
    for (const std::uint64_t used_version : versions) {
      record.add_versions(used_version);
    }
    bytes = 0;
  };
  add_record(event);
  for (std::uint64_t i = event; i < events.size(); ++i) {
    const std::string_view data = events.at(i);
    bytes += data.size() + kEncodedEventBytes;
    if (bytes > max_events_bytes && records.back().events_size() > 0) {
      add_record(i);
      bytes = data.size() + kEncodedEventBytes;
    }
    records.back().add_events(data.data(), data.size());
  }
  records.back().set_complete(complete);
  return records;
}

bool ItemProgress::AppendRecord(const v1::ProgressRecord& record) {
  if (record.first_event() != last_event + 1 ||
      (last_event > 0 && record.software() != software)) {
    return false;
  }
  software = record.software();
  for (const std::string& event : record.events()) {
    events.Append(event);
  }
  last_event = events.size();
  version = record.version();
  complete = record.complete();
  versions.insert(record.versions().begin(), record.versions().end());
  return true;
}

}  // namespace mulberryroad::batches
