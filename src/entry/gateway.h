// HTTP front end for callers: authenticates requests, runs completions and
// requests to plain services, and returns for each the complete response or a
// typed error.

#ifndef MULBERRYROAD_SRC_ENTRY_GATEWAY_H_
#define MULBERRYROAD_SRC_ENTRY_GATEWAY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "base/decision_log.h"
#include "base/event_loop.h"
#include "billing/meter.h"
#include "config/configuration.h"
#include "dispatch/broker.h"
#include "http/client.h"
#include "http/server.h"
#include "ledger/ledger_client.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::entry {

struct GatewayOptions {
  /// Id of this node, used as the prefix of request ids.
  NodeId node;
  /// Bearer token sent to upstreams instead of the caller's key.
  std::string upstream_credential;
  /// Time limit for one request to a plain service.
  std::chrono::milliseconds request_timeout{120'000};
  /// Maximum wait for a slot.
  std::chrono::milliseconds queue_timeout{10'000};
  /// Interval at which the key of a running completion is checked again.
  std::chrono::milliseconds key_check_interval{1'000};
  /// Average number of retries permitted per request.
  double retry_share = 0.1;
  /// Maximum number of attempts per request.
  int max_attempts = 3;
  std::uint32_t default_max_tokens = 256;
  std::uint32_t largest_max_tokens = 131'072;
  std::uint64_t seed = 1;
};

struct GatewayContext;

class Gateway {
 public:
  /// Registers the completions route, the fallback handler for declared routes
  /// and the handler for oversize bodies with the server.
  Gateway(base::EventLoop& loop, const Clock& clock, http::Server& server,
          http::Client& client, config::Configuration& configuration,
          dispatch::Broker& broker, dispatch::Generator& generator,
          ledger::LedgerClient& ledger, billing::Meter& meter,
          base::DecisionLog& decisions, GatewayOptions options);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Returns the number of requests without a complete response plus the number
  /// of outcomes not yet recorded in the ledger. A drain waits until it is
  /// zero.
  std::size_t open_requests() const;

 private:
  std::shared_ptr<GatewayContext> context_;
};

}  // namespace mulberryroad::entry

#endif  // MULBERRYROAD_SRC_ENTRY_GATEWAY_H_
