#include "http/request_parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <cstdint>
#include <utility>

#include "http/text.h"

namespace mulberryroad::http {

namespace {

namespace beast = boost::beast;
using beast::error_code;
using beast::string_view;
using BeastParser = beast::http::basic_parser</*isRequest=*/true>;

constexpr int kBadRequest = 400;
constexpr int kExpectationFailed = 417;
constexpr int kHeadersTooLarge = 431;
constexpr int kNotImplemented = 501;
constexpr int kVersionNotSupported = 505;
// Bytes of a header line besides name and value: colon, space, CR and LF.
constexpr std::size_t kSeparatorBytes = 4;
// Memory of a field in a Request besides its text: the node of the map and two
// strings.
constexpr std::size_t kFieldOverheadBytes = 128;
// Shortest rest of a chunked body from the size of a chunk on: "0\r\n\r\n".
// Beast's parser asserts that it gets as much.
constexpr std::size_t kMinChunkFramingBytes = 5;

std::optional<Method> ParseMethod(beast::http::verb verb) {
  switch (verb) {
    case beast::http::verb::get:
      return Method::kGet;
    case beast::http::verb::post:
      return Method::kPost;
    case beast::http::verb::put:
      return Method::kPut;
    case beast::http::verb::delete_:
      return Method::kDelete;
    default:
      return std::nullopt;
  }
}

// Returns the path and query of a target, which may be in absolute form (RFC
// 9112, section 3.2.2).
std::string_view OriginForm(std::string_view target) {
  constexpr std::string_view kSchemes[] = {"http://", "https://"};
  for (const std::string_view scheme : kSchemes) {
    if (target.starts_with(scheme)) {
      target.remove_prefix(scheme.size());
      const std::size_t path = target.find('/');
      return path == std::string_view::npos ? "/" : target.substr(path);
    }
  }
  return target;
}

std::string_view View(string_view text) { return {text.data(), text.size()}; }

}  // namespace

/// Receives what the parser of Boost.Beast finds.
class RequestParser::Impl : public BeastParser {
 public:
  explicit Impl(std::size_t max_head_bytes) : max_bytes_(max_head_bytes) {
    header_limit(static_cast<std::uint32_t>(max_head_bytes));
    body_limit(boost::none);
    eager(false);
  }

  Element Read(std::string_view input, std::size_t* consumed);

  bool started() const { return started_; }
  std::size_t stored_bytes() const { return stored_bytes_; }

 private:
  void on_request_impl(beast::http::verb verb, string_view /*method*/,
                       string_view target, int version,
                       error_code& error) override;
  void on_response_impl(int /*status*/, string_view /*reason*/, int /*version*/,
                        error_code& error) override {
    error = beast::http::error::bad_method;
  }
  void on_field_impl(beast::http::field field, string_view name,
                     string_view value, error_code& error) override;
  void on_header_impl(error_code& /*error*/) override {}
  void on_body_init_impl(
      const boost::optional<std::uint64_t>& /*content_length*/,
      error_code& /*error*/) override {}
  std::size_t on_body_impl(string_view body, error_code& /*error*/) override {
    part_ = View(body);
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t size, string_view extensions,
                            error_code& error) override;
  std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, string_view body,
                                 error_code& /*error*/) override {
    part_ = View(body);
    chunk_left_ -= body.size();
    return body.size();
  }
  void on_finish_impl(error_code& /*error*/) override {}

  // Makes the parser stop with a status of this class's choice.
  void Fail(int status, std::string reason, error_code* error) {
    failure_ = {status, std::move(reason)};
    *error = beast::http::error::bad_value;
  }
  Malformed FailureOf(const error_code& error) const;
  std::size_t SkipEmptyLines(std::string_view input);
  Head TakeHead();
  std::string LimitText(const char* what) const {
    return std::string(what) + " exceed " + std::to_string(max_bytes_) +
           " bytes";
  }

  std::size_t max_bytes_;
  Request request_;
  int version_ = 0;
  bool started_ = false;
  bool head_taken_ = false;
  bool expects_continue_ = false;
  std::size_t empty_line_bytes_ = 0;
  /// Bytes of the head that were consumed.
  std::size_t head_bytes_ = 0;
  std::size_t extension_bytes_ = 0;
  std::size_t stored_bytes_ = 0;
  std::uint64_t chunk_left_ = 0;
  std::string_view part_;
  Malformed failure_;
};

void RequestParser::Impl::on_request_impl(beast::http::verb verb,
                                          string_view /*method*/,
                                          string_view target, int version,
                                          error_code& error) {
  const std::optional<Method> method = ParseMethod(verb);
  if (!method.has_value()) {
    Fail(kNotImplemented, "the method is not supported", &error);
    return;
  }
  version_ = version;
  request_.method = *method;
  request_.target = OriginForm(View(target));
  request_.path =
      request_.target.substr(0, request_.target.find_first_of("?#"));
  stored_bytes_ = request_.target.size() + request_.path.size();
}

