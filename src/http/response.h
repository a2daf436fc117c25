// A response as an HTTP client received it.

#ifndef MULBERRYROAD_SRC_HTTP_RESPONSE_H_
#define MULBERRYROAD_SRC_HTTP_RESPONSE_H_

#include <map>
#include <string>

namespace mulberryroad::http {

/// A complete response. Header names are in lower case. The body is empty if it
/// was delivered in chunks.
struct Response {
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
};

}  // namespace mulberryroad::http

#endif  // MULBERRYROAD_SRC_HTTP_RESPONSE_H_
