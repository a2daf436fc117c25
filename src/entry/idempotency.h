// One try of a keyed request, as the ledger sees it.

#ifndef MULBERRYROAD_SRC_ENTRY_IDEMPOTENCY_H_
#define MULBERRYROAD_SRC_ENTRY_IDEMPOTENCY_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "entry/gateway_context.h"
#include "http/server.h"
#include "mulberryroad/ledger.pb.h"

namespace mulberryroad::entry {

/// The request may be sent.
struct Proceed {};
/// The request ran before; this was its answer.
struct Replay {
  int status = 0;
  std::string body;
  std::string content_type;
};
using BeginOutcome = std::variant<Proceed, Replay, RequestError>;

/// Keeps itself alive until its outcome is recorded, or cannot be.
class KeyedTry final : public std::enable_shared_from_this<KeyedTry> {
 public:
  KeyedTry(std::shared_ptr<GatewayContext> context,
           const http::Request& request, const std::string& idempotency_key,
           const Caller& caller, const RequestId& request_id);

  void Begin(std::function<void(const BeginOutcome&)> on_begun);
  /// Records the answer, so that repeats of the request get it again.
  void FinishRan(int status, const std::string& body,
                 const std::string& content_type);
  /// Records that the request was certainly not run.
  void FinishNotRun();

 private:
  void Record(v1::LedgerOutcome outcome);
  void Send();

  std::shared_ptr<GatewayContext> context_;
  v1::LedgerIntent intent_;
  v1::LedgerOutcome outcome_;
  int attempts_left_ = 0;
  std::unique_ptr<OpenRequest> recording_;
  base::Timer retry_timer_;
};

}  // namespace mulberryroad::entry

#endif  // MULBERRYROAD_SRC_ENTRY_IDEMPOTENCY_H_
