// Ledger protocol for one attempt of a request with an idempotency key.

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

/// The ledger stored the intent; the request may be sent.
struct Proceed {};
/// The request ran before; contains the stored response.
struct Replay {
  int status = 0;
  std::string body;
  std::string content_type;
};
using BeginOutcome = std::variant<Proceed, Replay, RequestError>;

/// One attempt of a request with an idempotency key. Pending callbacks hold a
/// reference to the object until the outcome is recorded or the retries of
/// recording it are exhausted.
class KeyedAttempt final : public std::enable_shared_from_this<KeyedAttempt> {
 public:
  KeyedAttempt(std::shared_ptr<GatewayContext> context,
               const http::Request& request, const std::string& idempotency_key,
               const Caller& caller, const RequestId& request_id);

  /// Stores the intent in the ledger.
  /// @param on_begun called with the result. After Proceed, RecordRan or
  /// RecordNotRun must be called, unless it is unknown whether the request ran.
  void Begin(std::function<void(const BeginOutcome&)> on_begun);
  /// Records that the request ran. The response is stored and returned to
  /// repeats of the request, unless it is too large.
  void RecordRan(int status, const std::string& body,
                 const std::string& content_type);
  /// Records that the request did not run. Must be called only if that is
  /// certain.
  void RecordNotRun();

 private:
  void StartRecording(v1::LedgerOutcome outcome);
  void SendOutcome();

  std::shared_ptr<GatewayContext> context_;
  v1::LedgerIntent intent_;
  v1::LedgerOutcome outcome_;
  int attempts_left_ = 0;
  std::unique_ptr<OpenRequest> recording_;
  base::Timer retry_timer_;
};

}  // namespace mulberryroad::entry

#endif  // MULBERRYROAD_SRC_ENTRY_IDEMPOTENCY_H_
