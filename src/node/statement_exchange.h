// Shares through the store what upstreams state about themselves.

#ifndef MULBERRYROAD_SRC_NODE_STATEMENT_EXCHANGE_H_
#define MULBERRYROAD_SRC_NODE_STATEMENT_EXCHANGE_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "base/event_loop.h"
#include "base/metrics.h"
#include "base/structured_log.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"
#include "node/shared_records.h"
#include "serving/upstream_statements.h"
#include "serving/upstreams.h"

namespace mulberryroad::node {

/// Writes changed statements that this node received to the shared records and
/// reads those of all nodes, so that a node knows the limit of an upstream
/// before it sends the first request there. Runs on the event loop thread.
class StatementExchange {
 public:
  /// @param process unique name of this process
  /// @param cleans returns whether this node deletes expired records from the
  ///     store
  StatementExchange(base::EventLoop& loop, const Clock& clock,
                    base::StructuredLog& log, base::Metrics& metrics,
                    SharedRecords& shared,
                    const serving::UpstreamDirectory& directory,
                    serving::UpstreamStatements& statements,
                    std::string process, std::function<bool()> cleans);
  StatementExchange(const StatementExchange&) = delete;
  StatementExchange& operator=(const StatementExchange&) = delete;

  /// Starts to discard old statements.
  void Start();

  static constexpr std::chrono::milliseconds kExpireInterval{10'000};

 private:
  void Share(const UpstreamId& id);
  void Apply(const std::string& key, const std::optional<std::string>& value);
  void Expire();

  base::EventLoop& loop_;
  const Clock& clock_;
  base::StructuredLog& log_;
  base::Metrics& metrics_;
  SharedRecords& shared_;
  const serving::UpstreamDirectory& directory_;
  serving::UpstreamStatements& statements_;
  std::string process_;
  std::function<bool()> cleans_;
  base::Timer expire_timer_;
};

}  // namespace mulberryroad::node

#endif  // MULBERRYROAD_SRC_NODE_STATEMENT_EXCHANGE_H_
