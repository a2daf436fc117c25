// Stand-in of a plain service, some of whose calls may not be repeated.

#ifndef MULBERRYROAD_TEST_FAKES_FAKE_SERVICE_H_
#define MULBERRYROAD_TEST_FAKES_FAKE_SERVICE_H_

#include "base/event_loop.h"
#include "fakes/faulty_server.h"
#include "mulberryroad/fakes.pb.h"

namespace mulberryroad::fakes {

/// Counts the effects of each request and echoes its body.
class FakeService {
 public:
  explicit FakeService(base::EventLoop& loop,
                       const v1::FakeServiceControl& control = {});

  bool Listen(const Endpoint& endpoint) { return server_.Listen(endpoint); }
  v1::FakeServiceControl& control() { return control_; }
  /// Cuts all connections, as when the VM is gone.
  void Shut() { server_.Shut(); }

 private:
  Answer Serve(const http::Request& request);

  v1::FakeServiceControl control_;
  FaultyServer server_;
  v1::FakeServiceStats stats_;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_FAKE_SERVICE_H_
