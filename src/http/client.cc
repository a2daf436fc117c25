#include "http/client.h"

#include <event2/buffer.h>

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <utility>

#include "base/decision_log.h"
#include "http/client_connection.h"
#include "http/response_parser.h"
#include "http/text.h"

namespace mulberryroad::http {

namespace {

constexpr char kTooLong[] = "the answer is too long";

const char* MethodName(Method method) {
  switch (method) {
    case Method::kGet:
      return "GET";
    case Method::kPost:
      return "POST";
    case Method::kPut:
      return "PUT";
    case Method::kDelete:
      return "DELETE";
  }
  return "GET";
}

bool IsValid(const ClientRequest& request) {
  return IsRequestTarget(request.path) &&
         std::all_of(request.headers.begin(), request.headers.end(),
                     [](const Header& header) {
                       return IsHeaderName(header.name) &&
                              IsHeaderValue(header.value);
                     });
}

// Returns the request line and the header fields.
std::string FormatHead(const ClientRequest& request) {
  std::string head = std::string(MethodName(request.method)) + " " +
                     request.path + " HTTP/1.1\r\n";
  const auto add = [&head](std::string_view name, std::string_view value) {
    head.append(name).append(": ").append(value).append("\r\n");
  };
  bool has_host = false;
  for (const Header& header : request.headers) {
    const std::string name = internal::LowerCase(header.name);
    has_host = has_host || name == "host";
    // Content-Length is added below from the size of the body.
    if (name != "content-length" && name != "transfer-encoding") {
      add(header.name, header.value);
    }
  }
  if (!has_host) {
    add("Host", ToString(request.endpoint));
  }
  const bool expects_body =
      request.method == Method::kPost || request.method == Method::kPut;
  if (expects_body || !request.body.empty()) {
    add("Content-Length", std::to_string(request.body.size()));
  }
  return head + "\r\n";
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

/// What a client and its calls share.
struct Client::Shared {
  Shared(base::EventLoop& loop, ResponseMemory::Reserve reserve)
      : pool(loop), memory(std::move(reserve)) {}

  ConnectionPool pool;
  ResponseMemory memory;
};

class Client::ActiveCall final
    : public Call,
      public ClientConnection::User,
      public std::enable_shared_from_this<ActiveCall> {
 public:
  ActiveCall(std::shared_ptr<Shared> shared, ClientRequest request,
             ResultCallback on_done, OnChunk on_chunk, OnHead on_head)
      : shared_(std::move(shared)),
        request_(std::move(request)),
        on_done_(std::move(on_done)),
        on_chunk_(std::move(on_chunk)),
        on_head_(std::move(on_head)),
        parser_(kMaxResponseHeadBytes) {}

  void Start() {
    self_ = shared_from_this();
    request_timer_ = loop().After(request_.timeout,
                                  [this] { Fail("the request timed out"); });
    if (!IsValid(request_)) {
      base::LogWarning("http.client",
                       "not sent to " + ToString(request_.endpoint) +
                           ": the target or a header is malformed");
      FailLater("the target or a header is malformed");
      return;
    }
    memory_id_ = shared_->memory.Add([this] { OnEvicted(); });
    connect_timer_ = loop().After(request_.connect_timeout,
                                  [this] { Fail("connecting timed out"); });
    connection_ =
        shared_->pool.Acquire(request_.endpoint, request_.fresh_connection);
    connection_->SetUser(this);
    if (connection_->connected()) {
      WriteRequest();
    } else {
      connection_->Connect();
    }
    if (reading()) {
      // The receiver may hold events of earlier responses, after which this one
      // resumes.
      CountHeld();
    }
  }

  void Cancel() override {
    if (!finished_) {
      ResetOnClose();
      Finish();
    }
  }

  bool sent() const override { return sent_; }

 private:
  /// Acts on the next element of the response.
  /// @return whether to read on
  struct ElementHandler {
    ActiveCall& call;

    bool operator()(const NeedMore& /*element*/) const { return false; }
    bool operator()(ResponseParser::Head& head) const {
      return call.ReceiveHead(std::move(head));
    }
    bool operator()(const BodyPart& part) const {
      return call.ReceiveBodyPart(part.bytes);
    }
    bool operator()(const MessageEnd& /*element*/) const {
      call.Complete();
      return false;
    }
    bool operator()(const ResponseParser::Malformed& malformed) const {
      call.Reject("the answer is malformed: " + malformed.reason);
      return false;
    }
  };

  enum class State {
    /// The request is being sent, or its response received.
    kActive,
    /// The response is complete; Succeed follows.
    kComplete,
    /// Nothing more is read or written; Fail follows.
    kRejected,
  };

  base::EventLoop& loop() { return shared_->pool.loop(); }

  void OnConnected() override {
    if (!finished_ && state_ == State::kActive) {
      WriteRequest();
    }
  }

  void OnFirstByteSent() override {
    sent_ = true;
    connect_timer_.Cancel();
  }

  void OnClosed(const std::string& error) override {
    if (finished_ || state_ != State::kActive) {
      return;
    }
    if (error.empty() && parser_.CompleteAtClose()) {
      Complete();
      return;
    }
    connection_lost_ = true;
    Reject(error.empty() ? "the connection was closed"
                         : "the connection failed: " + error);
  }

  void WriteRequest() {
    if (request_.may_write && !request_.may_write()) {
      Reject("the request was withdrawn before it was written");
      return;
    }
    const std::string head = FormatHead(request_);
    connection_->Write(head, std::exchange(request_.body, {}));
  }

  void OnReadable() override {
    const std::shared_ptr<ActiveCall> self = shared_from_this();
    if (reading() && !sent_) {
      Reject("the server sent bytes before the request");
    }
    evbuffer* input = connection_->input();
    bool read_on = true;
    while (read_on && reading()) {
      const std::size_t available = evbuffer_get_length(input);
      const char* bytes =
          available == 0
              ? ""
              : reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
      std::size_t consumed = 0;
      auto element =
          parser_.Read(std::string_view(bytes, available), &consumed);
      read_on = std::visit(ElementHandler{*this}, element);
      evbuffer_drain(input, consumed);
    }
    if (reading()) {
      CountHeld();
    }
  }

  bool reading() const { return !finished_ && state_ == State::kActive; }

  // Returns whether to read on.
  bool ReceiveHead(ResponseParser::Head head) {
    // Without a length, a truncated response looks like a complete one.
    if (head.until_close && !request_.accept_unframed) {
      Reject("the answer has no length");
      return false;
    }
    if (head.body_bytes.value_or(0) > max_body_bytes()) {
      Reject(kTooLong);
      return false;
    }
    reusable_ = head.keep_alive;
    response_ = std::move(head.response);
    if (!on_chunk_) {
      // The memory is used as the body arrives.
      response_.body.reserve(
          static_cast<std::size_t>(head.body_bytes.value_or(0)));
    }
    if (on_head_) {
      on_head_(response_);
    }
    return true;
  }

  // Returns whether to read on.
  bool ReceiveBodyPart(std::string_view bytes) {
    body_bytes_ += bytes.size();
    if (body_bytes_ > max_body_bytes()) {
      Reject(kTooLong);
      return false;
    }
    if (!on_chunk_) {
      response_.body.append(bytes);
    } else if (!on_chunk_(response_.status, bytes) && reading()) {
      Reject("the body was rejected");
      return false;
    }
    return true;
  }

  void Complete() {
    state_ = State::kComplete;
    // The receiver counts the response from now on.
    shared_->memory.Remove(memory_id_);
    loop().Post([self = shared_from_this()] { self->Succeed(); });
  }

  // Counts what the client and the receiver of the chunks hold.
  void CountHeld() {
    const std::size_t receiver =
        request_.receiver_bytes ? request_.receiver_bytes() : 0;
    shared_->memory.Set(memory_id_, evbuffer_get_length(connection_->input()) +
                                        parser_.stored_bytes() +
                                        response_.body.size() + receiver);
  }

  // Called when the responses of all calls need too much memory and this one
  // needs the most.
  void OnEvicted() {
    base::LogWarning("http.client",
                     "a response from " + ToString(request_.endpoint) +
                         " is given up after " + std::to_string(body_bytes_) +
                         " bytes of its body: no memory");
    Reject("no memory for the answer");
  }

  void Reject(std::string reason) {
    state_ = State::kRejected;
    connection_->Stop();
    // Assigning an empty string would keep the memory.
    std::string().swap(response_.body);
    FailLater(std::move(reason));
  }

  void FailLater(std::string reason) {
    loop().Post([self = shared_from_this(), reason = std::move(reason)] {
      self->Fail(reason);
    });
  }

  void Succeed() {
    if (finished_ || state_ != State::kComplete) {
      return;
    }
    const std::shared_ptr<ActiveCall> self = shared_from_this();
    const bool foreign =
        request_.is_own_response && !request_.is_own_response(response_);
    const ResultCallback done = Finish();
    if (reusable_ && !foreign) {
      // Releases the connection before the callback runs, so that a request
      // sent by the callback can reuse it.
      shared_->pool.Release(request_.endpoint, std::move(connection_),
                            ParseKeepAlive(response_));
    }
    done(std::move(response_));
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

  void ResetOnClose() {
    if (connection_ != nullptr) {
      connection_->ResetOnClose();
    }
  }

  // Ends the call and returns on_done_. What may be in use by the caller of
  // this method is destroyed from the event loop.
  ResultCallback Finish() {
    finished_ = true;
    request_timer_.Cancel();
    connect_timer_.Cancel();
    shared_->memory.Remove(memory_id_);
    loop().Post([self = shared_from_this()] {
      self->connection_.reset();
      self->on_chunk_ = nullptr;
      self->on_head_ = nullptr;
      self->request_ = {};
    });
    self_.reset();
    return std::exchange(on_done_, nullptr);
  }

  std::shared_ptr<Shared> shared_;
  ClientRequest request_;
  ResultCallback on_done_;
  OnChunk on_chunk_;
  OnHead on_head_;
  ResponseParser parser_;
  std::unique_ptr<ClientConnection> connection_;
  /// 0 before the call is started.
  ResponseMemory::Id memory_id_ = 0;
  State state_ = State::kActive;
  /// The final response; its body only if no chunks are passed on.
  Response response_;
  std::size_t body_bytes_ = 0;
  /// Whether the server accepts another request on the connection.
  bool reusable_ = false;
  base::Timer request_timer_;
  base::Timer connect_timer_;
  bool connection_lost_ = false;
  bool sent_ = false;
  bool finished_ = false;
  // Set until the call ends.
  std::shared_ptr<ActiveCall> self_;
};

Client::Client(base::EventLoop& loop, ResponseMemory::Reserve reserve)
    : shared_(std::make_shared<Shared>(loop, std::move(reserve))) {}

Client::~Client() = default;

std::shared_ptr<Call> Client::Send(ClientRequest request,
                                   ResultCallback on_done, OnChunk on_chunk,
                                   OnHead on_head) {
  auto call = std::make_shared<ActiveCall>(
      shared_, std::move(request), std::move(on_done), std::move(on_chunk),
      std::move(on_head));
  call->Start();
  return call;
}

void Client::CloseIdleConnections(const Endpoint& endpoint) {
  shared_->pool.CloseIdleConnections(endpoint);
}

}  // namespace mulberryroad::http
