// HTTP server: routing, complete and chunked responses, and graceful shutdown.

#ifndef MULBERRYROAD_SRC_HTTP_SERVER_H_
#define MULBERRYROAD_SRC_HTTP_SERVER_H_

#include <sigc++/signal.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/event_loop.h"
#include "http/request.h"
#include "mulberryroad/endpoint.h"

struct evconnlistener;
struct sockaddr;

namespace mulberryroad::http {

class ConnectionGuard;
class ServerSession;
struct ServerContext;

/// A request and its response. The session of its connection holds a reference
/// until the response is complete or the connection is closed. Belongs to the
/// event loop's thread.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(std::shared_ptr<ServerSession> session, Request request);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  const Request& request() const { return request_; }
  /// Returns the body and leaves the request without one, so that a handler
  /// that passes a large body on holds it once.
  std::string TakeBody() { return std::exchange(request_.body, {}); }
  /// True once the caller has disconnected; responses are then discarded.
  bool closed() const { return closed_; }
  /// True once a response was started, or can no longer be started because the
  /// connection is closed.
  bool response_started() const { return response_started_; }

  /// Sends a complete response. No effect if a response was already started.
  void Reply(int status, std::string_view body, const Headers& headers = {});
  /// Starts a chunked response. No effect if a response was already started.
  void StartStream(int status, const Headers& headers = {});
  /// Sends one chunk of a chunked response.
  void Write(std::string_view chunk);
  /// Completes a chunked response.
  void Finish();
  /// Closes the connection, so that the caller sees a started response as
  /// incomplete.
  void Abort();

  /// Emitted once if the caller disconnects before the response is complete.
  sigc::signal<void()>& on_disconnected() { return on_disconnected_; }

 private:
  friend class Server;
  friend class ServerSession;

  void OnConnectionClosed();
  void Detach();

  /// Null once the response is complete or the connection is closed.
  std::shared_ptr<ServerSession> session_;
  Request request_;
  bool response_started_ = false;
  bool streaming_ = false;
  bool closed_ = false;
  sigc::signal<void()> on_disconnected_;
  std::function<void()> on_detached_;
};

using Handler = std::function<void(std::shared_ptr<Exchange>)>;

/// Decision about a request of which only the head is known.
struct HeadVerdict {
  /// Status of the refusal; 0 if the body may be read.
  int status = 0;
  std::string body;
  Headers headers;
  std::size_t max_body_bytes = 0;
};
/// @param length size of the body, or nullopt if it is not known before its end
using HeadCheck = std::function<HeadVerdict(const Request&,
                                            std::optional<std::size_t> length)>;

struct ServerLimits {
  /// Larger bodies get 413 before they are read.
  std::size_t max_body_bytes = 8U << 20U;
  /// Bound of the request line and the headers; larger ones get 431.
  std::size_t max_header_bytes = 64U << 10U;
  /// Time after which a connection is closed if the client sends nothing,
  /// within a request or between requests.
  std::chrono::milliseconds client_timeout{10'000};
};

/// Serves HTTP/1.1 on one address. Requests are routed by method and longest
/// matching path prefix. Belongs to the event loop's thread.
class Server {
 public:
  Server(base::EventLoop& loop, ServerLimits limits);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Replaces the limits. They apply to open connections from the next request
  /// on.
  void SetLimits(const ServerLimits& limits);
  /// Binds and listens.
  /// @return false if the address is in use or not local
  bool Listen(const Endpoint& endpoint);
  /// Sets the handler for a method and path prefix.
  void Route(Method method, std::string path_prefix, Handler handler);
  /// Sets the handler for requests without a route. The default replies 404.
  void SetFallbackHandler(Handler handler);
  /// Sets the handler for requests whose body exceeds the limit and arrived
  /// with the head, whatever their route. The default replies 413. Larger ones
  /// are refused by their head and do not reach the handler.
  void SetOversizeHandler(Handler handler);
  /// Bounds the connections by a guard that other servers may share. Must be
  /// called before Listen.
  /// @param protected_peer whether callers leave a share for this server
  void SetGuard(std::shared_ptr<ConnectionGuard> guard, bool protected_peer);
  /// Sets the check of requests that match no route and whose body has not been
  /// received. Without a check their bodies are read if a fallback handler is
  /// set, and they are rejected with 404 otherwise.
  void SetHeadCheck(HeadCheck check);
  /// Adds "Connection: close" to the responses to all later requests, so that
  /// callers reconnect elsewhere.
  void BeginDrain();
  /// Stops accepting connections.
  void StopAccepting();
  /// Number of exchanges without a complete response.
  std::size_t open_exchanges() const { return open_exchanges_; }
  /// Number of complete responses that were not sent to the last byte.
  std::size_t unsent_responses() const;
  /// Replies to the exchanges whose response was not started.
  void ReplyToOpenExchanges(int status, std::string_view body);

 private:
  static void OnAccept(evconnlistener* listener, int socket, sockaddr* address,
                       int address_size, void* self);
  static void OnAcceptError(evconnlistener* listener, void* self);
  void Dispatch(const std::shared_ptr<Exchange>& exchange);
  const Handler* FindHandler(Method method, const std::string& path) const;
  HeadVerdict CheckHead(const Request& request,
                        std::optional<std::size_t> length) const;

  std::shared_ptr<ServerContext> context_;
  evconnlistener* listener_ = nullptr;
  /// Enables the listener again after it failed to accept a connection.
  base::Timer accept_timer_;
  std::map<std::pair<Method, std::string>, Handler> routes_;
  /// Empty for the default.
  Handler fallback_;
  /// Empty for the default.
  Handler oversize_;
  HeadCheck head_check_;
  std::size_t open_exchanges_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::http

#endif  // MULBERRYROAD_SRC_HTTP_SERVER_H_
