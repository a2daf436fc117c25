// Stand-in of the platform's interface for usage reports.

#ifndef MULBERRYROAD_TEST_FAKES_FAKE_USAGE_H_
#define MULBERRYROAD_TEST_FAKES_FAKE_USAGE_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/event_loop.h"
#include "fakes/faulty_server.h"
#include "mulberryroad/fakes.pb.h"

namespace mulberryroad::fakes {

/// Takes a report once under its id and notes each that contradicts it.
class FakeUsage {
 public:
  explicit FakeUsage(base::EventLoop& loop);

  bool Listen(const Endpoint& endpoint) { return server_.Listen(endpoint); }
  v1::FakeUsageControl& control() { return control_; }

 private:
  Answer Take(const http::Request& request);
  std::string Stats() const;

  v1::FakeUsageControl control_;
  FaultyServer server_;
  std::map<std::string, v1::FakeUsageStats::Report> reports_;
  v1::FakeUsageStats stats_;
  std::uint64_t highest_fencing_ = 0;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_FAKE_USAGE_H_
