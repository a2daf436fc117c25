// Callers of streams that resume at any node after a broken connection, and
// the software versions of the events that they received.

#ifndef MULBERRYROAD_TEST_SOAK_STREAM_CALLERS_H_
#define MULBERRYROAD_TEST_SOAK_STREAM_CALLERS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "http/client.h"
#include "http/server_sent_events.h"
#include "soak/deployment.h"

namespace mulberryroad::soak {

/// A stream over all attempts of its caller.
struct CalledStream {
  std::string id;
  /// Request id of the attempt that brought the first event.
  std::string first_attempt;
  int attempts = 0;
  std::uint64_t last_event = 0;
  /// Software versions of the upstreams whose events it holds.
  std::set<std::string> software;
  bool complete = false;
  /// An event was missing or came twice.
  bool out_of_order = false;
  /// Attempts that reached a node and named events of an earlier attempt, and
  /// those of them that brought an event.
  int resumptions = 0;
  int resumed = 0;
  /// Status and time of each attempt that brought no event.
  std::vector<int> refusals;
  std::chrono::milliseconds longest_refusal{0};
};

class StreamCallers {
 public:
  StreamCallers(base::EventLoop& loop, http::Client& client,
                Deployment& deployment, std::uint64_t seed);

  /// Starts a stream of kEvents events.
  void Start();
  /// Attempts in flight or to come.
  std::size_t open() const { return open_; }
  const std::list<CalledStream>& streams() const { return streams_; }

  /// Ids of all requests that were sent.
  std::set<std::string> AttemptIds() const;
  /// Streams that hold events of two software versions.
  int joined() const;
  /// Attempts that reached a node and named events of an earlier attempt.
  int resumptions() const;
  /// Resumptions that brought an event.
  int resumed() const;

  static constexpr std::uint64_t kEvents = 80;
  static constexpr int kMaxAttempts = 6;
  static constexpr std::chrono::milliseconds kRetryDelay{400};
  static constexpr std::chrono::milliseconds kDeadline{15'000};

 private:
  void Send(CalledStream& stream);
  void OnEvent(CalledStream& stream, const std::string& request,
               const http::RawEvent& event);
  void OnEnd(CalledStream& stream, bool brought_event, bool resumption,
             std::chrono::steady_clock::time_point sent,
             const http::Result& result);

  base::EventLoop& loop_;
  http::Client& client_;
  Deployment& deployment_;
  std::mt19937_64 random_;
  std::size_t open_ = 0;
  std::list<CalledStream> streams_;
  std::list<base::Timer> timers_;
};

}  // namespace mulberryroad::soak

#endif  // MULBERRYROAD_TEST_SOAK_STREAM_CALLERS_H_
