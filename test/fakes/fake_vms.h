// Stand-in of the platform's lagging list of VMs.

#ifndef MULBERRYROAD_TEST_FAKES_FAKE_VMS_H_
#define MULBERRYROAD_TEST_FAKES_FAKE_VMS_H_

#include <list>
#include <map>
#include <string>

#include "base/event_loop.h"
#include "fakes/faulty_server.h"
#include "mulberryroad/fakes.pb.h"

namespace mulberryroad::fakes {

/// POST /vms takes a VmList of changes, by name; a VM of unspecified state is
/// taken off the list. Changes show after a lag.
class FakeVms {
 public:
  explicit FakeVms(base::EventLoop& loop);

  bool Listen(const Endpoint& endpoint) { return server_.Listen(endpoint); }
  v1::FakeVmsControl& control() { return control_; }

 private:
  Answer Change(const http::Request& request);
  Answer List(const http::Request& request) const;
  void Show(const v1::VmList& changes);

  base::EventLoop& loop_;
  v1::FakeVmsControl control_;
  FaultyServer server_;
  std::map<std::string, v1::Vm> shown_;
  std::list<base::Timer> pending_;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_FAKE_VMS_H_
