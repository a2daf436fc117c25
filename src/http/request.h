// A request as an HTTP server received it.

#ifndef MULBERRYROAD_SRC_HTTP_REQUEST_H_
#define MULBERRYROAD_SRC_HTTP_REQUEST_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mulberryroad::http {

enum class Method { kGet, kPost, kPut, kDelete };

struct Header {
  std::string name;
  std::string value;
};
using Headers = std::vector<Header>;

/// A complete request. Header names are in lower case.
struct Request {
  Method method = Method::kGet;
  std::string path;
  /// Path and query as received.
  std::string target;
  std::map<std::string, std::string> headers;
  std::string body;
  /// Total size of the header lines as received, in bytes.
  std::size_t header_bytes = 0;

  /// Returns the value of a header by its lower-case name, or nullopt.
  std::optional<std::string> header(const std::string& name) const;
  /// Returns the decoded value of a query parameter, or nullopt. If the
  /// parameter is repeated, the last value counts.
  std::optional<std::string> parameter(const std::string& name) const;
};

}  // namespace mulberryroad::http

#endif  // MULBERRYROAD_SRC_HTTP_REQUEST_H_
