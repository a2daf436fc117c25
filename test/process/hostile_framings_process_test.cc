// Clients that nobody controls against one mulberry-node, by the method, path
// and framing of what they send. Each test guards against bytes that the node
// stores without counting them, or counts without giving them back.

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "process/hostile_clients.h"

namespace mulberryroad::process {
namespace {

// Enough clients to use all connections that kMaxFds leaves to callers.
constexpr std::size_t kManyClients = 56;
// Leaves callers twice as many descriptors as are reserved.
constexpr std::size_t kManyFds = 600;
constexpr std::size_t kMaxHeadBytes = 16'384;
// Fields of a head just below the 65,536 bytes that a node reads at most.
constexpr std::size_t kFieldsBytes = 64'000;
constexpr std::size_t kFieldsWriteBytes = 16U << 10U;
constexpr std::size_t kAnswerBytes = kMega;
constexpr std::size_t kItemBodyBytes = 1'000;
// Of each of the clients; together less than a sixth of the smallest machine's
// budget, so that a submission of the largest size still fits beside them.
constexpr std::size_t kUnfinishedBytes = 600'000;
constexpr std::size_t kChunkBytes = 0x4000;
// Longer than the attack, so that no slot of the upstream becomes free in it.
constexpr int kWorkMillis = 5'000;

std::string Chunk() {
  return "4000\r\n" + std::string(kChunkBytes, 'x') + "\r\n";
}

std::vector<std::string> Methods() {
  return {"GET", "DELETE", "PUT", "HEAD", "OPTIONS", "PATCH", "TRACE", "BREW"};
}

std::string UnroutedHead(const std::string& framing,
                         const std::string& method) {
  return method + " /nowhere/1 HTTP/1.1\r\nHost: case.example\r\nRequest-Id: " +
         "h\r\n" + framing + "\r\n\r\n";
}

// Bodies in chunks that stop short of the limit and of their end.
std::vector<Script> UnfinishedChunks(bool routed) {
  constexpr std::size_t kChunks = (kMaxBodyBytes - kMega / 4) / kChunkBytes;
  const std::string framing = "Transfer-Encoding: chunked";
  std::vector<Script> scripts;
  for (const std::string& method : Methods()) {
    scripts.push_back(
        {routed ? LegalHead(framing, method) : UnroutedHead(framing, method),
         Chunk(), kChunks * Chunk().size()});
  }
  return scripts;
}

std::vector<Script> UnfinishedLengths(bool routed) {
  const std::string framing = LengthOf(kMaxBodyBytes);
  std::vector<Script> scripts;
  for (const std::string& method : Methods()) {
    scripts.push_back(
        {routed ? LegalHead(framing, method) : UnroutedHead(framing, method),
         Filler(), kMaxBodyBytes - 1});
  }
  return scripts;
}

// A submission of copies of an item, as large as a body may be.
std::string Submission(const std::string& item) {
  std::string body = R"({"items":[)";
  while (body.size() + 2 * item.size() + 2 < kMaxBodyBytes) {
    body += item + ",";
  }
  body += item + "]}";
  return LegalHead(LengthOf(body.size()), "POST", "/steps-a/train") + body;
}

Test(hostile_framings, chunked_bodies_of_each_method_without_a_route) {
  RunAttack("unrouted-chunks", UnfinishedChunks(/*routed=*/false));
}

Test(hostile_framings, chunked_bodies_of_each_method_on_a_route) {
  RunAttack("routed-chunks", UnfinishedChunks(/*routed=*/true));
}

Test(hostile_framings, sized_bodies_of_each_method_without_a_route) {
  RunAttack("unrouted-lengths", UnfinishedLengths(/*routed=*/false));
}

Test(hostile_framings, sized_bodies_of_each_method_on_a_route) {
  RunAttack("routed-lengths", UnfinishedLengths(/*routed=*/true));
}

Test(hostile_framings, chunks_of_one_byte) {
  RunAttack("bytes", {{LegalHead("Transfer-Encoding: chunked"), "1\r\nx\r\n",
                       kMaxSentBytes}});
}

Test(hostile_framings, chunk_sizes_without_end) {
  RunAttack("sizes", {{LegalHead("Transfer-Encoding: chunked"), "0000000000",
                       kMaxSentBytes},
                      {LegalHead("Transfer-Encoding: chunked", "GET"),
                       "0000000000", kMaxSentBytes}});
}

Test(hostile_framings, chunk_extensions_without_end) {
  RunAttack("extensions",
            {{LegalHead("Transfer-Encoding: chunked") + "1;a=", Filler(),
              kMaxSentBytes},
             {LegalHead("Transfer-Encoding: chunked"),
              "1;" + std::string(8'000, 'a') + "\r\nx\r\n", kMaxSentBytes}});
}

Test(hostile_framings, empty_lines_in_place_of_a_chunk_size) {
  RunAttack(
      "chunk-lines",
      {{LegalHead("Transfer-Encoding: chunked"), "\r\n\r\n", kMaxSentBytes},
       {LegalHead("Transfer-Encoding: chunked"), "\n\n", kMaxSentBytes}});
}

Test(hostile_framings, trailers_without_end) {
  const std::string head =
      LegalHead("Transfer-Encoding: chunked") + "1\r\nx\r\n0\r\n";
  RunAttack("trailers", {{head, "X-Filler: filler\r\n", kMaxSentBytes},
                         {head + "X-Filler: ", Filler(), kMaxSentBytes}});
}

// Framings that two parsers may read differently.
Test(hostile_framings, bodies_with_contradictory_framings) {
  const std::size_t unfinished = kMaxBodyBytes - kMega / 4;
  std::vector<Script> scripts;
  for (const char* framing :
       {"Transfer-Encoding: chunked\r\nContent-Length: 3",
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: gzip, chunked", "Transfer-Encoding:\r\n chunked",
        "Transfer-Encoding:\013chunked", "Transfer-Encoding : chunked",
        "Transfer-Encoding: CHUNKED", "Transfer-Encoding: chunked;q=1",
        "transfer-encoding:chunked\r\nconnection: transfer-encoding"}) {
    scripts.push_back({LegalHead(framing), Chunk(), unfinished});
    scripts.push_back({LegalHead(framing, "GET"), Chunk(), unfinished});
  }
  for (const char* framing :
       {"Content-Length: 5\r\nContent-Length: 6000000",
        "Content-Length: 6000000\r\nContent-Length: 5",
        "Content-Length: +6000000", "Content-Length: 6000000, 6000000",
        "Content-Length: 0x5b8d80", "Content-Length: 6000000 ",
        "Content-Length:\r\n 6000000", "Content-Length: 18446744073709551615",
        "Content-Length: -1"}) {
    scripts.push_back({LegalHead(framing), Filler(), unfinished});
    scripts.push_back({LegalHead(framing, "DELETE"), Filler(), unfinished});
  }
  RunAttack("contradictory", scripts, scripts.size());
}

// Heads whose lines end with a line feed alone, or are folded.
Test(hostile_framings, bodies_after_heads_with_odd_line_ends) {
  const std::size_t unfinished = kMaxBodyBytes - kMega / 4;
  std::vector<Script> scripts;
  for (const char* method : {"POST", "GET"}) {
    const std::string start = std::string(method) + " /nowhere HTTP/1.1";
    for (const char* lines :
         {"\nHost: a\nTransfer-Encoding: chunked\n\n",
          "\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\n",
          "\nHost: a\r\nTransfer-Encoding: chunked\n\r\n",
          "\r\nHost: a\r\nX:\r\n Transfer-Encoding: chunked\r\n"
          "Transfer-Encoding:\r\n\tchunked\r\n\r\n"}) {
      scripts.push_back({start + lines, Chunk(), unfinished});
    }
  }
  RunAttack("line-ends", scripts);
}

Test(hostile_framings, heads_of_many_short_fields) {
  RunAttack("fields",
            {{"GET / HTTP/1.1\r\n", "a:\r\n", kFieldsBytes, kFieldsWriteBytes}},
            kManyClients);
}

Test(hostile_framings, pipelined_requests_with_bodies) {
  const std::string body(100'000, 'x');
  RunAttack(
      "pipelined-bodies",
      {{"", UnroutedHead(LengthOf(body.size()), "GET") + body, kMaxSentBytes},
       {"",
        UnroutedHead("Transfer-Encoding: chunked", "GET") + Chunk() +
            "0\r\n\r\n",
        kMaxSentBytes},
       {"", LegalHead(LengthOf(body.size())) + body, kMaxSentBytes},
       {LegalHead(LengthOf(5)) + "hello",
        "GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n", kMaxSentBytes}});
}

Test(hostile_framings, large_answers_that_nobody_reads) {
  RunAttack(
      "answers",
      {{LegalHead("Answer-Bytes: " + std::to_string(kAnswerBytes)), "", 0}},
      kManyClients);
}

// Fields of requests that wait for an upstream.
Test(hostile_framings, running_requests_with_many_fields) {
  std::string fields = "Work-Ms: " + std::to_string(kWorkMillis);
  for (int i = 0; fields.size() < kMaxHeadBytes - 1'000; ++i) {
    char field[16];
    std::snprintf(field, sizeof(field), "\r\n%03x: ", static_cast<unsigned>(i));
    fields += field;
  }
  const TestLock lock;
  NodeRun run("running-fields", kMemoryMb, kMaxFds, kMaxBodyBytes);
  const std::vector<Script> scripts = {{LegalHead(fields), "", 0}};
  run.Attack(scripts, kManyClients);
  run.CloseCrowd();
  run.Check();
}

// Complete bodies of requests that wait for an upstream.
Test(hostile_framings, running_requests_with_large_bodies) {
  const TestLock lock;
  NodeRun run("running-bodies", kMemoryMb, kMaxFds, kMaxBodyBytes);
  const std::string work = "Work-Ms: " + std::to_string(kWorkMillis) + "\r\n";
  std::string chunks;
  while (chunks.size() + kMega / 2 < kMaxBodyBytes) {
    chunks += Chunk();
  }
  const std::vector<Script> scripts = {
      {LegalHead(work + "Transfer-Encoding: chunked") + chunks + "0\r\n\r\n",
       "", 0},
      {LegalHead(work + LengthOf(kMaxBodyBytes)) +
           std::string(kMaxBodyBytes, 'x'),
       "", 0},
      {LegalHead(work + LengthOf(kMaxBodyBytes), "GET") +
           std::string(kMaxBodyBytes, 'x'),
       "", 0}};
  run.Attack(scripts, kClients);
  run.CloseCrowd();
  run.Check();
}

Test(hostile_framings, submissions_of_empty_items) {
  RunAttack("empty-items", {{Submission("{}"), "", 0}});
}

Test(hostile_framings, submissions_of_nested_values) {
  std::string nested = LegalHead(LengthOf(kMaxBodyBytes), "POST", "/steps-a/t");
  nested += std::string(kMaxBodyBytes, '[');
  RunAttack("nested",
            {{nested, "", 0},
             {Submission("[[[[]]]]"), "", 0},
             {Submission(R"({"id":{},"path":[],"headers":{"a":{}}})"), "", 0}});
}

// More connections than descriptors, each with a request that waits.
Test(hostile_framings, running_requests_over_the_descriptor_limit) {
  const TestLock lock;
  NodeRun run("running", kMemoryMb, kManyFds, kMaxBodyBytes);
  const std::vector<Script> scripts = {
      {LegalHead("Work-Ms: " + std::to_string(kWorkMillis)), "", 0}};
  run.Attack(scripts, 2 * kManyFds);
  run.CloseCrowd();
  run.Check();
}

// Guards against a decoder that needs many times the size of a submission.
Test(hostile_framings, submission_of_many_small_items) {
  const TestLock lock;
  NodeRun run("small-items", kSmallestMemoryMb, kSmallestMaxFds, kMaxBodyBytes);
  std::string body = R"({"items":[)";
  for (int i = 0; body.size() < kMaxBodyBytes - 200; ++i) {
    body += (i > 0 ? "," : "") + json{{"id", std::to_string(i)},
                                      {"path", "/streams/1"},
                                      {"body", "eA=="}}
                                     .dump();
  }
  body += "]}";
  const int status = run.Submit(body);
  cr_expect_eq(status, 202, "the submission got %d", status);
  run.Check();
}

// A submission of the largest size, with items of ordinary size.
std::string LargestSubmission() {
  std::string body = R"({"items":[)";
  const std::string item_body(kItemBodyBytes, 'A');
  for (int i = 0; body.size() + 2 * kItemBodyBytes < kRealMaxBodyBytes; ++i) {
    body += (i > 0 ? "," : "") + json{{"id", std::to_string(i)},
                                      {"path", "/streams/1"},
                                      {"body", item_body}}
                                     .dump();
  }
  return body + "]}";
}

// Guards against a submission that holds more copies than are counted.
Test(hostile_framings, largest_submission_on_the_smallest_machine) {
  const TestLock lock;
  NodeRun run("largest-submission", kSmallestMemoryMb, kSmallestMaxFds,
              kRealMaxBodyBytes);
  const int status = run.Submit(LargestSubmission());
  cr_expect_eq(status, 202, "the submission got %d", status);
  run.Check();
}

Test(hostile_framings, largest_submission_beside_unfinished_bodies) {
  const TestLock lock;
  NodeRun run("submission", kSmallestMemoryMb, kSmallestMaxFds,
              kRealMaxBodyBytes);
  const std::vector<Script> scripts = {
      {LegalHead(LengthOf(kMega)), Filler(), kUnfinishedBytes}};
  run.Attack(scripts, kClients);
  // It may be refused: the unfinished bodies use a part of the memory.
  run.Submit(LargestSubmission());
  run.Check();
}

}  // namespace
}  // namespace mulberryroad::process
