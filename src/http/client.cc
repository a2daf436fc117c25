#include "http/client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <utility>

#include "base/decision_log.h"
#include "http/socket_options.h"
#include "http/text.h"

namespace mulberryroad::http {

namespace {

// More than the requests that an upstream runs concurrently, so that a node
// that uses all of an upstream's capacity keeps its connections.
constexpr std::size_t kMaxIdlePerEndpoint = 64;
constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
// libevent reads at most this much from a connection at a time.
constexpr std::size_t kMaxReadBytes = 16U << 10U;
// Long enough that evhttp's timeout never fires before the timers of a call.
constexpr int kEvhttpTimeoutSeconds = 24 * 3600;

evhttp_cmd_type ToCommand(Method method) {
  switch (method) {
    case Method::kGet:
      return EVHTTP_REQ_GET;
    case Method::kPost:
      return EVHTTP_REQ_POST;
    case Method::kPut:
      return EVHTTP_REQ_PUT;
    case Method::kDelete:
      return EVHTTP_REQ_DELETE;
  }
  return EVHTTP_REQ_GET;
}

std::string TakeBytes(evbuffer* buffer) {
  std::string content(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, content.data(), content.size());
  return content;
}

constexpr std::string_view kConnectionClosed = "the connection was closed";
constexpr std::string_view kConnectionFailed = "the connection failed";

std::string_view ErrorMessage(evhttp_request_error error) {
  switch (error) {
    case EVREQ_HTTP_TIMEOUT:
      return "the connection timed out";
    case EVREQ_HTTP_EOF:
      return kConnectionClosed;
    case EVREQ_HTTP_INVALID_HEADER:
      return "the answer has a malformed header";
    case EVREQ_HTTP_BUFFER_ERROR:
      return kConnectionFailed;
    case EVREQ_HTTP_REQUEST_CANCEL:
      return "the request was cancelled";
    case EVREQ_HTTP_DATA_TOO_LONG:
      return "the answer is too long";
  }
  return kConnectionFailed;
}

// Idle timeout if the server does not send one in a Keep-Alive header.
constexpr std::chrono::milliseconds kDefaultKeepAlive{60'000};
// A request sent while the server closes the idle connection would be lost.
constexpr std::chrono::milliseconds kKeepAliveMargin{500};

// Returns the idle timeout of the server's Keep-Alive header, less a margin.
std::chrono::milliseconds ParseKeepAlive(const Response& response) {
  const auto found = response.headers.find("keep-alive");
  if (found == response.headers.end()) {
    return kDefaultKeepAlive;
  }
  constexpr std::string_view kTimeoutParameter = "timeout=";
  const std::size_t position = found->second.find(kTimeoutParameter);
  if (position == std::string::npos) {
    return kDefaultKeepAlive;
  }
  const std::chrono::seconds server_timeout(
      std::strtol(found->second.c_str() + position + kTimeoutParameter.size(),
                  nullptr, 10));
  return std::max(std::chrono::milliseconds(0),
                  std::chrono::milliseconds(server_timeout) - kKeepAliveMargin);
}

}  // namespace

/// Owns an evhttp connection, which it closes on destruction.
class Client::Connection {
 public:
  Connection(event_base* base, const Endpoint& endpoint)
      : native_(evhttp_connection_base_new(
            base, nullptr, endpoint.address.c_str(), endpoint.port)) {
    evhttp_connection_set_timeout(native_, kEvhttpTimeoutSeconds);
    evhttp_connection_set_retries(native_, 0);
    evhttp_connection_set_max_headers_size(
        native_, static_cast<ev_ssize_t>(kMaxResponseHeadBytes));
    evhttp_connection_set_closecb(
        native_,
        [](evhttp_connection*, void* self) {
          static_cast<Connection*>(self)->broken_ = true;
        },
        this);
  }
  ~Connection() {
    evhttp_connection_set_closecb(native_, nullptr, nullptr);
    evhttp_connection_free(native_);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  evhttp_connection* native() const { return native_; }
  bool broken() const { return broken_; }
  /// Sets the options of the socket once it is connected.
  void SetOptionsOnce() {
    if (!std::exchange(has_options_, true)) {
      CloseWhenCutOff(
          bufferevent_getfd(evhttp_connection_get_bufferevent(native_)),
          SocketSide::kClient);
    }
  }
  bool HasUnreadBytes() const {
    return evbuffer_get_length(bufferevent_get_input(
               evhttp_connection_get_bufferevent(native_))) > 0;
  }

 private:
  evhttp_connection* native_;
  bool broken_ = false;
  bool has_options_ = false;
};

/// Idle connections by endpoint.
class Client::Pool {
 public:
  explicit Pool(base::EventLoop& loop) : loop_(loop) {}

