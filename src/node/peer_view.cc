#include "node/peer_view.h"

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <variant>

namespace mulberryroad::node {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr char kViewPath[] = "/peer/view";
constexpr int kOk = 200;

platform::Offset ParseOffsetParameter(const http::Request& request,
                                      const char* name) {
  return std::strtoull(request.parameter(name).value_or("0").c_str(), nullptr,
                       10);
}

std::vector<platform::KeyedRecord> DecodePeerRecords(
    const google::protobuf::RepeatedPtrField<v1::PeerRecord>& records,
    platform::Offset position) {
  std::vector<platform::KeyedRecord> result;
  for (const v1::PeerRecord& record : records) {
    result.push_back({record.key(), record.value(), position});
  }
  return result;
}

void EncodePeerRecords(
    const PeerRecords& records,
    google::protobuf::RepeatedPtrField<v1::PeerRecord>* out) {
  for (const auto& [key, value] : records.values) {
    v1::PeerRecord* record = out->Add();
    record->set_key(key);
    record->set_value(value);
  }
}

const char* ToString(StoreReachability reachability) {
  switch (reachability) {
    case StoreReachability::kCurrent:
      return "current";
    case StoreReachability::kOutage:
      return "outage";
    case StoreReachability::kIsolated:
      return "isolated";
  }
  return "unknown";
}

}  // namespace

void PeerRecords::Apply(const platform::KeyedRecord& record) {
  if (record.value.has_value()) {
    values[record.key] = *record.value;
  } else {
    values.erase(record.key);
  }
  position = std::max(position, record.offset + 1);
}

void PeerRecords::Replace(const std::vector<platform::KeyedRecord>& records,
                          platform::Offset end) {
  values.clear();
  for (const platform::KeyedRecord& record : records) {
    Apply(record);
  }
  // The last records of a snapshot may be removals, which it does not list.
  position = end;
}

void ReachabilityTracker::OnPeerAnswer(Instant now,
                                       Instant peer_store_contact) {
  last_peer_answer_ = now;
  relayed_contact_ = std::max(relayed_contact_, peer_store_contact);
}

StoreReachability ReachabilityTracker::reachability(Instant now) const {
  if (now < std::max(direct_contact_, relayed_contact_) + kMaxContactAge) {
    return StoreReachability::kCurrent;
  }
  if (last_peer_answer_.has_value() &&
      now < *last_peer_answer_ + kPeerContactTimeout) {
    return StoreReachability::kOutage;
  }
  return StoreReachability::kIsolated;
}

std::optional<std::chrono::milliseconds> RetryAtOtherNode(
    std::optional<Instant> failing_since, StoreReachability reachability,
    Instant now) {
  const bool only_this_node = failing_since.has_value() &&
                              reachability != StoreReachability::kOutage &&
                              now >= *failing_since + kRelayFailoverTime;
  return only_this_node ? std::optional(kOtherNodeRetryDelay) : std::nullopt;
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
  server.Route(http::Method::kGet, kViewPath,
               [this](const std::shared_ptr<http::Exchange>& exchange) {
                 ReplyToPeer(exchange);
               });
}

void PeerView::Start() {
  timer_ = loop_.Every(kQueryInterval, [this] {
    const Instant now = clock_.now();
    if (now >= last_store_contact_ + kStoreAnswerTimeout) {
      QueryPeer();
    }
    const StoreReachability reachability = reachability_.reachability(now);
    if (reachability != logged_reachability_) {
      logged_reachability_ = reachability;
      log_.Write("reach", {{"state", ToString(reachability)}});
    }
  });
}

void PeerView::ReplyToPeer(const std::shared_ptr<http::Exchange>& exchange) {
  v1::PeerView view;
  view.set_contact_age_ms(static_cast<std::uint64_t>(
      duration_cast<milliseconds>(clock_.now() - last_store_contact_).count()));
  view.set_operator_position(operator_records_.position);
  view.set_registration_position(registrations_.position);
  const http::Request& request = exchange->request();
  if (operator_records_.position > ParseOffsetParameter(request, "operator")) {
    EncodePeerRecords(operator_records_, view.mutable_operator_records());
  }
  if (registrations_.position >
      ParseOffsetParameter(request, "registrations")) {
    EncodePeerRecords(registrations_, view.mutable_registrations());
  }
  exchange->Reply(kOk, view.SerializeAsString(),
                  {{"Content-Type", "application/octet-stream"}});
}

void PeerView::QueryPeer() {
  if (peers_.empty()) {
    return;
  }
  http::ClientRequest request;
  request.endpoint = peers_[random_() % peers_.size()];
  request.path = std::string(kViewPath) +
                 "?operator=" + std::to_string(operator_records_.position) +
                 "&registrations=" + std::to_string(registrations_.position);
  request.connect_timeout = kQueryTimeout;
  request.timeout = kQueryTimeout;
  client_.Send(std::move(request), [this, alive = alive_, sent = clock_.now()](
                                       const http::Result& result) {
    if (*alive) {
      OnQueryResult(sent, result);
    }
  });
}

void PeerView::OnQueryResult(Instant sent, const http::Result& result) {
  const auto* response = std::get_if<http::Response>(&result);
  v1::PeerView view;
  // Not logged per query: a peer that does not answer affects the reachability,
  // whose changes are logged.
  if (response == nullptr || response->status != kOk ||
      !view.ParseFromString(response->body)) {
    return;
  }
  reachability_.OnPeerAnswer(clock_.now(),
                             sent - milliseconds(view.contact_age_ms()));
  if (view.operator_position() > operator_records_.position) {
    const auto records = DecodePeerRecords(view.operator_records(),
                                           view.operator_position() - 1);
    operator_records_.Replace(records, view.operator_position());
    on_operator_records_(records);
  }
  if (view.registration_position() > registrations_.position) {
    const auto records = DecodePeerRecords(view.registrations(),
                                           view.registration_position() - 1);
    registrations_.Replace(records, view.registration_position());
    on_registrations_(records);
  }
}

}  // namespace mulberryroad::node
