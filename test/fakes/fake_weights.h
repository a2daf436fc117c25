// Stand-in of the rate-limited weight store.

#ifndef MULBERRYROAD_TEST_FAKES_FAKE_WEIGHTS_H_
#define MULBERRYROAD_TEST_FAKES_FAKE_WEIGHTS_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/event_loop.h"
#include "fakes/faulty_server.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/fakes.pb.h"

namespace mulberryroad::fakes {

class FakeWeights {
 public:
  FakeWeights(base::EventLoop& loop, const Clock& clock);

  bool Listen(const Endpoint& endpoint) { return server_.Listen(endpoint); }
  v1::FakeWeightsControl& control() { return control_; }

 private:
  Answer Newest(const http::Request& request);

  const Clock& clock_;
  v1::FakeWeightsControl control_;
  FaultyServer server_;
  std::map<std::string, std::uint32_t> newest_;
  Instant limit_second_{};
  std::uint32_t requests_in_second_ = 0;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_FAKE_WEIGHTS_H_
