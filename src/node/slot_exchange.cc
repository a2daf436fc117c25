#include "node/slot_exchange.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace mulberryroad::node {

namespace {

using std::chrono::milliseconds;

constexpr char kSlotsPath[] = "/peer/slots";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

}  // namespace

SlotExchange::SlotExchange(base::EventLoop& loop, const Clock& clock,
                           base::StructuredLog& log, base::Metrics& metrics,
                           http::Client& client,
                           const serving::UpstreamDirectory& directory,
                           serving::UpstreamLoads& loads, std::string process,
                           std::optional<Endpoint> own_address,
                           std::function<std::size_t()> waiting)
    : loop_(loop),
      clock_(clock),
      log_(log),
      metrics_(metrics),
      client_(client),
      directory_(directory),
      loads_(loads),
      process_(std::move(process)),
      own_address_(std::move(own_address)),
      waiting_(std::move(waiting)) {
  metrics_.Gauge("slots_in_use_by_others", [this] {
    return static_cast<double>(reported_.total(clock_.now()));
  });
}

SlotExchange::~SlotExchange() {
  loads_.SetOtherNodesLoad(nullptr);
  *alive_ = false;
}

void SlotExchange::Register(http::Server& server) {
  loads_.SetOtherNodesLoad(this);
  server.Route(http::Method::kPost, kSlotsPath,
               [this](const std::shared_ptr<http::Exchange>& exchange) {
                 ReplyToPeer(exchange);
               });
}

void SlotExchange::Update(std::set<Endpoint> owners) {
  if (own_address_.has_value()) {
    owners.erase(*own_address_);
  }
  schedule_.SetPeers(owners);
  starts_.Expire(clock_.now());
  if (const std::size_t expired = reported_.Expire(clock_.now()); expired > 0) {
    metrics_.Count("slot_reports_expired_total", {}, expired);
  }
  if (active()) {
    SendDue();
  }
}

std::uint32_t SlotExchange::running(const UpstreamId& id, Instant now) const {
  const serving::Registration* upstream = directory_.find(id);
  return upstream == nullptr ? 0
                             : reported_.running(id, upstream->started, now);
}

std::uint32_t SlotExchange::unreported(const UpstreamId& id,
                                       Instant now) const {
  return present(now) ? starts_.count(id, now) : 0;
}

bool SlotExchange::OnHeld(const TargetId& service, Instant now) {
  const bool send = hold_.OnHeld(service, now);
  if (hold_.began()) {
    metrics_.Count("item_holds_total", {});
    log_.Write("items.held_by_reports",
               {{"service", service.value()},
                {"waiting", static_cast<std::int64_t>(waiting_())},
                {"others", static_cast<std::int64_t>(reported_.total(now))}});
    // Peers report more often to a node that waits.
    PostSend();
  }
  if (send) {
    metrics_.Count("item_holds_ended_total", {});
  }
  return send;
}

void SlotExchange::OnNotHeld(const TargetId& service) {
  hold_.OnNotHeld(service);
}

void SlotExchange::OnRequestSent(const UpstreamId& id, Instant now) {
  starts_.OnStarted(id, now);
  OnOwnLoadChanged(id);
}

void SlotExchange::OnRequestEnded(const UpstreamId& id) {
  OnOwnLoadChanged(id);
}

void SlotExchange::OnOwnLoadChanged(const UpstreamId& id) {
  const std::uint32_t running = loads_.running(id);
  if (running > 0) {
    own_[id] = running;
  } else {
    own_.erase(id);
  }
  changed_ = true;
  PostSend();
}

void SlotExchange::OnAccepted(const UpstreamId& id, Instant now) {
  if (const auto* upstream = directory_.find(id)) {
    hold_.OnAccepted(upstream->service, now);
  }
}

void SlotExchange::OnRefused(const UpstreamId& id, Instant now) {
  if (const auto* upstream = directory_.find(id)) {
    hold_.OnRefused(upstream->service, now);
  }
}

void SlotExchange::PostSend() {
  if (!schedule_.has_peers() || std::exchange(send_posted_, true)) {
    return;
  }
  loop_.Post([this, alive = alive_] {
    if (*alive) {
      send_posted_ = false;
      SendDue();
    }
  });
}

void SlotExchange::SendDue() {
  const bool is_active = active();
  if (std::exchange(changed_, false) || is_active != scheduled_active_) {
    scheduled_active_ = is_active;
    schedule_.OnChanged(is_active);
  }
  const Instant now = clock_.now();
  for (const Endpoint& peer : schedule_.TakeDue(now)) {
    Send(peer);
  }
  if (const auto next = schedule_.next_due(now)) {
    send_timer_ = loop_.After(std::max(Instant::duration(0), *next - now),
                              [this] { SendDue(); });
  } else {
    send_timer_.Cancel();
  }
}

