// Callers of a soak run: plain requests of all kinds, each told apart by its
// id, and what became of them.

#ifndef MULBERRYROAD_TEST_SOAK_TRAFFIC_H_
#define MULBERRYROAD_TEST_SOAK_TRAFFIC_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "http/client.h"
#include "soak/deployment.h"

namespace mulberryroad::soak {

inline constexpr char kHost[] = "soak.example";
inline constexpr char kKeyOfA[] = "key-a1";
inline constexpr char kKeyOfB[] = "key-b1";
/// Taken away in the middle of a run.
inline constexpr char kWithdrawnKey[] = "key-a2";

enum class RequestKind {
  kIdempotent,
  kNonIdempotent,
  kOpen,
  /// Bears the key that is withdrawn.
  kWithdrawn,
};

/// One request as its caller saw it.
struct Attempt {
  std::string id;
  RequestKind kind = RequestKind::kIdempotent;
  std::string node;
  std::string organisation;
  std::chrono::steady_clock::time_point sent;
  std::chrono::steady_clock::time_point ended;
  /// 0 if no whole answer came.
  int status = 0;
  bool signed_answer = false;
  bool own_body = false;
  /// A request whose first attempt failed.
  bool repeated = false;
  /// The node was asked to stop and no other fault was near.
  bool in_planned_stop = false;
};

class Traffic {
 public:
  Traffic(base::EventLoop& loop, http::Client& client, Deployment& deployment,
          std::uint64_t seed);

  void Start();
  void Stop() { timer_.Cancel(); }
  /// Sends one request of a kind to a node.
  void Send(RequestKind kind, NodeUnderTest& node, bool repeated,
            std::function<void(const Attempt&)> on_end = nullptr);
  const std::vector<Attempt>& attempts() const { return attempts_; }
  std::size_t open() const { return open_; }

  static constexpr std::chrono::milliseconds kInterval{30};
  static constexpr std::chrono::milliseconds kPatience{2'000};
  /// A stop counts as undisturbed if no fault came this long before.
  static constexpr std::chrono::milliseconds kCalm{3'000};

 private:
  void SendNext();
  void OnEnd(Attempt attempt, const http::Result& result,
             const std::function<void(const Attempt&)>& on_end);
  bool Retries(const Attempt& attempt) const;

  base::EventLoop& loop_;
  http::Client& client_;
  Deployment& deployment_;
  std::mt19937_64 random_;
  std::uint64_t next_ = 0;
  std::size_t open_ = 0;
  std::vector<Attempt> attempts_;
  base::Timer timer_;
};

}  // namespace mulberryroad::soak

#endif  // MULBERRYROAD_TEST_SOAK_TRAFFIC_H_
