#include "node/shared_records.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace mulberryroad::node {

namespace {

const platform::PartitionId& SharedPartition() {
  static const auto* const partition =
      new platform::PartitionId{"keyed.shared", 0};
  return *partition;
}

}  // namespace

SharedRecords::SharedRecords(base::EventLoop& loop, const Clock& clock,
                             base::StructuredLog& log,
                             platform::PartitionStore& store)
    : loop_(loop),
      log_(log),
      store_(store),
      tail_(std::make_shared<store::KeyedTail>(
          loop, clock, log, store, SharedPartition(),
          store::TailTiming{.poll_wait = kPollWait}, MakeHandler())) {}

SharedRecords::~SharedRecords() {
  *alive_ = false;
  tail_->Stop();
}

void SharedRecords::Subscribe(const std::string& kind, OnRecord on_record) {
  handlers_[kind] = std::move(on_record);
}

void SharedRecords::Start() { tail_->Start(); }

store::TailHandler SharedRecords::MakeHandler() {
  store::TailHandler handler;
  handler.on_snapshot =
      [this](const std::vector<platform::KeyedRecord>& records) {
        for (const platform::KeyedRecord& record : records) {
          Apply(record);
        }
      };
  handler.on_record = [this](const platform::KeyedRecord& record) {
    Apply(record);
  };
  return handler;
}

void SharedRecords::Apply(const platform::KeyedRecord& record) {
  const std::size_t slash = record.key.find('/');
  const auto handler = handlers_.find(record.key.substr(0, slash));
  if (slash == std::string::npos || handler == handlers_.end()) {
    log_.Write("shared.unknown_kind", {{"key", record.key}});
    return;
  }
  handler->second(record.key.substr(slash + 1), record.value);
}

void SharedRecords::ReadNow(const std::string& kind,
                            std::chrono::milliseconds timeout,
                            KindReader on_read) {
  const std::string prefix = kind + "/";
  ReadPage(prefix, prefix, timeout, {}, std::move(on_read));
}

void SharedRecords::ReadPage(const std::string& prefix,
                             const std::string& after,
                             std::chrono::milliseconds timeout,
                             std::map<std::string, std::string> values,
                             KindReader on_read) {
  store_.ReadLatest(
      SharedPartition(), after, timeout,
      [this, alive = alive_, prefix, timeout, values = std::move(values),
       on_read =
           std::move(on_read)](const platform::NewestOutcome& outcome) mutable {
        if (!*alive) {
          return;
        }
        const auto* page = std::get_if<platform::LatestPage>(&outcome);
        if (page == nullptr) {
          on_read(std::nullopt);
          return;
        }
        for (const platform::KeyedRecord& record : page->records) {
          if (!record.key.starts_with(prefix)) {
            on_read(std::move(values));
            return;
          }
          values[record.key.substr(prefix.size())] = record.value.value_or("");
        }
        if (!page->has_more || page->records.empty()) {
          on_read(std::move(values));
          return;
        }
        ReadPage(prefix, page->records.back().key, timeout, std::move(values),
                 std::move(on_read));
      });
}

void SharedRecords::Put(const std::string& kind, const std::string& key,
                        std::optional<std::string> value) {
  if (queue_.size() >= kMaxQueued) {
    log_.Write("shared.discarded", {{"key", queue_.front().key}});
    queue_.pop_front();
  }
  queue_.push_back({kind + "/" + key, std::move(value)});
  Flush();
}

void SharedRecords::Flush() {
  if (queue_.empty() || std::exchange(appending_, true)) {
    return;
  }
  const std::size_t count = std::min(queue_.size(), kMaxBatch);
  const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(count);
  const std::vector<platform::KeyedRecord> records(queue_.begin(), end);
  queue_.erase(queue_.begin(), end);
  store_.Append(
      SharedPartition(), records, std::monostate{}, kAppendTimeout,
      [this, alive = alive_, records](const platform::AppendOutcome& outcome) {
        if (!*alive) {
          return;
        }
        if (std::holds_alternative<platform::Appended>(outcome)) {
          appending_ = false;
          Flush();
          return;
        }
        // An append that was executed without an answer may be repeated: its
        // records have the same keys and values.
        queue_.insert(queue_.begin(), records.begin(), records.end());
        const auto* failure = std::get_if<platform::PlatformFailure>(&outcome);
        log_.Write("shared.append_failed",
                   {{"records", static_cast<std::int64_t>(records.size())},
                    {"reason", failure == nullptr ? "" : failure->reason}});
        retry_timer_ = loop_.After(kRetryDelay, [this] {
          appending_ = false;
          Flush();
        });
      });
}

}  // namespace mulberryroad::node
