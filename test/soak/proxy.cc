#include "soak/proxy.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace mulberryroad::soak {

namespace {

constexpr std::chrono::milliseconds kFlushInterval{5};
constexpr std::chrono::milliseconds kListenInterval{5};
constexpr int kBacklog = 64;
// A queue for no connection takes one or two.
constexpr int kFillers = 4;

sockaddr_in AddressOf(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
  return address;
}

void ResetOnClose(int handle) {
  const linger now{1, 0};
  setsockopt(handle, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

void SendAtOnce(int handle) {
  const int on = 1;
  setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

Proxy::Proxy(base::EventLoop& loop, Endpoint listen, Endpoint target)
    : loop_(loop), listen_(std::move(listen)), target_(std::move(target)) {}

Proxy::~Proxy() {
  while (!links_.empty()) {
    Close(links_.front().get(), /*reset=*/true);
  }
  CloseListener();
}

bool Proxy::Listen() {
  flush_timer_ = loop_.Every(kFlushInterval, [this] { Flush(); });
  return OpenListener();
}

void Proxy::CloseListener() {
  for (const int filler : std::exchange(fillers_, {})) {
    ResetOnClose(filler);
    close(filler);
  }
  if (listener_ != nullptr) {
    evconnlistener_free(std::exchange(listener_, nullptr));
  }
}

void Proxy::FillBacklog() {
  evconnlistener_disable(listener_);
  listen(evconnlistener_get_fd(listener_), 0);
  const sockaddr_in address = AddressOf(listen_);
  for (int i = 0; i < kFillers; ++i) {
    const int handle =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int connected = connect(
        handle, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    if (connected != 0 && errno != EINPROGRESS) {
      close(handle);
      continue;
    }
    fillers_.push_back(handle);
  }
}

bool Proxy::OpenListener() {
  const sockaddr_in address = AddressOf(listen_);
  listener_ = evconnlistener_new_bind(
      loop_.base(),
      [](evconnlistener*, int handle, sockaddr*, int, void* self) {
        static_cast<Proxy*>(self)->Accept(handle);
      },
      this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
      kBacklog, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  return listener_ != nullptr;
}

void Proxy::Set(LinkState state) {
  state_ = state;
  CloseListener();
  listen_timer_.Cancel();
  if (state != LinkState::kRefuse && state != LinkState::kRefuseNew) {
    ListenAgain();
  }
  if (state == LinkState::kReset || state == LinkState::kRefuse) {
    while (!links_.empty()) {
      Close(links_.front().get(), /*reset=*/true);
    }
  }
}

// A process that is being started holds the closed listener until its program
// begins, and the address is in use until then.
void Proxy::ListenAgain() {
  if (!OpenListener()) {
    listen_timer_ = loop_.After(kListenInterval, [this] { ListenAgain(); });
    return;
  }
  if (state_ == LinkState::kCut || state_ == LinkState::kCutAnswers) {
    FillBacklog();
  }
}

bool Proxy::passes(bool from_caller) const {
  switch (state_) {
    case LinkState::kPass:
    case LinkState::kDelay:
    case LinkState::kRefuseNew:
      return true;
    case LinkState::kOneWay:
    case LinkState::kCutAnswers:
      return from_caller;
    default:
      return false;
  }
}

void Proxy::Accept(int handle) {
  ++accepted_;
  if (state_ == LinkState::kReset) {
    ResetOnClose(handle);
    close(handle);
    return;
  }
  SendAtOnce(handle);
  auto link = std::make_unique<Link>();
  link->proxy = this;
  link->caller =
      bufferevent_socket_new(loop_.base(), handle, BEV_OPT_CLOSE_ON_FREE);
  link->target =
      bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  // NOLINTNEXTLINE(google-runtime-int): libevent's signature
  const auto on_end = [](bufferevent* end, short events, void* argument) {
    auto* ended = static_cast<Link*>(argument);
    if ((events & BEV_EVENT_CONNECTED) != 0) {
      SendAtOnce(bufferevent_getfd(end));
    } else {
      ended->proxy->Take(ended, end == ended->caller);
      ended->proxy->Close(ended, (events & BEV_EVENT_ERROR) != 0);
    }
  };
  bufferevent_setcb(
      link->caller,
      [](bufferevent*, void* argument) {
        auto* from = static_cast<Link*>(argument);
        from->proxy->Take(from, /*from_caller=*/true);
      },
      nullptr, on_end, link.get());
  bufferevent_setcb(
      link->target,
      [](bufferevent*, void* argument) {
        auto* from = static_cast<Link*>(argument);
        from->proxy->Take(from, /*from_caller=*/false);
      },
      nullptr, on_end, link.get());
  const sockaddr_in address = AddressOf(target_);
  bufferevent_socket_connect(link->target,
                             reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address));
  bufferevent_enable(link->caller, EV_READ | EV_WRITE);
  bufferevent_enable(link->target, EV_READ | EV_WRITE);
  links_.push_back(std::move(link));
}

void Proxy::Take(Link* link, bool from_caller) {
  evbuffer* input =
      bufferevent_get_input(from_caller ? link->caller : link->target);
  Piece piece;
  piece.bytes.resize(evbuffer_get_length(input));
  evbuffer_remove(input, piece.bytes.data(), piece.bytes.size());
  piece.due = std::chrono::steady_clock::now();
  if (state_ == LinkState::kDelay) {
    piece.due += kDelayTime;
  }
  auto& queue = from_caller ? link->to_target : link->to_caller;
  const bool at_once =
      queue.empty() && passes(from_caller) && state_ != LinkState::kDelay;
  if (at_once) {
    bufferevent_write(from_caller ? link->target : link->caller,
                      piece.bytes.data(), piece.bytes.size());
  } else {
    queue.push_back(std::move(piece));
  }
}

void Proxy::Flush() {
  const auto now = std::chrono::steady_clock::now();
  for (const auto& link : links_) {
    for (const bool from_caller : {true, false}) {
      auto& queue = from_caller ? link->to_target : link->to_caller;
      while (passes(from_caller) && !queue.empty() &&
             queue.front().due <= now) {
        bufferevent_write(from_caller ? link->target : link->caller,
                          queue.front().bytes.data(),
                          queue.front().bytes.size());
        queue.pop_front();
      }
    }
  }
}

// What the other side still has to get is lost with a reset, and sent before
// an ordinary end.
void Proxy::Close(Link* link, bool reset) {
  for (bufferevent* end : {link->caller, link->target}) {
    const int handle = bufferevent_getfd(end);
    if (reset && handle >= 0) {
      ResetOnClose(handle);
    } else if (handle >= 0) {
      evbuffer* left = bufferevent_get_output(end);
      while (evbuffer_get_length(left) > 0 &&
             evbuffer_write(left, handle) > 0) {
      }
    }
    bufferevent_free(end);
  }
  links_.remove_if([link](const auto& one) { return one.get() == link; });
}

}  // namespace mulberryroad::soak
