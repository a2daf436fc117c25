#include "fakes/free_port.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cstddef>
#include <random>
#include <string>

namespace mulberryroad::fakes {

namespace {

// Ports below those that the system gives to outgoing connections, which would
// otherwise take a port between its choice and its use.
constexpr std::uint16_t kLowest = 10'000;
constexpr std::uint16_t kHighest = 32'000;

// The kernel drops the name when its process ends, however it ends. The socket
// is left open on purpose; programs that the test starts don't inherit it.
bool ReserveAgainstOtherProcesses(std::uint16_t port) {
  sockaddr_un name{};
  name.sun_family = AF_UNIX;
  // A leading zero byte keeps the name out of the file system.
  const std::string label =
      std::string(1, '\0') + "mulberryroad-port-" + std::to_string(port);
  label.copy(name.sun_path, sizeof(name.sun_path));
  const int handle = socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const auto length =
      static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + label.size());
  if (bind(handle, reinterpret_cast<sockaddr*>(&name), length) == 0) {
    return true;
  }
  close(handle);
  return false;
}

bool HasNoServer(std::uint16_t port) {
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int bound =
      bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  close(handle);
  return bound == 0;
}

}  // namespace

std::uint16_t FreePort() {
  static std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<std::uint16_t> ports(kLowest, kHighest);
  while (true) {
    const std::uint16_t port = ports(random);
    if (HasNoServer(port) && ReserveAgainstOtherProcesses(port)) {
      return port;
    }
  }
}

}  // namespace mulberryroad::fakes
