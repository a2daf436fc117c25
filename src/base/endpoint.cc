#include "mulberryroad/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace mulberryroad {

namespace {

constexpr unsigned kMaxPort = 65535;

bool IsIpAddress(const std::string& text) {
  in6_addr parsed{};
  return inet_pton(AF_INET, text.c_str(), &parsed) == 1 ||
         inet_pton(AF_INET6, text.c_str(), &parsed) == 1;
}

}  // namespace

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view port_text = text.substr(colon + 1);
  unsigned port = 0;
  const auto [end, error] = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), port);
  const bool fully_parsed =
      error == std::errc() && end == port_text.data() + port_text.size();
  std::string address(text.substr(0, colon));
  if (!fully_parsed || port == 0 || port > kMaxPort || !IsIpAddress(address)) {
    return std::nullopt;
  }
  return Endpoint{std::move(address), static_cast<std::uint16_t>(port)};
}

std::string ToString(const Endpoint& endpoint) {
  return endpoint.address + ":" + std::to_string(endpoint.port);
}

}  // namespace mulberryroad
