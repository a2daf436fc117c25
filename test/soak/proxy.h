// A TCP proxy on the loopback address that delays, holds, cuts one way or
// resets what passes through it.

#ifndef MULBERRYROAD_TEST_SOAK_PROXY_H_
#define MULBERRYROAD_TEST_SOAK_PROXY_H_

#include <chrono>
#include <deque>
#include <list>
#include <memory>
#include <string>

#include "base/event_loop.h"
#include "mulberryroad/endpoint.h"

struct bufferevent;
struct evconnlistener;

namespace mulberryroad::soak {

enum class LinkState {
  kPass,
  /// Each piece comes 200 ms late.
  kDelay,
  /// Nothing passes in either direction; what was sent is held.
  kSilent,
  /// Requests pass, answers are held.
  kOneWay,
  /// Connections are reset at once.
  kReset,
  /// Nothing passes, and new connections are not established.
  kCut,
  /// As kCut, but requests on open connections pass.
  kCutAnswers,
  /// Open connections are reset, new ones refused.
  kRefuse,
  /// Open connections pass, new ones are refused.
  kRefuseNew,
};

class Proxy {
 public:
  Proxy(base::EventLoop& loop, Endpoint listen, Endpoint target);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  bool Listen();
  void Set(LinkState state);
  const Endpoint& endpoint() const { return listen_; }
  /// Connections that callers have opened so far.
  int accepted() const { return accepted_; }

  static constexpr std::chrono::milliseconds kDelayTime{200};

 private:
  struct Piece {
    std::chrono::steady_clock::time_point due;
    std::string bytes;
  };
  struct Link {
    Proxy* proxy = nullptr;
    bufferevent* caller = nullptr;
    bufferevent* target = nullptr;
    std::deque<Piece> to_target;
    std::deque<Piece> to_caller;
  };

  bool OpenListener();
  /// Opens the listener, and tries again while its address is in use.
  void ListenAgain();
  void CloseListener();
  /// Fills the queue of connections to accept, so that the kernel answers no
  /// new one.
  void FillBacklog();
  void Accept(int handle);
  void Take(Link* link, bool from_caller);
  void Close(Link* link, bool reset);
  void Flush();
  bool passes(bool from_caller) const;

  base::EventLoop& loop_;
  Endpoint listen_;
  Endpoint target_;
  LinkState state_ = LinkState::kPass;
  int accepted_ = 0;
  evconnlistener* listener_ = nullptr;
  /// Connections of FillBacklog.
  std::list<int> fillers_;
  std::list<std::unique_ptr<Link>> links_;
  base::Timer flush_timer_;
  base::Timer listen_timer_;
};

}  // namespace mulberryroad::soak

#endif  // MULBERRYROAD_TEST_SOAK_PROXY_H_
