#include "http/socket_options.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace mulberryroad::http {

namespace {

void SetOption(int socket, int level, int name, int value) {
  setsockopt(socket, level, name, &value, sizeof(value));
}

}  // namespace

void CloseWhenCutOff(int socket, SocketSide side) {
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE,
            static_cast<int>(kKeepAliveIdle.count()));
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL,
            static_cast<int>(kKeepAliveInterval.count()));
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  if (side == SocketSide::kClient) {
    SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
              static_cast<int>(kUnacknowledgedTimeout.count()));
  }
}

void FreeAndClose(bufferevent* stream) {
  const int socket = bufferevent_getfd(stream);
  bufferevent_disable(stream, EV_READ | EV_WRITE);
  bufferevent_setfd(stream, -1);
  bufferevent_free(stream);
  if (socket >= 0) {
    close(socket);
  }
}

}  // namespace mulberryroad::http
