// Serves one completion request of a caller, from the validated body to the end
// of the response. Retries failed generations on other upstreams, resuming
// after the output received so far.

#ifndef MULBERRYROAD_SRC_ENTRY_COMPLETION_SESSION_H_
#define MULBERRYROAD_SRC_ENTRY_COMPLETION_SESSION_H_

#include <memory>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "dispatch/broker.h"
#include "entry/gateway_context.h"
#include "http/server.h"
#include "mulberryroad/platform.pb.h"

namespace mulberryroad::entry {

/// Holds a reference to itself until the response is complete or the caller has
/// disconnected.
class CompletionSession final
    : public std::enable_shared_from_this<CompletionSession> {
 public:
  /// @param idempotent whether the request may be retried after it may have run
  CompletionSession(std::shared_ptr<GatewayContext> context,
                    std::shared_ptr<http::Exchange> exchange,
                    RequestId request_id, Caller caller,
                    v1::CompletionRequest request, bool idempotent);
  ~CompletionSession();
  CompletionSession(const CompletionSession&) = delete;
  CompletionSession& operator=(const CompletionSession&) = delete;

  /// Starts the first attempt. Must be called once, on an object owned by a
  /// shared_ptr.
  void Start();

 private:
  void StartAttempt();
  void HandleChunk(const dispatch::GenerationChunk& piece);
  void HandleResult(const dispatch::GenerationResult& generated);
  void HandleResult(const dispatch::GenerationFailure& failure);
  void AppendOutput(const std::string& text, std::uint32_t tokens,
                    const std::vector<v1::VersionRange>& versions);
  /// Returns whether a retry is permitted, and spends it from the retry budget.
  bool ClaimRetry(const dispatch::GenerationFailure& failure);
  void CheckKey();
  void HandleCallerDisconnect();
  void Fail(const RequestError& error);
  void WriteChunk(const v1::CompletionChunk& chunk);
  v1::CompletionChunk NewChunk() const;
  void Bill(std::uint32_t tokens);
  void End();

  std::shared_ptr<GatewayContext> context_;
  OpenRequest open_;
  std::shared_ptr<http::Exchange> exchange_;
  RequestId request_id_;
  Caller caller_;
  v1::CompletionRequest request_;
  bool idempotent_;
  int attempts_ = 0;
  bool streaming_ = false;
  bool ended_ = false;
  // Combined verdict of all attempts.
  Verdict verdict_ = Verdict::kNotRun;
  std::vector<UpstreamId> failed_upstreams_;
  // Output of the finished attempts, with its length and weight versions.
  std::string text_;
  std::uint32_t tokens_ = 0;
  std::vector<v1::VersionRange> versions_;
  // Tokens delivered to the caller of a stream.
  std::uint32_t delivered_tokens_ = 0;
  std::uint32_t prompt_tokens_ = 0;
  std::shared_ptr<dispatch::GenerationCall> call_;
  base::Timer key_timer_;
  base::Timer retry_timer_;
  std::vector<sigc::connection> connections_;
  // Reset when the session ends.
  std::shared_ptr<CompletionSession> self_;
};

}  // namespace mulberryroad::entry

#endif  // MULBERRYROAD_SRC_ENTRY_COMPLETION_SESSION_H_
