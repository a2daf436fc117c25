#include "fakes/free_port.h"

#include <criterion/criterion.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <set>

namespace mulberryroad::fakes {
namespace {

// Two processes that draw this many of 22,000 ports without agreement share
// some in all but 1 of 100,000 runs.
constexpr std::size_t kPorts = 500;

std::set<std::uint16_t> Draw() {
  std::set<std::uint16_t> ports;
  while (ports.size() < kPorts) {
    ports.insert(FreePort());
  }
  return ports;
}

Test(free_port, processes_never_share_a_port) {
  std::array<int, 2> drawn{};
  std::array<int, 2> compared{};
  cr_assert_eq(pipe(drawn.data()), 0);
  cr_assert_eq(pipe(compared.data()), 0);
  const pid_t other = fork();
  if (other == 0) {
    close(compared[1]);
    for (const std::uint16_t port : Draw()) {
      if (write(drawn[1], &port, sizeof(port)) != sizeof(port)) {
        _exit(1);
      }
    }
    // Ends, and gives its ports back, when the parent has compared.
    char ignored = 0;
    _exit(read(compared[0], &ignored, 1) == 0 ? 0 : 1);
  }
  close(drawn[1]);
  const std::set<std::uint16_t> own = Draw();
  std::size_t shared = 0;
  for (std::size_t i = 0; i < kPorts; ++i) {
    std::uint16_t port = 0;
    cr_assert_eq(read(drawn[0], &port, sizeof(port)),
                 static_cast<ssize_t>(sizeof(port)));
    shared += own.count(port);
  }
  close(compared[1]);
  int status = 0;
  cr_assert_eq(waitpid(other, &status, 0), other);
  cr_assert_eq(status, 0);
  cr_assert_eq(shared, 0, "%zu of %zu ports were given to both", shared,
               kPorts);
}

}  // namespace
}  // namespace mulberryroad::fakes
