#include "node/peer_view.h"

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <variant>

namespace mulberryroad::node {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr char kPath[] = "/peer/view";
constexpr int kOk = 200;

platform::Offset ParameterOf(const http::Request& request, const char* name) {
  return std::strtoull(request.parameter(name).value_or("0").c_str(), nullptr,
                       10);
}

std::vector<platform::KeyedRecord> FromPeer(
    const google::protobuf::RepeatedPtrField<v1::PeerRecord>& records,
    platform::Offset position) {
  std::vector<platform::KeyedRecord> result;
  for (const v1::PeerRecord& record : records) {
    result.push_back({record.key(), record.value(), position});
  }
  return result;
}

void CopyTo(const PeerRecords& records,
            google::protobuf::RepeatedPtrField<v1::PeerRecord>* out) {
  for (const auto& [key, value] : records.values) {
    v1::PeerRecord* record = out->Add();
    record->set_key(key);
    record->set_value(value);
  }
}

const char* NameOf(Reach reach) {
  switch (reach) {
    case Reach::kCurrent:
      return "current";
    case Reach::kOutage:
      return "outage";
    case Reach::kIsolated:
      return "isolated";
  }
  return "unknown";
}

}  // namespace

void PeerRecords::Take(const platform::KeyedRecord& record) {
  if (record.value.has_value()) {
    values[record.key] = *record.value;
  } else {
    values.erase(record.key);
  }
  position = std::max(position, record.offset + 1);
}

void PeerRecords::Replace(const std::vector<platform::KeyedRecord>& records) {
  values.clear();
  for (const platform::KeyedRecord& record : records) {
    Take(record);
  }
}

void ReachJudge::OnPeer(Instant now, Instant heard_of_store) {
  peer_ = now;
  heard_ = std::max(heard_, heard_of_store);
}

Reach ReachJudge::reach(Instant now) const {
  if (now < std::max(store_, heard_) + kFresh) {
    return Reach::kCurrent;
  }
  if (peer_.has_value() && now < *peer_ + kPeerSilence) {
    return Reach::kOutage;
  }
  return Reach::kIsolated;
}

std::optional<std::chrono::milliseconds> RetryElsewhere(
    std::optional<Instant> failing_since, Reach reach, Instant now) {
  const bool alone = failing_since.has_value() && reach != Reach::kOutage &&
                     now >= *failing_since + kRelayFound;
  return alone ? std::optional(kElsewhereRetry) : std::nullopt;
}

PeerView::PeerView(base::EventLoop& loop, const Clock& clock,
                   base::StructuredLog& log, http::Client& client,
                   std::mt19937_64& random, std::vector<Endpoint> peers,
                   OnRecords on_operator_records, OnRecords on_registrations)
    : loop_(loop),
      clock_(clock),
      log_(log),
      client_(client),
      random_(random),
      peers_(std::move(peers)),
      on_operator_records_(std::move(on_operator_records)),
      on_registrations_(std::move(on_registrations)) {}

PeerView::~PeerView() { *alive_ = false; }

void PeerView::Register(http::Server& server) {
  server.Route(http::Method::kGet, kPath,
               [this](const std::shared_ptr<http::Exchange>& exchange) {
                 Answer(exchange);
               });
}

void PeerView::Start() {
  timer_ = loop_.Every(kAskInterval, [this] {
    const Instant now = clock_.now();
    if (now >= last_store_ + kAskFrom) {
      Ask();
    }
    const Reach reach = judge_.reach(now);
    if (reach != told_) {
      told_ = reach;
      log_.Write("reach", {{"state", NameOf(reach)}});
    }
  });
}

void PeerView::Answer(const std::shared_ptr<http::Exchange>& exchange) {
  v1::PeerView view;
  view.set_contact_age_ms(static_cast<std::uint64_t>(
      duration_cast<milliseconds>(clock_.now() - last_store_).count()));
  view.set_operator_position(operator_records_.position);
  view.set_registration_position(registrations_.position);
  const http::Request& request = exchange->request();
  if (operator_records_.position > ParameterOf(request, "operator")) {
    CopyTo(operator_records_, view.mutable_operator_records());
  }
  if (registrations_.position > ParameterOf(request, "registrations")) {
    CopyTo(registrations_, view.mutable_registrations());
  }
  exchange->Reply(kOk, view.SerializeAsString(),
                  {{"Content-Type", "application/octet-stream"}});
}

void PeerView::Ask() {
  if (peers_.empty()) {
    return;
  }
  http::ClientRequest request;
  request.endpoint = peers_[random_() % peers_.size()];
  request.path = std::string(kPath) +
                 "?operator=" + std::to_string(operator_records_.position) +
                 "&registrations=" + std::to_string(registrations_.position);
  request.connect_timeout = kTimeout;
  request.timeout = kTimeout;
  client_.Send(std::move(request), [this, alive = alive_, sent = clock_.now()](
                                       const http::Result& result) {
    if (*alive) {
      OnAnswer(sent, result);
    }
  });
}

void PeerView::OnAnswer(Instant sent, const http::Result& result) {
  const auto* response = std::get_if<http::Response>(&result);
  v1::PeerView view;
  // Not logged per query: a peer that does not answer affects the reachability,
  // whose changes are logged.
  if (response == nullptr || response->status != kOk ||
      !view.ParseFromString(response->body)) {
    return;
  }
  judge_.OnPeer(clock_.now(), sent - milliseconds(view.contact_age_ms()));
  if (view.operator_position() > operator_records_.position) {
    const auto records =
        FromPeer(view.operator_records(), view.operator_position() - 1);
    operator_records_.Replace(records);
    on_operator_records_(records);
  }
  if (view.registration_position() > registrations_.position) {
    const auto records =
        FromPeer(view.registrations(), view.registration_position() - 1);
    registrations_.Replace(records);
    on_registrations_(records);
  }
}

}  // namespace mulberryroad::node
