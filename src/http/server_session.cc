#include "http/server_session.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <ctime>
#include <utility>
#include <variant>

#include "base/decision_log.h"
#include "http/socket_options.h"
#include "http/text.h"

namespace mulberryroad::http {

namespace {

using std::chrono::milliseconds;

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kServiceUnavailable = 503;
constexpr int kFirstFinalStatus = 200;
constexpr char kDefaultContentType[] = "application/json";
constexpr char kRetryAfterSeconds[] = "1.000";
// A running request holds its body as the caller sent it and, while an upstream
// reads it, as it is sent.
constexpr std::size_t kBodyCopies = 2;
// Its headers are held by the exchange, the session, the attempt and the HTTP
// client.
constexpr std::size_t kHeadCopies = 4;

// Returns what a request holds while it runs.
std::size_t RunningBytes(std::size_t body_bytes, std::size_t head_bytes) {
  return kBodyCopies * body_bytes + kHeadCopies * head_bytes;
}

timeval ToTimeval(milliseconds duration) {
  timeval result{};
  result.tv_sec = static_cast<time_t>(duration.count() / 1000);
  result.tv_usec = static_cast<suseconds_t>((duration.count() % 1000) * 1000);
  return result;
}

HeadVerdict NotRun(int status, const std::string& error) {
  HeadVerdict verdict;
  verdict.status = status;
  verdict.body = R"({"error":")" + error + R"(","verdict":"not run"})";
  if (status == kServiceUnavailable) {
    verdict.headers.push_back({"Retry-After", kRetryAfterSeconds});
  }
  return verdict;
}

bool HasBody(int status) {
  return status >= kFirstFinalStatus && status != kNoContent &&
         status != kNotModified;
}

// Returns whether headers have a field; ignores the case of its name.
bool Contains(const Headers& headers, const std::string& lower_case_name) {
  return std::any_of(headers.begin(), headers.end(), [&](const Header& header) {
    return internal::LowerCase(header.name) == lower_case_name;
  });
}

// Returns the time in the form of the Date field (RFC 9110, section 5.6.7).
std::string DateText() {
  const std::time_t now = std::time(nullptr);
  std::tm utc{};
  gmtime_r(&now, &utc);
  char text[32];
  const std::size_t length =
      std::strftime(text, sizeof(text), "%a, %d %b %Y %H:%M:%S GMT", &utc);
  return {text, length};
}

// Drops fields that would end the head or add to it.
void RemoveMalformed(Headers* headers) {
  std::erase_if(*headers, [](const Header& header) {
    const bool valid = IsHeaderName(header.name) && IsHeaderValue(header.value);
    if (!valid) {
      base::LogWarning("http.server",
                       "a malformed response header is left out");
    }
    return !valid;
  });
}

CloseReason ReasonOf(int status) {
  return status == kPayloadTooLarge ? CloseReason::kBodyTooLarge
                                    : CloseReason::kNotAdmitted;
}

}  // namespace

/// Acts on the next element of a request.
/// @return whether to read on
struct ServerSession::ElementHandler {
  ServerSession& session;

