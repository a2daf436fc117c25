// Planned stops of one mulberry-node whose callers go on to use their open
// connections until the process is gone. The tests guard against requests that
// the node passes on and ends without an answer.

#include <criterion/criterion.h>

#include <csignal>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "process/hostile_clients.h"
#include "process/upstream_run.h"

namespace mulberryroad::process {
namespace {

constexpr std::size_t kMemory = 320;
// As in the settings of the node.
constexpr milliseconds kGrace{6'000};
// A request that was sent up to kLatestLongRequest may be cut from kEarliestCut
// on; later ones must end before the node does.
constexpr milliseconds kEarliestCut = kGrace * 5 / 6;
constexpr milliseconds kLatestLongRequest{3'000};
// A connection may be closed on a request that was sent this shortly before.
constexpr milliseconds kLossSlack{200};
constexpr milliseconds kUseInterval{50};
// A test with fewer answers plays too little: 50 requests are sent while
// callers are still routed to the node.
constexpr int kMinPlayed = 40;
constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;

/// A caller's connection that stays open, and its request in the stop.
struct Caller {
  int fd = -1;
  std::string id;
  std::string reply;
  steady_clock::time_point sent{};
  steady_clock::time_point ended{};
  bool done = false;

  /// Whether the reply is as long as its head says.
  bool complete() const {
    constexpr std::string_view kHeadEnd = "\r\n\r\n";
    constexpr std::string_view kLength = "Content-Length: ";
    const std::size_t end = reply.find(kHeadEnd);
    const std::size_t field = reply.find(kLength);
    if (end == std::string::npos || field >= end) {
      return false;
    }
    const std::size_t body_bytes =
        std::strtoull(reply.c_str() + field + kLength.size(), nullptr, 10);
    return reply.size() >= end + kHeadEnd.size() + body_bytes;
  }
  int status() const {
    return reply.size() < 12 ? 0 : std::atoi(reply.c_str() + 9);
  }

  void Send(const std::string& path, const std::string& fields) {
    const std::string request =
        "POST " + path + id + " HTTP/1.1\r\nHost: " + soak::kHost +
        "\r\nRequest-Id: " + id + "\r\nCredential: " + soak::kKeyOfA + "\r\n" +
        fields + "Content-Length: 0\r\n\r\n";
    reply.clear();
    done = send(fd, request.data(), request.size(), MSG_NOSIGNAL) < 0;
    sent = ended = steady_clock::now();
  }

  /// Reads what arrived.
  /// @param most bytes to read
  void Receive(std::size_t most) {
    char buffer[16U << 10U];
    const ssize_t got =
        recv(fd, buffer, std::min(most, sizeof(buffer)), MSG_DONTWAIT);
    if (got > 0) {
      reply.append(buffer, static_cast<std::size_t>(got));
    }
    done = done || complete() || got == 0 || (got < 0 && errno != EAGAIN);
    ended = steady_clock::now();
  }
};

milliseconds Since(steady_clock::time_point from, steady_clock::time_point to) {
  return std::chrono::duration_cast<milliseconds>(to - from);
}

// Fields of requests of several lengths, some of which do not end in time. At
// kUseInterval they use seven of the upstream's eight slots on average.
std::string FieldsOf(int number) {
  static const std::vector<std::pair<int, int>> work_and_deadline = {
      {15, 20'000}, {300, 1'500}, {700, 1'500}, {15, 20'000},
      {15, 1'000},  {1'000, 900}, {100, 2'000}, {500, 600}};
  const auto& [work, deadline] =
      work_and_deadline[static_cast<std::size_t>(number) %
                        work_and_deadline.size()];
  return "Work-Ms: " + std::to_string(work) +
         "\r\nDeadline-Ms: " + std::to_string(deadline) + "\r\n";
}

Test(planned_stop, request_on_an_open_connection_loses_its_answer) {
  const TestLock lock;
  NodeRun run("planned-stop", kMemory, kSmallestMaxFds, kRealMaxBodyBytes);
  std::vector<Caller> callers;
  const int count = static_cast<int>(kGrace / kUseInterval);
  for (int i = 0; i < count; ++i) {
    Caller caller;
    caller.fd = Connect(run.front());
    caller.id = "warm-" + std::to_string(i);
    caller.Send("/reports/", "Deadline-Ms: 20000\r\n");
    const auto limit = steady_clock::now() + kReplyLimit;
    while (!caller.done && steady_clock::now() < limit) {
      caller.Receive(kMega);
      std::this_thread::sleep_for(milliseconds(1));
    }
    cr_assert_eq(caller.status(), kOk, "%s", caller.reply.c_str());
    callers.push_back(std::move(caller));
  }
  run.Signal(SIGTERM);
  const auto stop = steady_clock::now();
  std::size_t next = 0;
  while (run.node_running() && Since(stop, steady_clock::now()) < 2 * kGrace) {
    for (; next < callers.size() &&
           steady_clock::now() >= stop + kUseInterval * next;
         ++next) {
      Caller& caller = callers[next];
      caller.id = "late-" + std::to_string(next);
      caller.Send(next % 2 == 0 ? "/reports/" : "/orders/",
                  FieldsOf(static_cast<int>(next)));
    }
    for (std::size_t i = 0; i < next; ++i) {
      if (!callers[i].done) {
        callers[i].Receive(kMega);
      }
    }
    std::this_thread::sleep_for(milliseconds(1));
  }
  cr_expect(!run.node_running(), "the node does not end");
  std::set<std::string> runs;
  for (const json& line : UpstreamRun::ReadRuns(run.upstream_log())) {
    runs.insert(line["run"].get<std::string>());
  }
  int answered = 0;
  int passed_on = 0;
  for (std::size_t i = 0; i < next; ++i) {
    Caller& caller = callers[i];
    while (!caller.done) {
      caller.Receive(kMega);
    }
    close(caller.fd);
    const auto sent = Since(stop, caller.sent);
    const auto ended = Since(stop, caller.ended);
    const bool ran = runs.contains(caller.id);
    answered += caller.complete() && caller.status() == kOk ? 1 : 0;
    passed_on += ran ? 1 : 0;
    if (caller.complete()) {
      cr_expect(!ran || caller.status() != kServiceUnavailable,
                "%s ran and was refused", caller.id.c_str());
      continue;
    }
    const bool allowed =
        ran ? sent <= kLatestLongRequest && ended >= kEarliestCut
            : ended - sent <= kLossSlack;
    cr_expect(allowed, "%s, %s, sent at %ld ms, has no answer at %ld ms",
              caller.id.c_str(), ran ? "passed on" : "not passed on",
              static_cast<long>(sent.count()),
              static_cast<long>(ended.count()));
  }
  cr_expect_geq(answered, kMinPlayed, "only %d answers", answered);
  cr_expect_geq(passed_on, kMinPlayed, "only %d passed on", passed_on);
}

// Guards against a node that ends while an answer is still being sent. The
// caller reads little until other requests have long ended.
Test(planned_stop, answer_that_a_caller_reads_slowly_is_cut) {
  // More than the kernel holds of it.
  constexpr std::size_t kAnswerBytes = 8 * kMega - 1;
  constexpr std::size_t kSlowBytes = 1'024;
  constexpr milliseconds kSlowTime{3'500};
  constexpr milliseconds kStep{2};
  constexpr int kReceiveBuffer = 64 << 10;
  const TestLock lock;
  NodeRun run("slow-reader", kMemory, kSmallestMaxFds, kRealMaxBodyBytes);
  Caller caller;
  caller.fd = Connect(run.front());
  setsockopt(caller.fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer,
             sizeof(kReceiveBuffer));
  caller.id = "slow";
  caller.Send("/orders/", "Deadline-Ms: 20000\r\nAnswer-Bytes: " +
                              std::to_string(kAnswerBytes) + "\r\n");
  run.Observe(milliseconds(500));
  run.Signal(SIGTERM);
  const auto stop = steady_clock::now();
  while (!caller.done && Since(stop, steady_clock::now()) < 2 * kGrace) {
    const bool slow = Since(stop, steady_clock::now()) < kSlowTime;
    caller.Receive(slow ? kSlowBytes : kMega);
    std::this_thread::sleep_for(slow ? kStep : milliseconds(0));
  }
  close(caller.fd);
  cr_expect(caller.complete(), "%zu bytes arrived within %ld ms of the stop",
            caller.reply.size(),
            static_cast<long>(Since(stop, caller.ended).count()));
  run.Observe(milliseconds(1'000));
  cr_expect(!run.node_running(), "the node does not end behind the answer");
}

// Guards against an open request that is cut where a failure could be sent.
Test(planned_stop, request_that_outlasts_the_node_is_cut) {
  const TestLock lock;
  NodeRun run("outlasts", kMemory, kSmallestMaxFds, kRealMaxBodyBytes);
  Caller caller;
  caller.fd = Connect(run.front());
  caller.id = "long";
  caller.Send("/orders/", "Deadline-Ms: 20000\r\nWork-Ms: 15000\r\n");
  run.Observe(milliseconds(500));
  run.Signal(SIGTERM);
  const auto stop = steady_clock::now();
  while (!caller.done && Since(stop, steady_clock::now()) < 2 * kGrace) {
    caller.Receive(kMega);
    std::this_thread::sleep_for(milliseconds(1));
  }
  close(caller.fd);
  cr_expect(caller.complete() && caller.status() == 504, "reply: \"%s\"",
            caller.reply.c_str());
  const auto ended = Since(stop, caller.ended);
  cr_expect(ended >= kEarliestCut && ended <= kGrace, "ended at %ld ms",
            static_cast<long>(ended.count()));
}

}  // namespace
}  // namespace mulberryroad::process
