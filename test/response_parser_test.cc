// Tests of the parser of HTTP responses.

#include "http/response_parser.h"

#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace mulberryroad::http {
namespace {

constexpr std::size_t kMaxHeadBytes = 4'096;

struct Parsed {
  int status = 0;
  std::string body;
  bool head = false;
  bool complete = false;
  bool keep_alive = false;
  std::string reason;
  /// Bytes behind the response.
  std::size_t left = 0;
};

// Parses a response that arrives in pieces of a size.
// @param closed whether the connection ends in order behind it
Parsed Parse(const std::string& text, std::size_t piece, bool closed = false) {
  ResponseParser parser(kMaxHeadBytes);
  Parsed parsed;
  std::string input;
  std::size_t arrived = 0;
  while (!parsed.complete && parsed.reason.empty()) {
    std::size_t consumed = 0;
    auto element = parser.Read(input, &consumed);
    if (auto* head = std::get_if<ResponseParser::Head>(&element)) {
      parsed.head = true;
      parsed.status = head->response.status;
      parsed.keep_alive = head->keep_alive;
    } else if (const auto* part = std::get_if<BodyPart>(&element)) {
      parsed.body += part->bytes;
    } else if (const auto* malformed =
                   std::get_if<ResponseParser::Malformed>(&element)) {
      parsed.reason = malformed->reason;
    }
    parsed.complete = std::holds_alternative<MessageEnd>(element);
    input.erase(0, consumed);
    if (std::holds_alternative<NeedMore>(element)) {
      if (arrived == text.size()) {
        break;
      }
      const std::string next = text.substr(arrived, piece);
      arrived += next.size();
      input += next;
    }
  }
  parsed.complete =
      parsed.complete || (closed && arrived == text.size() &&
                          parsed.reason.empty() && parser.CompleteAtClose());
  parsed.left = input.size() + text.size() - arrived;
  return parsed;
}

const std::vector<std::size_t>& Pieces() {
  static const std::vector<std::size_t> pieces = {1, 2, 3, 7, 100'000};
  return pieces;
}

Test(response_parser, framings_give_the_body) {
  struct Case {
    std::string text;
    int status;
    std::string body;
    bool keep_alive;
    bool needs_close;
  };
  const std::vector<Case> cases = {
      {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", 200, "whole", true,
       false},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
       "2;x=y\r\nwh\r\n3\r\nole\r\n0\r\nTrailer: t\r\n\r\n",
       200, "whole", true, false},
      {"HTTP/1.1 200\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", 200,
       "", false, false},
      {"HTTP/1.1 204 No Content\r\n\r\n", 204, "", true, false},
      {"HTTP/1.1 100 Continue\r\nA: b\r\n\r\nHTTP/1.1 103 Early\r\n\r\n"
       "HTTP/1.1 404 Not Found\r\nContent-Length: 1\r\n\r\nx",
       404, "x", true, false},
      {"HTTP/1.1 200 OK\r\n\r\nwhole", 200, "whole", false, true},
      {"HTTP/1.0 500 \r\n\r\nwhole", 500, "whole", false, true},
  };
  for (const Case& test_case : cases) {
    for (const std::size_t piece : Pieces()) {
      const Parsed parsed = Parse(test_case.text, piece, /*closed=*/true);
      cr_expect(parsed.complete, "%s: %s", test_case.text.c_str(),
                parsed.reason.c_str());
      cr_expect_eq(parsed.status, test_case.status);
      cr_expect_str_eq(parsed.body.c_str(), test_case.body.c_str());
      cr_expect_eq(parsed.keep_alive, test_case.keep_alive, "%s",
                   test_case.text.c_str());
      cr_expect_eq(Parse(test_case.text, piece).complete,
                   !test_case.needs_close);
    }
  }
}

// Guards against a response that is cut and still counts as complete.
Test(response_parser, response_that_is_cut_is_complete) {
  const std::vector<std::string> responses = {
      "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 5\r\n\r\nwhole",
      "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nwhole\r\n0\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0"
      "\r\n\r\n"};
  for (const std::string& response : responses) {
    for (std::size_t cut = 0; cut < response.size(); ++cut) {
      const Parsed parsed =
          Parse(response.substr(0, cut), response.size(), /*closed=*/true);
      cr_expect(!parsed.complete, "\"%s\" cut at %zu", response.c_str(), cut);
    }
  }
  // Without a length, only the body may end anywhere.
  const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\n";
  for (std::size_t cut = 0; cut < head.size(); ++cut) {
    cr_expect(!Parse(head.substr(0, cut), 1, /*closed=*/true).complete);
  }
}

Test(response_parser, malformed_responses_are_refused) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::vector<std::string> cases = {
      "garbage\r\n\r\n",
      "HTTP/1.1 2?0 OK\r\n\r\n",
      "HTTP/1.1 101 Switching Protocols\r\n\r\n",
      ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      ok + "Content-Length: x\r\n\r\n",
      ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      ok + "Transfer-Encoding: identity\r\n\r\nab",
      ok + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      ok + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n\r\n",
      ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n",
      ok + "No colon\r\n\r\n",
  };
  for (const std::string& text : cases) {
    for (const std::size_t piece : Pieces()) {
      const Parsed parsed = Parse(text, piece, /*closed=*/true);
      cr_expect(!parsed.reason.empty(), "%s", text.c_str());
      cr_expect(!parsed.complete, "%s", text.c_str());
    }
  }
}

// Guards against elements that grow without end inside the parser.
Test(response_parser, elements_without_end_are_refused) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"", "x"},
      {"HTTP/1.1 200 ", "x"},
      {ok + "A: ", "x"},
      {ok, "A: b\r\n"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {chunked, "0"},
      {chunked + "1;", "x"},
      {chunked, "1;extension\r\nx\r\n"},
      {chunked + "0\r\nA: ", "x"},
      {chunked + "0\r\n", "A: b\r\n"},
  };
  for (const auto& [start, repeated] : cases) {
    std::string text = start;
    while (text.size() < 16 * kMaxHeadBytes) {
      text += repeated;
    }
    for (const std::size_t piece : Pieces()) {
      const Parsed parsed = Parse(text, piece);
      cr_expect(!parsed.reason.empty(), "%s and %s", start.c_str(),
                repeated.c_str());
    }
  }
}

Test(response_parser, bytes_behind_the_response_are_left) {
  const Parsed parsed =
      Parse("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1", 100);
  cr_assert(parsed.complete);
  cr_assert_str_eq(parsed.body.c_str(), "x");
  cr_assert_eq(parsed.left, 8);
}

}  // namespace
}  // namespace mulberryroad::http
