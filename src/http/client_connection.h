// Connections of the HTTP client, and the pool of those that are idle.

#ifndef MULBERRYROAD_SRC_HTTP_CLIENT_CONNECTION_H_
#define MULBERRYROAD_SRC_HTTP_CLIENT_CONNECTION_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/event_loop.h"
#include "mulberryroad/endpoint.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace mulberryroad::http {

/// A connection to a server, which closes on destruction. Must not be destroyed
/// inside a callback of its user.
class ClientConnection {
 public:
  /// Receives the events of a connection. Must outlive its use of it.
  class User {
   public:
    virtual ~User() = default;
    /// The connection is established.
    virtual void OnConnected() = 0;
    /// The first byte that the user wrote was sent.
    virtual void OnFirstByteSent() = 0;
    /// `input` has more bytes.
    virtual void OnReadable() = 0;
    /// The connection ended, or could not be established.
    /// @param error the error of the socket; empty if the server ended the
    ///     connection in order
    virtual void OnClosed(const std::string& error) = 0;
  };

  ClientConnection(base::EventLoop& loop, Endpoint endpoint);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  /// Sets the user; null for an idle connection, which a server must not write
  /// to.
  void SetUser(User* user);
  /// Begins to connect. OnConnected or OnClosed follows, OnClosed perhaps
  /// before this returns.
  void Connect();
  bool connected() const { return connected_; }
  /// Sends a request.
  /// @param body is moved to the connection
  void Write(std::string_view head, std::string body);
  /// Ends reading and writing.
  void Stop();
  /// Makes the closing of the connection discard what was not delivered. An
  /// abandoned request that a partition holds back would otherwise be executed
  /// once the partition ends.
  void ResetOnClose();

  /// Bytes received and not yet consumed.
  evbuffer* input() const;
  /// Whether another request may be sent: all of the last one was sent, and no
  /// byte followed its response.
  bool reusable() const;

 private:
  static void OnOutputChanged(evbuffer* buffer, const evbuffer_cb_info* info,
                              void* self);
  static void OnReadable(bufferevent* stream, void* self);
  static void OnEvent(bufferevent* stream, base::EventFlags events, void* self);

  Endpoint endpoint_;
  bufferevent* stream_;
  User* user_ = nullptr;
  bool connected_ = false;
  bool broken_ = false;
  bool first_byte_sent_ = false;
  /// Error of a failed write; empty if there was none.
  std::string write_error_;
};

/// Idle connections by endpoint.
class ConnectionPool {
 public:
  explicit ConnectionPool(base::EventLoop& loop) : loop_(loop) {}

  base::EventLoop& loop() { return loop_; }

  /// Returns an idle connection, or a new one that is not connected.
  /// @param fresh whether it must be a new one
  std::unique_ptr<ClientConnection> Acquire(const Endpoint& endpoint,
                                            bool fresh);
  /// Keeps a connection for later requests if it can be used again.
  /// @param keep_alive time after which the server may close it
  void Release(const Endpoint& endpoint,
               std::unique_ptr<ClientConnection> connection,
               std::chrono::milliseconds keep_alive);
  /// Closes the idle connections to an endpoint.
  void CloseIdleConnections(const Endpoint& endpoint) { idle_.erase(endpoint); }

  /// More than the requests that an upstream runs concurrently, so that a node
  /// that uses all of an upstream's capacity keeps its connections.
  static constexpr std::size_t kMaxIdlePerEndpoint = 64;

 private:
  struct IdleConnection {
    std::unique_ptr<ClientConnection> connection;
    std::chrono::steady_clock::time_point usable_until;
  };

  base::EventLoop& loop_;
  std::map<Endpoint, std::deque<IdleConnection>> idle_;
};

}  // namespace mulberryroad::http

#endif  // MULBERRYROAD_SRC_HTTP_CLIENT_CONNECTION_H_
