// Incremental parser of the HTTP server.

#include "http/request_parser.h"

#include <criterion/criterion.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace mulberryroad::http {
namespace {

constexpr std::size_t kMaxHeadBytes = 1'000;

/// What a parser made of the bytes of a connection.
struct Parsed {
  std::optional<RequestParser::Head> head;
  std::string body;
  bool complete = false;
  std::optional<RequestParser::Malformed> malformed;
  /// Bytes behind the request.
  std::string rest;
  /// Most bytes that the parser left unconsumed or stored.
  std::size_t peak_bytes = 0;
};

// Passes bytes to a parser in pieces of a size.
Parsed Parse(std::string_view bytes, std::size_t piece) {
  RequestParser parser(kMaxHeadBytes);
  Parsed parsed;
  while (!parsed.complete && !parsed.malformed.has_value()) {
    std::size_t consumed = 0;
    const auto element = parser.Read(parsed.rest, &consumed);
    if (const auto* part = std::get_if<BodyPart>(&element)) {
      parsed.body += part->bytes;
    } else if (const auto* head = std::get_if<RequestParser::Head>(&element)) {
      parsed.head = *head;
    } else if (const auto* malformed =
                   std::get_if<RequestParser::Malformed>(&element)) {
      parsed.malformed = *malformed;
    }
    parsed.complete = std::holds_alternative<MessageEnd>(element);
    parsed.rest.erase(0, consumed);
    parsed.peak_bytes = std::max(parsed.peak_bytes, parsed.rest.size());
    if (std::holds_alternative<NeedMore>(element)) {
      if (bytes.empty()) {
        break;
      }
      parsed.rest += bytes.substr(0, piece);
      bytes.remove_prefix(std::min(piece, bytes.size()));
    }
  }
  return parsed;
}

// Guards against framing that counts as content, or that pieces circumvent.
Test(request_parser, reads_chunked_bodies_in_pieces_of_any_size) {
  const std::string bytes =
      "POST /a?b=c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4;a=b\r\nwxyz\r\n0a\r\n0123456789\r\n0\r\nHost: y\r\n\r\n";
  for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
    const Parsed parsed = Parse(bytes, piece);
    cr_assert(parsed.complete, "not complete in pieces of %zu", piece);
    cr_expect_str_eq(parsed.body.c_str(), "wxyz0123456789");
    cr_expect(!parsed.head->body_bytes.has_value());
    cr_expect_str_eq(parsed.head->request.target.c_str(), "/a?b=c");
    cr_expect_str_eq(parsed.head->request.path.c_str(), "/a");
    cr_expect(parsed.head->request.header("host") == "x",
              "a trailer must not change a header");
    cr_expect(parsed.rest.empty());
  }
}

// Guards against a body that is read as the next request.
Test(request_parser, reads_bodies_of_every_method) {
  for (const char* method : {"GET", "POST", "PUT", "DELETE"}) {
    const std::string bytes =
        std::string(method) +
        " /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhelloPOST /b";
    for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
      const Parsed parsed = Parse(bytes, piece);
      cr_assert(parsed.complete, "%s in pieces of %zu", method, piece);
      cr_expect_str_eq(parsed.body.c_str(), "hello");
      cr_expect(std::string("POST /b").starts_with(parsed.rest));
    }
  }
}

struct RefusedCase {
  const char* bytes;
  int status;
};

// Guards against requests that another parser frames in another way.
Test(request_parser, refuses_ambiguous_framing) {
  const RefusedCase cases[] = {
      {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
       400},
      {"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n"
       "\r\n",
       400},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n"
       "\r\n",
       400},
      {"POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", 400},
      {"POST / HTTP/1.1\r\nContent-Length: 0x1\r\n\r\n", 400},
      {"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", 400},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: identity\r\n\r\n", 501},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked, chunked\r\n\r\n", 501},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501},
      {"POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n", 400},
      {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
      {"POST / HTTP/1.1\nHost: x\n\n", 505},
      {"POST / HTTP/1.1\r\nHost: x\n\r\n", 400},
      {"POST / HTTP/2.0\r\n\r\n", 505},
      {"PATCH / HTTP/1.1\r\n\r\n", 501},
      {"POST / HTTP/1.1\r\nExpect: more\r\n\r\n", 417},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n\r\n\r\n",
       400},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\nx\r\n", 400},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxy0\r\n\r\n",
       400},
  };
  for (const RefusedCase& refused : cases) {
    const Parsed parsed = Parse(refused.bytes, 1'000);
    cr_assert(parsed.malformed.has_value(), "accepted: %s", refused.bytes);
    cr_expect_eq(parsed.malformed->status, refused.status,
                 "%d, expected %d: %s", parsed.malformed->status,
                 refused.status, refused.bytes);
  }
}

// Guards against parts of a request that grow without a bound.
Test(request_parser, bounds_every_part_that_is_no_content) {
  const std::string chunked =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string filler(100'000, 'x');
  std::string lines;
  std::string extensions;
  for (int i = 0; i < 10'000; ++i) {
    lines += "a: b\r\n";
    extensions += "1;aaaaaaaaaaaaaaaa\r\nx\r\n";
  }
  const std::string endless[] = {
      std::string(100'000, '\n'),
      std::string(100'000, '\r'),
      filler,
      "GET /" + filler,
      "GET / HTTP/1.1\r\n" + lines,
      "GET / HTTP/1.1\r\nX: " + filler,
      "GET / HTTP/1.1\r\n" + filler,
      chunked + std::string(100'000, '0'),
      chunked + "1;" + filler,
      chunked + extensions,
      chunked + "0\r\n" + lines,
      chunked + "0\r\nX: " + filler,
  };
  for (const std::string& bytes : endless) {
    for (const std::size_t piece : {1, 100, 16'384}) {
      const Parsed parsed = Parse(bytes, piece);
      cr_expect(parsed.malformed.has_value(),
                "accepted in pieces of %zu: %.60s", piece, bytes.c_str());
      cr_expect_leq(parsed.peak_bytes, kMaxHeadBytes + piece,
                    "%zu bytes were left in pieces of %zu", parsed.peak_bytes,
                    piece);
    }
  }
}

Test(request_parser, skips_empty_lines_before_a_request) {
  const Parsed parsed = Parse("\r\n\r\nGET / HTTP/1.1\r\n\r\n", 1);
  cr_expect(parsed.complete);
}

// Guards against fields that take far more memory than they count.
Test(request_parser, counts_the_memory_of_short_fields) {
  RequestParser parser(std::size_t{64} << 10U);
  std::string bytes = "GET / HTTP/1.1\r\n";
  constexpr std::size_t kFields = 1'000;
  for (std::size_t i = 0; i < kFields; ++i) {
    bytes += std::to_string(i) + ":\r\n";
  }
  std::size_t consumed = 0;
  parser.Read(bytes + "\r\n", &consumed);
  cr_expect_geq(parser.stored_bytes(), kFields * 100);
}

Test(request_parser, reads_targets_in_absolute_form) {
  const Parsed absolute =
      Parse("GET http://a.example/b?c HTTP/1.1\r\n\r\n", 100);
  cr_expect_str_eq(absolute.head->request.target.c_str(), "/b?c");
  const Parsed origin = Parse("GET //a/b HTTP/1.1\r\n\r\n", 100);
  cr_expect_str_eq(origin.head->request.path.c_str(), "//a/b");
}

}  // namespace
}  // namespace mulberryroad::http
