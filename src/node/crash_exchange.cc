#include "node/crash_exchange.h"

#include <cstdlib>
#include <optional>
#include <utility>
#include <vector>

#include "mulberryroad/crash.pb.h"

namespace mulberryroad::node {

namespace {

using std::chrono::milliseconds;

constexpr char kCrashKind[] = "crash";

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
                             SharedRecords& shared,
                             serving::CrashEvidence& evidence, std::string node,
                             std::function<bool()> cleans)
    : loop_(loop),
      clock_(clock),
      log_(log),
      metrics_(metrics),
      shared_(shared),
      evidence_(evidence),
      node_(std::move(node)),
      cleans_(std::move(cleans)) {
  shared_.Subscribe(
      kCrashKind,
      [this](const std::string& key, const std::optional<std::string>& value) {
        Apply(key, value);
      });
}

CrashExchange::~CrashExchange() { *alive_ = false; }

void CrashExchange::Start() {
  expire_timer_ = loop_.Every(kExpireInterval, [this] { Expire(); });
}

void CrashExchange::Apply(const std::string& key_text,
                          const std::optional<std::string>& value) {
  const auto key = ParseKey(key_text);
  if (!key.has_value()) {
    log_.Write("crash.malformed", {{"key", key_text}});
    return;
  }
  if (!value.has_value()) {
    evidence_.OnWithdrawn(key->content, key->upstream);
    return;
  }
  v1::CrashRecord crash;
  if (!crash.ParseFromString(*value)) {
    log_.Write("crash.malformed", {{"key", key_text}});
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
    shared_.Put(kCrashKind, KeyOf(content, seen.upstream),
                crash.SerializeAsString());
  }
}

void CrashExchange::Withdraw(const std::string& content) {
  const auto reported = evidence_.OnAnswered(content);
  if (reported.empty()) {
    return;
  }
  for (const serving::UpstreamProcess& upstream : reported) {
    shared_.Put(kCrashKind, KeyOf(content, upstream), std::nullopt);
  }
  log_.Write("crash.withdrawn",
             {{"content", content},
              {"crashes", static_cast<std::int64_t>(reported.size())}});
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
