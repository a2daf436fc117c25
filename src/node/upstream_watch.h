// Keeps what this node knows of its upstreams in step with what the store says
// of them.

#ifndef MULBERRYROAD_SRC_NODE_UPSTREAM_WATCH_H_
#define MULBERRYROAD_SRC_NODE_UPSTREAM_WATCH_H_

#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/structured_log.h"
#include "mulberryroad/clock.h"
#include "platform/partition_store.h"
#include "serving/upstreams.h"

namespace mulberryroad::node {

class UpstreamWatch {
 public:
  UpstreamWatch(const Clock& clock, base::StructuredLog& log,
                base::Metrics& metrics, serving::UpstreamDirectory& directory,
                serving::UpstreamLoads& request_loads,
                serving::UpstreamLoads& item_loads);

  /// Takes in the full list of entries.
  /// @param store_unstable the store was away a moment ago, so that entries may
  ///     have lapsed with it
  void TakeAll(const std::vector<platform::KeyedRecord>& records,
               bool store_unstable);
  /// Takes in one entry, or its removal.
  void Take(const platform::KeyedRecord& record, bool store_unstable);
  /// True once a full list was read.
  bool listed() const { return listed_; }

 private:
  void LogHealth(serving::UpstreamLoads& loads, const std::string& work);
  bool ForgetIfRestarted(const serving::Registration& registration);

  const Clock& clock_;
  base::StructuredLog& log_;
  base::Metrics& metrics_;
  serving::UpstreamDirectory& directory_;
  serving::UpstreamLoads& request_loads_;
  serving::UpstreamLoads& item_loads_;
  bool listed_ = false;
};

}  // namespace mulberryroad::node

#endif  // MULBERRYROAD_SRC_NODE_UPSTREAM_WATCH_H_
