// Slots on upstreams and generation on them, as entry and rollout use them.

#ifndef MULBERRYROAD_SRC_DISPATCH_BROKER_H_
#define MULBERRYROAD_SRC_DISPATCH_BROKER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "mulberryroad/dispatch.pb.h"
#include "mulberryroad/ids.h"
#include "mulberryroad/rollout.pb.h"
#include "mulberryroad/verdict.h"

namespace mulberryroad::dispatch {

/// Hands out slots of any pool of a target, the pool of the own failure domain
/// first.
class Broker {
 public:
  virtual ~Broker() = default;
  /// Asks for a slot. request.failure_domain is empty to let the broker choose
  /// the pool. Calls back exactly once; a refusal is final and means "not run".
  virtual void Acquire(
      v1::GrantRequest request,
      std::function<void(std::variant<v1::Grant, v1::GrantRefusal>)>
          on_reply) = 0;
  /// Returns a slot.
  virtual void Release(v1::GrantRelease release) = 0;
};

/// One generation to run on a model engine.
struct GenerationRequest {
  RequestId request_id;
  OrganisationId organisation;
  TargetId model;
  v1::WorkKind kind = v1::WORK_CALLER;
  std::string prompt;
  std::uint32_t max_tokens = 0;
  /// Engines with an older weight version are not used.
  std::uint32_t min_version = 0;
  /// Zero for none.
  std::chrono::milliseconds deadline{0};
  bool repeatable = false;
  std::vector<UpstreamId> excluded_upstreams;
  /// Text generated elsewhere that the engine is to continue, and its tokens.
  std::string resume_text;
  std::uint32_t resume_tokens = 0;
};

/// Tokens as they come. Version ranges count from the start of the generation,
/// resumed tokens included.
struct GenerationPiece {
  std::string text;
  std::uint32_t tokens = 0;
  std::vector<v1::VersionRange> versions;
};

/// A whole generation. Pieces already passed on are included again.
struct Generated {
  UpstreamId upstream;
  std::string text;
  std::uint32_t tokens = 0;
  std::uint32_t prompt_tokens = 0;
  std::vector<v1::VersionRange> versions;
};

/// A generation that did not end.
struct GenerationFailure {
  Verdict verdict = Verdict::kNotRun;
  std::string reason;
  /// When to come back; zero if unknown.
  std::chrono::milliseconds retry_after{0};
  UpstreamId upstream;
  /// What came before the failure, for a resume elsewhere.
  std::string partial_text;
  std::uint32_t partial_tokens = 0;
  std::vector<v1::VersionRange> partial_versions;
};

using OnPiece = std::function<void(const GenerationPiece&)>;
using OnGenerated =
    std::function<void(std::variant<Generated, GenerationFailure>)>;

/// A generation under way; keeps itself alive until it is done.
class GenerationCall {
 public:
  virtual ~GenerationCall() = default;
  /// Ends the generation at the engine and returns its slot; there is no
  /// further callback.
  virtual void Cancel() = 0;
  /// Returns the tokens received so far.
  virtual std::uint32_t tokens() const = 0;
};

class Generator {
 public:
  virtual ~Generator() = default;
  /// Runs a generation on one upstream. It does not retry.
  virtual std::shared_ptr<GenerationCall> Start(GenerationRequest request,
                                                OnPiece on_piece,
                                                OnGenerated on_generated) = 0;
};

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_BROKER_H_
