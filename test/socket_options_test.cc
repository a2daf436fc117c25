// Tests that the kernel watches the connections of a node.

#include "http/socket_options.h"

#include <criterion/criterion.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "fakes/free_port.h"
#include "fakes/loop_wait.h"
#include "http/client.h"
#include "http/server.h"

namespace mulberryroad::http {
namespace {

struct Socket {
  int handle = -1;
  bool client = false;
};

// Returns the connected sockets of this process to or from a port.
std::vector<Socket> Connections(std::uint16_t port) {
  std::vector<Socket> sockets;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/self/fd")) {
    const int handle = std::stoi(entry.path().filename().string());
    sockaddr_in peer{};
    sockaddr_in own{};
    socklen_t size = sizeof(peer);
    if (getpeername(handle, reinterpret_cast<sockaddr*>(&peer), &size) != 0 ||
        getsockname(handle, reinterpret_cast<sockaddr*>(&own), &size) != 0) {
      continue;
    }
    if (ntohs(peer.sin_port) == port || ntohs(own.sin_port) == port) {
      sockets.push_back({handle, ntohs(peer.sin_port) == port});
    }
  }
  return sockets;
}

int Option(int handle, int level, int name) {
  int value = 0;
  socklen_t size = sizeof(value);
  cr_assert_eq(getsockopt(handle, level, name, &value, &size), 0);
  return value;
}

Test(socket_options, connections_to_machines_that_are_cut_off_stay_open) {
  base::EventLoop loop;
  const Endpoint address{"127.0.0.1", fakes::FreePort()};
  Server server(loop, {});
  server.SetFallbackHandler([](const std::shared_ptr<Exchange>& exchange) {
    exchange->Reply(200, "done");
  });
  cr_assert(server.Listen(address));
  Client client(loop);
  ClientRequest request;
  request.endpoint = address;
  request.path = "/";
  std::optional<Result> result;
  client.Send(std::move(request),
              [&result](Result done) { result = std::move(done); });
  cr_assert(fakes::RunUntil(loop, [&result] { return result.has_value(); }));
  const std::vector<Socket> sockets = Connections(address.port);
  cr_assert_eq(sockets.size(), 2);
  for (const Socket& socket : sockets) {
    cr_expect_eq(Option(socket.handle, SOL_SOCKET, SO_KEEPALIVE), 1);
    cr_expect_eq(Option(socket.handle, IPPROTO_TCP, TCP_KEEPIDLE),
                 kKeepAliveIdle.count());
    cr_expect_eq(Option(socket.handle, IPPROTO_TCP, TCP_KEEPINTVL),
                 kKeepAliveInterval.count());
    cr_expect_eq(Option(socket.handle, IPPROTO_TCP, TCP_KEEPCNT),
                 kKeepAliveProbes);
    if (socket.client) {
      cr_expect_eq(Option(socket.handle, IPPROTO_TCP, TCP_USER_TIMEOUT),
                   kUnacknowledgedTimeout.count());
    }
  }
}

}  // namespace
}  // namespace mulberryroad::http
