#include "http/server.h"

#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <optional>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "base/decision_log.h"
#include "http/connection_guard.h"
#include "http/server_session.h"

namespace mulberryroad::http {

namespace {

constexpr int kNotFound = 404;
constexpr int kPayloadTooLarge = 413;
constexpr char kNoSuchPathBody[] =
    R"({"error":"no such path","verdict":"not run"})";
constexpr char kTooLargeBody[] =
    R"({"error":"the body is too large","verdict":"not run"})";
// Doubled by the kernel. Enough for 600 Mbit/s at a round trip of 3 ms.
constexpr int kReceiveBufferBytes = 128 << 10;
constexpr int kListenBacklog = 128;
// Pause after a connection could not be accepted, for instance for want of
// descriptors: the listener would report it again at once.
constexpr std::chrono::milliseconds kAcceptPause{100};

}  // namespace

Server::Server(base::EventLoop& loop, ServerLimits limits)
    : context_(std::make_shared<ServerContext>(loop, limits)) {
  context_->check_head = [this](const Request& request,
                                std::optional<std::size_t> length) {
    return CheckHead(request, length);
  };
  context_->dispatch = [this](const std::shared_ptr<Exchange>& exchange) {
    Dispatch(exchange);
  };
}

Server::~Server() {
  *alive_ = false;
  StopAccepting();
  while (!context_->sessions.empty()) {
    const std::shared_ptr<ServerSession> session = *context_->sessions.begin();
    session->Close();
  }
}

void Server::SetLimits(const ServerLimits& limits) {
  context_->limits = limits;
}

bool Server::Listen(const Endpoint& endpoint) {
  sockaddr_storage address{};
  int size = sizeof(address);
  if (evutil_parse_sockaddr_port(ToString(endpoint).c_str(),
                                 reinterpret_cast<sockaddr*>(&address),
                                 &size) != 0) {
    return false;
  }
  listener_ = evconnlistener_new_bind(
      context_->loop.base(), OnAccept, this,
      LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_CLOSE_ON_FREE,
      kListenBacklog, reinterpret_cast<sockaddr*>(&address), size);
  if (listener_ == nullptr) {
    return false;
  }
  evconnlistener_set_error_cb(listener_, OnAcceptError);
  if (context_->guard != nullptr &&
      context_->guard->budget().limits().bytes > 0) {
    // Accepted connections inherit it. What the kernel holds unread is memory
    // of the machine, and the default grows up to several megabytes.
    setsockopt(evconnlistener_get_fd(listener_), SOL_SOCKET, SO_RCVBUF,
               &kReceiveBufferBytes, sizeof(kReceiveBufferBytes));
  }
  return true;
}

void Server::SetGuard(std::shared_ptr<ConnectionGuard> guard,
                      bool protected_peer) {
  context_->guard = std::move(guard);
  context_->protected_peer = protected_peer;
}

void Server::SetHeadCheck(HeadCheck check) { head_check_ = std::move(check); }

HeadVerdict Server::CheckHead(const Request& request,
                              std::optional<std::size_t> length) const {
  HeadVerdict verdict;
  verdict.max_body_bytes = context_->limits.max_body_bytes;
  if (FindHandler(request.method, request.path) == nullptr) {
    if (head_check_) {
      verdict = head_check_(request, length);
    } else if (!fallback_) {
      verdict.status = kNotFound;
      verdict.body = kNoSuchPathBody;
    }
  }
  if (verdict.status == 0 &&
      length.value_or(0) > context_->limits.max_body_bytes) {
    verdict.status = kPayloadTooLarge;
    verdict.body = kTooLargeBody;
  }
  return verdict;
}

void Server::Route(Method method, std::string path_prefix, Handler handler) {
  routes_[{method, std::move(path_prefix)}] = std::move(handler);
}

void Server::SetFallbackHandler(Handler handler) {
  fallback_ = std::move(handler);
}

void Server::SetOversizeHandler(Handler handler) {
  oversize_ = std::move(handler);
}

void Server::BeginDrain() { context_->draining = true; }

void Server::StopAccepting() {
  if (listener_ != nullptr) {
    accept_timer_.Cancel();
    evconnlistener_free(std::exchange(listener_, nullptr));
  }
}

void Server::OnAccept(evconnlistener* /*listener*/, int socket,
                      sockaddr* /*address*/, int /*address_size*/, void* self) {
  const auto& context = static_cast<Server*>(self)->context_;
  std::make_shared<ServerSession>(context, socket)->Start();
}

void Server::OnAcceptError(evconnlistener* listener, void* self) {
  base::LogWarning("http.server", "cannot accept a connection: " +
                                      std::generic_category().message(errno));
  evconnlistener_disable(listener);
  auto* server = static_cast<Server*>(self);
  server->accept_timer_ = server->context_->loop.After(
      kAcceptPause, [listener] { evconnlistener_enable(listener); });
}

const Handler* Server::FindHandler(Method method,
                                   const std::string& path) const {
  const Handler* best = nullptr;
  std::size_t best_length = 0;
  for (const auto& [key, handler] : routes_) {
    const auto& [route_method, prefix] = key;
    if (route_method == method && path.starts_with(prefix) &&
        prefix.size() >= best_length) {
      best = &handler;
      best_length = prefix.size();
    }
  }
  return best;
}

std::size_t Server::unsent_responses() const {
  return static_cast<std::size_t>(std::count_if(
      context_->sessions.begin(), context_->sessions.end(),
      [](const auto& session) { return session->has_unsent_response(); }));
}

void Server::ReplyToOpenExchanges(int status, std::string_view body) {
  // Replying may remove sessions.
  const std::vector<std::shared_ptr<ServerSession>> sessions(
      context_->sessions.begin(), context_->sessions.end());
  for (const std::shared_ptr<ServerSession>& session : sessions) {
    if (const std::shared_ptr<Exchange> exchange = session->exchange()) {
      exchange->Reply(status, body);
    }
  }
}

void Server::Dispatch(const std::shared_ptr<Exchange>& exchange) {
  ++open_exchanges_;
  exchange->on_detached_ = [this, alive = alive_] {
    if (*alive) {
      --open_exchanges_;
    }
  };
  const Request& request = exchange->request();
  if (request.body.size() > context_->limits.max_body_bytes) {
    if (oversize_) {
      oversize_(exchange);
    } else {
      exchange->Reply(kPayloadTooLarge, kTooLargeBody);
    }
    return;
  }
  const Handler* handler = FindHandler(request.method, request.path);
  handler = handler == nullptr ? &fallback_ : handler;
  if (*handler) {
    (*handler)(exchange);
  } else {
    exchange->Reply(kNotFound, kNoSuchPathBody);
  }
}

}  // namespace mulberryroad::http
