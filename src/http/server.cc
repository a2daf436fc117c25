#include "http/server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <optional>
#include <stdexcept>
#include <string>
#include <system_error>
#include <utility>

#include "base/decision_log.h"
#include "http/connection_guard.h"
#include "http/socket_options.h"
#include "http/text.h"

namespace mulberryroad::http {

namespace {

// Bodies up to this multiple of the limit are read and passed to the oversize
// handler, which can reply with an error body. evhttp rejects larger ones
// itself.
constexpr std::size_t kMaxReadBodyFactor = 4;
// Bytes of a header line besides name and value: colon, space, CR and LF.
constexpr std::size_t kHeaderSeparatorBytes = 4;
constexpr int kNotFound = 404;
constexpr int kPayloadTooLarge = 413;
constexpr char kNoSuchPathBody[] =
    R"({"error":"no such path","verdict":"not run"})";
constexpr char kTooLargeBody[] =
    R"({"error":"the body is too large","verdict":"not run"})";
// Doubled by the kernel. Enough for 600 Mbit/s at a round trip of 3 ms.
constexpr int kReceiveBufferBytes = 128 << 10;

std::optional<Method> MethodOf(evhttp_request* native) {
  switch (evhttp_request_get_command(native)) {
    case EVHTTP_REQ_GET:
      return Method::kGet;
    case EVHTTP_REQ_POST:
      return Method::kPost;
    case EVHTTP_REQ_PUT:
      return Method::kPut;
    case EVHTTP_REQ_DELETE:
      return Method::kDelete;
    default:
      return std::nullopt;
  }
}

void ReadHeaders(evhttp_request* native, Request* request) {
  const evkeyvalq* headers = evhttp_request_get_input_headers(native);
  for (const evkeyval* header = headers->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    const std::string value = header->value;
    const std::string name = internal::LowerCase(header->key);
    request->header_bytes += name.size() + value.size() + kHeaderSeparatorBytes;
    request->headers[name] = value;
  }
}

void ReadQuery(const evhttp_uri* uri, Request* request) {
  const char* query = evhttp_uri_get_query(uri);
  if (query == nullptr) {
    return;
  }
  evkeyvalq parameters{};
  if (evhttp_parse_query_str(query, &parameters) != 0) {
    return;
  }
  for (const evkeyval* parameter = parameters.tqh_first; parameter != nullptr;
       parameter = parameter->next.tqe_next) {
    request->query[parameter->key] = parameter->value;
  }
  evhttp_clear_headers(&parameters);
}

// Frees the buffer as it is copied, so that a large body is not held twice.
void MoveBody(evbuffer* from, std::string* to) {
  to->reserve(evbuffer_get_length(from));
  while (evbuffer_get_length(from) > 0) {
    evbuffer_iovec span{};
    evbuffer_peek(from, -1, nullptr, &span, 1);
    to->append(static_cast<const char*>(span.iov_base), span.iov_len);
    evbuffer_drain(from, span.iov_len);
  }
}

Request ReadRequest(evhttp_request* native, Method method) {
  Request request;
  request.method = method;
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(native);
  const char* path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
  request.path = path == nullptr || *path == '\0' ? "/" : path;
  const char* query = uri == nullptr ? nullptr : evhttp_uri_get_query(uri);
  request.target = request.path;
  if (query != nullptr) {
    request.target += std::string("?") + query;
  }
  ReadHeaders(native, &request);
  if (uri != nullptr) {
    ReadQuery(uri, &request);
  }
  MoveBody(evhttp_request_get_input_buffer(native), &request.body);
  return request;
}

timeval ToTimeval(std::chrono::milliseconds duration) {
  timeval result{};
  result.tv_sec = static_cast<time_t>(duration.count() / 1000);
  result.tv_usec = static_cast<suseconds_t>((duration.count() % 1000) * 1000);
  return result;
}

// Frees a request that evhttp has detached from its connection. evhttp does so
// when the connection fails while a response is being sent, and does not free
// the request itself.
void FreeIfDetached(evhttp_request* request) {
  if (evhttp_request_get_connection(request) == nullptr) {
    evhttp_request_free(request);
  }
}

// A connection that is scheduled to be closed, unless evhttp closes it first.
struct PendingClose {
  evhttp_connection* connection = nullptr;
  evhttp_request* request = nullptr;
  std::shared_ptr<ConnectionGuard> guard;
  /// Whether the caller must see a reset, as the end of the connection would
  /// look like the end of the response.
  bool reset = false;