  base::EventLoop& loop() { return loop_; }

  // Reuses the connection that was idle the longest, so that with bursts of
  // varying size no connection reaches its idle timeout.
  std::unique_ptr<Connection> Acquire(const Endpoint& endpoint, bool fresh) {
    auto& idle = idle_[endpoint];
    while (!fresh && !idle.empty()) {
      IdleConnection candidate = std::move(idle.front());
      idle.pop_front();
      if (!candidate.connection->broken() &&
          !candidate.connection->HasUnreadBytes() &&
          std::chrono::steady_clock::now() < candidate.usable_until) {
        return std::move(candidate.connection);
      }
    }
    return std::make_unique<Connection>(loop_.base(), endpoint);
  }

  void Release(const Endpoint& endpoint, std::unique_ptr<Connection> connection,
               std::chrono::milliseconds keep_alive) {
    auto& idle = idle_[endpoint];
    const bool usable = !connection->broken() && !connection->HasUnreadBytes();
    if (usable && idle.size() < kMaxIdlePerEndpoint) {
      idle.push_back({std::move(connection),
                      std::chrono::steady_clock::now() + keep_alive});
    }
  }

  void CloseIdleConnections(const Endpoint& endpoint) { idle_.erase(endpoint); }

 private:
  struct IdleConnection {
    std::unique_ptr<Connection> connection;
    /// The server may close the connection after this time.
    std::chrono::steady_clock::time_point usable_until;
  };

