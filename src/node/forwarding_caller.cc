#include "node/forwarding_caller.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "node/forward_codec.h"
#include "serving/cold_upstreams.h"

namespace mulberryroad::node {

namespace {

using serving::UpstreamOutcome;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr int kOk = 200;

}  // namespace

/// A request on its way, first over the own link or at once through a peer.
/// Callbacks of its current call keep it alive.
class ForwardingCaller::ForwardedCall final
    : public http::Call,
      public std::enable_shared_from_this<ForwardedCall> {
 public:
  ForwardedCall(ForwardingCaller& caller, serving::Registration upstream,
                serving::OutgoingRequest request, serving::CallOptions options,
                std::function<void(UpstreamOutcome)> on_done)
      : caller_(caller),
        alive_(caller.alive_),
        upstream_(std::move(upstream)),
        request_(std::move(request)),
        options_(std::move(options)),
        on_done_(std::move(on_done)),
        deadline_(caller.clock_.now() + options_.deadline),
        started_at_(caller.clock_.now()),
        // The sender passed UpstreamStatements::MaySend.
        permitted_(
            caller.statements_.limit(upstream_.id, started_at_).has_value()) {}

  void Start() {
    if (FinishIfEvacuated()) {
      return;
    }
    const Instant now = caller_.clock_.now();
    if (!caller_.peers_.empty() &&
        caller_.links_.path(upstream_.id, now) == serving::LinkPath::kPeer) {
      SendToPeer();
      return;
    }
    call_ = caller_.SendDirect(
        upstream_, request_, options_,
        [self = shared_from_this()](UpstreamOutcome outcome) {
          self->OnDirectOutcome(std::move(outcome));
        });
  }

  void Cancel() override {
    if (std::exchange(ended_, true)) {
      return;
    }
    EndPeerCall();
    if (call_ != nullptr) {
      call_->Cancel();
    }
    ReleaseHandlers();
  }

  bool sent() const override { return call_ != nullptr && call_->sent(); }

 private:
  void OnDirectOutcome(UpstreamOutcome outcome) {
    if (ended_) {
      return;
    }
    const auto* not_run = std::get_if<serving::NotRun>(&outcome);
    // Nothing was sent, so that a peer may still send it.
    const bool forwards =
        *alive_ && not_run != nullptr && not_run->unreachable &&
        !caller_.peers_.empty() &&
        caller_.links_.path(upstream_.id, caller_.clock_.now()) ==
            serving::LinkPath::kPeer;
    if (forwards) {
      SendToPeer();
    } else {
      Finish(std::move(outcome));
    }
  }

  /// Ends the call if the domain of its upstream was evacuated since the
  /// upstream was chosen.
  bool FinishIfEvacuated() {
    if (!caller_.directory_.IsEvacuated(upstream_)) {
      return false;
    }
    // Full rather than failed: the upstream must not be ejected for it.
    FinishLater(serving::NotRun{"the failure domain is evacuated",
                                /*full=*/true});
    return true;
  }

  void SendToPeer() {
    if (FinishIfEvacuated()) {
      return;
    }
    const Instant now = caller_.clock_.now();
    const auto left = duration_cast<milliseconds>(deadline_ - now);
    // The bound of a cold upstream counts when a request arrives, so that it
    // must not be sent long after its permit.
    const bool too_late =
        now > started_at_ + kMaxColdForwardDelay &&
        caller_.statements_.cold_grant(upstream_.id, now).has_value();
    peer_ = tried_.size() < kMaxPeersAsked && !too_late
                ? caller_.peers_.Choose(tried_, now, caller_.random_)
                : std::nullopt;
    if (!peer_.has_value() || left <= milliseconds(0)) {
      if (unreachable_by_peers_ > 0) {
        caller_.links_.OnUnreachableByPeer(upstream_.id, now);
      }
      FinishLater(serving::NotRun{"neither this node nor a peer reaches it",
                                  /*full=*/false, /*unreachable=*/true});
      return;
    }
    tried_.insert(*peer_);
    caller_.peers_.OnSent(*peer_);
    caller_.metrics_.Count("forwarded_requests_total", {});
    http::ClientRequest call;
    call.endpoint = *peer_;
    call.method = http::Method::kPost;
    call.path = kForwardPath;
    v1::ForwardRequest forward =
        EncodeForward(upstream_, request_, options_, left);
    forward.set_permitted(permitted_);
    call.body = forward.SerializeAsString();
    call.connect_timeout = std::min(kPeerConnectTimeout, left);
    call.timeout = left + kDeadlineMargin;
    call.receiver_bytes = [self = shared_from_this()] {
      return self->held_bytes();
    };
    reader_ = FrameReader();
    outcome_.reset();
    call_ = caller_.client_.Send(
        std::move(call),
        [self = shared_from_this()](const http::Result& result) {
          self->OnPeerDone(result);
        },
        [self = shared_from_this()](int status, std::string_view bytes) {
          return status != kOk || self->OnBytes(bytes);
        });
  }

  std::size_t held_bytes() const {
    const std::size_t events = options_.stream && options_.stream->held_bytes
                                   ? options_.stream->held_bytes()
                                   : 0;
    return reader_.pending_bytes() + events;
  }

  bool OnBytes(std::string_view bytes) {
    std::vector<v1::ForwardFrame> frames;
    if (!reader_.Feed(bytes, &frames)) {
      return false;
    }
    for (const v1::ForwardFrame& frame : frames) {
      if (ended_ || !*alive_) {
        return true;
      }
      OnFrame(frame);
    }
    return true;
  }

  void OnFrame(const v1::ForwardFrame& frame) {
    if (frame.has_statement()) {
      serving::KnownStatement known;
      known.started = upstream_.started;
      if (frame.statement().limited()) {
        known.requests_per_second = frame.statement().requests_per_second();
      }
      known.leaving = frame.statement().leaving();
      known.learned = caller_.clock_.now();
      caller_.statements_.OnReported(upstream_.id, known);
    }
    if (frame.has_outcome()) {
      outcome_ = frame.outcome();
    } else if (frame.has_head() && options_.stream.has_value()) {
      caller_.links_.OnReachedByPeer(upstream_.id, caller_.clock_.now());
      options_.stream->on_start(DecodeHead(frame.head()));
    } else if (frame.has_event() && options_.stream.has_value()) {
      options_.stream->on_event(DecodeEvent(frame.event()));
    }
  }

  void OnPeerDone(const http::Result& result) {
    if (ended_ || !*alive_) {
      return;
    }
    const Endpoint peer = *peer_;
    EndPeerCall();
    const Instant now = caller_.clock_.now();
    const auto* failure = std::get_if<http::Failure>(&result);
    const auto* response = std::get_if<http::Response>(&result);
    if (!outcome_.has_value()) {
      const bool unsent =
          failure != nullptr && failure->verdict == Verdict::kNotRun;
      // A node of an earlier release has no such path.
      const bool refused = response != nullptr && response->status != kOk;
      if (unsent || refused) {
        LogPeer(peer, unsent ? failure->reason : "it does not forward");
        caller_.peers_.OnRefused(peer, now);
        SendToPeer();
      } else {
        LogPeer(peer, "the answer broke off");
        Finish(serving::MayHaveRun{"the connection to a peer broke"});
      }
      return;
    }
    LogPeer(peer, outcome_->reason());
    if (outcome_->kind() == v1::ForwardedOutcome::REFUSED) {
      caller_.peers_.OnRefused(peer, now);
      SendToPeer();
      return;
    }
    if (outcome_->kind() == v1::ForwardedOutcome::UNREACHABLE) {
      // The links of a single peer may fail as well.
      if (++unreachable_by_peers_ < kMinPeersForDown) {
        SendToPeer();
        return;
      }
      caller_.links_.OnUnreachableByPeer(upstream_.id, now);
    } else {
      caller_.last_forwarded_ = now;
      caller_.links_.OnReachedByPeer(upstream_.id, now);
    }
    Finish(DecodeOutcome(*outcome_));
  }

  void LogPeer(const Endpoint& peer, const std::string& reason) {
    caller_.log_.Write(
        "request.forwarded",
        {{"request", request_.id.value()},
         {"upstream", upstream_.id.value()},
         {"peer", ToString(peer)},
         {"outcome", outcome_.has_value()
                         ? v1::ForwardedOutcome::Kind_Name(outcome_->kind())
                         : "none"},
         {"reason", reason},
         {"unreachable_ms",
          caller_.links_.unreachable_for(upstream_.id, caller_.clock_.now())
              .count()},
         {"lost_links",
          static_cast<std::int64_t>(caller_.links_.lost_links())}});
  }

  void EndPeerCall() {
    if (peer_.has_value() && *alive_) {
      caller_.peers_.OnEnded(*peer_);
    }
    peer_.reset();
  }

  void FinishLater(UpstreamOutcome outcome) {
    caller_.loop_.Post(
        [self = shared_from_this(), outcome = std::move(outcome)]() mutable {
          self->Finish(std::move(outcome));
        });
  }

  void Finish(UpstreamOutcome outcome) {
    if (!std::exchange(ended_, true)) {
      ReleaseHandlers();
      std::exchange(on_done_, nullptr)(std::move(outcome));
    }
  }

  /// Drops the callbacks and the request, which would otherwise live as long as
  /// the pointer that the sender keeps. Posted, as one of the callbacks may be
  /// running.
  void ReleaseHandlers() {
    if (*alive_) {
      caller_.loop_.Post([self = shared_from_this()] {
        self->options_ = {};
        self->request_ = {};
        self->on_done_ = nullptr;
      });
    }
  }

  ForwardingCaller& caller_;
  std::shared_ptr<bool> alive_;
  serving::Registration upstream_;
  serving::OutgoingRequest request_;
  serving::CallOptions options_;
  std::function<void(UpstreamOutcome)> on_done_;
  Instant deadline_;
  Instant started_at_;
  /// Whether the request used a permit.
  bool permitted_;
  bool ended_ = false;
  std::shared_ptr<http::Call> call_;
  std::set<Endpoint> tried_;
  /// Number of peers that could not connect to the upstream.
  std::size_t unreachable_by_peers_ = 0;
  /// Peer that has the request; nullopt if none has.
  std::optional<Endpoint> peer_;
  FrameReader reader_;
  std::optional<v1::ForwardedOutcome> outcome_;
};

ForwardingCaller::ForwardingCaller(base::EventLoop& loop, const Clock& clock,
                                   base::StructuredLog& log,
                                   base::Metrics& metrics, http::Client& client,
                                   std::mt19937_64& random,
                                   serving::UpstreamCaller& direct,
                                   const serving::UpstreamDirectory& directory,
                                   serving::UpstreamStatements& statements)
    : loop_(loop),
      clock_(clock),
      log_(log),
      metrics_(metrics),
      client_(client),
      random_(random),
      direct_(direct),
      directory_(directory),
      statements_(statements) {
  metrics_.Gauge("upstream_links_lost",
                 [this] { return static_cast<double>(links_.lost_links()); });
}

ForwardingCaller::~ForwardingCaller() { *alive_ = false; }

void ForwardingCaller::Start() {
  tick_timer_ = loop_.Every(kTickInterval, [this] { Tick(); });
  expire_timer_ =
      loop_.Every(kExpireInterval, [this] { links_.Expire(clock_.now()); });
}

std::shared_ptr<http::Call> ForwardingCaller::Send(
    const serving::Registration& upstream,
    const serving::OutgoingRequest& request, serving::CallOptions options,
    std::function<void(UpstreamOutcome)> on_done) {
  auto call = std::make_shared<ForwardedCall>(
      *this, upstream, request, std::move(options), std::move(on_done));
  call->Start();
  return call;
}

std::shared_ptr<http::Call> ForwardingCaller::SendDirect(
    const serving::Registration& upstream,
    const serving::OutgoingRequest& request, serving::CallOptions options,
    std::function<void(UpstreamOutcome)> on_done) {
  if (options.stream.has_value()) {
    options.stream->on_start = [this, alive = alive_, id = upstream.id,
                                on_start = std::move(options.stream->on_start)](
                                   const serving::StreamStart& start) {
      if (*alive) {
        OnReached(id);
      }
      on_start(start);
    };
  }
  const auto silence_timer = std::make_shared<base::Timer>();
  *silence_timer = loop_.After(
      kSilenceTime,
      [this, alive = alive_, id = upstream.id, sent = clock_.now()] {
        if (*alive) {
          ProbeIfSilent(id, sent);
        }
      });
  return direct_.Send(upstream, request, std::move(options),
                      [this, alive = alive_, silence_timer, id = upstream.id,
                       on_done = std::move(on_done)](UpstreamOutcome outcome) {
                        silence_timer->Cancel();
                        if (*alive) {
                          OnOutcome(id, outcome);
                        }
                        on_done(std::move(outcome));
                      });
}

void ForwardingCaller::Probe(const serving::Registration& upstream,
                             milliseconds timeout,
                             std::function<void(bool)> on_result) {
  direct_.Probe(upstream, timeout, std::move(on_result));
}

void ForwardingCaller::TryLinkIfIdle() {
  std::vector<UpstreamId> upstreams;
  for (const auto& [id, upstream] : directory_.all()) {
    if (!directory_.IsEvacuated(upstream)) {
      upstreams.push_back(id);
    }
  }
  if (upstreams.empty() || clock_.now() < last_answer_ + kIdleTime) {
    return;
  }
  ProbeLink(upstreams[random_() % upstreams.size()]);
  const auto failing = links_.FailingUpstream();
  const serving::Registration* upstream =
      failing.has_value() ? directory_.find(*failing) : nullptr;
  if (upstream != nullptr && !directory_.IsEvacuated(*upstream) &&
      links_.likely_cut_off(clock_.now())) {
    AskPeer(*upstream);
  }
}

void ForwardingCaller::AskPeer(const serving::Registration& upstream) {
  const auto peer = peers_.Choose({}, clock_.now(), random_);
  if (!peer.has_value() || std::exchange(asking_peer_, true)) {
    return;
  }
  v1::ForwardRequest question;
  question.set_upstream(upstream.id.value());
  question.set_started_ms(upstream.started.count());
  question.set_probe(true);
  http::ClientRequest call;
  call.endpoint = *peer;
  call.method = http::Method::kPost;
  call.path = kForwardPath;
  call.body = question.SerializeAsString();
  call.connect_timeout = kPeerConnectTimeout;
  call.timeout = kPeerConnectTimeout + kProbeTimeout;
  client_.Send(std::move(call), [this, alive = alive_, id = upstream.id,
                                 peer = *peer](const http::Result& result) {
    if (*alive) {
      OnPeerAnswer(id, peer, result);
    }
  });
}

void ForwardingCaller::OnPeerAnswer(const UpstreamId& id, const Endpoint& peer,
                                    const http::Result& result) {
  asking_peer_ = false;
  const Instant now = clock_.now();
  const auto* response = std::get_if<http::Response>(&result);
  std::vector<v1::ForwardFrame> frames;
  if (response == nullptr || response->status != kOk ||
      !FrameReader().Feed(response->body, &frames) || frames.empty() ||
      frames.front().outcome().kind() == v1::ForwardedOutcome::REFUSED) {
    peers_.OnRefused(peer, now);
    return;
  }
  const bool reached =
      frames.front().outcome().kind() == v1::ForwardedOutcome::NOT_RUN;
  log_.Write("link.peer_asked", {{"upstream", id.value()},
                                 {"peer", ToString(peer)},
                                 {"reached", reached}});
  if (reached) {
    last_forwarded_ = now;
    links_.OnReachedByPeer(id, now);
  } else {
    links_.OnUnreachableByPeer(id, now);
  }
}

bool ForwardingCaller::depends_on_peers() const {
  const Instant now = clock_.now();
  return links_.likely_cut_off(now) && last_forwarded_.has_value() &&
         now < *last_forwarded_ + kForwardedMaxAge;
}

void ForwardingCaller::OnOutcome(const UpstreamId& id,
                                 const UpstreamOutcome& outcome) {
  if (std::holds_alternative<serving::CompleteResponse>(outcome)) {
    OnReached(id);
    return;
  }
  if (const auto* not_run = std::get_if<serving::NotRun>(&outcome)) {
    if (not_run->unreachable) {
      OnUnreachable(id, not_run->reason);
    } else {
      OnReached(id);
    }
  }
}

void ForwardingCaller::OnReached(const UpstreamId& id) {
  last_answer_ = clock_.now();
  OnLinkWorks(id);
}

void ForwardingCaller::OnLinkWorks(const UpstreamId& id) {
  const serving::Registration* upstream = directory_.find(id);
  if (links_.lost(id) && upstream != nullptr) {
    // Connections from before the loss may be dead, and requests on them lost.
    loop_.Post([this, alive = alive_, endpoint = upstream->endpoint] {
      if (*alive) {
        client_.CloseIdleConnections(endpoint);
      }
    });
  }
  links_.OnReached(id, clock_.now());
}

void ForwardingCaller::OnUnreachable(const UpstreamId& id,
                                     const std::string& reason) {
  metrics_.Count("upstream_unreachable_total", {});
  log_.Write("link.unreachable",
             {{"upstream", id.value()},
              {"reason", reason},
              {"lost_links", static_cast<std::int64_t>(links_.lost_links())}});
  links_.OnUnreachable(id, clock_.now());
}

void ForwardingCaller::ProbeIfSilent(const UpstreamId& id, Instant sent) {
  if (last_answer_ < sent) {
    ProbeLink(id);
  }
}

void ForwardingCaller::ProbeLink(const UpstreamId& id) {
  const serving::Registration* upstream = directory_.find(id);
  if (upstream == nullptr || directory_.IsEvacuated(*upstream) ||
      !probing_.insert(id).second) {
    return;
  }
  metrics_.Count("link_probes_total", {});
  direct_.Probe(*upstream, kProbeTimeout,
                [this, alive = alive_, id](bool reached) {
                  if (!*alive) {
                    return;
                  }
                  probing_.erase(id);
                  if (reached) {
                    OnLinkWorks(id);
                  } else {
                    OnUnreachable(id, "a new connection failed");
                  }
                });
}

void ForwardingCaller::Tick() {
  const Instant now = clock_.now();
  for (const UpstreamId& id : links_.TakeProbes(now)) {
    ProbeLink(id);
  }
  const std::size_t lost = links_.lost_links();
  const bool cut_off = links_.cut_off();
  if (lost != logged_lost_links_ || cut_off != logged_cut_off_) {
    logged_lost_links_ = lost;
    logged_cut_off_ = cut_off;
    log_.Write("links", {{"lost", static_cast<std::int64_t>(lost)},
                         {"tried", static_cast<std::int64_t>(links_.size())},
                         {"cut_off", cut_off}});
  }
}

}  // namespace mulberryroad::node