  static void OnClosed(evhttp_connection* closed, void* argument) {
    auto* pending = static_cast<PendingClose*>(argument);
    if (pending->guard != nullptr) {
      pending->guard->OnClosed(closed);
    }
    pending->connection = nullptr;
    FreeIfDetached(pending->request);
  }
  void Close() const {
    if (connection == nullptr) {
      return;
    }
    if (reset) {
      // Not SO_LINGER: evhttp shuts the connection down before it closes it.
      const sockaddr disconnect{.sa_family = AF_UNSPEC, .sa_data = {}};
      const int fd =
          bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
      if (connect(fd, &disconnect, sizeof(disconnect)) != 0) {
        base::LogWarning("http.server",
                         std::string("cannot reset a connection: ") +
                             std::generic_category().message(errno));
      }
    }
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    if (guard != nullptr) {
      guard->OnClosed(connection);
    }
    evhttp_connection_free(connection);
  }
};

// HTTP/1.0 has no chunks: a response without a length ends with its connection.
bool IsDelimitedByClose(const evhttp_request* native) {
  return native->major < 1 || (native->major == 1 && native->minor < 1);
}

struct BufferDeleter {
  void operator()(evbuffer* buffer) const { evbuffer_free(buffer); }
};
using Buffer = std::unique_ptr<evbuffer, BufferDeleter>;

Buffer MakeBuffer(std::string_view content) {
  Buffer buffer(evbuffer_new());
  evbuffer_add(buffer.get(), content.data(), content.size());
  return buffer;
}

}  // namespace

std::optional<std::string> Request::header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::string> Request::parameter(const std::string& name) const {
  const auto found = query.find(name);
  return found == query.end() ? std::nullopt : std::optional(found->second);
}

Exchange::Exchange(base::EventLoop& loop, evhttp_request* native,
                   Request request)
    : loop_(loop), native_(native), request_(std::move(request)) {}

Exchange::~Exchange() {
  if (caller_event_ != nullptr) {
    event_free(caller_event_);
  }
}

// Detects that the caller disconnects. evhttp does not, because it stops
// reading from the connection until the response is sent.
void Exchange::MonitorCaller() {
  bufferevent* stream =
      evhttp_connection_get_bufferevent(evhttp_request_get_connection(native_));
  // Disables Nagle's algorithm, which delays a small chunk until the previous
  // one is acknowledged.
  const int no_delay = 1;
  setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &no_delay,
             sizeof(no_delay));
  StartCallerEvent(bufferevent_getfd(stream), EV_READ | EV_CLOSED);
  evhttp_connection_set_closecb(
      evhttp_request_get_connection(native_),
      [](evhttp_connection* closed, void* argument) {
        auto* self = static_cast<Exchange*>(argument);
        if (self->guard_ != nullptr) {
          self->guard_->OnClosed(closed);
        }
        self->OnConnectionClosed();
      },
      this);
}

void Exchange::StartCallerEvent(int fd, int events) {
  if (caller_event_ != nullptr) {
    event_free(caller_event_);
  }
  caller_event_ = event_new(
      loop_.base(), fd, static_cast<base::EventFlags>(events),
      [](evutil_socket_t ready_fd, base::EventFlags ready_events,
         void* argument) {
        static_cast<Exchange*>(argument)->shared_from_this()->OnCallerEvent(
            ready_fd, ready_events);
      },
      this);
  event_add(caller_event_, nullptr);
}

// A reset is reported as readable without EV_CLOSED, like a pipelined request,
// so a peek at the socket distinguishes the two.
void Exchange::OnCallerEvent(int fd, int events) {
  char byte = 0;
  const bool next_request =
      (events & EV_CLOSED) == 0 &&
      recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
  if (next_request) {
    StartCallerEvent(fd, EV_CLOSED);
  } else {
    OnCallerDisconnected();
  }
}

void Exchange::OnCallerDisconnected() {
  if (closed_ || native_ == nullptr) {
    return;
  }
  closed_ = true;
  on_disconnected_.emit();
  if (native_ != nullptr) {
    Abort();
  }
}

