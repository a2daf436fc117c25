// Options of the sockets of connections.

#ifndef MULBERRYROAD_SRC_HTTP_SOCKET_OPTIONS_H_
#define MULBERRYROAD_SRC_HTTP_SOCKET_OPTIONS_H_

#include <chrono>

struct bufferevent;

namespace mulberryroad::http {

/// Time without traffic after which the kernel sends keep-alive probes.
inline constexpr std::chrono::seconds kKeepAliveIdle{2};
inline constexpr std::chrono::seconds kKeepAliveInterval{1};
/// Unanswered probes after which the connection is closed.
inline constexpr int kKeepAliveProbes = 3;
/// Time without an acknowledgement of sent data after which the connection is
/// closed. Linux ends keep-alive probes by it as well.
inline constexpr std::chrono::milliseconds kUnacknowledgedTimeout{5'000};

enum class SocketSide {
  /// The node opened the connection.
  kClient,
  /// The node accepted it. A caller that reads slowly holds back
  /// acknowledgements, so that only unanswered probes close the connection.
  kServer,
};

/// Makes the kernel close a connection whose other end is gone or cut off.
/// Options that the system does not support are left out.
void CloseWhenCutOff(int socket, SocketSide side);

/// Frees a stream and closes its socket, if it has one, before it returns.
/// libevent closes a socket only in a later turn of the loop, so that a turn
/// that accepts and closes many connections would hold all of them open.
/// @param stream without BEV_OPT_CLOSE_ON_FREE
void FreeAndClose(bufferevent* stream);

}  // namespace mulberryroad::http

#endif  // MULBERRYROAD_SRC_HTTP_SOCKET_OPTIONS_H_
