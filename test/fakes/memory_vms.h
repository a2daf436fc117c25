// The platform's list of VMs in memory.

#ifndef MULBERRYROAD_TEST_FAKES_MEMORY_VMS_H_
#define MULBERRYROAD_TEST_FAKES_MEMORY_VMS_H_

#include "base/event_loop.h"
#include "platform/platform.h"

namespace mulberryroad::fakes {

class MemoryVms final : public platform::VmDirectory {
 public:
  explicit MemoryVms(base::EventLoop& loop) : loop_(loop) {}

  /// The list that the next readers get.
  v1::VmList list;

  void ListNodes(platform::ResponseCallback<v1::VmList> on_response) override {
    loop_.Post([on_response = std::move(on_response), answer = list] {
      on_response(answer);
    });
  }
  void ListPool(const PoolId& /*pool*/,
                platform::ResponseCallback<v1::VmList> on_response) override {
    ListNodes(std::move(on_response));
  }

 private:
  base::EventLoop& loop_;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_MEMORY_VMS_H_
