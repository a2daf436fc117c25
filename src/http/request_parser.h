// Incremental parser of HTTP/1.x requests. Splits the bytes of a connection
// into elements, and bounds everything that it stores itself.

#ifndef MULBERRYROAD_SRC_HTTP_REQUEST_PARSER_H_
#define MULBERRYROAD_SRC_HTTP_REQUEST_PARSER_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "http/message_element.h"
#include "http/request.h"

namespace mulberryroad::http {

/// Parses one request. Performs no I/O and does not store the body, so that its
/// user can count each part before it stores it.
class RequestParser {
 public:
  /// The request line and the header fields.
  struct Head {
    /// The request without its body.
    Request request;
    /// Size of the body; nullopt if it is sent in chunks.
    std::optional<std::size_t> body_bytes;
    /// Whether the client accepts another response on the connection.
    bool keep_alive = false;
    /// Minor version of HTTP/1.x.
    int minor_version = 1;
    /// Whether the client waits for an interim response before the body.
    bool expects_continue = false;
  };
  /// The bytes are no request that a server accepts.
  struct Malformed {
    /// HTTP status of the refusal.
    int status = 0;
    /// Names what is malformed, or the limit that is exceeded.
    std::string reason;
  };
  using Element = std::variant<NeedMore, Head, BodyPart, MessageEnd, Malformed>;

  /// @param max_head_bytes bound of the request line and the header fields
  ///     together, of the empty lines before them, of the trailer, and of all
  ///     chunk extensions together
  explicit RequestParser(std::size_t max_head_bytes);
  ~RequestParser();
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;

  /// Reads the next element. Not to be called again after MessageEnd or
  /// Malformed.
  /// @param input bytes of the connection from the first that was not consumed
  /// @param consumed receives the number of bytes to remove from the input's
  ///     front; the rest must be passed again, with what arrives later
  Element Read(std::string_view input, std::size_t* consumed);

  /// Whether the first byte of the request was read, empty lines included.
  bool started() const;
  /// Estimate of the memory that the header fields take in a Request, in bytes.
  std::size_t stored_bytes() const;

 private:
  class Impl;

  std::unique_ptr<Impl> impl_;
};

}  // namespace mulberryroad::http

#endif  // MULBERRYROAD_SRC_HTTP_REQUEST_PARSER_H_
