// Clients that nobody controls against one mulberry-node. Each test guards
// against a process that outgrows its machine's memory or descriptors because
// of what such clients send, hold or leave unread.

#include <criterion/criterion.h>
#include <unistd.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "process/hostile_clients.h"

namespace mulberryroad::process {
namespace {

Test(hostile_clients, large_bodies_that_stop_a_byte_short) {
  RunAttack("short", {{LegalHead(LengthOf(kMaxBodyBytes)), Filler(),
                       kMaxBodyBytes - 1}});
}

Test(hostile_clients, large_bodies_piece_by_piece) {
  RunAttack("pieces", {{LegalHead(LengthOf(kMaxBodyBytes)), Filler(),
                        kMaxBodyBytes - 1, 4'096}});
}

Test(hostile_clients, chunked_bodies_without_end) {
  RunAttack("chunked",
            {{LegalHead("Transfer-Encoding: chunked"),
              "4000\r\n" + std::string(0x4000, 'x') + "\r\n", kMaxSentBytes}});
}

Test(hostile_clients, bodies_larger_than_the_limit) {
  RunAttack("oversize", {{LegalHead(LengthOf(kMaxSentBytes)), Filler(),
                          kMaxSentBytes - 1}});
}

Test(hostile_clients, pipelined_requests_without_a_route) {
  RunAttack("pipelined",
            {{"", "GET /nowhere HTTP/1.1\r\nHost: nobody.example\r\n\r\n",
              kMaxSentBytes}});
}

Test(hostile_clients, heads_without_end) {
  RunAttack("heads",
            {{"GET / HTTP/1.1\r\n", "X-Filler: filler\r\n", kMaxSentBytes}});
}

Test(hostile_clients, header_line_without_end) {
  RunAttack("line",
            {{"GET / HTTP/1.1\r\nX-Filler: ", Filler(), kMaxSentBytes}});
}

Test(hostile_clients, empty_lines_before_a_request) {
  RunAttack("empty", {{"", "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n", kMaxSentBytes}});
}

// More connections than descriptors, all of which stay open without a request.
Test(hostile_clients, connections_over_the_descriptor_limit) {
  const TestLock lock;
  NodeRun run("connections", kMemoryMb, kMaxFds, kMaxBodyBytes);
  std::vector<int> connections;
  for (std::size_t i = 0; i < 2 * kMaxFds; ++i) {
    connections.push_back(Connect(run.front()));
    if (i % 32 == 0) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    run.Measure();
  }
  run.Check();
  for (const int fd : connections) {
    if (fd >= 0) {
      close(fd);
    }
  }
}

// Guards against a budget that leaves no room for one legal request.
Test(hostile_clients, largest_legal_body_on_the_smallest_machine) {
  const TestLock lock;
  NodeRun run("largest", kSmallestMemoryMb, kSmallestMaxFds, kRealMaxBodyBytes);
  const int status = run.OrdinaryRequest(kRealMaxBodyBytes, 1);
  cr_expect_eq(status, 200, "the largest legal body got %d", status);
  run.Check();
}

}  // namespace
}  // namespace mulberryroad::process
