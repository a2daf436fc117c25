// Callers that send completions to several nodes and check every answer.

#ifndef MULBERRYROAD_TEST_PROCESS_LOAD_H_
#define MULBERRYROAD_TEST_PROCESS_LOAD_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "http/client.h"
#include "mulberryroad/endpoint.h"

namespace mulberryroad::process {

/// What callers send.
enum class LoadKind {
  /// Completions, which may be generated again.
  kCompletions,
  /// Landing reports, each with a body of its own, which must run at most once.
  kReports,
  /// Landing reports with an Idempotency-Key; a caller sends one that did not
  /// get its answer again, to the next node, until it is answered.
  kKeyedReports,
};

struct LoadOptions {
  LoadKind kind = LoadKind::kCompletions;
  /// Requests under way at once.
  std::size_t callers = 8;
  std::uint32_t max_tokens = 40;
  std::string model = "drafting";
  std::string secret = "sample-brest-crews-6f1c";
  std::chrono::milliseconds timeout{20'000};
};

struct LoadCounts {
  /// Whole answers to their own request.
  std::uint64_t whole = 0;
  /// Answers with status 200 that are not the whole answer to the request.
  std::uint64_t wrong = 0;
  /// Refusals and failures that say "not run".
  std::uint64_t not_run = 0;
  /// Refusals that say "may have run".
  std::uint64_t may_have_run = 0;
  /// Connections that broke after the request was sent.
  std::uint64_t cut = 0;
  /// Other answers, by status.
  std::map<int, std::uint64_t> others;
  /// What the last answer of each kind but whole was.
  std::string last_fault;
};

/// Runs on the loop while the test waits. Nodes that are told to be leaving get
/// no new requests, as behind a balancer.
class Load {
 public:
  Load(base::EventLoop& loop, http::Client& client, std::vector<Endpoint> nodes,
       LoadOptions options = {});
  ~Load();
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  void Start();
  /// Sends nothing new; requests under way go on.
  void Stop() { stopped_ = true; }
  /// Returns the number of requests under way.
  std::size_t open() const { return open_; }
  const LoadCounts& counts() const { return counts_; }
  /// Returns the bodies of reports that were answered whole.
  const std::vector<std::string>& answered_reports() const {
    return answered_reports_;
  }
  /// Takes a node out of, or back into, the balancer's set.
  void Balance(const Endpoint& node, bool in_use);

 private:
  void SendNext();
  void Send(const std::string& content);
  http::ClientRequest MakeRequest(const std::string& content) const;
  void Take(const std::string& content, const http::Result& result);
  void Count(const std::string& content, const http::Response& response);
  bool IsWhole(const std::string& content, const std::string& body) const;
  void Later(const std::string& content);

  base::EventLoop& loop_;
  http::Client& client_;
  std::vector<Endpoint> nodes_;
  LoadOptions options_;
  std::string name_;
  LoadCounts counts_;
  std::vector<std::string> answered_reports_;
  std::size_t next_node_ = 0;
  std::uint64_t next_content_ = 0;
  std::size_t open_ = 0;
  bool stopped_ = false;
  std::vector<base::Timer> timers_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::process

#endif  // MULBERRYROAD_TEST_PROCESS_LOAD_H_
