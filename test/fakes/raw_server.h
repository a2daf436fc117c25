// A server that answers with scripted bytes, which need not be HTTP.

#ifndef MULBERRYROAD_TEST_FAKES_RAW_SERVER_H_
#define MULBERRYROAD_TEST_FAKES_RAW_SERVER_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <cstddef>
#include <string>

#include "base/event_loop.h"
#include "fakes/free_port.h"
#include "mulberryroad/endpoint.h"

namespace mulberryroad::fakes {

/// Sends `first` on each connection once a request arrives, then `repeated`
/// without end until the client closes the connection.
class RawServer {
 public:
  RawServer(base::EventLoop& loop, std::string first, std::string repeated)
      : loop_(loop),
        first_(std::move(first)),
        repeated_(std::move(repeated)),
        endpoint_{"127.0.0.1", FreePort()} {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint_.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    listener_ = evconnlistener_new_bind(
        loop_.base(), OnAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        -1, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  }
  ~RawServer() { evconnlistener_free(listener_); }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  const Endpoint& endpoint() const { return endpoint_; }
  /// Bytes that the client took from all connections.
  std::size_t sent() const { return sent_; }
  /// Connections that are open.
  int open() const { return open_; }

 private:
  static void OnAccept(evconnlistener* listener, evutil_socket_t fd,
                       sockaddr* /*address*/, int /*length*/, void* self) {
    auto* server = static_cast<RawServer*>(self);
    ++server->open_;
    bufferevent* connection = bufferevent_socket_new(
        evconnlistener_get_base(listener), fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(connection, OnRequest, nullptr, OnEvent, self);
    bufferevent_enable(connection, EV_READ | EV_WRITE);
  }
  static void OnRequest(bufferevent* connection, void* self) {
    auto* server = static_cast<RawServer*>(self);
    evbuffer* input = bufferevent_get_input(connection);
    evbuffer_drain(input, evbuffer_get_length(input));
    // From now on, each drained output buffer is filled again.
    bufferevent_setcb(connection, OnRequest, OnWritten, OnEvent, self);
    bufferevent_write(connection, server->first_.data(), server->first_.size());
    server->sent_ += server->first_.size();
  }
  static void OnWritten(bufferevent* connection, void* self) {
    auto* server = static_cast<RawServer*>(self);
    bufferevent_write(connection, server->repeated_.data(),
                      server->repeated_.size());
    server->sent_ += server->repeated_.size();
  }
  static void OnEvent(bufferevent* connection, short /*events*/, void* self) {
    --static_cast<RawServer*>(self)->open_;
    bufferevent_free(connection);
  }

  base::EventLoop& loop_;
  std::string first_;
  std::string repeated_;
  Endpoint endpoint_;
  evconnlistener* listener_ = nullptr;
  std::size_t sent_ = 0;
  int open_ = 0;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_RAW_SERVER_H_
