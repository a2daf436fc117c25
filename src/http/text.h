// Text helpers shared by the HTTP server and client.

#ifndef MULBERRYROAD_SRC_HTTP_TEXT_H_
#define MULBERRYROAD_SRC_HTTP_TEXT_H_

#include <algorithm>
#include <cctype>
#include <string>

namespace mulberryroad::http::internal {

/// Returns ASCII text, such as a header name, in lower case.
inline std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

}  // namespace mulberryroad::http::internal

#endif  // MULBERRYROAD_SRC_HTTP_TEXT_H_
