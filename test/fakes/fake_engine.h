// Stand-in of a model engine: continuous batching, prefix cache, weight
// versions, lagging reports.

#ifndef MULBERRYROAD_TEST_FAKES_FAKE_ENGINE_H_
#define MULBERRYROAD_TEST_FAKES_FAKE_ENGINE_H_

#include <sigc++/signal.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/event_loop.h"
#include "fakes/faulty_server.h"
#include "mulberryroad/fakes.pb.h"
#include "mulberryroad/platform.pb.h"

namespace mulberryroad::fakes {

class FakeEngine {
 public:
  FakeEngine(base::EventLoop& loop, std::string model, std::uint32_t version,
             const v1::FakeEngineControl& control);
  ~FakeEngine();
  FakeEngine(const FakeEngine&) = delete;
  FakeEngine& operator=(const FakeEngine&) = delete;

  bool Listen(const Endpoint& endpoint) { return server_.Listen(endpoint); }
  v1::FakeEngineControl& control() { return control_; }
  /// Cuts all connections, as when the VM is gone. The object must live on for
  /// one more turn of the loop.
  void Shut();
  /// Emitted when the crash fault was switched on.
  sigc::signal<void()>& crashed() { return crashed_; }

  /// Returns the text that any engine generates for tokens [begin, end) of a
  /// prompt.
  static std::string TextOf(const std::string& prompt, std::uint32_t begin,
                            std::uint32_t end);

 private:
  struct Run {
    std::shared_ptr<http::Exchange> exchange;
    v1::CompletionRequest request;
    std::string echoed_id;
    double prefill_seconds = 0;
    double progress = 0;
    std::uint32_t emitted = 0;
    v1::CompletionChunk whole;
    bool cut = false;
  };

  void Complete(const std::shared_ptr<http::Exchange>& exchange);
  void Admit();
  void Tick();
  void Advance(Run* run, double seconds);
  void Emit(Run* run, std::uint32_t tokens);
  void End(Run* run);
  void SendPlain(const std::shared_ptr<http::Exchange>& exchange,
                 const std::string& request_id, const std::string& body);
  std::uint32_t UncachedTokens(const std::string& prompt);
  void TouchBlock(std::uint64_t hash);
  void PublishEvent(std::uint64_t hash, bool evicted);
  Answer LoadVersion(const http::Request& request);
  Answer Events(const http::Request& request) const;
  v1::EngineLoad Load() const;
  std::string Stats() const;

  base::EventLoop& loop_;
  std::string model_;
  std::uint32_t version_;
  v1::FakeEngineControl control_;
  FaultyServer server_;
  v1::FakeEngineStats stats_;
  std::list<Run> running_;
  std::list<Run> waiting_;
  base::Timer tick_;
  base::Timer report_;
  base::Timer swap_;
  std::list<base::Timer> late_;
  bool ticking_ = false;
  bool swapping_ = false;
  v1::EngineLoad reported_;
  std::map<std::string, std::uint64_t> highest_fencing_;
  std::list<std::uint64_t> cache_order_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache_;
  std::deque<v1::CacheEvent> events_;
  std::uint64_t next_event_ = 0;
  sigc::signal<void()> crashed_;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_FAKE_ENGINE_H_
