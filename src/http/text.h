// Text helpers shared by the HTTP server and client.

#ifndef MULBERRYROAD_SRC_HTTP_TEXT_H_
#define MULBERRYROAD_SRC_HTTP_TEXT_H_

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <string>
#include <string_view>

namespace mulberryroad::http::internal {

/// Returns ASCII text, such as a header name, in lower case.
inline std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

/// Size of a status line without a reason phrase: "HTTP/1.1 200".
inline constexpr std::size_t kStatusLineBytes = 12;

/// Returns whether a line begins an HTTP/1.x response: its status has three
/// digits from 100 to 599 (RFC 9112, section 4).
inline bool IsStatusLine(std::string_view line) {
  constexpr std::string_view kProtocol = "HTTP/1.";
  constexpr std::size_t kStatus = kProtocol.size() + 2;
  constexpr std::size_t kStatusEnd = kStatus + 3;
  const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
  return line.size() >= kStatusEnd && line.starts_with(kProtocol) &&
         is_digit(line[kProtocol.size()]) && line[kStatus - 1] == ' ' &&
         line[kStatus] >= '1' && line[kStatus] <= '5' &&
         is_digit(line[kStatus + 1]) && is_digit(line[kStatus + 2]) &&
         (line.size() == kStatusEnd || line[kStatusEnd] == ' ');
}

}  // namespace mulberryroad::http::internal

namespace mulberryroad::http {

/// Returns whether text is a request target in origin form (RFC 9112, section
/// 3.2.1): a path and perhaps a query, without blanks, control characters or a
/// fragment.
inline bool IsRequestTarget(std::string_view text) {
  constexpr std::string_view kAllowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
      "-._~!$&'()*+,;=:@/?%";
  const auto is_hex = [](char c) {
    return std::isxdigit(static_cast<unsigned char>(c)) != 0;
  };
  if (!text.starts_with('/') ||
      text.find_first_not_of(kAllowed) != std::string_view::npos) {
    return false;
  }
  for (std::size_t at = text.find('%'); at != std::string_view::npos;
       at = text.find('%', at + 1)) {
    if (at + 2 >= text.size() || !is_hex(text[at + 1]) ||
        !is_hex(text[at + 2])) {
      return false;
    }
  }
  return true;
}

/// Returns whether text can be the value of a header: no control characters but
/// tabs (RFC 9110, section 5.5).
inline bool IsHeaderValue(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return (byte < ' ' && c != '\t') || byte == 0x7F;
  });
}

/// Returns whether text can be the name of a header: a token (RFC 9110, section
/// 5.6.2).
inline bool IsHeaderName(std::string_view text) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
           kMarks.find(c) != std::string_view::npos;
  });
}

}  // namespace mulberryroad::http

#endif  // MULBERRYROAD_SRC_HTTP_TEXT_H_
