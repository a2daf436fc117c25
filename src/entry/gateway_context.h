// What the sessions of a gateway share.

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
  std::size_t open = 0;
  std::uint64_t next_request = 0;

  /// Returns an id that no other request of any node or process has.
  RequestId NewRequestId();
};

/// Counts a request as open for as long as it lives.
class OpenRequest {
 public:
  explicit OpenRequest(std::shared_ptr<GatewayContext> context)
      : context_(std::move(context)) {
    ++context_->open;
  }
  ~OpenRequest() { --context_->open; }
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

 private:
  std::shared_ptr<GatewayContext> context_;
};

/// Who sent a request, and the key by which that is checked again.
struct Caller {
  OrganisationId organisation;
  /// Empty on open routes.
  std::string secret;
};

/// Finds the caller of a keyed route.
std::variant<Caller, RequestError> FindCaller(
    const config::Configuration& configuration, const http::Request& request);

/// Returns why the caller's key is no longer honoured, or nullopt.
std::optional<RequestError> CheckAgain(
    const config::Configuration& configuration, const Caller& caller);

/// Writes the decision to try a request again, or not.
void WriteRetry(GatewayContext& context, const RequestId& request_id,
                const Caller& caller, const TargetId& target, bool again,
                const std::string& reason, Verdict verdict);

}  // namespace mulberryroad::entry

#endif  // MULBERRYROAD_SRC_ENTRY_GATEWAY_CONTEXT_H_
