#include "node/store_relay.h"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace mulberryroad::node {

namespace {

using std::chrono::milliseconds;

constexpr char kRelayPath[] = "/peer/store";
// Header names are in lower case, as http::Request stores them.
constexpr char kMethodHeader[] = "relay-method";
constexpr char kTargetHeader[] = "relay-target";
constexpr char kTimeoutHeader[] = "relay-timeout-ms";
constexpr char kRefusedHeader[] = "relay-refused";
// Marks the answers of the store.
constexpr char kRelayedHeader[] = "relayed";
constexpr int kPayloadTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

const char* MethodName(http::Method method) {
  return method == http::Method::kGet ? "GET" : "POST";
}

bool IsStoreAnswer(const http::Result& result) {
  const auto* response = std::get_if<http::Response>(&result);
  return response != nullptr && response->status != kServiceUnavailable &&
         response->status != kTooManyRequests;
}

}  // namespace

void RelayPolicy::OnDirectResult(bool answered, Instant now) {
  failing_ = !answered;
  if (answered) {
    last_answer_ = now;
  }
}

bool RelayPolicy::uses_relay(Instant now) const {
  return failing_ && now >= last_answer_ + kDirectTimeout;
}

bool RelayPolicy::AcquireProbe(Instant now) {
  if (now < last_probe_ + kProbeInterval) {
    return false;
  }
  last_probe_ = now;
  return true;
}

StoreRelay::StoreRelay(base::EventLoop& loop, const Clock& clock,
                       base::StructuredLog& log, base::Metrics& metrics,
                       http::Client& client, std::mt19937_64& random,
                       Endpoint store, std::vector<Endpoint> peers)
    : loop_(loop),
      clock_(clock),
      log_(log),
      metrics_(metrics),
      client_(client),
      random_(random),
      store_(std::move(store)),
      policy_(clock.now()) {
  SetPeers(std::move(peers));
}

StoreRelay::~StoreRelay() { *alive_ = false; }

void StoreRelay::SetPeers(std::vector<Endpoint> peers) {
  peers_ = std::move(peers);
  // Random order, so that nodes that lose the store at the same time do not all
  // use the same peer.
  std::shuffle(peers_.begin(), peers_.end(), random_);
  peer_index_ = 0;
}

void StoreRelay::Send(http::ClientRequest request,
                      http::ResultCallback on_done) {
  const Instant now = clock_.now();
  const bool relaying = policy_.uses_relay(now) && !peers_.empty();
  LogChange(relaying);
  if (!relaying) {
    SendDirect(std::move(request), std::move(on_done));
    return;
  }
  if (request.method == http::Method::kGet && policy_.AcquireProbe(now)) {
    SendDirect(request, [](const http::Result&) {});
  }
  SendToPeer(std::move(request), std::move(on_done));
}

void StoreRelay::LogChange(bool relaying) {
  if (std::exchange(logged_relaying_, relaying) != relaying) {
    log_.Write("store.relay",
               {{"active", relaying},
                {"peer", relaying ? ToString(peers_[peer_index_]) : ""}});
  }
}

void StoreRelay::OnDirectResult(const http::Result& result) {
  policy_.OnDirectResult(IsStoreAnswer(result), clock_.now());
}

void StoreRelay::SendDirect(http::ClientRequest request,
                            http::ResultCallback on_done) {
  client_.Send(std::move(request),
               [this, alive = alive_,
                on_done = std::move(on_done)](http::Result result) {
                 if (*alive) {
                   OnDirectResult(result);
                 }
                 on_done(std::move(result));
               });
}

void StoreRelay::SendToPeer(http::ClientRequest request,
                            http::ResultCallback on_done) {
  http::ClientRequest relay;
  relay.endpoint = peers_[peer_index_];
  relay.method = http::Method::kPost;
  relay.path = kRelayPath;
  relay.headers = {{kMethodHeader, MethodName(request.method)},
                   {kTargetHeader, request.path},
                   {kTimeoutHeader, std::to_string(request.timeout.count())}};
  relay.body = std::move(request.body);
  relay.connect_timeout = std::min(kPeerConnectTimeout, request.timeout);
  relay.timeout = request.timeout;
  metrics_.Count("store_calls_relayed_total", {});
  client_.Send(
      std::move(relay), [this, alive = alive_, peer = peer_index_,
                         on_done = std::move(on_done)](http::Result result) {
        const auto* response = std::get_if<http::Response>(&result);
        const bool too_large_for_peer =
            response != nullptr && response->status == kPayloadTooLarge &&
            !response->headers.contains(kRelayedHeader);
        const bool relayed = response != nullptr && !too_large_for_peer &&
                             !response->headers.contains(kRefusedHeader);
        if (*alive && !relayed && peer == peer_index_) {
          peer_index_ = peers_.empty() ? 0 : (peer_index_ + 1) % peers_.size();
        }
        if (too_large_for_peer) {
          // The limit is the peer's, not the store's.
          on_done(http::Failure{Verdict::kNotRun,
                                "the call is too large for the peer"});
        } else {
          on_done(std::move(result));
        }
      });
}

void StoreRelay::Register(http::Server& server) {
  server.Route(http::Method::kPost, kRelayPath,
               [this](const std::shared_ptr<http::Exchange>& exchange) {
                 Relay(exchange);
               });
}

void StoreRelay::Relay(const std::shared_ptr<http::Exchange>& exchange) {
  const http::Request& in = exchange->request();
  const std::optional<std::string> target = in.header(kTargetHeader);
  const milliseconds timeout(std::strtol(
      in.header(kTimeoutHeader).value_or("0").c_str(), nullptr, 10));
  // Refuses at once if this node does not reach the store either, so that the
  // peer can try another node.
  if (!target.has_value() || timeout <= milliseconds(0) ||
      policy_.uses_relay(clock_.now())) {
    exchange->Reply(kServiceUnavailable, "", {{kRefusedHeader, "1"}});
    return;
  }
  http::ClientRequest request;
  request.endpoint = store_;
  request.method = in.header(kMethodHeader) == MethodName(http::Method::kGet)
                       ? http::Method::kGet
                       : http::Method::kPost;
  request.path = *target;
  request.body = in.body;
  request.connect_timeout = timeout;
  request.timeout = timeout;
  SendDirect(std::move(request), [exchange](const http::Result& result) {
    if (const auto* response = std::get_if<http::Response>(&result)) {
      exchange->Reply(response->status, response->body,
                      {{kRelayedHeader, "1"}});
    } else if (std::get<http::Failure>(result).verdict == Verdict::kNotRun) {
      exchange->Reply(kServiceUnavailable, "", {{kRefusedHeader, "1"}});
    } else {
      // It is unknown whether the store executed the call; closing the
      // connection without a response makes the peer report "may have run".
      exchange->Abort();
    }
  });
}

}  // namespace mulberryroad::node
