// A node and upstreams that give scripted answers to chosen requests, for
// process tests.

#ifndef MULBERRYROAD_TEST_PROCESS_SCRIPTED_ANSWERS_H_
#define MULBERRYROAD_TEST_PROCESS_SCRIPTED_ANSWERS_H_

#include <criterion/criterion.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "process/hostile_upstream.h"

namespace mulberryroad::process {

inline constexpr char kAnswerBody[] = "id: 1\ndata: whole\n\n";
inline constexpr std::size_t kAnswerBodyBytes = sizeof(kAnswerBody) - 1;

/// A node, and upstreams that give a set answer to one request and an ordinary
/// one to all others.
class AnswerRun {
 public:
  AnswerRun(const std::string& name, const std::string& route,
            AnswerTime answer_time)
      : run_(name, kSmallestMemoryMb, kSmallestMaxFds, kRealMaxBodyBytes) {
    RouteToService(run_, route, "scripted", /*max_attempts=*/1);
    for (int i = 0; i < kUpstreams; ++i) {
      upstreams_.push_back(std::make_unique<HostileUpstream>(
          run_.platform(), "scripted-" + std::to_string(i), "scripted",
          [this](const std::string& head) { return Answer(head); },
          answer_time));
    }
    run_.Observe(kRegisterTime);
  }

  /// Sends a request and gives it an answer.
  /// @param path target of the request, to which a number is added
  /// @param upload_bytes size of the body of the request
  /// @param status status code and reason of the answer
  /// @param fields further fields of the answer, each with its line end
  /// @param answer its body, and what follows it
  Reply Request(const std::string& path, std::size_t upload_bytes,
                const std::string& status, const std::string& fields,
                ScriptedAnswer answer) {
    Reply reply;
    {
      const std::lock_guard lock(mutex_);
      status_ = status;
      fields_ = fields;
      answer_ = std::move(answer);
    }
    const int before = given_;
    for (int i = 0; i < kMaxTries && given_ == before; ++i) {
      scripted_ = true;
      reply = ReadToEnd(run_.front(), CallerRequest(path, upload_bytes),
                        kReplyLimit);
      scripted_ = false;
      // Keeps the upstreams in use.
      for (int sound = 0; sound < 2; ++sound) {
        ReadToEnd(run_.front(), CallerRequest(path, 0), kReplyLimit);
      }
    }
    cr_expect_eq(given_.load(), before + 1, "the answer was not played once");
    return reply;
  }

 private:
  // A target of its own for each request: a node does not send one again whose
  // target has broken off at several upstreams.
  std::string CallerRequest(const std::string& path, std::size_t bytes) {
    return "POST " + path + std::to_string(++requests_) +
           " HTTP/1.1\r\nHost: " + soak::kHost +
           "\r\nRequest-Id: h\r\nDeadline-Ms: 5000\r\nCredential: " +
           soak::kKeyOfA +
           "\r\nConnection: close\r\nContent-Length: " + std::to_string(bytes) +
           "\r\n\r\n" + std::string(bytes, 'x');
  }
  ScriptedAnswer Answer(const std::string& head) {
    const std::string id = HostileUpstream::HeaderOf(head, "Request-Id");
    const std::string signed_fields = "\r\nRequest-Id: " + id +
                                      "\r\nServer-Seal: seal\r\n"
                                      "Content-Type: text/event-stream\r\n";
    if (!scripted_.exchange(false)) {
      return {"HTTP/1.1 200 OK" + signed_fields +
              "Connection: close\r\nContent-Length: 19\r\n\r\n" + kAnswerBody};
    }
    const std::lock_guard lock(mutex_);
    ScriptedAnswer answer = answer_;
    answer.bytes = "HTTP/1.1 " + status_ + signed_fields + fields_ + "\r\n" +
                   answer_.bytes;
    ++given_;
    return answer;
  }

  // Several, as one that fails is not used for some time.
  static constexpr int kUpstreams = 8;
  static constexpr int kMaxTries = 10;
  static constexpr milliseconds kRegisterTime{1'500};

  TestLock lock_;
  NodeRun run_;
  std::mutex mutex_;
  std::string status_;
  std::string fields_;
  ScriptedAnswer answer_;
  std::atomic<bool> scripted_ = false;
  std::atomic<int> given_ = 0;
  int requests_ = 0;
  std::vector<std::unique_ptr<HostileUpstream>> upstreams_;
};

/// Returns whether a reply bears the seal of the scripted answers.
inline bool IsSigned(const Reply& reply) {
  // A node writes the names of an upstream's fields in lower case.
  return reply.bytes.find("server-seal: seal") != std::string::npos;
}

/// Returns whether a reply looks complete to its receiver.
inline bool IsComplete(const Reply& reply) {
  const bool chunked =
      reply.bytes.find("Transfer-Encoding: chunked") != std::string::npos;
  return reply.in_order && (!chunked || reply.bytes.ends_with("0\r\n\r\n"));
}

}  // namespace mulberryroad::process

#endif  // MULBERRYROAD_TEST_PROCESS_SCRIPTED_ANSWERS_H_
