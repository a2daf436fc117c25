#include "http/request_parser.h"

#include <utility>

#include "http/message_parser.h"
#include "http/text.h"

namespace mulberryroad::http {

namespace {

namespace beast = boost::beast;
using beast::error_code;
using beast::string_view;
using internal::ToView;
using Message = internal::MessageParser</*kIsRequest=*/true>;

constexpr int kBadRequest = 400;
constexpr int kExpectationFailed = 417;
constexpr int kHeadersTooLarge = 431;
constexpr int kNotImplemented = 501;
constexpr int kVersionNotSupported = 505;
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

}  // namespace

/// Receives what the parser of Boost.Beast finds.
class RequestParser::Impl : public Message {
 public:
  using Message::Message;

  Element Read(std::string_view input, std::size_t* consumed);

  bool started() const { return started_; }
  std::size_t stored_bytes() const { return stored_bytes_; }

 private:
  struct ToElement;

  void on_request_impl(beast::http::verb verb, string_view /*method*/,
                       string_view target, int version,
                       error_code& error) override;
  void on_response_impl(int /*status*/, string_view /*reason*/, int /*version*/,
                        error_code& error) override {
    error = beast::http::error::bad_method;
  }
  void on_field_impl(beast::http::field field, string_view name,
                     string_view value, error_code& error) override;

  // Makes the parser stop with a status of this class's choice.
  void FailWith(int status, std::string reason, error_code* error) {
    status_ = status;
    Fail(std::move(reason), error);
  }
  Malformed FailureOf(const error_code& error) const;
  std::size_t SkipEmptyLines(std::string_view input);
  Element ReadHead(std::string_view input, std::size_t* consumed);
  Head TakeHead();

  Request request_;
  int version_ = 0;
  bool started_ = false;
  bool head_taken_ = false;
  bool expects_continue_ = false;
  std::size_t empty_line_bytes_ = 0;
  /// Bytes of the head that were consumed.
  std::size_t head_bytes_ = 0;
  std::size_t stored_bytes_ = 0;
  /// Status of the refusal if Fail was called.
  int status_ = kBadRequest;
};

/// Converts an element of the body.
struct RequestParser::Impl::ToElement {
  template <typename BodyElement>
  Element operator()(const BodyElement& element) const {
    return element;
  }
  Element operator()(const Message::Failed& failed) const {
    return Malformed{kBadRequest, failed.reason};
  }
};

void RequestParser::Impl::on_request_impl(beast::http::verb verb,
                                          string_view /*method*/,
                                          string_view target, int version,
                                          error_code& error) {
  const std::optional<Method> method = ParseMethod(verb);
  if (!method.has_value()) {
    FailWith(kNotImplemented, "the method is not supported", &error);
    return;
  }
  version_ = version;
  request_.method = *method;
  request_.target = OriginForm(ToView(target));
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
  const std::size_t bytes =
      name.size() + value.size() + internal::kSeparatorBytes;
  request_.header_bytes += bytes;
  if (request_.header_bytes > max_bytes()) {
    FailWith(kHeadersTooLarge, LimitText("the headers"), &error);
    return;
  }
  // Beast ignores other codings, and reads no body then.
  if (field == beast::http::field::transfer_encoding &&
      !beast::iequals(value, "chunked")) {
    FailWith(kNotImplemented, "the transfer coding is not supported", &error);
    return;
  }
  if (field == beast::http::field::transfer_encoding && version_ < 11) {
    FailWith(kBadRequest, "HTTP/1.0 has no transfer codings", &error);
    return;
  }
  if (field == beast::http::field::expect) {
    if (!beast::iequals(value, "100-continue")) {
      FailWith(kExpectationFailed, "the expectation is not supported", &error);
      return;
    }
    expects_continue_ = true;
  }
  stored_bytes_ += bytes + internal::kFieldOverheadBytes;
  request_.headers[internal::LowerCase(std::string(ToView(name)))] =
      ToView(value);
}

RequestParser::Malformed RequestParser::Impl::FailureOf(
    const error_code& error) const {
  if (has_failed()) {
    return {status_, ReasonOf(error)};
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
    if (empty_line_bytes_ > max_bytes()) {
      return Malformed{kBadRequest,
                       LimitText("the empty lines before the request")};
    }
  }
  return head_taken_ ? std::visit(ToElement{}, ReadBody(input, consumed))
                     : ReadHead(input, consumed);
}

RequestParser::Element RequestParser::Impl::ReadHead(std::string_view input,
                                                     std::size_t* consumed) {
  if (input.empty()) {
    return NeedMore{};
  }
  error_code error;
  const std::size_t used = Put(input, &error);
  *consumed += used;
  head_bytes_ += used;
  if (error && error != beast::http::error::need_more) {
    return FailureOf(error);
  }
  if (is_header_done()) {
    return head_bytes_ > max_bytes()
               ? Element(Malformed{kHeadersTooLarge, LimitText("the headers")})
               : Element(TakeHead());
  }
  // An incomplete head is passed again as a whole.
  if (head_bytes_ + input.size() - used > max_bytes()) {
    return Malformed{kHeadersTooLarge, LimitText("the headers")};
  }
  return NeedMore{};
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
