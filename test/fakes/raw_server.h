// A server that answers with scripted bytes, which need not be HTTP.

#ifndef MULBERRYROAD_TEST_FAKES_RAW_SERVER_H_
#define MULBERRYROAD_TEST_FAKES_RAW_SERVER_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>
#include <functional>
#include <string>
#include <utility>

#include "base/event_loop.h"
#include "fakes/free_port.h"
#include "mulberryroad/endpoint.h"

namespace mulberryroad::fakes {

/// What the server does once it has sent its bytes.
enum class AfterAnswer {
  /// Waits for the next request.
  kKeepOpen,
  /// Ends the connection in order.
  kClose,
  /// Resets the connection.
  kReset,
  /// Sends `RawAnswer::repeated` without end, until the client closes.
  kRepeat,
};

struct RawAnswer {
  std::string bytes;
  AfterAnswer then = AfterAnswer::kKeepOpen;
  std::string repeated = {};
};

/// Answers each request, which must arrive in one piece, with what a function
/// returns for its number, counted from 1 over all connections.
class RawServer {
 public:
  using Answerer = std::function<RawAnswer(int request)>;

  RawServer(base::EventLoop& loop, Answerer answerer)
      : answerer_(std::move(answerer)), endpoint_{"127.0.0.1", FreePort()} {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint_.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    listener_ = evconnlistener_new_bind(
        loop.base(), OnAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        -1, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  }
  ~RawServer() { evconnlistener_free(listener_); }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  const Endpoint& endpoint() const { return endpoint_; }
  /// Bytes written to all connections.
  std::size_t sent() const { return sent_; }
  /// Connections that are open.
  int open() const { return open_; }
  /// Connections accepted so far.
  int accepted() const { return accepted_; }

 private:
  struct Connection {
    RawServer* server;
    bufferevent* events;
    RawAnswer answer;
  };

  static void OnAccept(evconnlistener* listener, evutil_socket_t fd,
                       sockaddr* /*address*/, int /*length*/, void* self) {
    auto* server = static_cast<RawServer*>(self);
    ++server->open_;
    ++server->accepted_;
    bufferevent* events = bufferevent_socket_new(
        evconnlistener_get_base(listener), fd, BEV_OPT_CLOSE_ON_FREE);
    auto* connection = new Connection{server, events, {}};
    bufferevent_setcb(events, OnRequest, nullptr, OnEvent, connection);
    bufferevent_enable(events, EV_READ | EV_WRITE);
  }
  static void OnRequest(bufferevent* events, void* argument) {
    auto* connection = static_cast<Connection*>(argument);
    evbuffer* input = bufferevent_get_input(events);
    evbuffer_drain(input, evbuffer_get_length(input));
    connection->answer =
        connection->server->answerer_(++connection->server->requests_);
    // From now on, OnWritten is called whenever the output buffer is drained.
    bufferevent_setcb(events, OnRequest, OnWritten, OnEvent, connection);
    if (connection->answer.bytes.empty()) {
      OnWritten(events, connection);
    } else {
      Write(connection, connection->answer.bytes);
    }
  }
  static void OnWritten(bufferevent* events, void* argument) {
    auto* connection = static_cast<Connection*>(argument);
    switch (connection->answer.then) {
      case AfterAnswer::kKeepOpen:
        break;
      case AfterAnswer::kReset: {
        const linger discard{.l_onoff = 1, .l_linger = 0};
        setsockopt(bufferevent_getfd(events), SOL_SOCKET, SO_LINGER, &discard,
                   sizeof(discard));
        Close(connection);
        break;
      }
      case AfterAnswer::kClose:
        Close(connection);
        break;
      case AfterAnswer::kRepeat:
        Write(connection, connection->answer.repeated);
        break;
    }
  }
  static void OnEvent(bufferevent* /*events*/, base::EventFlags /*what*/,
                      void* argument) {
    Close(static_cast<Connection*>(argument));
  }
  static void Write(Connection* connection, const std::string& bytes) {
    bufferevent_write(connection->events, bytes.data(), bytes.size());
    connection->server->sent_ += bytes.size();
  }
  static void Close(Connection* connection) {
    --connection->server->open_;
    bufferevent_free(connection->events);
    delete connection;
  }

  Answerer answerer_;
  Endpoint endpoint_;
  evconnlistener* listener_ = nullptr;
  int requests_ = 0;
  std::size_t sent_ = 0;
  int open_ = 0;
  int accepted_ = 0;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_RAW_SERVER_H_
