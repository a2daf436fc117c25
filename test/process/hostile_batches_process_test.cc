// Accepted batches against one mulberry-node: each submission is inside the
// limits, and all together need more memory than the machine has. The tests
// guard against items that the owner of a partition holds without counting.

#include <criterion/criterion.h>

#include <cstddef>
#include <string>
#include <vector>

#include "process/hostile_clients.h"

namespace mulberryroad::process {
namespace {

constexpr std::size_t kItemBodyBytes = 1'000;
constexpr std::size_t kSmallBodyBytes = 4;
// Above the size of an item besides its body.
constexpr std::size_t kItemFramingBytes = 100;
// Enough clients to use all connections that kMaxFds leaves to callers.
constexpr std::size_t kManyClients = 56;
// Time in which the owner of the partition reads what was accepted.
constexpr milliseconds kReadTime{3'000};

// Returns a submission of the largest size that is allowed.
// @param body_bytes size of each item's body
std::string LargeSubmission(std::size_t body_bytes) {
  std::string body = R"({"items":[)";
  const std::string item_body(body_bytes, 'A');
  for (int i = 0;
       body.size() + 2 * body_bytes + kItemFramingBytes < kMaxBodyBytes; ++i) {
    body += (i > 0 ? "," : "") + json{{"id", std::to_string(i)},
                                      {"path", "/streams/1"},
                                      {"body", item_body}}
                                     .dump();
  }
  return body + "]}";
}

// Returns the head of a request without a body.
// @param start method and target
std::string Head(const std::string& start) {
  return start + " HTTP/1.1\r\nHost: " + std::string(soak::kHost) +
         "\r\nRequest-Id: h\r\nDeadline-Ms: 20000\r\nCredential: " +
         soak::kKeyOfA + "\r\n\r\n";
}

std::string BatchId(std::size_t number) {
  return "batch-" + std::to_string(number);
}

// Submits as many batches as there are clients. A refusal is allowed.
void SubmitAll(NodeRun* run, const std::string& body) {
  for (std::size_t i = 0; i < kClients; ++i) {
    run->Submit(body, BatchId(i));
    run->Measure();
  }
  run->Observe(kReadTime);
}

Test(hostile_batches, many_accepted_submissions) {
  const TestLock lock;
  NodeRun run("accepted", kMemoryMb, kMaxFds, kMaxBodyBytes);
  SubmitAll(&run, LargeSubmission(kItemBodyBytes));
  run.Check();
}

// Items of a few bytes need many times their size.
Test(hostile_batches, many_submissions_of_small_items) {
  const TestLock lock;
  NodeRun run("accepted-small", kMemoryMb, kMaxFds, kMaxBodyBytes);
  SubmitAll(&run, LargeSubmission(kSmallBodyBytes));
  run.Check();
}

Test(hostile_batches, many_submissions_of_small_items_on_the_smallest_machine) {
  const TestLock lock;
  NodeRun run("smallest", kSmallestMemoryMb, kSmallestMaxFds, kMaxBodyBytes);
  SubmitAll(&run, LargeSubmission(kSmallBodyBytes));
  run.Check();
}

// What was accepted before is read at once.
Test(hostile_batches, restart_with_many_accepted_submissions) {
  const TestLock lock;
  NodeRun run("restart", kMemoryMb, kMaxFds, kMaxBodyBytes);
  SubmitAll(&run, LargeSubmission(kItemBodyBytes));
  run.Check();
  run.Restart(kMemoryMb);
  run.Observe(kReadTime);
  run.Check();
}

// A larger machine accepts more than this one has room for.
Test(hostile_batches, batches_that_a_larger_machine_accepted) {
  const TestLock lock;
  NodeRun run("larger", kSmallestMemoryMb, kMaxFds, kMaxBodyBytes);
  SubmitAll(&run, LargeSubmission(kItemBodyBytes));
  run.Check();
  run.Restart(kMemoryMb);
  run.Observe(kReadTime);
  run.Check();
}

// Each read of an item reads pages of the batch from the store.
Test(hostile_batches, concurrent_reads_of_items) {
  const TestLock lock;
  NodeRun run("items", kMemoryMb, kMaxFds, kMaxBodyBytes);
  run.Submit(LargeSubmission(kItemBodyBytes), BatchId(0));
  run.Observe(kReadTime);
  const std::string read = Head("GET /v1/items/" + BatchId(0) + "?id=none");
  const std::vector<Script> scripts = {{read, read, kMaxSentBytes}};
  run.Attack(scripts, kManyClients);
  run.CloseCrowd();
  run.Check();
}

Test(hostile_batches, concurrent_lookups_of_unknown_batches) {
  const TestLock lock;
  NodeRun run("lookups", kMemoryMb, kMaxFds, kMaxBodyBytes);
  const std::string read = Head("GET /v1/lots/unknown");
  const std::vector<Script> scripts = {{read, read, kMaxSentBytes}};
  run.Attack(scripts, kManyClients);
  run.CloseCrowd();
  run.Check();
}

// What is kept of the items of an ended batch.
Test(hostile_batches, submissions_that_are_ended_at_once) {
  const TestLock lock;
  NodeRun run("ended", kSmallestMemoryMb, kSmallestMaxFds, kMaxBodyBytes);
  const std::string body = LargeSubmission(kSmallBodyBytes);
  for (std::size_t i = 0; i < kClients; ++i) {
    run.Submit(body, BatchId(i));
    run.End(BatchId(i));
    run.Measure();
  }
  run.Observe(kReadTime);
  run.Check();
}

}  // namespace
}  // namespace mulberryroad::process
