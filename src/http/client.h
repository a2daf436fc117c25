// HTTP client on evhttp: one exchange at a time on a connection, with a verdict
// on failures.

#ifndef MULBERRYROAD_SRC_HTTP_CLIENT_H_
#define MULBERRYROAD_SRC_HTTP_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/event_loop.h"
#include "http/server.h"
#include "mulberryroad/endpoint.h"
#include "mulberryroad/verdict.h"

struct evhttp_connection;

namespace mulberryroad::http {

struct ClientRequest {
  Endpoint endpoint;
  Method method = Method::kGet;
  /// Path with its query.
  std::string path;
  /// A "Host" here takes the place of the endpoint's.
  Headers headers;
  std::string body;
  /// Takes an answer without a length as whole if its connection ended in
  /// order. Else such an answer is a failure.
  bool accept_unframed = false;
  std::chrono::milliseconds connect_timeout{1'000};
  /// From the call of Send to the end of the answer.
  std::chrono::milliseconds timeout{10'000};
};

/// A whole answer. Header names are in lower case; the body is empty if it was
/// streamed.
struct Response {
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// No whole answer came.
struct Failure {
  /// kNotRun if no byte was written to the upstream, else kMayHaveRun.
  Verdict verdict = Verdict::kNotRun;
  std::string reason;
};

using Result = std::variant<Response, Failure>;
using OnDone = std::function<void(Result)>;
/// Receives pieces of a body as they come, with the status of the answer.
using OnChunk = std::function<void(int status, std::string_view piece)>;

/// Receives status and headers of an answer, before its first piece.
using OnHead = std::function<void(const Response& head)>;

/// A request under way. Keeps itself alive until it is done.
class Call {
 public:
  virtual ~Call() = default;
  /// Ends the request without a further callback and closes its connection.
  virtual void Cancel() = 0;
  /// True once a byte was written to the upstream.
  virtual bool sent() const = 0;
};

/// Sends requests over kept-alive connections. A connection that carries a
/// surplus byte after an answer is closed, so that no answer is taken for that
/// of a later request.
class Client {
 public:
  explicit Client(base::EventLoop& loop);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Starts a request. Exactly one of Cancel and on_done ends it; on_done is
  /// never called inside Send.
  std::shared_ptr<Call> Send(ClientRequest request, OnDone on_done,
                             OnChunk on_chunk = nullptr,
                             OnHead on_head = nullptr);

  /// Closes idle connections to an endpoint, for instance of an upstream that
  /// left.
  void Forget(const Endpoint& endpoint);

 private:
  class Connection;
  class ActiveCall;
  class Pool;

  std::shared_ptr<Pool> pool_;
};

}  // namespace mulberryroad::http

#endif  // MULBERRYROAD_SRC_HTTP_CLIENT_H_
