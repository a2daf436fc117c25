#include "log/stream_reader.h"

#include <algorithm>
#include <utility>

namespace mulberryroad::log {

std::vector<ReadEvent> StreamReader::Take(
    const platform::LogPage& page, std::optional<platform::Offset> limit) {
  std::vector<ReadEvent> events;
  if (searching_) {
    Search(page, &events);
    return events;
  }
  if (page.first_offset > position_) {
    StartSearch(page, &events);
    return events;
  }
  platform::Offset offset = page.records_from;
  for (const std::string& bytes : page.records) {
    if (limit.has_value() && offset >= *limit) {
      break;
    }
    if (offset == position_) {
      TakeRecord(offset, bytes, &events);
      ++position_;
    }
    ++offset;
  }
  gap_.reset();
  caught_up_ = caught_up_ || position_ >= page.next_offset;
  return events;
}

void StreamReader::TakeRecord(platform::Offset offset, const std::string& bytes,
                              std::vector<ReadEvent>* events) {
  v1::Record record;
  if (!record.ParseFromString(bytes)) {
    events->push_back(Unreadable{offset});
    return;
  }
  if (writers_.Note(record.writer(), record.sequence(), offset)) {
    events->push_back(Deliver{offset, std::move(record)});
  }
}

void StreamReader::StartSearch(const platform::LogPage& page,
                               std::vector<ReadEvent>* events) {
  searching_ = true;
  caught_up_ = false;
  delivered_to_ = position_;
  first_retained_ = page.first_offset;
  newest_snapshot_.reset();
  position_ = page.first_offset;
  Search(page, events);
}

// Reads to the end and keeps the newest snapshot that leaves no gap after it.
void StreamReader::Search(const platform::LogPage& page,
                          std::vector<ReadEvent>* events) {
  first_retained_ = std::max(first_retained_, page.first_offset);
  position_ = std::max(position_, page.first_offset);
  platform::Offset offset = page.records_from;
  for (const std::string& bytes : page.records) {
    v1::Record record;
    if (offset == position_) {
      ++position_;
      if (record.ParseFromString(bytes) && record.has_snapshot()) {
        newest_snapshot_ = std::move(record);
      }
    }
    ++offset;
  }
  if (position_ < page.next_offset) {
    return;
  }
  searching_ = false;
  const bool usable =
      newest_snapshot_.has_value() &&
      newest_snapshot_->snapshot().covered_offset() + 1 >= first_retained_ &&
      newest_snapshot_->snapshot().covered_offset() + 1 >= delivered_to_;
  if (usable) {
    Load(events);
  } else {
    ReportGap(events);
  }
}

void StreamReader::Load(std::vector<ReadEvent>* events) {
  const v1::Snapshot& snapshot = newest_snapshot_->snapshot();
  gap_.reset();
  writers_.Load(snapshot.writers());
  position_ = snapshot.covered_offset() + 1;
  events->push_back(Deliver{snapshot.covered_offset(), *newest_snapshot_});
  const int live =
      std::min(snapshot.live_records_size(), snapshot.live_offsets_size());
  for (int i = 0; i < live; ++i) {
    events->push_back(
        Deliver{snapshot.live_offsets(i), snapshot.live_records(i)});
  }
  newest_snapshot_.reset();
}

// Goes back to the last delivered record, so that the next page starts the
// search anew.
void StreamReader::ReportGap(std::vector<ReadEvent>* events) {
  position_ = delivered_to_;
  const bool known =
      gap_.has_value() && gap_->first_retained == first_retained_;
  gap_ = Gap{delivered_to_, first_retained_};
  if (!known) {
    events->push_back(*gap_);
  }
}

}  // namespace mulberryroad::log