void SlotExchange::Send(const Endpoint& peer) {
  http::ClientRequest call;
  call.endpoint = peer;
  call.method = http::Method::kPost;
  call.path = kSlotsPath;
  call.body = MakeReport().SerializeAsString();
  call.connect_timeout = kReportTimeout;
  call.timeout = kReportTimeout;
  metrics_.Count("slot_reports_sent_total", {});
  client_.Send(std::move(call),
               [this, alive = alive_, peer](const http::Result& result) {
                 if (*alive) {
                   OnResult(peer, result);
                 }
               });
}

void SlotExchange::OnResult(const Endpoint& peer, const http::Result& result) {
  const auto* response = std::get_if<http::Response>(&result);
  v1::SlotReport report;
  if (response != nullptr && response->status == kOk &&
      report.ParseFromString(response->body)) {
    schedule_.OnDelivered(peer);
    RecordReport(report);
  } else {
    metrics_.Count("slot_reports_failed_total", {});
    schedule_.OnFailed(peer,
                       response != nullptr && response->status == kNotFound,
                       clock_.now());
  }
  PostSend();
}

v1::SlotReport SlotExchange::MakeReport() {
  v1::SlotReport report;
  v1::NodeSlots& own = *report.mutable_own();
  own.set_process(process_);
  own.set_sequence(++last_sequence_);
  if (own_address_.has_value()) {
    own.set_address(ToString(*own_address_));
  }
  own.set_waiting(waiting_() > 0);
  for (const auto& [id, running] : own_) {
    if (const auto* upstream = directory_.find(id)) {
      v1::UpstreamSlots& slots = *own.add_slots();
      slots.set_upstream(id.value());
      slots.set_started_ms(upstream->started.count());
      slots.set_running(running);
      slots.set_unaccepted(loads_.unanswered(id));
    }
  }
  for (const batches::AgedCounts& known : reported_.Relayable(clock_.now())) {
    v1::NodeSlots& other = *report.add_others();
    other.set_process(known.counts.process);
    other.set_sequence(known.counts.sequence);
    if (known.counts.address.port != 0) {
      other.set_address(ToString(known.counts.address));
    }
    other.set_waiting(known.counts.waiting);
    other.set_age_ms(static_cast<std::uint64_t>(known.age.count()));
    for (const batches::SlotCount& count : known.counts.slots) {
      v1::UpstreamSlots& slots = *other.add_slots();
      slots.set_upstream(count.upstream.value());
      slots.set_started_ms(count.started.count());
      slots.set_running(count.running);
    }
  }
  return report;
}

void SlotExchange::RecordReport(const v1::SlotReport& report) {
  metrics_.Count("slot_reports_received_total", {});
  RecordCounts(report.own());
  for (const v1::NodeSlots& other : report.others()) {
    RecordCounts(other);
  }
}

void SlotExchange::RecordCounts(const v1::NodeSlots& counts) {
  if (counts.process().empty() || counts.process() == process_ ||
      counts.age_ms() >=
          static_cast<std::uint64_t>(batches::ReportedSlots::kMaxAge.count())) {
    return;
  }
  const Instant now = clock_.now();
  batches::AgedCounts aged;
  aged.age = milliseconds(counts.age_ms());
  aged.counts.process = counts.process();
  aged.counts.sequence = counts.sequence();
  aged.counts.waiting = counts.waiting();
  aged.counts.address = ParseEndpoint(counts.address()).value_or(Endpoint{});
  for (const v1::UpstreamSlots& slots : counts.slots()) {
    aged.counts.slots.push_back({UpstreamId(slots.upstream()),
                                 milliseconds(slots.started_ms()),
                                 slots.running()});
  }
  schedule_.OnReportOf(aged.counts.address, aged.counts.active(), now);
  reported_.Record(std::move(aged), now);
}

void SlotExchange::ReplyToPeer(
    const std::shared_ptr<http::Exchange>& exchange) {
  v1::SlotReport report;
  if (!report.ParseFromString(exchange->request().body)) {
    exchange->Reply(kBadRequest, "");
    return;
  }
  RecordReport(report);
  exchange->Reply(kOk, MakeReport().SerializeAsString(),
                  {{"Content-Type", "application/octet-stream"}});
  if (const auto peer = ParseEndpoint(report.own().address())) {
    schedule_.OnReplied(*peer, clock_.now());
  }
}

}  // namespace mulberryroad::node
