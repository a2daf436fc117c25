#include "http/connection_guard.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <malloc.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include "http/text.h"

namespace mulberryroad::http {

namespace {

using std::chrono::steady_clock;

constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kServiceUnavailable = 503;
// A running request holds its body as the caller sent it and, while an upstream
// reads it, as it is sent.
constexpr std::size_t kBodyCopies = 2;
// Freed bytes after which unused memory of the allocator is returned: freed
// buffers stay resident otherwise.
constexpr std::size_t kTrimBytes = 4U << 20U;
// evhttp closes connections with longer heads by itself.
constexpr std::size_t kMaxStoredHead = 256U << 10U;

// Bytes read ahead of a request whose body is not expected: while a response is
// written, evhttp goes on reading what the client pipelines, without a bound.
// Above the limit of a head, which evhttp checks itself.
constexpr std::size_t kMaxReadAhead = 96U << 10U;

// Bytes that evhttp holds for the content of a chunked body. It moves each
// chunk into a buffer of its own, which leaves a part of the memory unused: 32
// MB of content took 46 MB.
std::size_t ChunkedBytes(std::size_t content) { return content + content / 2; }

std::string Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t\r");
  if (first == std::string_view::npos) {
    return {};
  }
  return std::string(
      text.substr(first, text.find_last_not_of(" \t\r") - first + 1));
}

std::optional<Method> ParseMethod(std::string_view text) {
  if (text == "GET") {
    return Method::kGet;
  }
  if (text == "POST") {
    return Method::kPost;
  }
  if (text == "PUT") {
    return Method::kPut;
  }
  if (text == "DELETE") {
    return Method::kDelete;
  }
  return std::nullopt;
}

const char* PhraseOf(int status) {
  switch (status) {
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case kRequestTimeout:
      return "Request Timeout";
    case kPayloadTooLarge:
      return "Payload Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case kServiceUnavailable:
      return "Service Unavailable";
    default:
      return "Refused";
  }
}

HeadVerdict NotRun(int status, const char* error) {
  HeadVerdict verdict;
  verdict.status = status;
  verdict.body =
      std::string(R"({"error":")") + error + R"(","verdict":"not run"})";
  if (status == kServiceUnavailable) {
    verdict.headers.push_back({"Retry-After", "1.000"});
  }
  return verdict;
}

}  // namespace

void ChunkCounter::Add(std::string_view bytes) {
  constexpr std::size_t kMaxShifted = ~std::size_t{0} >> 5U;
  while (!bytes.empty()) {
    if (state_ == State::kContent) {
      const std::size_t taken = std::min(chunk_left_, bytes.size());
      content_ += taken;
      chunk_left_ -= taken;
      bytes.remove_prefix(taken);
      state_ = chunk_left_ == 0 ? State::kEnd : state_;
      continue;
    }
    const char c = bytes.front();
    bytes.remove_prefix(1);
    if (state_ == State::kEnd) {
      state_ = c == '\n' ? State::kSize : state_;
    } else if (c == '\n') {
      state_ = chunk_left_ == 0 ? State::kSize : State::kContent;
    } else if (state_ == State::kSize && std::isxdigit(c) != 0 &&
               chunk_left_ < kMaxShifted) {
      const int digit = std::isdigit(c) != 0 ? c - '0' : (c | 0x20) - 'a' + 10;
      chunk_left_ = chunk_left_ * 16 + static_cast<std::size_t>(digit);
    } else if (c != '\r') {
      state_ = State::kExtension;
    }
  }
}

struct ConnectionGuard::Connection {
  ConnectionGuard* guard = nullptr;
  const HeadCheck* check = nullptr;
  bufferevent* stream = nullptr;
  bool protected_peer = false;
  Id id = 0;
  ConnectionPhase phase = ConnectionPhase::kIdle;
  bool watched = false;
  /// A refusal was sent; what arrives is discarded.
  bool refused = false;
  steady_clock::time_point linger_end;
  /// Bytes of the head so far.
  std::string head;
  /// Bytes after the request that was dispatched, as evhttp had read them.
  std::string pipelined;
  bool chunked = false;
  ChunkCounter chunks;
  std::size_t max_body_bytes = 0;
  /// Bytes counted for a running request.
  std::size_t running_bytes = 0;
  /// Bytes in the kernel and of unread responses, as of the last sweep.
  std::size_t unread_bytes = 0;

