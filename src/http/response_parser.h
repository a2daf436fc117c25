// Incremental parser of HTTP/1.x responses. Splits the bytes of a connection
// into elements, and bounds everything that it stores itself.

#ifndef MULBERRYROAD_SRC_HTTP_RESPONSE_PARSER_H_
#define MULBERRYROAD_SRC_HTTP_RESPONSE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "http/message_element.h"
#include "http/response.h"

namespace mulberryroad::http {

/// Parses the response to one request, with the interim responses before it.
/// Performs no I/O and does not store the body, so that its user can count each
/// part before it stores it.
class ResponseParser {
 public:
  /// The status line and the header fields of the final response.
  struct Head {
    /// The response without its body.
    Response response;
    /// Size of the body; nullopt if it is not known before the end.
    std::optional<std::uint64_t> body_bytes;
    /// Whether only the end of the connection ends the body.
    bool until_close = false;
    /// Whether the server accepts another request on the connection.
    bool keep_alive = false;
  };
  /// The bytes are no response.
  struct Malformed {
    /// Names what is malformed, or the limit that is exceeded.
    std::string reason;
  };
  using Element = std::variant<NeedMore, Head, BodyPart, MessageEnd, Malformed>;

  /// @param max_head_bytes bound of all that precedes the body, interim
  ///     responses included; of the trailer; and of all chunk extensions
  ///     together
  explicit ResponseParser(std::size_t max_head_bytes);
  ~ResponseParser();
  ResponseParser(const ResponseParser&) = delete;
  ResponseParser& operator=(const ResponseParser&) = delete;

  /// Reads the next element. Not to be called again after MessageEnd or
  /// Malformed.
  /// @param input bytes of the connection from the first that was not consumed
  /// @param consumed receives the number of bytes to remove from the input's
  ///     front; the rest must be passed again, with what arrives later
  Element Read(std::string_view input, std::size_t* consumed);
  /// Returns whether the response is complete if the connection ends in order
  /// after what was read.
  bool CompleteAtClose() const;
  /// Estimate of the memory that the header fields take in a Response, in
  /// bytes.
  std::size_t stored_bytes() const;

 private:
  class Impl;

  /// Reads a head, or an interim response.
  Element ReadHead(std::string_view input, std::size_t* consumed);

  std::size_t max_head_bytes_;
  /// Parses the current response.
  std::unique_ptr<Impl> impl_;
  bool head_read_ = false;
  /// Size of the heads that were read.
  std::size_t head_bytes_ = 0;
  /// Bytes of the input that do not end the head.
  std::size_t searched_bytes_ = 0;
  bool status_line_checked_ = false;
};

}  // namespace mulberryroad::http

#endif  // MULBERRYROAD_SRC_HTTP_RESPONSE_PARSER_H_