  bool operator()(const NeedMore& /*element*/) const {
    if (session.state_ == State::kBody && !session.head_checked_ &&
        session.CheckHead() && session.head_.expects_continue &&
        session.body_.empty()) {
      constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
      evbuffer_add(session.output(), kContinue.data(), kContinue.size());
    }
    return false;
  }
  bool operator()(RequestParser::Head& head) const {
    session.OnHead(std::move(head));
    return true;
  }
  bool operator()(const BodyPart& part) const {
    session.OnBodyPart(part.bytes);
    return true;
  }
  bool operator()(const MessageEnd& /*element*/) const {
    session.Dispatch();
    return false;
  }
  bool operator()(const RequestParser::Malformed& malformed) const {
    session.Refuse(NotRun(malformed.status, malformed.reason),
                   CloseReason::kMalformed);
    return false;
  }
};

ServerSession::ServerSession(std::shared_ptr<ServerContext> context, int socket)
    : context_(std::move(context)),
      stream_(bufferevent_socket_new(context_->loop.base(), socket,
                                     /*options=*/0)),
      parser_(std::in_place, context_->limits.max_header_bytes) {}

ServerSession::~ServerSession() { Close(); }

evbuffer* ServerSession::input() const {
  return bufferevent_get_input(stream_);
}

evbuffer* ServerSession::output() const {
  return bufferevent_get_output(stream_);
}

int ServerSession::fd() const { return bufferevent_getfd(stream_); }

void ServerSession::Start() {
  const std::shared_ptr<ServerSession> self = shared_from_this();
  context_->sessions.insert(self);
  // Nagle's algorithm delays a small chunk until the previous one is
  // acknowledged.
  const int no_delay = 1;
  setsockopt(fd(), IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
  CloseWhenCutOff(fd(), SocketSide::kServer);
  bufferevent_setcb(stream_, OnReadable, OnWritten, OnEvent, this);
  if (context_->guard != nullptr) {
    id_ = context_->guard->Open(
        context_->protected_peer,
        {[this](CloseReason reason) { OnGuardCloses(reason); },
         [this] { Measure(); }});
    context_->guard->CloseExcess();
  }
  if (state_ != State::kClosed) {
    BeginRequest();
  }
}

void ServerSession::Close() {
  if (state_ == State::kClosed) {
    return;
  }
  state_ = State::kClosed;
  StopWatchingClient();
  linger_timer_.Cancel();
  if (context_->guard != nullptr) {
    context_->guard->Close(id_);
  }
  FreeAndClose(stream_);
  if (const auto exchange = std::exchange(exchange_, nullptr)) {
    exchange->OnConnectionClosed();
  }
  // The last reference may be the one of the context.
  const auto held = context_->sessions.extract(weak_from_this().lock());
}

void ServerSession::OnReadable(bufferevent* /*stream*/, void* self) {
  const auto session = static_cast<ServerSession*>(self)->shared_from_this();
  if (session->state_ == State::kLingering) {
    session->DiscardInput();
  } else {
    session->ReadElements();
  }
}

void ServerSession::OnWritten(bufferevent* /*stream*/, void* self) {
  const auto session = static_cast<ServerSession*>(self)->shared_from_this();
  if (session->state_ == State::kWriting) {
    session->OnResponseSent();
  } else if (session->state_ == State::kLingering) {
    shutdown(session->fd(), SHUT_WR);
  }
}

void ServerSession::OnEvent(bufferevent* /*stream*/, base::EventFlags events,
                            void* self) {
  const auto session = static_cast<ServerSession*>(self)->shared_from_this();
  if ((events & BEV_EVENT_TIMEOUT) != 0 && (events & BEV_EVENT_READING) != 0) {
    session->OnTimeout();
  } else {
    session->Close();
  }
}

void ServerSession::OnTimeout() {
  if (state_ == State::kBody ||
      (state_ == State::kHead && parser_->started())) {
    Refuse(NotRun(kRequestTimeout, "the request did not arrive in time"),
           CloseReason::kBodyTimeout);
  } else {
    Close();
  }
}

void ServerSession::BeginRequest() {
  if (timeout_ != context_->limits.client_timeout) {
    timeout_ = context_->limits.client_timeout;
    const timeval timeout = ToTimeval(timeout_);
    bufferevent_set_timeouts(stream_, &timeout, &timeout);
  }
  parser_.emplace(context_->limits.max_header_bytes);
  head_checked_ = false;
  running_bytes_ = 0;
  unread_bytes_ = 0;
  streaming_ = false;
  SetState(State::kHead);
  bufferevent_enable(stream_, EV_READ);
  // What was read behind the previous request.
  if (evbuffer_get_length(input()) > 0) {
    ReadElements();
  } else {
    CountHeld();
  }
}

// Counts what arrived before any of it is stored: the sum does not grow as
// bytes move from the input to the request.
void ServerSession::ReadElements() {
  CountHeld();
  bool read_on = true;
  while (read_on && reading()) {
    const std::size_t available = evbuffer_get_length(input());
    const char* bytes =
        available == 0
            ? ""
            : reinterpret_cast<const char*>(evbuffer_pullup(input(), -1));
    std::size_t consumed = 0;
    auto element = parser_->Read(std::string_view(bytes, available), &consumed);
    read_on = std::visit(ElementHandler{*this}, element);
    if (state_ != State::kClosed) {
      evbuffer_drain(input(), std::min(consumed, evbuffer_get_length(input())));
    }
  }
  if (reading()) {
    if (state_ == State::kHead && parser_->started()) {
      SetPhase(ConnectionPhase::kHead);
    }
    CountHeld();
  }
}

void ServerSession::OnHead(RequestParser::Head head) {
  head_ = std::move(head);
  close_after_response_ = !head_.keep_alive;
  max_body_bytes_ = context_->limits.max_body_bytes;
  body_.clear();
  SetState(State::kBody);
}

bool ServerSession::CheckHead() {
  head_checked_ = true;
  HeadVerdict verdict = context_->check_head(head_.request, head_.body_bytes);
  if (verdict.status != 0) {
    Refuse(verdict, ReasonOf(verdict.status));
    return false;
  }
  max_body_bytes_ = verdict.max_body_bytes;
  const std::size_t length = head_.body_bytes.value_or(0);
  if (body_.size() > max_body_bytes_) {
    Refuse(NotRun(kPayloadTooLarge, "the body is too large"),
           CloseReason::kBodyTooLarge);
    return false;
  }
  if (context_->guard != nullptr &&
      !context_->guard->budget().HasRoomFor(
          RunningBytes(length, parser_->stored_bytes()),
          context_->protected_peer)) {
    Refuse(NotRun(kServiceUnavailable, "try again later"),
           CloseReason::kNoMemory);
    return false;
  }
  // The memory is used as the body arrives.
  body_.reserve(length);
  return true;
}

void ServerSession::OnBodyPart(std::string_view bytes) {
  if (head_checked_ && body_.size() + bytes.size() > max_body_bytes_) {
    Refuse(NotRun(kPayloadTooLarge, "the body is too large"),
           CloseReason::kBodyTooLarge);
    return;
  }
  body_.append(bytes);
}

void ServerSession::Dispatch() {
  running_bytes_ = RunningBytes(body_.size(), parser_->stored_bytes());
  if (context_->guard != nullptr &&
      !context_->guard->budget().HasRoomFor(running_bytes_,
                                            context_->protected_peer)) {
    Refuse(NotRun(kServiceUnavailable, "try again later"),
           CloseReason::kNoMemory);
    return;
  }
  SetState(State::kRunning);
  if (context_->guard != nullptr && !context_->protected_peer) {
    context_->guard->CloseExcess();
    if (context_->guard->budget().HasExcessConnections()) {
      Refuse(NotRun(kServiceUnavailable, "try again later"),
             CloseReason::kTooManyConnections);
      return;
    }
  }
  close_after_response_ = close_after_response_ || context_->draining;
  head_.request.body = std::exchange(body_, {});
  WatchClient();
  bufferevent_disable(stream_, EV_READ);
  CountHeld();
  if (state_ == State::kClosed) {
    return;
  }
  exchange_ =
      std::make_shared<Exchange>(shared_from_this(), std::move(head_.request));
  context_->dispatch(exchange_);
}

// Detects that the client disconnects while nothing is read from it.
void ServerSession::WatchClient() {
  client_event_ = event_new(
      context_->loop.base(), fd(),
      static_cast<base::EventFlags>(EV_READ | EV_CLOSED),
      [](evutil_socket_t /*socket*/, base::EventFlags events, void* self) {
        static_cast<ServerSession*>(self)->shared_from_this()->OnClientEvent(
            events);
      },
      this);
  event_add(client_event_, nullptr);
}

void ServerSession::StopWatchingClient() {
  if (client_event_ != nullptr) {
    event_free(std::exchange(client_event_, nullptr));
  }
  client_poll_timer_.Cancel();
}

// A reset is reported as readable without EV_CLOSED, like a pipelined request,
// so a peek at the socket distinguishes the two.
void ServerSession::OnClientEvent(int events) {
  if (state_ != State::kRunning) {
    return;
  }
  char byte = 0;
  const bool next_request =
      (events & EV_CLOSED) == 0 &&
      recv(fd(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
  if (!next_request) {
    Close();
    return;
  }
  StopWatchingClient();
  client_poll_timer_ =
      context_->loop.Every(kClientPollInterval, [self = weak_from_this()] {
        if (const auto session = self.lock()) {
          session->PollClient();
        }
      });
}

// A reset cannot be waited for by an event: libevent reports it as readable, as
// are the unread bytes of the next request.
void ServerSession::PollClient() {
  pollfd client{fd(), POLLRDHUP, 0};
  if (state_ == State::kRunning && poll(&client, 1, /*timeout=*/0) > 0) {
    Close();
  }
}

void ServerSession::WriteHead(int status, Headers headers,
                              std::optional<std::size_t> body_bytes) {
  RemoveMalformed(&headers);
  // A handler may end the connection by the header.
  close_after_response_ =
      close_after_response_ ||
      std::any_of(headers.begin(), headers.end(), [](const Header& header) {
        return internal::LowerCase(header.name) == "connection" &&
               internal::LowerCase(header.value) == "close";
      });
  std::erase_if(headers, [](const Header& header) {
    return internal::LowerCase(header.name) == "connection";
  });
  std::string text =
      "HTTP/1." + std::to_string(head_.minor_version) + " " +
      std::to_string(status) + " " +
      std::string(boost::beast::http::obsolete_reason(
          boost::beast::http::int_to_status(static_cast<unsigned>(status)))) +
      "\r\n";
  if (!Contains(headers, "date")) {
    headers.push_back({"Date", DateText()});
  }
  if (HasBody(status) && !Contains(headers, "content-type")) {
    headers.push_back({"Content-Type", kDefaultContentType});
  }
  const bool has_length = Contains(headers, "content-length");
  if (body_bytes.has_value() && HasBody(status) && !has_length) {
    headers.push_back({"Content-Length", std::to_string(*body_bytes)});
  }
  chunked_ = !body_bytes.has_value() && HasBody(status) && !has_length &&
             head_.minor_version > 0;
  if (chunked_) {
    headers.push_back({"Transfer-Encoding", "chunked"});
  }
  // The end of the connection ends a response without a length or chunks.
  close_after_response_ =
      close_after_response_ ||
      (!body_bytes.has_value() && HasBody(status) && !has_length && !chunked_);
  if (close_after_response_) {
    headers.push_back({"Connection", "close"});
  } else if (head_.minor_version == 0) {
    headers.push_back({"Connection", "keep-alive"});
  }
  for (const Header& header : headers) {
    text += header.name + ": " + header.value + "\r\n";
  }
  text += "\r\n";
  evbuffer_add(output(), text.data(), text.size());
}

void ServerSession::Respond(int status, std::string_view body,
                            const Headers& headers) {
  if (state_ != State::kRunning) {
    return;
  }
  WriteHead(status, headers, body.size());
  if (HasBody(status)) {
    evbuffer_add(output(), body.data(), body.size());
  }
  EndResponse();
}

void ServerSession::StartStream(int status, const Headers& headers) {
  if (state_ == State::kRunning) {
    streaming_ = true;
    WriteHead(status, headers, std::nullopt);
    CountHeld();
  }
}

void ServerSession::WriteStream(std::string_view bytes) {
  if (state_ != State::kRunning || bytes.empty()) {
    return;
  }
  if (chunked_) {
    evbuffer_add_printf(output(), "%zx\r\n", bytes.size());
  }
  evbuffer_add(output(), bytes.data(), bytes.size());
  if (chunked_) {
    evbuffer_add(output(), "\r\n", 2);
  }
  CountHeld();
}

void ServerSession::FinishStream() {
  if (state_ != State::kRunning) {
    return;
  }
  if (chunked_) {
    constexpr std::string_view kLastChunk = "0\r\n\r\n";
    evbuffer_add(output(), kLastChunk.data(), kLastChunk.size());
  }
  EndResponse();
}

void ServerSession::EndResponse() {
  exchange_.reset();
  running_bytes_ = 0;
  SetState(State::kWriting);
  // Nothing is left to send of a stream whose last bytes were sent before.
  if (evbuffer_get_length(output()) == 0) {
    context_->loop.Post([self = shared_from_this()] {
      if (self->state_ == State::kWriting &&
          evbuffer_get_length(self->output()) == 0) {
        self->OnResponseSent();
      }
    });
  }
  CountHeld();
}

void ServerSession::OnResponseSent() {
  if (close_after_response_) {
    CloseBehindResponse();
    return;
  }
  // Before the client's event is removed, so that the kernel's set of watched
  // sockets changes once.
  bufferevent_enable(stream_, EV_READ);
  StopWatchingClient();
  BeginRequest();
}

void ServerSession::Abort() {
  if (state_ != State::kRunning) {
    return;
  }
  exchange_.reset();
  // In HTTP/1.0 the end of the connection would look like the end of the
  // response.
  if (streaming_ && head_.minor_version == 0) {
    const linger reset{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd(), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
  Close();
}

void ServerSession::Refuse(const HeadVerdict& verdict, CloseReason reason) {
  head_.minor_version = 1;
  close_after_response_ = true;
  // Assigning an empty string would keep the memory.
  std::string().swap(body_);
  running_bytes_ = 0;
  WriteHead(verdict.status, verdict.headers, verdict.body.size());
  evbuffer_add(output(), verdict.body.data(), verdict.body.size());
  Linger();
  if (context_->guard != nullptr) {
    context_->guard->Count(reason);
  }
}

void ServerSession::Linger() {
  SetState(State::kLingering);
  // A timeout of the stream ends reading.
  bufferevent_enable(stream_, EV_READ);
  linger_timer_ = context_->loop.After(
      kLingerTime, [self = shared_from_this()] { self->Close(); });
  DiscardInput();
}

bool ServerSession::HasUnreadBytes() const {
  int unread = 0;
  ioctl(fd(), FIONREAD, &unread);
  return unread > 0 || evbuffer_get_length(input()) > 0;
}

void ServerSession::CloseBehindResponse() {
  if (!HasUnreadBytes()) {
    Close();
    return;
  }
  StopWatchingClient();
  shutdown(fd(), SHUT_WR);
  Linger();
}

void ServerSession::DiscardInput() {
  evbuffer_drain(input(), evbuffer_get_length(input()));
  CountHeld();
}

void ServerSession::OnGuardCloses(CloseReason reason) {
  const std::shared_ptr<ServerSession> self = shared_from_this();
  const bool arriving =
      state_ == State::kBody || (state_ == State::kHead && parser_->started());
  if (arriving) {
    const bool late = reason == CloseReason::kHeadTimeout ||
                      reason == CloseReason::kBodyTimeout;
    Refuse(late ? NotRun(kRequestTimeout, "the request did not arrive in time")
                : NotRun(kServiceUnavailable, "try again later"),
           reason);
    if (reason != CloseReason::kTooManyConnections ||
        state_ == State::kClosed) {
      return;
    }
    // The socket's buffer is empty, so that the response is written at once.
    evbuffer_write(output(), fd());
  } else if (state_ != State::kLingering) {
    context_->guard->Count(reason);
  }
  Close();
}

// Counts what is unread while a request runs; otherwise everything is read as
// it arrives.
void ServerSession::Measure() {
  if (state_ == State::kRunning || state_ == State::kWriting) {
    int unread = 0;
    ioctl(fd(), FIONREAD, &unread);
    unread_bytes_ = static_cast<std::size_t>(std::max(unread, 0));
    CountHeld();
  }
}

void ServerSession::CountHeld() {
  if (context_->guard == nullptr) {
    return;
  }
  const std::size_t head = reading() ? parser_->stored_bytes() : 0;
  context_->guard->SetHeld(id_,
                           evbuffer_get_length(input()) + head + body_.size() +
                               running_bytes_ + unread_bytes_,
                           evbuffer_get_length(output()));
}

void ServerSession::SetState(State state) {
  state_ = state;
  switch (state) {
    case State::kHead:
    case State::kLingering:
      SetPhase(ConnectionPhase::kIdle);
      return;
    case State::kBody:
      SetPhase(ConnectionPhase::kBody);
      return;
    case State::kRunning:
      SetPhase(ConnectionPhase::kRunning);
      return;
    case State::kWriting:
      SetPhase(ConnectionPhase::kWriting);
      return;
    case State::kClosed:
      return;
  }
}

void ServerSession::SetPhase(ConnectionPhase phase) {
  if (context_->guard != nullptr) {
    context_->guard->SetPhase(id_, phase);
  }
}

}  // namespace mulberryroad::http
