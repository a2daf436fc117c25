// HTTP server on evhttp: routes, plain and streamed answers, graceful stop.

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
#include <vector>

#include "base/event_loop.h"
#include "mulberryroad/endpoint.h"

struct event;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace mulberryroad::http {

enum class Method { kGet, kPost, kPut, kDelete };

struct Header {
  std::string name;
  std::string value;
};
using Headers = std::vector<Header>;

/// A whole request as received. Header names are in lower case.
struct Request {
  Method method = Method::kGet;
  std::string path;
  /// Path with its query, as received.
  std::string target;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
  /// Length of the header lines as received.
  std::size_t header_bytes = 0;

  /// Returns a header by its lower-case name, or nullopt.
  std::optional<std::string> header(const std::string& name) const;
  /// Returns a query parameter, or nullopt.
  std::optional<std::string> parameter(const std::string& name) const;
};

/// One request and its answer. Lives as long as somebody may still answer it,
/// and until the answer is written.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(base::EventLoop& loop, evhttp_request* native, Request request);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  const Request& request() const { return request_; }
  /// True once the caller has gone; answers are then dropped.
  bool closed() const { return closed_; }
  /// True once an answer was started.
  bool answered() const { return answered_; }

  /// Sends a whole answer. Only the first answer counts.
  void Reply(int status, std::string_view body, const Headers& headers = {});
  /// Starts a chunked answer.
  void StartStream(int status, const Headers& headers = {});
  /// Sends one chunk of a started answer.
  void Write(std::string_view chunk);
  /// Ends a started answer.
  void Finish();
  /// Cuts the connection, so that the caller sees a started answer as
  /// incomplete.
  void Abort();

  /// Emitted once if the caller goes away before the answer is complete.
  sigc::signal<void()>& on_closed() { return on_closed_; }

 private:
  friend class Server;

  void WatchCaller();
  void WatchFor(int handle, int events);
  void CheckCaller(int handle, int events);
  void MarkClosed();
  void ConnectionGone();
  void Detach();

  base::EventLoop& loop_;
  evhttp_request* native_;
  event* caller_watch_ = nullptr;
  Request request_;
  bool answered_ = false;
  bool streaming_ = false;
  bool closed_ = false;
  bool last_on_connection_ = false;
  sigc::signal<void()> on_closed_;
  std::function<void()> on_detached_;
  // Held while the native request may still call back.
  std::shared_ptr<Exchange> self_;
};

using Handler = std::function<void(std::shared_ptr<Exchange>)>;

struct ServerLimits {
  std::size_t max_body_bytes = 8U << 20U;
  std::size_t max_header_bytes = 64U << 10U;
  /// A client that is silent for longer in the middle of a request is cut off.
  std::chrono::milliseconds client_timeout{10'000};
};

/// Serves HTTP/1.1 on one address. Routes match by method and longest path
/// prefix.
class Server {
 public:
  Server(base::EventLoop& loop, ServerLimits limits);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Takes other limits. Open connections follow with their next request.
  void Apply(const ServerLimits& limits);
  /// Binds and listens; false if the address is taken or not of this machine.
  bool Listen(const Endpoint& endpoint);
  /// Serves a path prefix. Requests without a route get 404 from the fallback
  /// handler.
  void Route(Method method, std::string path_prefix, Handler handler);
  /// Serves whatever has no route, over-size bodies aside.
  void Fallback(Handler handler);
  /// Called in place of a handler when a body is over the limit.
  void Oversize(Handler handler);
  /// Asks callers to leave: answers carry "Connection: close" from now on.
  void BeginDrain();
  /// Takes no more connections.
  void StopAccepting();
  /// Number of exchanges without a complete answer.
  std::size_t open_exchanges() const { return open_exchanges_; }

 private:
  static void OnRequest(evhttp_request* native, void* self);
  void Dispatch(evhttp_request* native);
  const Handler* FindHandler(Method method, const std::string& path) const;

  base::EventLoop& loop_;
  ServerLimits limits_;
  evhttp* http_;
  evhttp_bound_socket* socket_ = nullptr;
  std::map<std::pair<Method, std::string>, Handler> routes_;
  Handler fallback_;
  Handler oversize_;
  bool draining_ = false;
  /// Connections may have begun under other limits.
  bool limits_changed_ = false;
  std::size_t open_exchanges_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::http

#endif  // MULBERRYROAD_SRC_HTTP_SERVER_H_
