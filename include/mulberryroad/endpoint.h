// TCP endpoint: IP address and port.

#ifndef MULBERRYROAD_ENDPOINT_H_
#define MULBERRYROAD_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mulberryroad {

struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// Parses "IP:port".
/// @return nullopt if the text has another form
std::optional<Endpoint> ParseEndpoint(std::string_view text);

/// Formats the endpoint as "IP:port".
std::string ToString(const Endpoint& endpoint);

}  // namespace mulberryroad

#endif  // MULBERRYROAD_ENDPOINT_H_
