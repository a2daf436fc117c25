// Stand-in of an upstream on the platform: a plain service, or an engine that
// streams events and takes orders. It registers itself in the store and writes
// a line for each run, event and order, from which tests judge the system.

#ifndef MULBERRYROAD_TEST_FAKES_PLATFORM_FAKE_REPLICA_H_
#define MULBERRYROAD_TEST_FAKES_PLATFORM_FAKE_REPLICA_H_

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <random>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "fakes/platform/delayed_steps.h"
#include "http/client.h"
#include "http/server.h"

namespace mulberryroad::fakes {

inline constexpr char kDefaultSoftware[] = "v1";

struct ReplicaOptions {
  std::string id;
  std::string service;
  std::string failure_domain;
  Endpoint listen;
  /// Where others reach it: `listen`, or a proxy before it.
  Endpoint advertised;
  Endpoint platform;
  std::size_t slots = 8;
  /// Software version. Events of any version but the default end with "@" and
  /// the version.
  std::string software = kDefaultSoftware;
  /// Models of an engine; empty for a plain service.
  std::vector<std::string> models;
  /// Share of plain answers that are lost or cut after the run.
  double fault_share = 0;
  /// Rate limit that all answers name, in requests per second; 0 for none.
  double requests_per_second = 0;
  /// Time after the start from which all answers say that it leaves, while its
  /// registration does not; 0 for never.
  std::chrono::milliseconds leaving_after{0};
};

/// Text of an event; the same at every replica of a software version.
std::string EventText(const std::string& item, std::uint64_t event,
                      const std::string& software = kDefaultSoftware);
/// Returns the software version that generated an event with this text.
std::string SoftwareOf(const std::string& event_text);
/// Path at which a plain service answers every request with status 500.
inline constexpr char kFailingScorerPath[] = "/scores/fails";
/// Start of a body under which a plain service ends.
inline constexpr char kCrashingBody[] = "crash";
/// Headers of a plain request that set the size of its answer and the least
/// time until it.
inline constexpr char kAnswerBytesHeader[] = "answer-bytes";
inline constexpr char kWorkMillisHeader[] = "work-ms";
/// Body of a plain answer.
std::string AnswerText(const std::string& request);

class FakeReplica {
 public:
  FakeReplica(base::EventLoop& loop, ReplicaOptions options);

  bool Listen();
  /// Reports that it leaves, serves on for a while, then stops the loop.
  void Drain();

  static constexpr std::chrono::milliseconds kHeartbeat{400};
  static constexpr std::chrono::milliseconds kWorkTime{15};
  static constexpr std::chrono::milliseconds kEventTime{30};
  static constexpr std::chrono::milliseconds kLoadTime{250};
  static constexpr std::chrono::milliseconds kDrainTime{3'000};
  /// Tokens of an event.
  static constexpr std::uint64_t kStride = 10;

 private:
  using Exchange = std::shared_ptr<http::Exchange>;
  struct Stream {
    Exchange exchange;
    std::string item;
    std::string model;
    std::uint64_t next = 1;
    std::uint64_t last = 0;
    std::uint64_t version = 0;
    base::Timer timer;
  };

  void Register();
  void Serve(const Exchange& exchange);
  void Refuse(const Exchange& exchange, int status);
  /// Answers a request, with what the upstream states about itself.
  void Reply(const Exchange& exchange, int status, const std::string& body,
             http::Headers headers) const;
  void RunPlain(const Exchange& exchange, const std::string& id);
  void RunStream(const Exchange& exchange, const std::string& id);
  void NextEvent(std::shared_ptr<Stream> stream);
  void Order(const Exchange& exchange);
  void Report(const Exchange& exchange) const;
  void Note(const nlohmann::json& line) const;
  nlohmann::json Models() const;
  bool Draw(double share);
  /// Adds what the upstream states about itself.
  http::Headers WithStatements(http::Headers headers) const;

  base::EventLoop& loop_;
  ReplicaOptions options_;
  std::mt19937_64 random_;
  http::Server server_;
  http::Client client_;
  std::int64_t started_ms_;
  std::map<std::string, std::uint64_t> versions_;
  std::size_t running_ = 0;
  std::uint64_t orders_ = 0;
  std::uint64_t newest_fence_ = 0;
  bool busy_ = false;
  bool draining_ = false;
  DelayedSteps steps_{loop_};
  base::Timer heartbeat_;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_PLATFORM_FAKE_REPLICA_H_
