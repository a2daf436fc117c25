// What the parsers of HTTP requests and responses share: the body, with or
// without chunks, and the limits of its framing.

#ifndef MULBERRYROAD_SRC_HTTP_MESSAGE_PARSER_H_
#define MULBERRYROAD_SRC_HTTP_MESSAGE_PARSER_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "http/message_element.h"

namespace mulberryroad::http::internal {

// Bytes of a header line besides name and value: colon, space, CR and LF.
inline constexpr std::size_t kSeparatorBytes = 4;
// Memory of a stored field besides its text: the node of the map and two
// strings.
inline constexpr std::size_t kFieldOverheadBytes = 128;

inline std::string_view ToView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/// Wraps the incremental parser of Boost.Beast. Does not store the body.
template <bool kIsRequest>
class MessageParser : public boost::beast::http::basic_parser<kIsRequest> {
 public:
  using Base = boost::beast::http::basic_parser<kIsRequest>;
  using ErrorCode = boost::beast::error_code;

  /// Exceeds a limit or is malformed.
  struct Failed {
    std::string reason;
  };
  using BodyElement = std::variant<NeedMore, BodyPart, MessageEnd, Failed>;

  /// @param max_bytes bound of the head, the trailer, the line of a chunk, and
  ///     all chunk extensions together
  explicit MessageParser(std::size_t max_bytes) : max_bytes_(max_bytes) {
    Base::header_limit(static_cast<std::uint32_t>(max_bytes));
    Base::body_limit(boost::none);
    Base::eager(false);
  }

  /// Reads the next element of the body. The head must be complete.
  /// @param consumed the number of bytes that were read is added to it
  BodyElement ReadBody(std::string_view input, std::size_t* consumed) {
    while (!Base::is_done()) {
      const bool chunk_framing = Base::chunked() && chunk_left_ == 0;
      if (input.empty() ||
          (chunk_framing && input.size() < kMinChunkFramingBytes)) {
        return NeedMore{};
      }
      part_ = {};
      ErrorCode error;
      const std::size_t used = Put(input, &error);
      *consumed += used;
      input.remove_prefix(used);
      if (error && error != boost::beast::http::error::need_more) {
        return Failed{ReasonOf(error)};
      }
      if (!part_.empty()) {
        return BodyPart{part_};
      }
      if (error && !Base::is_done()) {
        // An incomplete line or trailer is passed again as a whole.
        if (input.size() > max_bytes_) {
          return Failed{LimitText("the framing or the trailer")};
        }
        return NeedMore{};
      }
    }
    return MessageEnd{};
  }

 protected:
  std::size_t Put(std::string_view input, ErrorCode* error) {
    return Base::put(boost::asio::const_buffer(input.data(), input.size()),
                     *error);
  }
  /// Makes the parser stop for a reason of this class's choice.
  void Fail(std::string reason, ErrorCode* error) {
    failure_ = std::move(reason);
    *error = boost::beast::http::error::bad_value;
  }
  /// Whether Fail was called.
  bool has_failed() const { return failure_.has_value(); }
  std::string ReasonOf(const ErrorCode& error) const {
    return failure_.value_or(error.message());
  }
  std::string LimitText(const char* what) const {
    return std::string(what) + " exceed " + std::to_string(max_bytes_) +
           " bytes";
  }
  std::size_t max_bytes() const { return max_bytes_; }

  void on_header_impl(ErrorCode& /*error*/) override {}
  void on_body_init_impl(
      const boost::optional<std::uint64_t>& /*content_length*/,
      ErrorCode& /*error*/) override {}
  std::size_t on_body_impl(boost::beast::string_view body,
                           ErrorCode& /*error*/) override {
    part_ = ToView(body);
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t size,
                            boost::beast::string_view extensions,
                            ErrorCode& error) override {
    chunk_left_ = size;
    extension_bytes_ += extensions.size();
    if (extension_bytes_ > max_bytes_) {
      Fail(LimitText("the chunk extensions"), &error);
    }
  }
  std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/,
                                 boost::beast::string_view body,
                                 ErrorCode& /*error*/) override {
    part_ = ToView(body);
    chunk_left_ -= body.size();
    return body.size();
  }
  void on_finish_impl(ErrorCode& /*error*/) override {}

 private:
  // Shortest rest of a chunked body from the size of a chunk on: "0\r\n\r\n".
  // Beast's parser asserts that it gets as much.
  static constexpr std::size_t kMinChunkFramingBytes = 5;

  std::size_t max_bytes_;
  std::size_t extension_bytes_ = 0;
  std::uint64_t chunk_left_ = 0;
  std::string_view part_;
  std::optional<std::string> failure_;
};

}  // namespace mulberryroad::http::internal

#endif  // MULBERRYROAD_SRC_HTTP_MESSAGE_PARSER_H_
