// Stand-in of the interface that starts and stops upstreams. It hosts the
// upstreams in its own process.

#ifndef MULBERRYROAD_TEST_FAKES_FAKE_ORDERING_H_
#define MULBERRYROAD_TEST_FAKES_FAKE_ORDERING_H_

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include "base/event_loop.h"
#include "fakes/fake_engine.h"
#include "fakes/fake_service.h"
#include "fakes/faulty_server.h"
#include "http/client.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/fakes.pb.h"

namespace mulberryroad::fakes {

class FakeOrdering {
 public:
  /// @param vms where the list of VMs takes changes
  FakeOrdering(base::EventLoop& loop, const Clock& clock, Endpoint vms);
  ~FakeOrdering();
  FakeOrdering(const FakeOrdering&) = delete;
  FakeOrdering& operator=(const FakeOrdering&) = delete;

  bool Listen(const Endpoint& endpoint) { return server_.Listen(endpoint); }
  v1::FakeOrderingControl& control() { return control_; }

 private:
  using Program = std::variant<std::monostate, std::unique_ptr<FakeEngine>,
                               std::unique_ptr<FakeService>>;
  struct Upstream {
    v1::Vm vm;
    std::uint32_t version = 0;
    Program program;
    base::Timer timer;
  };

  Answer Take(const http::Request& request);
  Answer Status(const http::Request& request) const;
  v1::PlatformOrderStatus Decide(const v1::PlatformOrder& order);
  std::string Start(const v1::StartUpstream& start);
  void Serve(Upstream* upstream);
  std::unique_ptr<FakeEngine> MakeEngine(const Upstream& upstream);
  bool IsService(const std::string& target) const;
  void Remove(const std::string& name);
  void Reclaim(const v1::FakeReclaim& reclaim);
  void Tell(const v1::Vm& vm);
  std::string Stats() const;

  base::EventLoop& loop_;
  const Clock& clock_;
  Endpoint vms_;
  http::Client client_;
  v1::FakeOrderingControl control_;
  FaultyServer server_;
  std::map<std::string, v1::FakeOrderingStats::Order> orders_;
  std::map<std::string, std::uint64_t> highest_fencing_;
  std::map<std::string, Upstream> upstreams_;
  v1::FakeOrderingStats stats_;
  std::uint64_t next_name_ = 1;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_FAKE_ORDERING_H_
