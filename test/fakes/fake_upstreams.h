// In-memory upstreams for tests of their callers.

#ifndef MULBERRYROAD_TEST_FAKES_FAKE_UPSTREAMS_H_
#define MULBERRYROAD_TEST_FAKES_FAKE_UPSTREAMS_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/event_loop.h"
#include "serving/upstream_caller.h"

namespace mulberryroad::fakes {

/// A request as the upstream received it.
struct ReceivedRequest {
  UpstreamId upstream;
  serving::OutgoingRequest request;
  serving::CallOptions options;
  /// Completes the request with an outcome.
  std::function<void(serving::UpstreamOutcome)> done;
  bool cancelled = false;
};

/// Keeps each request until the test completes it, or passes it to `script` on
/// the next loop iteration.
class FakeUpstreams final : public serving::UpstreamCaller {
 public:
  explicit FakeUpstreams(base::EventLoop& loop) : loop_(loop) {}

  std::shared_ptr<http::Call> Send(
      const serving::Registration& upstream,
      const serving::OutgoingRequest& request, serving::CallOptions options,
      std::function<void(serving::UpstreamOutcome)> on_done) override {
    auto received = std::make_shared<ReceivedRequest>(ReceivedRequest{
        upstream.id, request, std::move(options), std::move(on_done)});
    requests.push_back(received);
    if (script) {
      loop_.Post([this, received] {
        if (!received->cancelled) {
          script(*received);
        }
      });
    }
    return std::make_shared<FakeCall>(received);
  }

  void Probe(const serving::Registration& /*upstream*/,
             std::chrono::milliseconds /*timeout*/,
             std::function<void(bool)> on_result) override {
    loop_.Post([on_result = std::move(on_result)] { on_result(true); });
  }

  /// Streams events with the ids after the resumed one up to `last`; the ids
  /// start at 1.
  static void SendEvents(ReceivedRequest& received, int last,
                         std::uint64_t version) {
    const int resumed = received.options.resume_after.empty()
                            ? 0
                            : std::stoi(received.options.resume_after);
    received.options.stream->on_start({200, {}, version});
    for (int id = resumed + 1; id <= last; ++id) {
      received.options.stream->on_event(
          {"", std::to_string(id), "e" + std::to_string(id), std::nullopt});
    }
  }

  /// All requests in the order of Send.
  std::vector<std::shared_ptr<ReceivedRequest>> requests;
  /// Handles each request that was not cancelled; may be empty.
  std::function<void(ReceivedRequest&)> script;

 private:
  class FakeCall final : public http::Call {
   public:
    explicit FakeCall(std::shared_ptr<ReceivedRequest> received)
        : received_(std::move(received)) {}
    void Cancel() override { received_->cancelled = true; }
    bool sent() const override { return true; }

   private:
    std::shared_ptr<ReceivedRequest> received_;
  };

  base::EventLoop& loop_;
};

/// Returns a registration with four slots.
inline serving::Registration MakeUpstream(const std::string& id,
                                          const std::string& service,
                                          const std::string& domain = "d1") {
  serving::Registration registration;
  registration.id = UpstreamId(id);
  registration.service = TargetId(service);
  registration.endpoint = {"127.0.0.1", 1};
  registration.failure_domain = FailureDomainId(domain);
  registration.slots = 4;
  registration.software = "v1";
  return registration;
}

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_FAKE_UPSTREAMS_H_