  int fd() const { return bufferevent_getfd(stream); }
};

/// Framing and request of a head, as evhttp will read them.
struct ConnectionGuard::Head {
  Request request;
  bool valid = false;
  bool chunked = false;
  std::optional<std::size_t> length;

  explicit Head(std::string_view text) {
    std::size_t line_end = text.find('\n');
    ReadRequestLine(text.substr(0, line_end));
    std::string* last_value = nullptr;
    while (line_end != std::string_view::npos) {
      text.remove_prefix(line_end + 1);
      line_end = text.find('\n');
      const std::string_view line = text.substr(0, line_end);
      const std::size_t colon = line.find(':');
      if (!line.empty() && (line[0] == ' ' || line[0] == '\t') &&
          last_value != nullptr) {
        *last_value += " " + Trim(line);
      } else if (colon != std::string_view::npos) {
        const std::string name =
            internal::LowerCase(std::string(line.substr(0, colon)));
        const std::string value = Trim(line.substr(colon + 1));
        request.header_bytes += name.size() + value.size() + 4;
        // evhttp uses the first of several lines for the framing.
        ReadFraming(name, value);
        std::string& stored = request.headers[name];
        stored = value;
        last_value = &stored;
      }
    }
    if (chunked) {
      length.reset();
    }
    // evhttp reads a body after these methods only.
    if (request.method != Method::kPost && request.method != Method::kPut) {
      chunked = false;
      length.reset();
    }
  }

 private:
  void ReadRequestLine(std::string_view line) {
    const std::size_t method_end = line.find(' ');
    if (method_end == std::string_view::npos) {
      return;
    }
    const auto method = ParseMethod(line.substr(0, method_end));
    std::string_view rest = line.substr(method_end + 1);
    request.target = rest.substr(0, rest.find(' '));
    request.path = request.target.substr(0, request.target.find_first_of("?#"));
    request.method = method.value_or(Method::kGet);
    valid = method.has_value();
  }

