#include "node/forward_server.h"

#include <algorithm>
#include <string>
#include <utility>

#include "node/forward_codec.h"
#include "serving/cold_upstreams.h"

namespace mulberryroad::node {

namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;

}  // namespace

/// A request of a peer. The callbacks of its call keep it alive.
class ForwardServer::Session
    : public std::enable_shared_from_this<ForwardServer::Session> {
 public:
  Session(ForwardServer& server, std::shared_ptr<http::Exchange> exchange,
          UpstreamId upstream)
      : server_(server),
        open_(server.open_),
        exchange_(std::move(exchange)),
        upstream_(std::move(upstream)) {
    ++*open_;
  }
  ~Session() { --*open_; }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Start(const serving::Registration& upstream,
             const serving::OutgoingRequest& request,
             const v1::ForwardRequest& forward) {
    exchange_->on_disconnected().connect([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        // The peer disconnects when its caller does.
        self->call_->Cancel();
      }
    });
    serving::CallOptions options;
    options.deadline = milliseconds(forward.deadline_ms());
    options.resume_after = forward.resume_after();
    options.version = forward.version();
    if (forward.stream()) {
      options.stream = serving::StreamHandler{
          [self = shared_from_this()](const serving::StreamStart& start) {
            self->Write(EncodeHead(start));
          },
          [self = shared_from_this()](const serving::StreamEvent& event) {
            self->Write(EncodeEvent(event));
          }};
    }
    call_ = server_.caller_.SendDirect(
        upstream, request, std::move(options),
        [self = shared_from_this()](const serving::UpstreamOutcome& outcome) {
          self->Write(EncodeOutcome(outcome));
          self->exchange_->Finish();
        });
  }

  void Write(v1::ForwardFrame frame) {
    if (!std::exchange(started_, true)) {
      exchange_->StartStream(kOk,
                             {{"Content-Type", "application/octet-stream"}});
      AddStatement(&frame);
    }
    exchange_->Write(Serialize(frame));
  }

 private:
  void AddStatement(v1::ForwardFrame* frame) const {
    if (const auto known = server_.statements_.find(upstream_)) {
      v1::ForwardedStatement* statement = frame->mutable_statement();
      statement->set_limited(known->requests_per_second.has_value());
      statement->set_requests_per_second(
          known->requests_per_second.value_or(0));
      statement->set_leaving(known->leaving);
    }
  }

  ForwardServer& server_;
  std::shared_ptr<std::size_t> open_;
  std::shared_ptr<http::Exchange> exchange_;
  UpstreamId upstream_;
  std::shared_ptr<http::Call> call_;
  bool started_ = false;
};

ForwardServer::ForwardServer(const Clock& clock, base::StructuredLog& log,
                             base::Metrics& metrics, ForwardingCaller& caller,
                             const serving::UpstreamDirectory& directory,
                             const serving::UpstreamStatements& statements,
                             std::function<bool()> stopping)
    : clock_(clock),
      log_(log),
      metrics_(metrics),
      caller_(caller),
      directory_(directory),
      statements_(statements),
      stopping_(std::move(stopping)) {
  metrics_.Gauge("forwarding_for_peers",
                 [this] { return static_cast<double>(*open_); });
}

void ForwardServer::Register(http::Server& server) {
  server.Route(http::Method::kPost, kForwardPath,
               [this](const std::shared_ptr<http::Exchange>& exchange) {
                 Forward(exchange);
               });
}

void ForwardServer::Forward(const std::shared_ptr<http::Exchange>& exchange) {
  v1::ForwardRequest forward;
  const bool parsed = forward.ParseFromString(exchange->request().body);
  const auto request = parsed ? DecodeForward(forward) : std::nullopt;
  if (!parsed || (!request.has_value() && !forward.probe())) {
    exchange->Reply(kBadRequest, "");
    return;
  }
  const UpstreamId id(forward.upstream());
  const serving::Registration* upstream = directory_.find(id);
  std::string refusal;
  if (stopping_()) {
    refusal = "the node is stopping or starting";
  } else if (*open_ >= kMaxOpen) {
    refusal = "the node forwards as many requests as it may";
  } else if (upstream == nullptr || upstream->draining ||
             upstream->started.count() != forward.started_ms()) {
    refusal = "the upstream is not registered, or leaves";
  } else if (directory_.IsEvacuated(*upstream)) {
    refusal = "the failure domain of the upstream is evacuated";
  } else if (!forward.permitted() &&
             statements_.cold_grant(id, clock_.now()).has_value()) {
    refusal = "the upstream is cold and the request has no permit";
  } else if (caller_.links().path(id, clock_.now()) ==
             serving::LinkPath::kPeer) {
    refusal = "the node lost its own link";
  }
  if (!refusal.empty()) {
    metrics_.Count("forwards_refused_total", {});
    log_.Write("forward.refused", {{"request", forward.request()},
                                   {"upstream", id.value()},
                                   {"reason", refusal}});
    exchange->Reply(kOk, Serialize(MakeRefusal(refusal)));
    return;
  }
  if (forward.probe()) {
    caller_.Probe(
        *upstream, ForwardingCaller::kProbeTimeout, [exchange](bool reached) {
          exchange->Reply(kOk, Serialize(EncodeOutcome(
                                   serving::NotRun{"probe", /*full=*/false,
                                                   /*unreachable=*/!reached})));
        });
    return;
  }
  metrics_.Count("forwards_total", {});
  std::make_shared<Session>(*this, exchange, id)
      ->Start(*upstream, *request, forward);
}

}  // namespace mulberryroad::node
