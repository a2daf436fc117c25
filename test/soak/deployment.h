// The processes of a soak run: nodes, upstreams and the platform's stand-in,
// with a proxy before each node's store and before each upstream.

#ifndef MULBERRYROAD_TEST_SOAK_DEPLOYMENT_H_
#define MULBERRYROAD_TEST_SOAK_DEPLOYMENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "fakes/platform/fake_replica.h"
#include "http/client.h"
#include "process/child_process.h"
#include "soak/faults.h"
#include "soak/proxy.h"

namespace mulberryroad::soak {

struct DeploymentOptions {
  std::string bin_dir;
  std::string work_dir;
  std::uint64_t seed = 1;
  std::size_t nodes = 4;
  std::size_t engines = 3;
  std::size_t services = 2;
  /// Rate limit that each plain service names; 0 for none.
  double service_requests_per_second = 0;
  /// Time after its start from which the first upstream says in its answers
  /// that it leaves; 0 for never.
  std::chrono::milliseconds first_upstream_leaves_after{0};
  /// Software version of each engine; the default for those without an entry.
  std::vector<std::string> engine_software;
};

/// A node of the system under test.
struct NodeUnderTest {
  std::string name;
  Endpoint front;
  Endpoint readiness;
  std::string settings_path;
  std::unique_ptr<Proxy> store_link;
  std::unique_ptr<process::ChildProcess> process;
  /// Set while a fault keeps it down or stops it.
  bool expected_down = false;
  bool stopping = false;
  /// In the rotation of callers, by its readiness.
  bool ready = false;
  int readiness_misses = 0;
  /// Last moment at which a fault touched it or its links.
  std::chrono::steady_clock::time_point disturbed{};
};

class Deployment {
 public:
  Deployment(base::EventLoop& loop, http::Client& client,
             DeploymentOptions options);

  bool Start();
  /// Begins a fault; it ends by itself.
  void Strike(const Fault& fault);
  /// Ends all faults and starts what is down.
  void Heal();
  /// Kills an upstream and starts it under a new id with this software
  /// version.
  void ReplaceUpstream(std::size_t index, const std::string& software);
  /// Kills an upstream, which does not start again.
  void EndUpstream(std::size_t index);
  /// Ends all processes.
  void Stop();

  /// Writes a record of the operator or of a trainer.
  void Put(const std::string& key, const nlohmann::json& value);
  /// Returns a node that callers are sent to: a ready one, or any if none is.
  NodeUnderTest& PickNode(std::mt19937_64& random);

  std::vector<NodeUnderTest>& nodes() { return nodes_; }
  const Endpoint& platform() const { return platform_address_; }
  /// Log files of all upstreams, also of those that ended.
  std::vector<std::string> UpstreamLogs() const;
  /// Last moment at which a fault touched the store or an upstream.
  std::chrono::steady_clock::time_point disturbed() const { return disturbed_; }
  /// Processes that ended by themselves, and stops that were not clean.
  const std::vector<std::string>& violations() const { return violations_; }

  static constexpr std::chrono::milliseconds kReadinessInterval{500};
  static constexpr std::chrono::seconds kGrace{6};

 private:
  struct Upstream {
    fakes::ReplicaOptions options;
    int starts = 0;
    std::unique_ptr<Proxy> link;
    std::unique_ptr<process::ChildProcess> process;
    bool expected_down = false;
  };

  void StartNode(std::size_t index);
  void StartUpstream(std::size_t index, bool new_id);
  void StrikeNode(const Fault& fault, NodeUnderTest& node);
  void StrikeUpstream(const Fault& fault, Upstream& upstream);
  void StrikeStore(const Fault& fault);
  void KillNode(std::size_t index, std::chrono::milliseconds down);
  void StopNode(std::size_t index);
  void SetLink(Proxy& link, LinkState state, std::chrono::milliseconds lasts);
  void Watch();
  void AskReadiness(std::size_t index);
  void After(std::chrono::milliseconds delay, std::function<void()> step);
  Endpoint NewEndpoint();

  base::EventLoop& loop_;
  http::Client& client_;
  DeploymentOptions options_;
  Endpoint platform_address_;
  std::unique_ptr<process::ChildProcess> platform_;
  std::vector<NodeUnderTest> nodes_;
  std::vector<Upstream> upstreams_;
  std::vector<std::string> violations_;
  std::chrono::steady_clock::time_point disturbed_{};
  std::vector<std::shared_ptr<base::Timer>> timers_;
  base::Timer watch_timer_;
  base::Timer readiness_timer_;
};

}  // namespace mulberryroad::soak

#endif  // MULBERRYROAD_TEST_SOAK_DEPLOYMENT_H_