  void ReadFraming(const std::string& name, const std::string& value) {
    if (name == "transfer-encoding") {
      chunked = chunked || internal::LowerCase(value) == "chunked";
    } else if (name == "content-length" && !length.has_value()) {
      std::size_t number = 0;
      const auto [end, error] =
          std::from_chars(value.data(), value.data() + value.size(), number);
      if (error == std::errc() && end == value.data() + value.size()) {
        length = number;
      }
    }
  }
};

ConnectionGuard::ConnectionGuard(base::EventLoop& loop, BudgetLimits limits,
                                 Report report)
    : loop_(loop),
      budget_(limits),
      report_(std::move(report)),
      sweep_timer_(loop.Every(kSweepInterval, [this] { Sweep(); })) {
  // Large bodies are mapped on their own, so that their memory is returned when
  // they are freed; by default the threshold grows with the largest one.
  mallopt(M_MMAP_THRESHOLD, 1 << 20);
  // A fixed mapping threshold also fixes this one, at 128 KB by default: the
  // heap would be returned and grown again with each large message.
  mallopt(M_TRIM_THRESHOLD, 4 << 20);
}

ConnectionGuard::~ConnectionGuard() { *alive_ = false; }

ConnectionGuard::Connection* ConnectionGuard::Find(Id id) {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : found->second;
}

ConnectionGuard::Connection* ConnectionGuard::Find(
    evhttp_connection* connection) {
  const auto found =
      connections_.find(evhttp_connection_get_bufferevent(connection));
  return found == connections_.end() ? nullptr : found->second.get();
}

bufferevent* ConnectionGuard::CreateStream(const HeadCheck& check,
                                           bool protected_peer) {
  bufferevent* stream = bufferevent_socket_new(loop_.base(), -1, 0);
  if (stream == nullptr) {
    return nullptr;
  }
  auto connection = std::make_unique<Connection>();
  connection->guard = this;
  connection->check = &check;
  connection->stream = stream;
  connection->protected_peer = protected_peer;
  connection->id = budget_.Open(protected_peer, steady_clock::now());
  evbuffer_add_cb(bufferevent_get_input(stream), OnInput, connection.get());
  bufferevent_setwatermark(stream, EV_READ, 0, kMaxReadAhead);
  by_id_[connection->id] = connection.get();
  // The reference keeps the stream until evhttp has set it up.
  bufferevent_incref(stream);
  loop_.Post([this, alive = alive_, id = connection->id, stream] {
    if (*alive) {
      if (Connection* opened = Find(id)) {
        Watch(*opened);
        if (!opened->watched) {
          by_id_.erase(id);
          budget_.Close(id);
          connections_.erase(stream);
        }
      }
    }
    bufferevent_decref(stream);
  });
  connections_[stream] = std::move(connection);
  while (const auto excess = budget_.NextExcessConnection()) {
    budget_.Close(*excess);
    loop_.Post([this, alive = alive_, id = *excess] {
      if (*alive) {
        CloseFor(id, CloseReason::kTooManyConnections);
      }
    });
  }
  return stream;
}

// evhttp has no callback for a new connection; it is the argument of the
// callbacks that evhttp sets at the stream.
void ConnectionGuard::Watch(Connection& connection) {
  void* argument = nullptr;
  bufferevent_getcb(connection.stream, nullptr, nullptr, nullptr, &argument);
  auto* native = static_cast<evhttp_connection*>(argument);
  if (native != nullptr &&
      evhttp_connection_get_bufferevent(native) == connection.stream) {
    if (!connection.watched) {
      WatchClose(native);
    }
    connection.watched = true;
  }
}

void ConnectionGuard::WatchClose(evhttp_connection* connection) {
  evhttp_connection_set_closecb(
      connection,
      [](evhttp_connection* closed, void* self) {
        static_cast<ConnectionGuard*>(self)->OnClosed(closed);
      },
      this);
}

void ConnectionGuard::OnClosed(evhttp_connection* connection) {
  Connection* closed = Find(connection);
  if (closed == nullptr) {
    return;
  }
  evbuffer_remove_cb(bufferevent_get_input(closed->stream), OnInput, closed);
  budget_.Close(closed->id);
  by_id_.erase(closed->id);
  connections_.erase(closed->stream);
}

void ConnectionGuard::SetPhase(Connection& connection, ConnectionPhase phase) {
  const bool body = phase == ConnectionPhase::kBody;
  if (body != (connection.phase == ConnectionPhase::kBody)) {
    bufferevent_setwatermark(connection.stream, EV_READ, 0,
                             body ? 0 : kMaxReadAhead);
  }
  connection.phase = phase;
  budget_.SetPhase(connection.id, phase, steady_clock::now());
}

void ConnectionGuard::UpdateHeld(Connection& connection) {
  const std::size_t moved = connection.phase == ConnectionPhase::kBody
                                ? ChunkedBytes(connection.chunks.content())
                                : 0;
  const std::size_t input =
      evbuffer_get_length(bufferevent_get_input(connection.stream));
  budget_.SetHeld(connection.id,
                  connection.refused
                      ? connection.unread_bytes
                      : input + moved + connection.head.size() +
                            connection.pipelined.size() +
                            connection.running_bytes + connection.unread_bytes,
                  steady_clock::now());
  peak_held_ = std::max(peak_held_, budget_.held());
}

void ConnectionGuard::OnInput(evbuffer* buffer, const evbuffer_cb_info* info,
                              void* argument) {
  auto* connection = static_cast<Connection*>(argument);
  ConnectionGuard* guard = connection->guard;
  if (!connection->watched) {
    guard->Watch(*connection);
  }
  if (info->n_added == 0) {
    return;
  }
  if (connection->refused) {
    evbuffer_drain(buffer, evbuffer_get_length(buffer));
    return;
  }
  guard->OnBytes(*connection, buffer, info->n_added);
  guard->UpdateHeld(*connection);
  guard->Enforce();
}

void ConnectionGuard::OnBytes(Connection& connection, evbuffer* buffer,
                              std::size_t added) {
  if (connection.phase == ConnectionPhase::kBody && !connection.chunked) {
    return;
  }
  std::string bytes(added, '\0');
  evbuffer_ptr start{};
  evbuffer_ptr_set(buffer, &start, evbuffer_get_length(buffer) - added,
                   EVBUFFER_PTR_SET);
  evbuffer_copyout_from(buffer, &start, bytes.data(), added);
  const bool response_unsent =
      evbuffer_get_length(bufferevent_get_output(connection.stream)) > 0;
  if (connection.phase == ConnectionPhase::kRunning ||
      (connection.phase == ConnectionPhase::kIdle && response_unsent)) {
    // Judged once evhttp reads on: a refusal must not precede the response.
    connection.pipelined += bytes;
  } else if (connection.phase == ConnectionPhase::kBody) {
    OnBodyBytes(connection, bytes);
  } else {
    OnHeadBytes(connection, std::move(bytes));
  }
}

void ConnectionGuard::OnHeadBytes(Connection& connection, std::string bytes) {
  if (connection.phase == ConnectionPhase::kIdle) {
    SetPhase(connection, ConnectionPhase::kHead);
    bytes = std::exchange(connection.pipelined, {}) + bytes;
    connection.head.clear();
  }
  if (connection.head.size() + bytes.size() > kMaxStoredHead) {
    return;
  }
  const std::size_t searched =
      connection.head.size() < 3 ? 0 : connection.head.size() - 3;
  connection.head += bytes;
  const std::string_view text = connection.head;
  const std::size_t first = text.find_first_not_of("\r\n");
  if (first == std::string_view::npos) {
    return;
  }
  const std::size_t from = std::max(first, searched);
  std::size_t end = text.find("\n\r\n", from);
  std::size_t rest = end == std::string_view::npos ? end : end + 3;
  if (const std::size_t bare = text.find("\n\n", from); bare < end) {
    end = bare;
    rest = bare + 2;
  }
  if (end == std::string_view::npos) {
    return;
  }
  const Head head(text.substr(first, end - first));
  const std::string body(text.substr(rest));
  connection.head.clear();
  connection.chunked = head.chunked;
  connection.chunks = {};
  SetPhase(connection, ConnectionPhase::kBody);
  if (!head.valid ||
      (!head.chunked && head.length.value_or(0) <= body.size())) {
    return;
  }
  HeadVerdict verdict = (*connection.check)(head.request, head.length);
  if (verdict.status != 0) {
    Refuse(connection, verdict,
           verdict.status == kPayloadTooLarge ? CloseReason::kBodyTooLarge
                                              : CloseReason::kNotAdmitted);
    return;
  }
  connection.max_body_bytes = verdict.max_body_bytes;
  if (!budget_.HasRoomFor(kBodyCopies * head.length.value_or(0),
                          connection.protected_peer)) {
    Refuse(connection, NotRun(kServiceUnavailable, "try again later"),
           CloseReason::kNoMemory);
  } else if (head.chunked) {
    OnBodyBytes(connection, body);
  }
}

void ConnectionGuard::OnBodyBytes(Connection& connection,
                                  std::string_view bytes) {
  connection.chunks.Add(bytes);
  if (connection.chunks.content() > connection.max_body_bytes) {
    Refuse(connection, NotRun(kPayloadTooLarge, "the body is too large"),
           CloseReason::kBodyTooLarge);
  }
}

// evhttp waits for a request while the response is written past it; it closes
// the connection when it reads its end.
void ConnectionGuard::Refuse(Connection& connection, const HeadVerdict& verdict,
                             CloseReason reason) {
  std::string response = "HTTP/1.1 " + std::to_string(verdict.status) + " " +
                         PhraseOf(verdict.status) +
                         "\r\nContent-Type: application/json\r\n";
  for (const Header& header : verdict.headers) {
    response += header.name + ": " + header.value + "\r\n";
  }
  response += "Content-Length: " + std::to_string(verdict.body.size()) +
              "\r\nConnection: close\r\n\r\n" + verdict.body;
  // The socket's buffer is empty, as no other response is being sent.
  if (send(connection.fd(), response.data(), response.size(),
           MSG_NOSIGNAL | MSG_DONTWAIT) < 0) {
    shutdown(connection.fd(), SHUT_RDWR);
  }
  shutdown(connection.fd(), SHUT_WR);
  connection.refused = true;
  connection.linger_end = steady_clock::now() + kLingerTime;
  connection.head = {};
  connection.pipelined = {};
  evbuffer* input = bufferevent_get_input(connection.stream);
  evbuffer_drain(input, evbuffer_get_length(input));
  SetPhase(connection, ConnectionPhase::kIdle);
  UpdateHeld(connection);
  report_(reason);
}

void ConnectionGuard::Enforce() {
  while (const auto victim = budget_.NextVictim(steady_clock::now())) {
    CloseFor(*victim, CloseReason::kNoMemory);
    // The memory is freed when the loop continues.
    budget_.SetHeld(*victim, 0, steady_clock::now());
  }
}

// The end of the socket reaches evhttp like a client's disconnect.
void ConnectionGuard::CloseFor(Id id, CloseReason reason) {
  Connection* connection = Find(id);
  // A request that runs is not cut off, even if it began since the decision.
  if (connection == nullptr || connection->phase == ConnectionPhase::kRunning) {
    return;
  }
  if (connection->refused) {
    shutdown(connection->fd(), SHUT_RDWR);
    return;
  }
  if (connection->phase == ConnectionPhase::kBody) {
    Refuse(*connection,
           reason == CloseReason::kNoMemory
               ? NotRun(kServiceUnavailable, "try again later")
               : NotRun(kRequestTimeout, "the request did not arrive in time"),
           reason);
  } else {
    connection->refused = true;
    report_(reason);
  }
  shutdown(connection->fd(), SHUT_RDWR);
}

ConnectionGuard::Id ConnectionGuard::OnRequest(evhttp_connection* connection,
                                               std::size_t body_bytes) {
  Connection* found = Find(connection);
  if (found == nullptr) {
    return 0;
  }
  evbuffer* input = bufferevent_get_input(found->stream);
  found->pipelined.resize(evbuffer_get_length(input));
  evbuffer_copyout(input, found->pipelined.data(), found->pipelined.size());
  found->head = {};
  found->chunked = false;
  found->chunks = {};
  found->running_bytes = kBodyCopies * body_bytes;
  if (body_bytes >= kTrimBytes) {
    // The buffer that the body was read into, before it is copied for sending.
    malloc_trim(0);
  }
  SetPhase(*found, ConnectionPhase::kRunning);
  UpdateHeld(*found);
  return found->id;
}

void ConnectionGuard::OnExchangeEnded(Id id) {
  Connection* found = Find(id);
  if (found == nullptr || found->phase != ConnectionPhase::kRunning) {
    return;
  }
  found->running_bytes = 0;
  SetPhase(*found, ConnectionPhase::kIdle);
  UpdateHeld(*found);
}

void ConnectionGuard::Sweep() {
  const auto now = steady_clock::now();
  for (const auto& [stream, connection] : connections_) {
    int unread = 0;
    if (connection->fd() >= 0) {
      ioctl(connection->fd(), FIONREAD, &unread);
    }
    connection->unread_bytes =
        static_cast<std::size_t>(std::max(unread, 0)) +
        evbuffer_get_length(bufferevent_get_output(connection->stream));
    UpdateHeld(*connection);
    if (connection->refused && now >= connection->linger_end) {
      shutdown(connection->fd(), SHUT_RDWR);
    }
  }
  for (const MemoryBudget::Expired& expired : budget_.FindExpired(now)) {
    CloseFor(expired.id, expired.reason);
  }
  Enforce();
  TrimMemory();
}

void ConnectionGuard::TrimMemory() {
  if (peak_held_ > budget_.held() + kTrimBytes) {
    malloc_trim(0);
    peak_held_ = budget_.held();
  }
}

}  // namespace mulberryroad::http
