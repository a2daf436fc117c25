#include "node/stream_origin_exchange.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "base/digest.h"
#include "mulberryroad/stream.pb.h"

namespace mulberryroad::node {

namespace {

using serving::StreamOrigin;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr char kVersionKind[] = "version";
// Ends each key, so that a read after the key without it begins with the key.
constexpr char kKeyEnd = '+';
// Characters of the hexadecimal digest that are kept: 96 bits.
constexpr std::size_t kDigestLength = 24;

platform::PartitionId StreamsPartition(int number) {
  return {"keyed.streams", number};
}

// Callers of two organisations may use the same request id.
std::string KeyOf(const serving::StreamId& stream) {
  const std::string organisation = stream.organisation.value();
  return base::Sha256Hex(std::to_string(organisation.size()) + ':' +
                         organisation + stream.request.value())
             .substr(0, kDigestLength) +
         kKeyEnd;
}

std::string DeclarationKey(const StreamOrigin& version) {
  return version.service.value() + "/" + version.software;
}

}  // namespace

StreamOriginExchange::StreamOriginExchange(
    base::EventLoop& loop, const Clock& clock, base::StructuredLog& log,
    base::Metrics& metrics, platform::PartitionStore& store,
    SharedRecords& shared, const serving::UpstreamDirectory& directory,
    std::string node, int partitions, std::function<bool()> cleans)
    : loop_(loop),
      clock_(clock),
      log_(log),
      metrics_(metrics),
      store_(store),
      shared_(shared),
      directory_(directory),
      node_(std::move(node)),
      partitions_(std::min(partitions, kMaxPartitions)),
      own_partition_(StreamsPartition(static_cast<int>(
          base::StableHash(node_) % static_cast<std::uint64_t>(partitions_)))),
      cleans_(std::move(cleans)) {
  shared_.Subscribe(
      kVersionKind,
      [this](const std::string& key, const std::optional<std::string>& value) {
        ApplyDeclaration(key, value);
      });
  metrics_.Gauge("stream_origins",
                 [this] { return static_cast<double>(table_.size()); });
  metrics_.Gauge("stream_records_queued",
                 [this] { return static_cast<double>(queue_.size()); });
}

StreamOriginExchange::~StreamOriginExchange() { *alive_ = false; }

void StreamOriginExchange::Start() {
  expire_timer_ = loop_.Every(kExpireInterval, [this] { Expire(); });
}

void StreamOriginExchange::Begin(const serving::StreamId& stream,
                                 const StreamOrigin& origin,
                                 const std::vector<TargetId>& services) {
  const std::string key = KeyOf(stream);
  if (table_.Add(key, origin, serving::OriginRecord::kNone, services.size() > 1,
                 clock_.now())) {
    QueueRecord(key);
  }
  if (table_.NeedsDeclaration(origin)) {
    Declare(origin);
  }
}

void StreamOriginExchange::Complete(const serving::StreamId& stream) {
  const std::string key = KeyOf(stream);
  if (table_.Complete(key)) {
    completed_.emplace_back(clock_.now() + kCompletedRetention, key);
    ScheduleFlush(kCompletedRetention + kDeletionDelay);
  }
}

void StreamOriginExchange::Declare(const StreamOrigin& version) {
  const std::string key = DeclarationKey(version);
  if (!declaring_.insert(key).second) {
    return;
  }
  v1::SoftwareVersionRecord record;
  record.set_service(version.service.value());
  record.set_software(version.software);
  log_.Write("software.declared", {{"service", version.service.value()},
                                   {"software", version.software}});
  shared_.Put(kVersionKind, key, record.SerializeAsString());
}

void StreamOriginExchange::DeclareListedVersions() {
  for (const auto& [id, upstream] : directory_.all()) {
    const StreamOrigin version{upstream.service, upstream.software};
    if (table_.HasStreams(upstream.service) &&
        table_.NeedsDeclaration(version)) {
      Declare(version);
    }
  }
}

void StreamOriginExchange::OnRoutesLeft(const std::set<TargetId>& services) {
  for (const TargetId& service : services) {
    for (const std::string& stream : table_.OnRouteLeft(service)) {
      QueueRecord(stream);
    }
  }
}

void StreamOriginExchange::ApplyDeclaration(
    const std::string& key, const std::optional<std::string>& value) {
  if (!value.has_value()) {
    if (const auto found = declared_.find(key); found != declared_.end()) {
      table_.OnWithdrawn(found->second.version);
      declared_.erase(found);
    }
    declaring_.erase(key);
    return;
  }
  v1::SoftwareVersionRecord record;
  if (!record.ParseFromString(*value)) {
    log_.Write("software.malformed", {{"key", key}});
    return;
  }
  const StreamOrigin version{TargetId(record.service()), record.software()};
  declared_[key] = {version, clock_.now()};
  for (const std::string& stream : table_.OnDeclared(version)) {
    QueueRecord(stream);
  }
}

void StreamOriginExchange::Find(
    const serving::StreamId& stream, const std::vector<TargetId>& services,
    milliseconds max_wait,
    std::function<void(serving::OriginResult)> on_result) {
  if (stream.request.empty()) {
    on_result(serving::OriginUnknown{"the caller does not name the stream"});
    return;
  }
  const auto lookup = std::make_shared<Lookup>();
  lookup->key = KeyOf(stream);
  lookup->stream = stream;
  lookup->services = services;
  lookup->deadline = clock_.now() + max_wait;
  lookup->on_result = std::move(on_result);
  if (const serving::KnownOrigin* known = table_.find(lookup->key)) {
    Finish(lookup,
           serving::OriginKnown{
               known->origin, serving::OriginSource::kMemory, node_,
               duration_cast<milliseconds>(clock_.now() - known->begun)});
    return;
  }
  ReadRecord(lookup);
}

void StreamOriginExchange::Finish(const std::shared_ptr<Lookup>& lookup,
                                  serving::OriginResult result) {
  const auto* known = std::get_if<serving::OriginKnown>(&result);
  metrics_.Count(
      "stream_origin_lookups_total",
      {{"source", known == nullptr ? "none" : ToString(known->source)}});
  if (known != nullptr && known->source != serving::OriginSource::kMemory &&
      table_.Add(lookup->key, known->origin,
                 known->source == serving::OriginSource::kRecord
                     ? serving::OriginRecord::kOther
                     : serving::OriginRecord::kNone,
                 lookup->services.size() > 1, clock_.now())) {
    QueueRecord(lookup->key);
  }
  std::exchange(lookup->on_result, nullptr)(std::move(result));
}

void StreamOriginExchange::ReadRecord(const std::shared_ptr<Lookup>& lookup) {
  ++lookup->lookups;
  lookup->pages_left = partitions_;
  lookup->page_failed = false;
  for (int partition = 0; partition < partitions_; ++partition) {
    store_.ReadLatest(
        StreamsPartition(partition),
        lookup->key.substr(0, lookup->key.size() - 1), kStoreTimeout,
        [this, alive = alive_, lookup](const platform::NewestOutcome& outcome) {
          if (*alive && lookup->on_result) {
            OnPage(lookup, std::get_if<platform::LatestPage>(&outcome));
          }
        });
  }
}

void StreamOriginExchange::OnPage(const std::shared_ptr<Lookup>& lookup,
                                  const platform::LatestPage* page) {
  --lookup->pages_left;
  if (page == nullptr) {
    lookup->page_failed = true;
  } else if (!page->records.empty() &&
             page->records.front().key == lookup->key) {
    OnRecord(lookup, page->records.front().value.value_or(""));
    return;
  }
  if (lookup->pages_left > 0) {
    return;
  }
  if (lookup->page_failed) {
    RetryLookup(lookup, "the store does not answer");
  } else {
    ReadVersions(lookup);
  }
}

void StreamOriginExchange::OnRecord(const std::shared_ptr<Lookup>& lookup,
                                    const std::string& value) {
  v1::StreamOriginRecord record;
  if (!record.ParseFromString(value)) {
    Finish(lookup, serving::OriginUnknown{"its record is malformed"});
    return;
  }
  const milliseconds age =
      UnixTime(clock_.wall_now()) - milliseconds(record.begun_ms());
  Finish(lookup,
         serving::OriginKnown{{TargetId(record.service()), record.software()},
                              serving::OriginSource::kRecord,
                              record.node(),
                              age});
}

void StreamOriginExchange::ReadVersions(const std::shared_ptr<Lookup>& lookup) {
  shared_.ReadNow(
      kVersionKind, kStoreTimeout,
      [this, alive = alive_, lookup](
          const std::optional<std::map<std::string, std::string>>& values) {
        if (!*alive) {
          return;
        }
        if (!values.has_value()) {
          RetryLookup(lookup, "the store does not answer");
          return;
        }
        serving::SoftwareVersions declared;
        for (const auto& [key, value] : *values) {
          v1::SoftwareVersionRecord record;
          if (record.ParseFromString(value)) {
            declared[TargetId(record.service())].insert(record.software());
          }
        }
        if (const auto origin = serving::OnlyOrigin(
                lookup->services, declared, ListedVersions(lookup->services))) {
          Finish(lookup, serving::OriginKnown{
                             *origin, serving::OriginSource::kOnlyVersion});
        } else {
          RetryLookup(lookup, "it has no record, and several versions serve");
        }
      });
}

serving::SoftwareVersions StreamOriginExchange::ListedVersions(
    const std::vector<TargetId>& services) const {
  serving::SoftwareVersions listed;
  for (const auto& [id, upstream] : directory_.all()) {
    if (std::find(services.begin(), services.end(), upstream.service) !=
        services.end()) {
      listed[upstream.service].insert(upstream.software);
    }
  }
  return listed;
}

void StreamOriginExchange::RetryLookup(const std::shared_ptr<Lookup>& lookup,
                                       const std::string& reason) {
  if (lookup->lookups >= kMaxLookups ||
      clock_.now() + kLookupInterval >= lookup->deadline) {
    Finish(lookup, serving::OriginUnknown{reason});
    return;
  }
  const auto timer = std::make_shared<base::Timer>();
  *timer = loop_.After(kLookupInterval, [this, alive = alive_, timer, lookup] {
    if (*alive) {
      ReadRecord(lookup);
    }
  });
}

void StreamOriginExchange::QueueRecord(const std::string& key) {
  const serving::KnownOrigin* known = table_.find(key);
  if (queue_.size() >= kMaxQueued) {
    metrics_.Count("stream_records_discarded_total", {});
    log_.Write("stream.record_discarded",
               {{"queued", static_cast<std::int64_t>(queue_.size())}});
    return;
  }
  const auto age = duration_cast<milliseconds>(clock_.now() - known->begun);
  v1::StreamOriginRecord record;
  record.set_service(known->origin.service.value());
  record.set_software(known->origin.software);
  record.set_begun_ms((UnixTime(clock_.wall_now()) - age).count());
  record.set_node(node_);
  queue_[key] = record.SerializeAsString();
  ScheduleFlush(milliseconds(0));
}

void StreamOriginExchange::QueueDeletion(const std::string& key) {
  const auto queued = queue_.find(key);
  if (queued != queue_.end()) {
    if (queued->second.has_value()) {
      // The record was not written yet.
      queue_.erase(queued);
    }
    return;
  }
  if (queue_.size() >= kMaxQueued) {
    // The record expires.
    metrics_.Count("stream_records_discarded_total", {});
    return;
  }
  queue_[key] = std::nullopt;
}

void StreamOriginExchange::ScheduleFlush(milliseconds delay) {
  const Instant due = std::max(clock_.now() + delay, next_append_);
  if (flush_due_.has_value() && *flush_due_ <= due) {
    return;
  }
  flush_due_ = due;
  flush_timer_ = loop_.After(duration_cast<milliseconds>(due - clock_.now()),
                             [this] { Flush(); });
}

void StreamOriginExchange::Flush() {
  flush_due_.reset();
  while (!completed_.empty() && completed_.front().first <= clock_.now()) {
    QueueDeletion(completed_.front().second);
    completed_.pop_front();
  }
  if (!completed_.empty()) {
    ScheduleFlush(kCompletedRetention + kDeletionDelay);
  }
  if (queue_.empty() || std::exchange(appending_, true)) {
    return;
  }
  const Instant started = clock_.now();
  std::vector<platform::KeyedRecord> records;
  while (!queue_.empty() && records.size() < kMaxBatch) {
    auto queued = queue_.extract(queue_.begin());
    records.push_back({queued.key(), std::move(queued.mapped())});
  }
  metrics_.Count("stream_record_appends_total", {});
  store_.Append(own_partition_, records, std::monostate{}, kStoreTimeout,
                [this, alive = alive_, records,
                 started](const platform::AppendOutcome& outcome) {
                  if (!*alive) {
                    return;
                  }
                  appending_ = false;
                  if (std::holds_alternative<platform::Appended>(outcome)) {
                    pacer_.OnAppended(
                        duration_cast<milliseconds>(clock_.now() - started));
                  } else {
                    pacer_.OnFailed();
                    // An append that was executed without an answer may be
                    // repeated. A newer record of the same stream comes first.
                    for (const platform::KeyedRecord& record : records) {
                      queue_.emplace(record.key, record.value);
                    }
                    const auto* failure =
                        std::get_if<platform::PlatformFailure>(&outcome);
                    log_.Write(
                        "stream.append_failed",
                        {{"records", static_cast<std::int64_t>(records.size())},
                         {"reason", failure == nullptr ? "" : failure->reason},
                         {"interval_ms", pacer_.interval().count()}});
                  }
                  next_append_ = started + pacer_.interval();
                  if (!queue_.empty()) {
                    ScheduleFlush(milliseconds(0));
                  }
                });
}

void StreamOriginExchange::Expire() {
  const Instant now = clock_.now();
  table_.Expire(now);
  std::set<std::string> listed;
  for (const auto& [id, upstream] : directory_.all()) {
    listed.insert(DeclarationKey({upstream.service, upstream.software}));
  }
  for (auto& [key, declared] : declared_) {
    if (listed.contains(key)) {
      declared.listed = now;
    } else if (cleans_() &&
               declared.listed + serving::OriginTable::kMaxAge < now) {
      shared_.Put(kVersionKind, key, std::nullopt);
    }
  }
  if (cleans_()) {
    for (int partition = 0; partition < partitions_; ++partition) {
      DeleteExpired(StreamsPartition(partition), "");
    }
  }
}

void StreamOriginExchange::DeleteExpired(const platform::PartitionId& partition,
                                         const std::string& after) {
  store_.ReadLatest(
      partition, after, kStoreTimeout,
      [this, alive = alive_,
       partition](const platform::NewestOutcome& outcome) {
        const auto* page = std::get_if<platform::LatestPage>(&outcome);
        if (!*alive || page == nullptr) {
          // Records that remain are deleted after the next interval.
          return;
        }
        const milliseconds oldest =
            UnixTime(clock_.wall_now()) - serving::OriginTable::kMaxAge;
        std::vector<platform::KeyedRecord> deletions;
        for (const platform::KeyedRecord& record : page->records) {
          v1::StreamOriginRecord stream;
          if (!stream.ParseFromString(record.value.value_or("")) ||
              stream.begun_ms() < oldest.count()) {
            deletions.push_back({record.key, std::nullopt});
          }
        }
        if (!deletions.empty()) {
          store_.Append(partition, deletions, {}, kStoreTimeout,
                        [](const platform::AppendOutcome&) {});
        }
        if (page->has_more && !page->records.empty()) {
          DeleteExpired(partition, page->records.back().key);
        }
      });
}

}  // namespace mulberryroad::node