void RequestParser::Impl::on_field_impl(beast::http::field field,
                                        string_view name, string_view value,
                                        error_code& error) {
  // A trailer must not change what the head said.
  if (is_header_done()) {
    return;
  }
  const std::size_t bytes = name.size() + value.size() + kSeparatorBytes;
  request_.header_bytes += bytes;
  if (request_.header_bytes > max_bytes_) {
    Fail(kHeadersTooLarge, LimitText("the headers"), &error);
    return;
  }
  // Beast ignores other codings, and reads no body then.
  if (field == beast::http::field::transfer_encoding &&
      !beast::iequals(value, "chunked")) {
    Fail(kNotImplemented, "the transfer coding is not supported", &error);
    return;
  }
  if (field == beast::http::field::transfer_encoding && version_ < 11) {
    Fail(kBadRequest, "HTTP/1.0 has no transfer codings", &error);
    return;
  }
  if (field == beast::http::field::expect) {
    if (!beast::iequals(value, "100-continue")) {
      Fail(kExpectationFailed, "the expectation is not supported", &error);
      return;
    }
    expects_continue_ = true;
  }
  stored_bytes_ += bytes + kFieldOverheadBytes;
  request_.headers[internal::LowerCase(std::string(View(name)))] = View(value);
}

void RequestParser::Impl::on_chunk_header_impl(std::uint64_t size,
                                               string_view extensions,
                                               error_code& error) {
  chunk_left_ = size;
  extension_bytes_ += extensions.size();
  if (extension_bytes_ > max_bytes_) {
    Fail(kBadRequest, LimitText("the chunk extensions"), &error);
  }
}

RequestParser::Malformed RequestParser::Impl::FailureOf(
    const error_code& error) const {
  if (failure_.status != 0) {
    return failure_;
  }
  if (error == beast::http::error::header_limit) {
    return {kHeadersTooLarge, LimitText("the headers")};
  }
  if (error == beast::http::error::bad_version) {
    return {kVersionNotSupported, "the HTTP version is not supported"};
  }
  return {kBadRequest, "malformed request: " + error.message()};
}

// Clients may send empty lines before a request (RFC 9112, section 2.2).
std::size_t RequestParser::Impl::SkipEmptyLines(std::string_view input) {
  const std::size_t first = input.find_first_not_of("\r\n");
  const std::size_t skipped =
      first == std::string_view::npos ? input.size() : first;
  empty_line_bytes_ += skipped;
  started_ = started_ || !input.empty();
  return skipped;
}

RequestParser::Head RequestParser::Impl::TakeHead() {
  head_taken_ = true;
  Head head;
  head.request = std::move(request_);
  if (!chunked()) {
    head.body_bytes = content_length().value_or(0);
  }
  head.keep_alive = keep_alive();
  head.minor_version = version_ % 10;
  head.expects_continue = expects_continue_ && version_ >= 11;
  return head;
}

RequestParser::Element RequestParser::Impl::Read(std::string_view input,
                                                 std::size_t* consumed) {
  *consumed = 0;
  if (!got_some()) {
    *consumed = SkipEmptyLines(input);
    input.remove_prefix(*consumed);
    if (empty_line_bytes_ > max_bytes_) {
      return Malformed{kBadRequest,
                       LimitText("the empty lines before the request")};
    }
  }
  while (!is_done()) {
    const bool chunk_framing =
        is_header_done() && chunked() && chunk_left_ == 0;
    if (input.empty() ||
        (chunk_framing && input.size() < kMinChunkFramingBytes)) {
      return NeedMore{};
    }
    part_ = {};
    error_code error;
    const std::size_t used =
        put(boost::asio::const_buffer(input.data(), input.size()), error);
    *consumed += used;
    input.remove_prefix(used);
    if (error && error != beast::http::error::need_more) {
      return FailureOf(error);
    }
    if (!head_taken_) {
      head_bytes_ += used;
      if (head_bytes_ > max_bytes_) {
        return Malformed{kHeadersTooLarge, LimitText("the headers")};
      }
      if (is_header_done()) {
        return TakeHead();
      }
    }
    if (!part_.empty()) {
      return BodyPart{part_};
    }
    if (error == beast::http::error::need_more && !is_done()) {
      // An incomplete line or trailer is passed again as a whole.
      if (input.size() > max_bytes_) {
        return is_header_done()
                   ? Malformed{kBadRequest,
                               LimitText("the framing or the trailer")}
                   : Malformed{kHeadersTooLarge, LimitText("the headers")};
      }
      return NeedMore{};
    }
  }
  return End{};
}

RequestParser::RequestParser(std::size_t max_head_bytes)
    : impl_(std::make_unique<Impl>(max_head_bytes)) {}

RequestParser::~RequestParser() = default;

RequestParser::Element RequestParser::Read(std::string_view input,
                                           std::size_t* consumed) {
  return impl_->Read(input, consumed);
}

bool RequestParser::started() const { return impl_->started(); }

std::size_t RequestParser::stored_bytes() const {
  return impl_->stored_bytes();
}

}  // namespace mulberryroad::http
