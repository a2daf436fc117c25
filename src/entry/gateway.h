// Serves callers: checks keys, runs completions and plain-service requests, and
// answers each with its own whole answer or a typed error.

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
  /// Part of each request id.
  NodeId node;
  /// Credential that upstreams see in place of callers' keys.
  std::string upstream_credential;
  /// Longest time for one request to a plain service.
  std::chrono::milliseconds request_timeout{120'000};
  /// Longest wait for a slot.
  std::chrono::milliseconds queue_timeout{10'000};
  /// Time between checks of the key of a request under way.
  std::chrono::milliseconds key_check_interval{1'000};
  /// Retries permitted for each request, on average.
  double retry_share = 0.1;
  /// Upstreams tried for one request at most.
  int max_attempts = 3;
  std::uint32_t default_max_tokens = 256;
  std::uint32_t largest_max_tokens = 131'072;
  std::uint64_t seed = 1;
};

struct GatewayContext;

class Gateway {
 public:
  /// Registers its routes with the server, and the fallback for declared ones.
  Gateway(base::EventLoop& loop, const Clock& clock, http::Server& server,
          http::Client& client, config::Configuration& configuration,
          dispatch::Broker& broker, dispatch::Generator& generator,
          ledger::LedgerClient& ledger, billing::Meter& meter,
          base::DecisionLog& decisions, GatewayOptions options);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Number of requests that have no whole answer yet, and of outcomes that are
  /// still to be recorded. A drain waits until it is zero.
  std::size_t open_requests() const;

 private:
  std::shared_ptr<GatewayContext> context_;
};

}  // namespace mulberryroad::entry

#endif  // MULBERRYROAD_SRC_ENTRY_GATEWAY_H_
