#include "http/response_parser.h"

#include <algorithm>
#include <utility>

#include "http/message_parser.h"
#include "http/text.h"

namespace mulberryroad::http {

namespace {

namespace beast = boost::beast;
using beast::error_code;
using beast::string_view;
using internal::ToView;
using Message = internal::MessageParser</*kIsRequest=*/false>;

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr int kFirstFinalStatus = 200;
constexpr int kSwitchingProtocols = 101;

// Adds the space behind the status if the head has neither it nor a reason
// phrase, as some servers send it. Beast's parser requires the space (RFC 9112,
// section 4).
std::string WithSpaceBehindStatus(std::string_view head) {
  std::string text(head);
  const std::size_t line_end = text.find(kLineEnd);
  if (line_end == internal::kStatusLineBytes) {
    text.insert(line_end, " ");
  }
  return text;
}

}  // namespace

/// Receives what the parser of Boost.Beast finds in one response.
class ResponseParser::Impl : public Message {
 public:
  using Message::Message;

  /// Parses a complete head.
  /// @return the reason why it is malformed, or nullopt
  std::optional<std::string> ParseHead(std::string_view head) {
    error_code error;
    Put(head, &error);
    if (error && error != beast::http::error::need_more) {
      return "malformed head: " + ReasonOf(error);
    }
    return is_header_done() ? std::nullopt
                            : std::optional<std::string>("malformed head");
  }

  int status() const { return response_.status; }
  std::size_t stored_bytes() const { return stored_bytes_; }

  Head TakeHead() {
    Head head;
    head.response = std::move(response_);
    head.until_close = need_eof();
    if (!chunked() && !head.until_close) {
      head.body_bytes = is_done() ? 0 : content_length().value_or(0);
    }
    head.keep_alive = keep_alive();
    return head;
  }

 private:
  void on_request_impl(beast::http::verb /*verb*/, string_view /*method*/,
                       string_view /*target*/, int /*version*/,
                       error_code& error) override {
    error = beast::http::error::bad_status;
  }
  void on_response_impl(int status, string_view /*reason*/, int /*version*/,
                        error_code& /*error*/) override {
    response_.status = status;
  }
  void on_field_impl(beast::http::field field, string_view name,
                     string_view value, error_code& error) override {
    // A trailer must not change what the head said.
    if (is_header_done()) {
      return;
    }
    // Beast reads a body with other codings up to the end of the connection.
    if (field == beast::http::field::transfer_encoding &&
        !beast::iequals(value, "chunked")) {
      Fail("the transfer coding is not supported", &error);
      return;
    }
    stored_bytes_ += name.size() + value.size() + internal::kSeparatorBytes +
                     internal::kFieldOverheadBytes;
    response_.headers[internal::LowerCase(std::string(ToView(name)))] =
        ToView(value);
  }

  Response response_;
  std::size_t stored_bytes_ = 0;
};

ResponseParser::ResponseParser(std::size_t max_head_bytes)
    : max_head_bytes_(max_head_bytes),
      impl_(std::make_unique<Impl>(max_head_bytes)) {}

ResponseParser::~ResponseParser() = default;

ResponseParser::Element ResponseParser::ReadHead(std::string_view input,
                                                 std::size_t* consumed) {
  if (!status_line_checked_) {
    const std::size_t line_end = input.find(kLineEnd, searched_bytes_);
    status_line_checked_ = line_end != std::string_view::npos;
    if (status_line_checked_ &&
        !internal::IsStatusLine(input.substr(0, line_end))) {
      return Malformed{"the status line is malformed"};
    }
  }
  const std::size_t end = input.find(kHeadEnd, searched_bytes_);
  const std::size_t head_bytes =
      end == std::string_view::npos ? input.size() : end + kHeadEnd.size();
  if (head_bytes_ + head_bytes > max_head_bytes_) {
    return Malformed{"the head exceeds " + std::to_string(max_head_bytes_) +
                     " bytes"};
  }
  if (end == std::string_view::npos) {
    // The end may span these and later bytes.
    searched_bytes_ =
        input.size() - std::min(input.size(), kHeadEnd.size() - 1);
    return NeedMore{};
  }
  *consumed += head_bytes;
  head_bytes_ += head_bytes;
  searched_bytes_ = 0;
  status_line_checked_ = false;
  if (const auto reason = impl_->ParseHead(
          WithSpaceBehindStatus(input.substr(0, head_bytes)))) {
    return Malformed{*reason};
  }
  if (impl_->status() == kSwitchingProtocols) {
    return Malformed{"the response switches protocols"};
  }
  head_read_ = impl_->status() >= kFirstFinalStatus;
  return impl_->TakeHead();
}

ResponseParser::Element ResponseParser::Read(std::string_view input,
                                             std::size_t* consumed) {
  *consumed = 0;
  while (!head_read_) {
    Element element = ReadHead(input.substr(*consumed), consumed);
    if (head_read_ || !std::holds_alternative<Head>(element)) {
      return element;
    }
    // That was an interim response; the final one follows.
    impl_ = std::make_unique<Impl>(max_head_bytes_);
  }
  struct ToElement {
    Element operator()(const Message::Failed& failed) const {
      return Malformed{failed.reason};
    }
    Element operator()(const NeedMore& element) const { return element; }
    Element operator()(const BodyPart& element) const { return element; }
    Element operator()(const MessageEnd& element) const { return element; }
  };
  return std::visit(ToElement{}, impl_->ReadBody(input, consumed));
}

bool ResponseParser::CompleteAtClose() const {
  return head_read_ && impl_->need_eof();
}

std::size_t ResponseParser::stored_bytes() const {
  return impl_->stored_bytes();
}

}  // namespace mulberryroad::http
