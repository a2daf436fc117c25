#include "http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

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

}  // namespace mulberryroad::http
