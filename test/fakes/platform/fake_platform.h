// Stand-in of the platform over HTTP: its store and its duty calls, with
// faults that a test switches on.

#ifndef MULBERRYROAD_TEST_FAKES_PLATFORM_FAKE_PLATFORM_H_
#define MULBERRYROAD_TEST_FAKES_PLATFORM_FAKE_PLATFORM_H_

#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <random>
#include <set>
#include <string>

#include "base/event_loop.h"
#include "fakes/platform/delayed_steps.h"
#include "fakes/platform/duty_book.h"
#include "fakes/platform/log_store.h"
#include "http/server.h"

namespace mulberryroad::fakes {

/// How the store misbehaves; each holds until its time is over.
struct StoreFaults {
  /// Answers 503 and does nothing.
  StoreTime refuses_until{};
  /// Takes calls and never answers them; nothing is done.
  StoreTime silent_until{};
  /// Half of the appends are done and not answered.
  StoreTime loses_until{};
  /// Half of the appends are done two seconds later and not answered.
  StoreTime late_until{};
  /// Answers come this late.
  StoreTime slow_until{};
};

class FakePlatform {
 public:
  FakePlatform(base::EventLoop& loop, std::uint64_t seed);

  bool Listen(const Endpoint& endpoint) { return server_.Listen(endpoint); }

  static constexpr std::chrono::milliseconds kAnswerTime{4};
  static constexpr std::chrono::milliseconds kSlowAnswerTime{240};
  static constexpr std::chrono::milliseconds kLateBy{2'000};
  /// An upstream that was silent for longer is gone.
  static constexpr std::chrono::milliseconds kRegistrationLifetime{1'500};

 private:
  using Exchange = std::shared_ptr<http::Exchange>;
  struct Waiting {
    Exchange exchange;
    PartKey part;
    std::uint64_t from = 0;
    StoreTime until;
  };

  void ServeStore();
  void ServeOperator();
  void ServeDuties();
  void Control(const nlohmann::json& change);
  void Append(const Exchange& exchange);
  void Read(const Exchange& exchange);
  void WakeReaders();
  void Tick();
  /// Answers a call unless a fault forbids it.
  void Serve(http::Method method, const std::string& path,
             std::function<void(const Exchange&)> handler);
  void Answer(const Exchange& exchange, StoreAnswer answer);
  bool Draw(double share);
  std::string Stats() const;

  base::EventLoop& loop_;
  std::mt19937_64 random_;
  http::Server server_;
  LogStore store_;
  DutyBook duties_;
  StoreFaults faults_;
  bool was_away_ = false;
  std::list<Waiting> waiting_;
  /// Calls that get no answer; kept open until their caller leaves.
  std::list<Exchange> unanswered_;
  std::map<std::string, StoreTime> registered_;
  std::uint64_t appends_ = 0;
  std::uint64_t reads_ = 0;
  DelayedSteps steps_{loop_};
  base::Timer tick_;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_PLATFORM_FAKE_PLATFORM_H_
