// Dependencies and state shared by the sessions of a gateway.

#ifndef MULBERRYROAD_SRC_ENTRY_GATEWAY_CONTEXT_H_
#define MULBERRYROAD_SRC_ENTRY_GATEWAY_CONTEXT_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>

#include "entry/api_error.h"
#include "entry/gateway.h"
#include "entry/retry_budget.h"

namespace mulberryroad::entry {

struct GatewayContext {
  base::EventLoop& loop;
  const Clock& clock;
  http::Client& client;
  config::Configuration& configuration;
  dispatch::Broker& broker;
  dispatch::Generator& generator;
  ledger::LedgerClient& ledger;
  billing::Meter& meter;
  base::DecisionLog& decisions;
  GatewayOptions options;
  RetryBudget budget;
  std::mt19937_64 random;
  std::size_t open_requests = 0;
  std::uint64_t next_request_number = 0;

  /// Returns a request id that is unique across nodes and processes.
  RequestId NewRequestId();
};

/// Scope guard that counts a request as open.
class OpenRequest {
 public:
  explicit OpenRequest(std::shared_ptr<GatewayContext> context)
      : context_(std::move(context)) {
    ++context_->open_requests;
  }
  ~OpenRequest() { --context_->open_requests; }
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

 private:
  std::shared_ptr<GatewayContext> context_;
};

/// The sender of a request, with the key for later checks.
struct Caller {
  OrganisationId organisation;
  /// Empty on open routes.
  std::string secret;
};

/// Authenticates the caller of a route that requires a key.
/// @return the caller; or an error with status 401 if the key is missing or
/// unknown, or 503 if this node is isolated and cannot check it
std::variant<Caller, RequestError> AuthenticateCaller(
    const config::Configuration& configuration, const http::Request& request);

/// Checks again whether the caller's key is valid for its organisation.
/// @return the error if the key is no longer accepted; nullopt if it is, or if
/// the caller used an open route
std::optional<RequestError> ReauthoriseCaller(
    const config::Configuration& configuration, const Caller& caller);

/// Writes a "retry" or "give up" decision for a failed attempt to the decision
/// log.
void WriteRetryDecision(GatewayContext& context, const RequestId& request_id,
                        const Caller& caller, const TargetId& target,
                        bool will_retry, const std::string& reason,
                        Verdict verdict);

}  // namespace mulberryroad::entry

#endif  // MULBERRYROAD_SRC_ENTRY_GATEWAY_CONTEXT_H_
