// Upstreams that send bytes without end, many at once, to one mulberry-node on
// the smallest machine. The tests guard against answers that the node stores
// without counting them.

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

#include "process/hostile_upstream.h"

namespace mulberryroad::process {
namespace {

constexpr std::size_t kRequests = 56;
constexpr int kUpstreams = 4;
constexpr int kItems = 160;
constexpr int kEndlessParts = 6;
// A test in which fewer answers begin plays too little. Upstreams whose answers
// fail are not used for some time.
constexpr int kMinEndlessAnswers = 8;
// Of a chunk of an endless body.
constexpr std::size_t kChunkBytes = 1'000'000;

std::string OkHead(const std::string& request_head,
                   const std::string& more_fields) {
  const std::string id = HostileUpstream::HeaderOf(request_head, "Request-Id");
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: s-" + id +
         "\r\n" + more_fields + "\r\n";
}

std::string Chunk(const std::string& bytes) {
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

// Returns an answer without end.
// @param number selects what has no end: the head, the interim responses, a
//     body in chunks, with a length or without one, or a single chunk
// @param content repeated in a body
ScriptedAnswer EndlessAnswer(int number, const std::string& request_head,
                             const std::string& content) {
  std::string bytes;
  while (bytes.size() < kChunkBytes) {
    bytes += content;
  }
  switch (number % kEndlessParts) {
    case 0:
      return {"HTTP/1.1 200 OK\r\nA: ", Filler()};
    case 1:
      return {"", "HTTP/1.1 100 Continue\r\nA: b\r\n\r\n"};
    case 2:
      return {OkHead(request_head, "Transfer-Encoding: chunked\r\n"),
              Chunk(bytes)};
    case 3:
      // Below the limit of a response, but never complete.
      return {OkHead(request_head, "Content-Length: 8388608\r\n") +
              std::string(8'388'607, 'x')};
    case 4:
      return {OkHead(request_head, ""), bytes};
    default:
      // One chunk that is larger than a response may be.
      return {OkHead(request_head, "Transfer-Encoding: chunked\r\n") +
                  "7fffffff\r\n",
              bytes};
  }
}

std::vector<std::unique_ptr<HostileUpstream>> StartEndless(
    const NodeRun& run, const std::string& service,
    const std::string& content) {
  std::vector<std::unique_ptr<HostileUpstream>> upstreams;
  upstreams.reserve(kUpstreams);
  for (int i = 0; i < kUpstreams; ++i) {
    upstreams.push_back(std::make_unique<HostileUpstream>(
        run.platform(), "hostile-" + std::to_string(i), service,
        [content, number = i](const std::string& head) mutable {
          return EndlessAnswer(number++, head, content);
        }));
  }
  return upstreams;
}

int RequestsOf(const std::vector<std::unique_ptr<HostileUpstream>>& upstreams) {
  int sum = 0;
  for (const auto& upstream : upstreams) {
    sum += upstream->requests();
  }
  return sum;
}

// Time in which the node reads registrations.
constexpr milliseconds kRegisterTime{1'500};

void RunRequests(const char* name, const char* service, const char* path,
                 const std::string& content) {
  const TestLock lock;
  NodeRun run(name, kSmallestMemoryMb, kSmallestMaxFds, kRealMaxBodyBytes);
  const auto upstreams = StartEndless(run, service, content);
  run.Observe(kRegisterTime);
  const std::vector<Script> scripts = {
      {LegalHead(LengthOf(0), "POST", path), "", 0}};
  run.Attack(scripts, kRequests);
  run.CloseCrowd();
  run.Check();
  cr_expect_geq(RequestsOf(upstreams), kMinEndlessAnswers,
                "only %d endless answers", RequestsOf(upstreams));
}

Test(hostile_upstreams, plain_answers_without_end) {
  RunRequests("plain", "desk", "/reports/1", "x");
}

Test(hostile_upstreams, streams_with_an_event_without_end) {
  RunRequests("event", "engines", "/streams/1", "x");
}

Test(hostile_upstreams, streams_of_empty_lines) {
  RunRequests("lines", "engines", "/streams/1", "\n");
}

Test(hostile_upstreams, streams_of_comments) {
  RunRequests("comments", "engines", "/streams/1", ": c\n\n");
}

std::string Batch(bool scored) {
  json items = json::array();
  for (int i = 0; i < kItems; ++i) {
    const std::string id = "item-" + std::to_string(i);
    items.push_back({{"id", id},
                     {"path", "/steps-a/" + id},
                     {"headers", {{"Model", "m0"}, {"Token-Count", "10,10"}}},
                     {"body", "YWJj"},
                     {"tokens", 20},
                     {"group", "g"}});
    if (scored) {
      items.back()["scorerUrl"] = {{"id", "score-" + id},
                                   {"host", soak::kHost},
                                   {"path", "/scores/" + id},
                                   {"body", "YWJj"}};
    }
  }
  return json{{"step", 1},
              {"model", "m0"},
              {"minVersion", 1},
              {"desired", 1},
              {"items", items}}
      .dump();
}

void RunItems(const char* name, const std::string& content) {
  const TestLock lock;
  NodeRun run(name, kSmallestMemoryMb, kSmallestMaxFds, kRealMaxBodyBytes);
  const auto upstreams = StartEndless(run, "engines", content);
  run.Observe(kRegisterTime);
  cr_expect_eq(run.Submit(Batch(/*scored=*/false)), 202);
  run.Observe(kAttackTime);
  run.Check();
  cr_expect_geq(RequestsOf(upstreams), kMinEndlessAnswers,
                "only %d endless answers", RequestsOf(upstreams));
}

Test(hostile_upstreams, items_with_an_event_without_end) {
  RunItems("item-event", "x");
}

// Guards against an event loop that is blocked, as the work for each byte of a
// stream grows with the bytes received.
Test(hostile_upstreams, items_of_empty_lines) { RunItems("item-lines", "\n"); }

Test(hostile_upstreams, scorers_without_end) {
  const TestLock lock;
  NodeRun run("scorers", kSmallestMemoryMb, kSmallestMaxFds, kRealMaxBodyBytes);
  const HostileUpstream engine(
      run.platform(), "engine", "engines", [](const std::string& head) {
        return ScriptedAnswer{
            OkHead(head,
                   "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n"
                   "Transfer-Encoding: chunked\r\n") +
            Chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"};
      });
  const auto upstreams = StartEndless(run, "desk", "x");
  run.Observe(kRegisterTime);
  cr_expect_eq(run.Submit(Batch(/*scored=*/true)), 202);
  run.Observe(kAttackTime);
  run.Check();
  cr_expect_geq(RequestsOf(upstreams), kMinEndlessAnswers,
                "only %d endless answers", RequestsOf(upstreams));
}

// Returns a request with a target of its own: a node does not send a request
// again whose target has broken off at several upstreams.
std::string CallerRequest(const char* path, const char* version) {
  static int number = 0;
  return "POST " + std::string(path) + std::to_string(++number) + " " +
         version + "\r\nHost: " + soak::kHost +
         "\r\nRequest-Id: h\r\nDeadline-Ms: 5000\r\nCredential: " +
         soak::kKeyOfA + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
}

/// Upstreams whose answers are cut, at a route of their own.
class CutRun {
 public:
  /// @param route whose requests go to the upstreams
  /// @param fields header fields of the answers, with their framing
  /// @param encoded_body body of the answers, framed as the fields say
  CutRun(const char* name, const char* route, std::string fields,
         std::string encoded_body)
      : run_(name, kSmallestMemoryMb, kSmallestMaxFds, kRealMaxBodyBytes),
        fields_(std::move(fields)),
        encoded_body_(std::move(encoded_body)) {
    RouteToService(run_, route, "cutters", /*max_attempts=*/1);
    // Several, as one that fails is not used for some time.
    for (int i = 0; i < 2 * kUpstreams; ++i) {
      upstreams_.push_back(std::make_unique<HostileUpstream>(
          run_.platform(), "cutter-" + std::to_string(i), "cutters",
          [this](const std::string& head) { return Answer(head); }));
    }
    run_.Observe(kRegisterTime);
  }

  std::size_t answer_bytes() const {
    return Whole("\r\nRequest-Id: h\r\n").size();
  }

  /// Requests an answer of which only the first bytes are sent.
  Reply RequestCut(std::size_t bytes, const char* path, const char* version) {
    Reply reply;
    const int before = cut_answers_;
    for (int i = 0; i < kMaxAttempts && cut_answers_ == before; ++i) {
      cut_ = bytes;
      reply = RequestWhole(CallerRequest(path, version));
      cut_ = std::string::npos;
      // Keeps the upstreams in use.
      RequestWhole(CallerRequest(path, version));
    }
    cr_expect_gt(cut_answers_.load(), before, "a cut at %zu was not played",
                 bytes);
    return reply;
  }

  Reply RequestWhole(const std::string& request) {
    return ReadToEnd(run_.front(), request, kReplyLimit);
  }

 private:
  std::string Whole(const std::string& request_head) const {
    return OkHead(request_head, fields_) + encoded_body_;
  }
  ScriptedAnswer Answer(const std::string& request_head) {
    const std::string whole = Whole(request_head);
    cut_answers_ += cut_ < whole.size() ? 1 : 0;
    return ScriptedAnswer{whole.substr(0, cut_), {}, AnswerEnd::kClose};
  }

  TestLock lock_;
  NodeRun run_;
  std::string fields_;
  std::string encoded_body_;
  // Bytes of an answer that are sent; npos for all.
  std::atomic<std::size_t> cut_ = std::string::npos;
  std::atomic<int> cut_answers_ = 0;
  std::vector<std::unique_ptr<HostileUpstream>> upstreams_;
};

// Guards against a cut answer that a caller gets as a complete one.
void RunCuts(const char* name, const char* route, const char* path,
             const std::string& fields, const std::string& encoded_body) {
  CutRun run(name, route, fields, encoded_body);
  for (const char* version : {"HTTP/1.1", "HTTP/1.0"}) {
    const auto is_complete = [](const Reply& reply) {
      const bool chunked =
          reply.bytes.find("Transfer-Encoding: chunked") != std::string::npos;
      return reply.status() >= 200 && reply.status() < 300 && reply.in_order &&
             (!chunked || reply.bytes.ends_with("0\r\n\r\n"));
    };
    const Reply whole = run.RequestWhole(CallerRequest(path, version));
    cr_expect(is_complete(whole), "%s", whole.bytes.c_str());
    for (std::size_t bytes = 0; bytes < run.answer_bytes(); ++bytes) {
      const Reply reply = run.RequestCut(bytes, path, version);
      cr_expect(!is_complete(reply), "cut at %zu: %s", bytes,
                reply.bytes.c_str());
    }
  }
}

constexpr char kEventFields[] = "Content-Type: text/event-stream\r\n";
constexpr char kEvent[] = "id: 1\ndata: a\n\n";

Test(cut_answers, with_a_length) {
  RunCuts("cut-length", "orders", "/orders/", LengthOf(5) + "\r\n", "whole");
}

Test(cut_answers, in_chunks) {
  RunCuts("cut-chunks", "orders", "/orders/", "Transfer-Encoding: chunked\r\n",
          Chunk("whole") + "0\r\n\r\n");
}

// Its body may end anywhere, so that only its head is cut.
Test(cut_answers, without_a_length) {
  RunCuts("cut-close", "orders", "/orders/", "Connection: close\r\n", "");
}

Test(cut_answers, of_a_stream_in_chunks) {
  RunCuts("cut-stream", "streams", "/streams/",
          std::string(kEventFields) + "Transfer-Encoding: chunked\r\n",
          Chunk(kEvent) + "0\r\n\r\n");
}

Test(cut_answers, of_a_stream_with_a_length) {
  RunCuts("cut-stream-length", "streams", "/streams/",
          kEventFields + LengthOf(sizeof(kEvent) - 1) + "\r\n", kEvent);
}

}  // namespace
}  // namespace mulberryroad::process