  base::EventLoop& loop_;
  std::map<Endpoint, std::deque<IdleConnection>> idle_;
};

class Client::ActiveCall final
    : public Call,
      public std::enable_shared_from_this<ActiveCall> {
 public:
  ActiveCall(std::shared_ptr<Pool> pool, ClientRequest request,
             ResultCallback on_done, OnChunk on_chunk, OnHead on_head)
      : pool_(std::move(pool)),
        request_(std::move(request)),
        on_done_(std::move(on_done)),
        on_chunk_(std::move(on_chunk)),
        on_head_(std::move(on_head)) {}

  void Start() {
    self_ = shared_from_this();
    connection_ = pool_->Acquire(request_.endpoint, request_.fresh_connection);
    output_ = bufferevent_get_output(
        evhttp_connection_get_bufferevent(connection_->native()));
    output_callback_ = evbuffer_add_cb(output_, OnOutputChanged, this);
    input_ = bufferevent_get_input(
        evhttp_connection_get_bufferevent(connection_->native()));
    input_callback_ = evbuffer_add_cb(input_, OnInputChanged, this);
    evhttp_connection_set_max_body_size(
        connection_->native(), static_cast<ev_ssize_t>(max_body_bytes()));
    request_timer_ = pool_->loop().After(
        request_.timeout, [this] { Fail("the request timed out"); });
    connect_timer_ = pool_->loop().After(
        request_.connect_timeout, [this] { Fail("connecting timed out"); });
    StartRequest();
  }

  void Cancel() override {
    if (!finished_) {
      ResetOnClose();
      Finish();
    }
  }

  bool sent() const override { return sent_; }

 private:
  void StartRequest() {
    // evhttp writes the target as it is and drops malformed headers.
    const bool valid =
        IsRequestTarget(request_.path) &&
        std::all_of(request_.headers.begin(), request_.headers.end(),
                    [](const Header& header) {
                      return IsHeaderName(header.name) &&
                             IsHeaderValue(header.value);
                    });
    if (!valid) {
      base::LogWarning("http.client",
                       "not sent to " + ToString(request_.endpoint) +
                           ": the target or a header is malformed");
      FailLater("the target or a header is malformed");
      return;
    }
    evhttp_request* native = evhttp_request_new(OnResponse, this);
    evhttp_request_set_error_cb(native, OnError);
    if (on_chunk_) {
      evhttp_request_set_chunked_cb(native, OnBodyChunk);
    }
    evhttp_request_set_header_cb(native, OnHeaders);
    evkeyvalq* headers = evhttp_request_get_output_headers(native);
    for (const Header& header : request_.headers) {
      evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    }
    if (evhttp_find_header(headers, "Host") == nullptr) {
      evhttp_add_header(headers, "Host", ToString(request_.endpoint).c_str());
    }
    if (!request_.body.empty()) {
      // evhttp sets the length of bodies of POST and PUT only.
      evhttp_add_header(headers, "Content-Length",
                        std::to_string(request_.body.size()).c_str());
      // Not copied: the buffer owns the body, which is sent once.
      auto* body = new std::string(std::move(request_.body));
      evbuffer_add_reference(
          evhttp_request_get_output_buffer(native), body->data(), body->size(),
          [](const void*, std::size_t, void* sent) {
            delete static_cast<std::string*>(sent);
          },
          body);
    }
    if (evhttp_make_request(connection_->native(), native,
                            ToCommand(request_.method),
                            request_.path.c_str()) != 0) {
      FailLater("the request could not be started");
    }
  }

  void FailLater(std::string reason) {
    pool_->loop().Post([self = shared_from_this(), reason = std::move(reason)] {
      self->Fail(reason);
    });
  }

  static void OnOutputChanged(evbuffer* /*buffer*/,
                              const evbuffer_cb_info* info, void* argument) {
    auto* self = static_cast<ActiveCall*>(argument);
    if (self->withdrawn_) {
      return;
    }
    if (info->n_deleted > 0 && !self->sent_) {
      self->sent_ = true;
      self->connect_timer_.Cancel();
    }
    const bool first_bytes = info->n_added > 0 && info->orig_size == 0;
    if (first_bytes) {
      self->connection_->SetOptionsOnce();
    }
    if (first_bytes && !self->sent_ && self->request_.may_write &&
        !self->request_.may_write()) {
      // evhttp enables writing after this callback; only the socket itself can
      // still prevent that the bytes are sent.
      self->withdrawn_ = true;
      shutdown(self->fd(), SHUT_RDWR);
      self->FailLater("the request was withdrawn before it was written");
    }
  }

  // evhttp reads a status as far as its characters are digits, so that "2?0" is
  // status 2.
  void CheckStatusLine() {
    if (status_line_checked_) {
      return;
    }
    std::size_t end_length = 0;
    const evbuffer_ptr end =
        evbuffer_search_eol(input_, nullptr, &end_length, EVBUFFER_EOL_CRLF);
    if (end.pos < 0) {
      return;
    }
    status_line_checked_ = true;
    std::string line(static_cast<std::size_t>(end.pos), '\0');
    evbuffer_copyout(input_, line.data(), line.size());
    if (!internal::IsStatusLine(line)) {
      Reject("the status line is malformed");
    }
  }

  void Reject(const char* reason) {
    answer_rejected_ = true;
    shutdown(fd(), SHUT_RDWR);
    FailLater(reason);
  }

  // evhttp limits neither the number of interim responses, whose headers it
  // collects, nor the line that holds the length of a chunk.
  static void OnInputChanged(evbuffer* /*buffer*/, const evbuffer_cb_info* info,
                             void* argument) {
    auto* self = static_cast<ActiveCall*>(argument);
    if (self->finished_ || self->answer_rejected_) {
      return;
    }
    if (!self->head_received_) {
      self->head_bytes_ += info->n_added;
    }
    if (info->n_added > 0) {
      self->CheckStatusLine();
    }
    const std::size_t unparsed =
        info->orig_size + info->n_added - info->n_deleted;
    // The first part of the body may arrive together with the head.
    const bool head_too_long =
        !self->head_received_ &&
        self->head_bytes_ > kMaxResponseHeadBytes + kMaxReadBytes;
    if (head_too_long ||
        unparsed > self->request_.max_response_bytes + kMaxResponseHeadBytes) {
      self->Reject("the answer is too long");
    }
  }

  static void OnError(evhttp_request_error error, void* argument) {
    static_cast<ActiveCall*>(argument)->error_ = ErrorMessage(error);
  }

  static void OnBodyChunk(evhttp_request* native, void* argument) {
    auto* self = static_cast<ActiveCall*>(argument);
    const std::string chunk =
        TakeBytes(evhttp_request_get_input_buffer(native));
    if (!self->finished_ && !self->answer_rejected_ && !chunk.empty()) {
      const std::shared_ptr<ActiveCall> self_ref = self->shared_from_this();
      if (!self->on_chunk_(evhttp_request_get_response_code(native), chunk)) {
        self->FailLater("the body was rejected");
      }
    }
  }

  static int OnHeaders(evhttp_request* native, void* argument) {
    auto* self = static_cast<ActiveCall*>(argument);
    const int status = evhttp_request_get_response_code(native);
    if (self->finished_ || self->answer_rejected_) {
      return 0;
    }
    if (status >= kFirstStatus && status < kFirstFinalStatus) {
      // The status line of the next response may be received already.
      self->status_line_checked_ = false;
      self->CheckStatusLine();
      return 0;
    }
    if (status < kFirstStatus || status > kLastStatus) {
      self->Reject("the status is no HTTP status");
      return 0;
    }
    self->head_received_ = true;
    if (self->on_head_) {
      const std::shared_ptr<ActiveCall> self_ref = self->shared_from_this();
      self->on_head_(ReadResponse(native));
    }
    return 0;
  }

  static void OnResponse(evhttp_request* native, void* argument) {
    auto* self = static_cast<ActiveCall*>(argument);
    if (self->finished_ || self->answer_rejected_) {
      return;
    }
    if (native == nullptr ||
        evhttp_request_get_response_code(native) < kFirstFinalStatus) {
      self->connection_lost_ =
          !self->answer_rejected_ &&
          (self->error_.empty() || self->error_ == kConnectionClosed ||
           self->error_ == kConnectionFailed);
      self->FailLater(self->error_.empty() ? std::string(kConnectionFailed)
                                           : self->error_);
      return;
    }
    Response response = ReadResponse(native);
    // Without a length, a truncated response looks like a complete one.
    const bool has_length = response.headers.contains("content-length") ||
                            response.headers.contains("transfer-encoding") ||
                            response.status == HTTP_NOCONTENT;
    if (!has_length && !self->request_.accept_unframed) {
      self->FailLater("the answer has no length");
      return;
    }
    const auto connection = response.headers.find("connection");
    const bool foreign = self->request_.is_own_response &&
                         !self->request_.is_own_response(response);
    const bool close = !has_length || foreign ||
                       (connection != response.headers.end() &&
                        internal::LowerCase(connection->second) == "close");
    self->keep_alive_ = ParseKeepAlive(response);
    self->pool_->loop().Post([self_ref = self->shared_from_this(), close,
                              response = std::move(response)]() mutable {
      self_ref->Succeed(std::move(response), !close);
    });
  }

  static Response ReadResponse(evhttp_request* native) {
    Response response;
    response.status = evhttp_request_get_response_code(native);
    const evkeyvalq* headers = evhttp_request_get_input_headers(native);
    for (const evkeyval* header = headers->tqh_first; header != nullptr;
         header = header->next.tqe_next) {
      response.headers[internal::LowerCase(header->key)] = header->value;
    }
    response.body = TakeBytes(evhttp_request_get_input_buffer(native));
    return response;
  }

  // Called from the event loop, never inside an evhttp callback.
  void Succeed(Response response, bool reusable) {
    if (finished_) {
      return;
    }
    const std::shared_ptr<ActiveCall> self_ref = shared_from_this();
    const ResultCallback done = Finish();
    if (reusable) {
      // Releases the connection before the callback runs, so that a request
      // sent by the callback can reuse it.
      pool_->Release(request_.endpoint, std::move(connection_), keep_alive_);
    }
    done(std::move(response));
  }

  void Fail(const std::string& reason) {
    if (finished_) {
      return;
    }
    const Verdict verdict = sent_ ? Verdict::kMayHaveRun : Verdict::kNotRun;
    ResetOnClose();
    const ResultCallback done = Finish();
    done(Failure{verdict, reason, connection_lost_});
  }

  std::size_t max_body_bytes() const {
    return on_chunk_ ? kMaxStreamBytes : request_.max_response_bytes;
  }

  evutil_socket_t fd() const {
    return bufferevent_getfd(
        evhttp_connection_get_bufferevent(connection_->native()));
  }

  // Makes the closing of the connection discard what was not delivered. An
  // abandoned request that a partition holds back would otherwise be executed
  // once the partition ends.
  void ResetOnClose() {
    const linger discard{.l_onoff = 1, .l_linger = 0};
    if (connection_ != nullptr && fd() >= 0) {
      setsockopt(fd(), SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
    }
  }

  // Ends the call and returns on_done_. A connection that is not returned to
  // the pool is closed from the event loop, because Finish may run inside one
  // of the connection's evhttp callbacks.
  ResultCallback Finish() {
    finished_ = true;
    request_timer_.Cancel();
    connect_timer_.Cancel();
    evbuffer_remove_cb_entry(output_, output_callback_);
    evbuffer_remove_cb_entry(input_, input_callback_);
    pool_->loop().Post(
        [self = shared_from_this()] { self->connection_.reset(); });
    self_.reset();
    on_chunk_ = on_chunk_ ? OnChunk([](int, std::string_view) { return true; })
                          : nullptr;
    on_head_ = on_head_ ? OnHead([](const Response&) {}) : nullptr;
    return std::exchange(on_done_, nullptr);
  }

  std::shared_ptr<Pool> pool_;
  ClientRequest request_;
  ResultCallback on_done_;
  OnChunk on_chunk_;
  OnHead on_head_;
  std::chrono::milliseconds keep_alive_ = kDefaultKeepAlive;
  std::unique_ptr<Connection> connection_;
  evbuffer* output_ = nullptr;
  evbuffer_cb_entry* output_callback_ = nullptr;
  evbuffer* input_ = nullptr;
  evbuffer_cb_entry* input_callback_ = nullptr;
  // Bytes received before the end of the head.
  std::size_t head_bytes_ = 0;
  bool head_received_ = false;
  bool status_line_checked_ = false;
  // The answer exceeded a limit.
  bool answer_rejected_ = false;
  base::Timer request_timer_;
  base::Timer connect_timer_;
  std::string error_;
  bool connection_lost_ = false;
  bool sent_ = false;
  // may_write returned false; what evhttp discards was not sent.
  bool withdrawn_ = false;
  bool finished_ = false;
  // Set until the call ends.
  std::shared_ptr<ActiveCall> self_;
};

Client::Client(base::EventLoop& loop) : pool_(std::make_shared<Pool>(loop)) {}

Client::~Client() = default;

std::shared_ptr<Call> Client::Send(ClientRequest request,
                                   ResultCallback on_done, OnChunk on_chunk,
                                   OnHead on_head) {
  auto call = std::make_shared<ActiveCall>(
      pool_, std::move(request), std::move(on_done), std::move(on_chunk),
      std::move(on_head));
  call->Start();
  return call;
}

void Client::CloseIdleConnections(const Endpoint& endpoint) {
  pool_->CloseIdleConnections(endpoint);
}

}  // namespace mulberryroad::http
