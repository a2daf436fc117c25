#include "node/crash_exchange.h"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <utility>
#include <variant>

#include "mulberryroad/crash.pb.h"

namespace mulberryroad::node {

namespace {

using std::chrono::milliseconds;

const platform::PartitionId& CrashPartition() {
  static const auto* const partition =
      new platform::PartitionId{"keyed.crashes", 0};
  return *partition;
}

std::string KeyOf(const std::string& content,
                  const serving::UpstreamProcess& upstream) {
  return content + "/" + upstream.id.value() + "/" +
         std::to_string(upstream.started.count());
}

struct ReportKey {
  std::string content;
  serving::UpstreamProcess upstream;
};

// Returns nullopt if the key is malformed.
std::optional<ReportKey> ParseKey(const std::string& key) {
  const std::size_t first = key.find('/');
  const std::size_t last = key.rfind('/');
  if (first == std::string::npos || first == last) {
    return std::nullopt;
  }
  return ReportKey{
      key.substr(0, first),
      {UpstreamId(key.substr(first + 1, last - first - 1)),
       milliseconds(std::strtoll(key.c_str() + last + 1, nullptr, 10))}};
}

}  // namespace

CrashExchange::CrashExchange(base::EventLoop& loop, const Clock& clock,
                             base::StructuredLog& log, base::Metrics& metrics,
                             platform::PartitionStore& store,
                             serving::CrashEvidence& evidence, std::string node,
                             std::function<bool()> cleans)
    : loop_(loop),
      clock_(clock),
      log_(log),
      metrics_(metrics),
      store_(store),
      evidence_(evidence),
      node_(std::move(node)),
      cleans_(std::move(cleans)),
      tail_(std::make_shared<store::KeyedTail>(
          loop, clock, log, store, CrashPartition(),
          store::TailTiming{.poll_wait = kPollWait}, MakeHandler())) {}

CrashExchange::~CrashExchange() {
  *alive_ = false;
  tail_->Stop();
}

void CrashExchange::Start() {
  tail_->Start();
  expire_timer_ = loop_.Every(kExpireInterval, [this] { Expire(); });
}

store::TailHandler CrashExchange::MakeHandler() {
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

void CrashExchange::Apply(const platform::KeyedRecord& record) {
  const auto key = ParseKey(record.key);
  if (!key.has_value()) {
    log_.Write("crash.malformed", {{"key", record.key}});
    return;
  }
  if (!record.value.has_value()) {
    evidence_.OnWithdrawn(key->content, key->upstream);
    return;
  }
  v1::CrashRecord crash;
  if (!crash.ParseFromString(*record.value)) {
    log_.Write("crash.malformed", {{"key", record.key}});
    return;
  }
  evidence_.OnReported(key->content,
                       {key->upstream, crash.node(), clock_.now()});
  log_.Write("crash.reported",
             {{"content", key->content},
              {"upstream", key->upstream.id.value()},
              {"node", crash.node()},
              {"request", crash.request()},
              {"crashes", static_cast<std::int64_t>(
                              evidence_.crashes(key->content).size())},
              {"refused", evidence_.IsCrashing(key->content)}});
}

void CrashExchange::Report(const std::string& content,
                           const RequestId& request) {
  // Crashes with a common cause are known once that time has passed.
  const auto timer = std::make_shared<base::Timer>();
  *timer = loop_.After(serving::CrashEvidence::kCommonCauseTime,
                       [this, alive = alive_, timer, content, request] {
                         if (*alive) {
                           EnqueueReports(content, request);
                         }
                       });
}

void CrashExchange::EnqueueReports(const std::string& content,
                                   const RequestId& request) {
  for (const serving::Crash& seen : evidence_.unreported(content)) {
    v1::CrashRecord crash;
    crash.set_content(content);
    crash.set_upstream(seen.upstream.id.value());
    crash.set_started_ms(seen.upstream.started.count());
    crash.set_node(node_);
    crash.set_request(request.value());
    metrics_.Count("crash_reports_total", {});
    Enqueue({KeyOf(content, seen.upstream), crash.SerializeAsString()});
  }
  Flush();
}

void CrashExchange::Withdraw(const std::string& content) {
  const auto reported = evidence_.OnAnswered(content);
  if (reported.empty()) {
    return;
  }
  for (const serving::UpstreamProcess& upstream : reported) {
    Enqueue({KeyOf(content, upstream), std::nullopt});
  }
  log_.Write("crash.withdrawn",
             {{"content", content},
              {"crashes", static_cast<std::int64_t>(reported.size())}});
  Flush();
}

void CrashExchange::Enqueue(platform::KeyedRecord record) {
  if (queue_.size() >= kMaxQueued) {
    log_.Write("crash.discarded", {{"key", queue_.front().key}});
    queue_.pop_front();
  }
  queue_.push_back(std::move(record));
}

void CrashExchange::Flush() {
  if (queue_.empty() || std::exchange(appending_, true)) {
    return;
  }
  const std::size_t count = std::min(queue_.size(), kMaxBatch);
  const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<platform::KeyedRecord> records(queue_.begin(), end);
  queue_.erase(queue_.begin(), end);
  store_.Append(
      CrashPartition(), records, std::monostate{}, kAppendTimeout,
      [this, alive = alive_, records](const platform::AppendOutcome& outcome) {
        if (!*alive) {
          return;
        }
        appending_ = false;
        if (std::holds_alternative<platform::Appended>(outcome)) {
          Flush();
          return;
        }
        // An append that was executed without an answer may be repeated: its
        // records name the same keys.
        queue_.insert(queue_.begin(), records.begin(), records.end());
        const auto* failure = std::get_if<platform::PlatformFailure>(&outcome);
        log_.Write("crash.append_failed",
                   {{"records", static_cast<std::int64_t>(records.size())},
                    {"reason", failure == nullptr ? "" : failure->reason}});
        retry_timer_ = loop_.After(kRetryDelay, [this] { Flush(); });
      });
}

void CrashExchange::Expire() {
  const Instant now = clock_.now();
  if (cleans_()) {
    for (const std::string& content :
         evidence_.ContentsBefore(now - serving::CrashEvidence::kMaxAge)) {
      Withdraw(content);
    }
  }
  evidence_.Expire(now);
}

}  // namespace mulberryroad::node
