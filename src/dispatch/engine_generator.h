// Runs generations on model engines: acquires a slot, streams the response and
// releases the slot.

#ifndef MULBERRYROAD_SRC_DISPATCH_ENGINE_GENERATOR_H_
#define MULBERRYROAD_SRC_DISPATCH_ENGINE_GENERATOR_H_

#include <chrono>
#include <memory>
#include <string>

#include "base/decision_log.h"
#include "base/event_loop.h"
#include "dispatch/broker.h"
#include "http/client.h"
#include "mulberryroad/clock.h"

namespace mulberryroad::dispatch {

struct EngineGeneratorOptions {
  /// Bearer token sent to engines instead of the caller's key.
  std::string credential;
  /// Time limit for one generation, from sending the request to the end of the
  /// response.
  std::chrono::milliseconds timeout{120'000};
};

class EngineGenerator final : public Generator {
 public:
  EngineGenerator(base::EventLoop& loop, const Clock& clock,
                  http::Client& client, Broker& broker,
                  base::DecisionLog& decisions, EngineGeneratorOptions options);
  ~EngineGenerator() override;
  EngineGenerator(const EngineGenerator&) = delete;
  EngineGenerator& operator=(const EngineGenerator&) = delete;

  /// The callbacks never run before Start returns.
  std::shared_ptr<GenerationCall> Start(GenerationRequest request,
                                        OnChunk on_chunk,
                                        OnGenerationDone on_generated) override;

 private:
  class Generation;

  /// Dependencies shared by all generations. Kept alive by running generations
  /// after the generator is destroyed.
  struct Context {
    base::EventLoop& loop;
    const Clock& clock;
    http::Client& client;
    Broker& broker;
    base::DecisionLog& decisions;
    EngineGeneratorOptions options;
  };

  std::shared_ptr<const Context> context_;
};

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_ENGINE_GENERATOR_H_
