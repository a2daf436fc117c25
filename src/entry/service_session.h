// Serves one request to a plain service: acquires a slot, forwards the request
// and returns the response. On routes that are not idempotent, a request with
// an idempotency key is recorded in the ledger before it is sent.

#ifndef MULBERRYROAD_SRC_ENTRY_SERVICE_SESSION_H_
#define MULBERRYROAD_SRC_ENTRY_SERVICE_SESSION_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "entry/gateway_context.h"
#include "entry/idempotency.h"
#include "entry/route_table.h"
#include "http/client.h"
#include "http/server.h"

namespace mulberryroad::entry {

/// Holds a reference to itself until the response is sent. A request that is
/// not idempotent is completed even if the caller disconnects after it was
/// sent, so that its outcome is recorded.
class ServiceSession final
    : public std::enable_shared_from_this<ServiceSession> {
 public:
  ServiceSession(std::shared_ptr<GatewayContext> context,
                 std::shared_ptr<http::Exchange> exchange, RequestId request_id,
                 Caller caller, ResolvedRoute route);
  ~ServiceSession();
  ServiceSession(const ServiceSession&) = delete;
  ServiceSession& operator=(const ServiceSession&) = delete;

  /// Starts the request. Must be called once, on an object owned by a
  /// shared_ptr.
  void Start();

 private:
  void HandleProceed(const std::shared_ptr<KeyedAttempt>& keyed);
  void ReplyStoredResponse(const Replay& replay);
  void AcquireSlot();
  void HandleGrantReply(const v1::GrantRefusal& refusal);
  void HandleGrantReply(const v1::Grant& grant);
  void Send(const Endpoint& endpoint);
  void HandleHttpResult(const http::Response& response);
  void HandleHttpResult(const http::Failure& failure);
  void RetryOrFail(Verdict verdict, const std::string& reason);
  void ReleaseSlot(bool failed);
  void HandleCallerDisconnect();
  void Fail(const RequestError& error);
  void End();

  std::shared_ptr<GatewayContext> context_;
  OpenRequest open_;
  std::shared_ptr<http::Exchange> exchange_;
  RequestId request_id_;
  Caller caller_;
  ResolvedRoute route_;
  int attempts_ = 0;
  // Combined verdict of all attempts.
  Verdict verdict_ = Verdict::kNotRun;
  bool ended_ = false;
  std::shared_ptr<KeyedAttempt> keyed_;
  std::optional<v1::Grant> grant_;
  std::shared_ptr<http::Call> call_;
  std::vector<std::string> failed_upstreams_;
  base::Timer retry_timer_;
  sigc::connection closed_connection_;
  // Reset when the session ends.
  std::shared_ptr<ServiceSession> self_;
};

}  // namespace mulberryroad::entry

#endif  // MULBERRYROAD_SRC_ENTRY_SERVICE_SESSION_H_
