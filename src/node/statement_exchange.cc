#include "node/statement_exchange.h"

#include <utility>

#include "mulberryroad/permit.pb.h"

namespace mulberryroad::node {

namespace {

using std::chrono::milliseconds;

constexpr char kStatementKind[] = "statement";

}  // namespace

StatementExchange::StatementExchange(
    base::EventLoop& loop, const Clock& clock, base::StructuredLog& log,
    base::Metrics& metrics, SharedRecords& shared,
    const serving::UpstreamDirectory& directory,
    serving::UpstreamStatements& statements, std::string process,
    std::function<bool()> cleans)
    : loop_(loop),
      clock_(clock),
      log_(log),
      metrics_(metrics),
      shared_(shared),
      directory_(directory),
      statements_(statements),
      process_(std::move(process)),
      cleans_(std::move(cleans)) {
  shared_.Subscribe(
      kStatementKind,
      [this](const std::string& key, const std::optional<std::string>& value) {
        Apply(key, value);
      });
  statements_.on_limit_changed().connect(
      [this](const serving::LimitChange& change) {
        if (!change.reported) {
          Share(change.upstream);
        }
      });
  statements_.on_leaving().connect(
      [this](const serving::LeavingUpstream& leaving) {
        if (!leaving.reported) {
          Share(leaving.upstream);
        }
      });
}

void StatementExchange::Start() {
  expire_timer_ = loop_.Every(kExpireInterval, [this] { Expire(); });
}

void StatementExchange::Share(const UpstreamId& id) {
  const auto known = statements_.find(id);
  if (!known.has_value()) {
    return;
  }
  v1::StatementRecord record;
  record.set_started_ms(known->started.count());
  record.set_limited(known->requests_per_second.has_value());
  record.set_requests_per_second(known->requests_per_second.value_or(0));
  record.set_leaving(known->leaving);
  record.set_process(process_);
  metrics_.Count("statements_shared_total", {});
  shared_.Put(kStatementKind, id.value(), record.SerializeAsString());
}

void StatementExchange::Apply(const std::string& key,
                              const std::optional<std::string>& value) {
  if (!value.has_value()) {
    return;
  }
  v1::StatementRecord record;
  if (!record.ParseFromString(*value)) {
    log_.Write("statement.malformed", {{"upstream", key}});
    return;
  }
  serving::KnownStatement known;
  known.started = milliseconds(record.started_ms());
  if (record.limited()) {
    known.requests_per_second = record.requests_per_second();
  }
  known.leaving = record.leaving();
  known.learned = clock_.now();
  const UpstreamId id(key);
  const serving::Registration* upstream = directory_.find(id);
  const bool of_earlier_process =
      upstream != nullptr && upstream->started > known.started;
  if (record.process() != process_ && !of_earlier_process) {
    statements_.OnReported(id, known);
  }
}

void StatementExchange::Expire() {
  const Instant now = clock_.now();
  for (const UpstreamId& id : statements_.TakeExpired(now)) {
    if (cleans_()) {
      shared_.Put(kStatementKind, id.value(), std::nullopt);
    }
  }
}

}  // namespace mulberryroad::node
