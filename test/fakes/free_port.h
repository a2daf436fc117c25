// Ports for servers that a test starts.

#ifndef MULBERRYROAD_TEST_FAKES_FREE_PORT_H_
#define MULBERRYROAD_TEST_FAKES_FREE_PORT_H_

#include <cstdint>

namespace mulberryroad::fakes {

/// Finds a TCP port of the loopback address that no server has and that no
/// other test process was given. It stays reserved until this process ends.
std::uint16_t FreePort();

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_FREE_PORT_H_