// Runs while evhttp closes the connection, which must not be freed here.
void Exchange::OnConnectionClosed() {
  const std::shared_ptr<Exchange> self_ref = shared_from_this();
  evhttp_request* native = native_;
  response_started_ = true;
  Detach();
  FreeIfDetached(native);
  closed_ = true;
  on_disconnected_.emit();
}

void Exchange::StopWatchingClose() {
  evhttp_connection* connection = evhttp_request_get_connection(native_);
  if (guard_ != nullptr) {
    guard_->WatchClose(connection);
  } else {
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
  }
}

void Exchange::Detach() {
  if (caller_event_ != nullptr) {
    event_free(caller_event_);
    caller_event_ = nullptr;
  }
  native_ = nullptr;
  if (on_detached_) {
    std::exchange(on_detached_, nullptr)();
  }
  self_.reset();
}

void Exchange::Reply(int status, std::string_view body,
                     const Headers& headers) {
  if (response_started_ || native_ == nullptr) {
    return;
  }
  response_started_ = true;
  const std::shared_ptr<Exchange> self_ref = shared_from_this();
  evkeyvalq* output = evhttp_request_get_output_headers(native_);
  for (const Header& header : headers) {
    evhttp_add_header(output, header.name.c_str(), header.value.c_str());
  }
  if (close_after_reply_) {
    evhttp_add_header(output, "Connection", "close");
  }
  StopWatchingClose();
  const Buffer buffer = MakeBuffer(body);
  evhttp_send_reply(native_, status, nullptr, buffer.get());
  Detach();
}

void Exchange::StartStream(int status, const Headers& headers) {
  if (response_started_ || native_ == nullptr) {
    return;
  }
  response_started_ = true;
  streaming_ = true;
  evkeyvalq* output = evhttp_request_get_output_headers(native_);
  for (const Header& header : headers) {
    evhttp_add_header(output, header.name.c_str(), header.value.c_str());
  }
  if (close_after_reply_) {
    evhttp_add_header(output, "Connection", "close");
  }
  evhttp_send_reply_start(native_, status, nullptr);
}

void Exchange::Write(std::string_view chunk) {
  if (!streaming_ || native_ == nullptr || chunk.empty()) {
    return;
  }
  const Buffer buffer = MakeBuffer(chunk);
  evhttp_send_reply_chunk(native_, buffer.get());
}

void Exchange::Finish() {
  if (!streaming_ || native_ == nullptr) {
    return;
  }
  const std::shared_ptr<Exchange> self_ref = shared_from_this();
  StopWatchingClose();
  evhttp_send_reply_end(native_);
  Detach();
}

void Exchange::Abort() {
  if (native_ == nullptr) {
    return;
  }
  const std::shared_ptr<Exchange> self_ref = shared_from_this();
  response_started_ = true;
  const auto pending = std::make_shared<PendingClose>();
  pending->connection = evhttp_request_get_connection(native_);
  pending->request = native_;
  pending->guard = guard_;
  pending->reset = streaming_ && IsDelimitedByClose(native_);
  evhttp_connection_set_closecb(pending->connection, PendingClose::OnClosed,
                                pending.get());
  Detach();
  // Closes the connection from the event loop, because Abort may run inside one
  // of its evhttp callbacks.
  loop_.Post([pending] { pending->Close(); });
}

Server::Server(base::EventLoop& loop, ServerLimits limits)
    : loop_(loop), limits_(limits), http_(evhttp_new(loop.base())) {
  if (http_ == nullptr) {
    throw std::runtime_error("cannot create the HTTP server");
  }
  evhttp_set_allowed_methods(http_, static_cast<ev_uint16_t>(EVHTTP_REQ_GET) |
                                        EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                        EVHTTP_REQ_DELETE);
  SetLimits(limits);
  limits_changed_ = false;
  evhttp_set_default_content_type(http_, "application/json");
  evhttp_set_gencb(http_, OnRequest, this);
  fallback_ = [](const std::shared_ptr<Exchange>& exchange) {
    exchange->Reply(kNotFound, kNoSuchPathBody);
  };
  oversize_ = [](const std::shared_ptr<Exchange>& exchange) {
    exchange->Reply(kPayloadTooLarge, kTooLargeBody);
  };
}

Server::~Server() {
  *alive_ = false;
  evhttp_free(http_);
}

