// Interfaces through which entry and rollout acquire upstream slots and run
// generations on them.

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

/// Acquires and releases slots in the pools of a target; pools in this node's
/// failure domain are tried first. Used on the event loop's thread.
class Broker {
 public:
  virtual ~Broker() = default;
  /// Acquires a slot asynchronously.
  /// @param request the slot request; an empty failure_domain lets the broker
  /// choose the pool
  /// @param on_reply called exactly once with a grant, which must be passed to
  /// Release, or with a refusal. A refusal is final and implies
  /// Verdict::kNotRun.
  virtual void Acquire(
      v1::GrantRequest request,
      std::function<void(std::variant<v1::Grant, v1::GrantRefusal>)>
          on_reply) = 0;
  /// Releases a granted slot, or cancels the pending Acquire of
  /// release.request_id() if grant_id is 0; its on_reply is called with a
  /// refusal.
  virtual void Release(v1::GrantRelease release) = 0;
};

/// Parameters of one generation on a model engine.
struct GenerationRequest {
  RequestId request_id;
  OrganisationId organisation;
  TargetId model;
  v1::WorkKind kind = v1::WORK_CALLER;
  std::string prompt;
  std::uint32_t max_tokens = 0;
  /// Lowest acceptable weight version of the engine.
  std::uint32_t min_version = 0;
  /// If no slot is granted within this time from Start, the generation fails
  /// with Verdict::kNotRun. Samples with earlier deadlines are served first.
  /// Zero selects the broker's default.
  std::chrono::milliseconds deadline{0};
  /// Whether the request may be executed again, and hence may be placed on a
  /// reclaimable upstream.
  bool repeatable = false;
  std::vector<UpstreamId> excluded_upstreams;
  /// Output of an earlier attempt that the engine continues, and its length in
  /// tokens.
  std::string resume_text;
  std::uint32_t resume_tokens = 0;
};

/// An increment of streamed output. Token positions in version ranges count
/// from the start of the generation, including resumed tokens.
struct GenerationChunk {
  std::string text;
  std::uint32_t tokens = 0;
  std::vector<v1::VersionRange> versions;
};

/// The result of a completed generation, including the output that was already
/// delivered as chunks.
struct GenerationResult {
  UpstreamId upstream;
  std::string text;
  std::uint32_t tokens = 0;
  std::uint32_t prompt_tokens = 0;
  std::vector<v1::VersionRange> versions;
};

/// The result of a generation that failed.
struct GenerationFailure {
  Verdict verdict = Verdict::kNotRun;
  std::string reason;
  /// Suggested delay before a retry; zero if unknown.
  std::chrono::milliseconds retry_after{0};
  UpstreamId upstream;
  /// Output received before the failure, from which another upstream can
  /// resume.
  std::string partial_text;
  std::uint32_t partial_tokens = 0;
  std::vector<v1::VersionRange> partial_versions;
};

using OnChunk = std::function<void(const GenerationChunk&)>;
using OnGenerationDone =
    std::function<void(std::variant<GenerationResult, GenerationFailure>)>;

/// Handle of a running generation, which holds a reference to itself until it
/// has finished.
class GenerationCall {
 public:
  virtual ~GenerationCall() = default;
  /// Aborts the generation and releases its slot. No callback runs afterwards.
  /// No effect if the generation has finished.
  virtual void Cancel() = 0;
  /// Returns the number of tokens received so far.
  virtual std::uint32_t tokens() const = 0;
};

class Generator {
 public:
  virtual ~Generator() = default;
  /// Runs a generation on one upstream, without retries.
  /// @param on_chunk called for each increment of output; may be empty
  /// @param on_generated called once with the result, unless the generation is
  /// cancelled
  /// @return handle with which the generation can be cancelled
  virtual std::shared_ptr<GenerationCall> Start(
      GenerationRequest request, OnChunk on_chunk,
      OnGenerationDone on_generated) = 0;
};

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_BROKER_H_
