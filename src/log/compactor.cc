#include "log/compactor.h"

#include <algorithm>
#include <utility>

#include "base/decision_log.h"

namespace mulberryroad::log {

namespace {
constexpr std::chrono::milliseconds kMaxTick{1'000};
constexpr std::chrono::milliseconds kGiveUpAfter{10'000};
// Records beyond twice the live ones that may pile up before the next trim.
constexpr std::size_t kSlackRecords = 1'024;
}  // namespace

Compactor::Compactor(base::EventLoop& loop, const Clock& clock,
                     LogJournal& journal, lease::Leases& leases,
                     CompactorOptions options)
    : clock_(clock), journal_(journal), leases_(leases), options_(options) {
  leases_.Want(RoleId(kCompactorRole), true);
  tick_ =
      loop.Every(std::min(kMaxTick, options_.interval / 4), [this] { Tick(); });
}

void Compactor::Add(const std::string& stream, SaveState save) {
  streams_[stream].save = std::move(save);
  Watch(stream);
}

void Compactor::AddRecords(const std::string& stream, LiveOffsets live) {
  Stream& entry = streams_[stream];
  entry.live = std::move(live);
  entry.records = std::make_shared<LiveRecords>();
  entry.save = [records = entry.records](v1::Snapshot* snapshot) {
    records->Save(snapshot);
  };
  Watch(stream);
}

void Compactor::AddLed(LedStreams led) {
  led_sources_.push_back(std::move(led));
}

void Compactor::Stop() { leases_.Want(RoleId(kCompactorRole), false); }

void Compactor::Watch(const std::string& stream) {
  journal_.Subscribe(stream,
                     [this, stream, alive = std::weak_ptr<bool>(alive_)](
                         platform::Offset offset, const v1::Record& record) {
                       if (alive.expired()) {
                         return;
                       }
                       Stream& entry = streams_[stream];
                       if (record.has_snapshot()) {
                         entry.last = clock_.now();
                       }
                       if (entry.records != nullptr) {
                         entry.records->OnRecord(offset, record);
                       }
                     });
}

void Compactor::Tick() {
  const bool holder = leases_.term(RoleId(kCompactorRole)).has_value();
  for (auto& [name, stream] : streams_) {
    if (stream.records != nullptr && journal_.caught_up(name) &&
        stream.records->size() > 2 * stream.kept + kSlackRecords) {
      Trim(&stream);
    }
    if (holder && Due(name, stream)) {
      Write(name, &stream);
    }
  }
  WriteLed();
}

// A stream that is no longer led is forgotten, so that it gets a snapshot at
// once when it is led again.
void Compactor::WriteLed() {
  std::map<std::string, Stream> led;
  for (const LedStreams& source : led_sources_) {
    for (LedStream& each : source()) {
      const auto known = led_.find(each.stream);
      Stream& stream = led[each.stream];
      stream = known == led_.end() ? Stream{} : known->second;
      stream.save = std::move(each.save);
    }
  }
  led_ = std::move(led);
  for (auto& [name, stream] : led_) {
    if (Due(name, stream)) {
      stream.last = clock_.now();
      Write(name, &stream);
    }
  }
}

// A stream without records needs no snapshot; one that this node cannot read
// to its end gets none from here.
bool Compactor::Due(const std::string& name, const Stream& stream) const {
  if (stream.open || !journal_.caught_up(name) ||
      journal_.position(name) == 0) {
    return false;
  }
  return !stream.last.has_value() ||
         clock_.now() - *stream.last >= options_.interval;
}

void Compactor::Trim(Stream* stream) {
  stream->records->Keep(stream->live());
  stream->kept = stream->records->size();
}

void Compactor::Write(const std::string& name, Stream* stream) {
  if (stream->records != nullptr) {
    Trim(stream);
  }
  v1::Record record;
  v1::Snapshot* snapshot = record.mutable_snapshot();
  snapshot->set_covered_offset(journal_.position(name) - 1);
  stream->save(snapshot);
  journal_.writers(name)->Save(snapshot->mutable_writers());
  stream->open = true;
  journal_.Append(
      name, std::move(record), kGiveUpAfter,
      [this, name, alive = std::weak_ptr<bool>(alive_)](
          std::optional<platform::Offset> offset, const std::string& reason) {
        if (!alive.expired()) {
          OnWritten(name, offset, reason);
        }
      });
}

void Compactor::OnWritten(const std::string& name,
                          std::optional<platform::Offset> offset,
                          const std::string& reason) {
  for (std::map<std::string, Stream>* streams : {&streams_, &led_}) {
    const auto stream = streams->find(name);
    if (stream != streams->end()) {
      stream->second.open = false;
    }
  }
  if (offset.has_value()) {
    ++written_;
  } else {
    base::LogWarning("snapshot-not-written", name + ": " + reason);
  }
}

}  // namespace mulberryroad::log