void Server::SetLimits(const ServerLimits& limits) {
  limits_ = limits;
  limits_changed_ = true;
  evhttp_set_max_body_size(
      http_,
      static_cast<ev_ssize_t>(kMaxReadBodyFactor * limits.max_body_bytes));
  evhttp_set_max_headers_size(http_,
                              static_cast<ev_ssize_t>(limits.max_header_bytes));
  const timeval timeout = ToTimeval(limits.client_timeout);
  evhttp_set_timeout_tv(http_, &timeout);
}

bool Server::Listen(const Endpoint& endpoint) {
  socket_ = evhttp_bind_socket_with_handle(http_, endpoint.address.c_str(),
                                           endpoint.port);
  if (socket_ != nullptr && guard_ != nullptr &&
      guard_->budget().limits().bytes > 0) {
    // Accepted connections inherit it. What the kernel holds unread is memory
    // of the machine, and the default grows up to several megabytes.
    setsockopt(evhttp_bound_socket_get_fd(socket_), SOL_SOCKET, SO_RCVBUF,
               &kReceiveBufferBytes, sizeof(kReceiveBufferBytes));
  }
  return socket_ != nullptr;
}

void Server::SetGuard(std::shared_ptr<ConnectionGuard> guard,
                      bool protected_peer) {
  guard_ = std::move(guard);
  protected_peer_ = protected_peer;
  guard_check_ = [this](const Request& request,
                        std::optional<std::size_t> length) {
    return CheckHead(request, length);
  };
  evhttp_set_bevcb(
      http_,
      [](event_base* /*base*/, void* self) {
        auto* server = static_cast<Server*>(self);
        return server->guard_->CreateStream(server->guard_check_,
                                            server->protected_peer_);
      },
      this);
}

void Server::SetHeadCheck(HeadCheck check) { head_check_ = std::move(check); }

HeadVerdict Server::CheckHead(const Request& request,
                              std::optional<std::size_t> length) const {
  HeadVerdict verdict;
  verdict.max_body_bytes = limits_.max_body_bytes;
  if (FindHandler(request.method, request.path) == nullptr) {
    if (head_check_) {
      verdict = head_check_(request, length);
    } else {
      verdict.status = kNotFound;
      verdict.body = kNoSuchPathBody;
    }
  }
  if (verdict.status == 0 && length.value_or(0) > limits_.max_body_bytes) {
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

void Server::BeginDrain() { draining_ = true; }

void Server::StopAccepting() {
  if (socket_ != nullptr) {
    evhttp_del_accept_socket(http_, socket_);
    socket_ = nullptr;
  }
}

void Server::OnRequest(evhttp_request* native, void* self) {
  static_cast<Server*>(self)->Dispatch(native);
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

void Server::Dispatch(evhttp_request* native) {
  const std::optional<Method> method = MethodOf(native);
  if (!method.has_value()) {
    evhttp_send_error(native, HTTP_BADMETHOD, nullptr);
    return;
  }
  CloseWhenCutOff(bufferevent_getfd(evhttp_connection_get_bufferevent(
                      evhttp_request_get_connection(native))),
                  SocketSide::kServer);
  if (limits_changed_) {
    const timeval timeout = ToTimeval(limits_.client_timeout);
    evhttp_connection_set_timeout_tv(evhttp_request_get_connection(native),
                                     &timeout);
  }
  auto exchange =
      std::make_shared<Exchange>(loop_, native, ReadRequest(native, *method));
  exchange->self_ = exchange;
  exchange->close_after_reply_ = draining_;
  ++open_exchanges_;
  exchange->guard_ = guard_;
  const MemoryBudget::Id counted =
      guard_ == nullptr
          ? 0
          : guard_->OnRequest(evhttp_request_get_connection(native),
                              exchange->request().body.size());
  exchange->on_detached_ = [this, alive = alive_, guard = guard_, counted] {
    if (guard != nullptr) {
      guard->OnExchangeEnded(counted);
    }
    if (*alive) {
      --open_exchanges_;
    }
  };
  exchange->MonitorCaller();
  if (exchange->request().body.size() > limits_.max_body_bytes) {
    oversize_(exchange);
    return;
  }
  const Handler* handler = FindHandler(*method, exchange->request().path);
  (handler == nullptr ? fallback_ : *handler)(exchange);
}

}  // namespace mulberryroad::http
