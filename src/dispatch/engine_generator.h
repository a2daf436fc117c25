// Runs generations on model engines: takes a slot, streams the answer, returns
// the slot.

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
  /// Credential that engines see in place of callers' keys.
  std::string credential;
  /// Longest time for one generation on an engine.
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

  /// The callbacks never run inside Start.
  std::shared_ptr<GenerationCall> Start(GenerationRequest request,
                                        OnPiece on_piece,
                                        OnGenerated on_generated) override;

 private:
  class Generation;

  /// What all generations share; outlives the generator while one runs.
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
