// One connection of an HTTP server: reads requests one after the other, and
// writes the response to each before it reads the next.

#ifndef MULBERRYROAD_SRC_HTTP_SERVER_SESSION_H_
#define MULBERRYROAD_SRC_HTTP_SERVER_SESSION_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/event_loop.h"
#include "http/connection_guard.h"
#include "http/request_parser.h"
#include "http/server.h"

struct bufferevent;
struct evbuffer;
struct event;

namespace mulberryroad::http {

class ServerSession;

/// What a server and its sessions share.
struct ServerContext {
  ServerContext(base::EventLoop& event_loop, ServerLimits server_limits)
      : loop(event_loop), limits(server_limits) {}

  base::EventLoop& loop;
  ServerLimits limits;
  std::shared_ptr<ConnectionGuard> guard;
  bool protected_peer = false;
  /// Whether later responses end their connections.
  bool draining = false;
  /// Decides about a request whose body has not been received.
  HeadCheck check_head;
  /// Passes a complete request to its handler.
  std::function<void(std::shared_ptr<Exchange>)> dispatch;
  std::set<std::shared_ptr<ServerSession>> sessions;
};

/// Holds itself, through the context, until its connection is closed. Belongs
/// to the event loop's thread.
class ServerSession : public std::enable_shared_from_this<ServerSession> {
 public:
  /// @param socket a connected socket, which the session owns
  ServerSession(std::shared_ptr<ServerContext> context, int socket);
  ~ServerSession();
  ServerSession(const ServerSession&) = delete;
  ServerSession& operator=(const ServerSession&) = delete;

  /// Begins to read requests. May close the connection.
  void Start();
  /// Closes the connection at once, which an open exchange signals by
  /// on_disconnected.
  void Close();

  /// Whether a response is complete, and some of it is not sent.
  bool has_unsent_response() const { return state_ == State::kWriting; }
  /// The exchange of the request that runs; null if there is none.
  const std::shared_ptr<Exchange>& exchange() const { return exchange_; }

  /// Sends a complete response to the request that runs.
  void Respond(int status, std::string_view body, const Headers& headers);
  /// Starts a response whose size is not known: in chunks, or, for HTTP/1.0, up
  /// to the end of the connection.
  void StartStream(int status, const Headers& headers);
  /// Adds bytes to a started response; none if it ended.
  void WriteStream(std::string_view bytes);
  /// Completes a started response.
  void FinishStream();
  /// Closes the connection so that the client sees a started response as
  /// incomplete.
  void Abort();

  /// Time for which what a refused client still sends is read and discarded,
  /// so that it can read the response.
  static constexpr std::chrono::milliseconds kLingerTime{1'000};
  /// Interval at which the session checks whether a client that sent a request
  /// ahead has disconnected.
  static constexpr std::chrono::milliseconds kClientPollInterval{100};

 private:
  enum class State {
    /// Reads a head, or waits for one.
    kHead,
    kBody,
    /// The request was passed to its handler.
    kRunning,
    /// The response is complete, and some of it is not sent.
    kWriting,
    /// No further request is read. What arrives is discarded.
    kLingering,
    kClosed,
  };
  struct ElementHandler;

  static void OnReadable(bufferevent* stream, void* self);
  static void OnWritten(bufferevent* stream, void* self);
  static void OnEvent(bufferevent* stream, base::EventFlags events, void* self);

  void BeginRequest();
  void ReadElements();
  void OnHead(RequestParser::Head head);
  void OnBodyPart(std::string_view bytes);
  /// Decides about a request whose body is not complete.
  /// @return whether the body may be read
  bool CheckHead();
  void Dispatch();
  void OnResponseSent();
  void OnTimeout();
  void WatchClient();
  void StopWatchingClient();
  void OnClientEvent(int events);
  /// Closes the connection if the client disconnected.
  void PollClient();
  void Refuse(const HeadVerdict& verdict, CloseReason reason);
  /// Closes the connection behind a response. What the client sent ahead is
  /// discarded for a time, since closing would reset the connection, and with
  /// it the bytes that the client has not received.
  void CloseBehindResponse();
  void Linger();
  bool HasUnreadBytes() const;
  void OnGuardCloses(CloseReason reason);
  /// Looks up what the kernel holds unread, and counts it.
  void Measure();
  /// Reports to the guard what the session holds. May close the connection.
  void CountHeld();
  void SetState(State state);
  void SetPhase(ConnectionPhase phase);
  void WriteHead(int status, Headers headers,
                 std::optional<std::size_t> body_bytes);
  void EndResponse();
  void DiscardInput();

  bool reading() const {
    return state_ == State::kHead || state_ == State::kBody;
  }
  evbuffer* input() const;
  evbuffer* output() const;
  int fd() const;

  std::shared_ptr<ServerContext> context_;
  bufferevent* stream_;
  /// Id at the guard; 0 without one.
  ConnectionGuard::Id id_ = 0;
  State state_ = State::kHead;
  /// The client timeout that is set at the stream.
  std::chrono::milliseconds timeout_{0};
  std::optional<RequestParser> parser_;
  /// The request that is being read, or runs, without its body.
  RequestParser::Head head_;
  std::string body_;
  /// Whether CheckHead was called for the request.
  bool head_checked_ = false;
  std::size_t max_body_bytes_ = 0;
  /// Bytes counted for a running request.
  std::size_t running_bytes_ = 0;
  /// Bytes in the kernel that are not read while a request runs.
  std::size_t unread_bytes_ = 0;
  bool close_after_response_ = false;
  /// Whether the response that is being sent has chunks.
  bool chunked_ = false;
  /// Whether the size of the response was not known at its start.
  bool streaming_ = false;
  std::shared_ptr<Exchange> exchange_;
  /// Reports that the client disconnects while a request runs.
  event* client_event_ = nullptr;
  base::Timer client_poll_timer_;
  base::Timer linger_timer_;
};

}  // namespace mulberryroad::http

#endif  // MULBERRYROAD_SRC_HTTP_SERVER_SESSION_H_
