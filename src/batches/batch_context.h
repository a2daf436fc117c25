// Dependencies and settings that all partition owners of a node share.

#ifndef MULBERRYROAD_SRC_BATCHES_BATCH_CONTEXT_H_
#define MULBERRYROAD_SRC_BATCHES_BATCH_CONTEXT_H_

#include <chrono>
#include <functional>
#include <random>

#include "base/event_loop.h"
#include "base/metrics.h"
#include "base/structured_log.h"
#include "batches/item_memory.h"
#include "batches/output_memory.h"
#include "batches/scorer_limit.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/store.pb.h"
#include "platform/partition_store.h"
#include "serving/catalog.h"
#include "serving/permit_source.h"
#include "serving/upstream_caller.h"
#include "serving/upstreams.h"

namespace mulberryroad::batches {

/// Values read from the platform's headers of an item.
struct ItemHeaders {
  /// Estimated number of output tokens; 0 if there is none.
  double expected_tokens = 0;
};
using ReadItemHeaders = std::function<ItemHeaders(const v1::BatchItem&)>;

/// All references must outlive the partition owners.
struct BatchContext {
  base::EventLoop& loop;
  const Clock& clock;
  base::StructuredLog& log;
  base::Metrics& metrics;
  platform::PartitionStore& store;
  ItemMemory& item_memory;
  OutputMemory& output_memory;
  const serving::Catalog& catalog;
  const serving::UpstreamDirectory& directory;
  /// Load, latency and health of the upstreams that run items.
  serving::UpstreamLoads& loads;
  /// The same for callers' requests, shared with scorer calls: both are plain
  /// requests to the same services.
  serving::UpstreamLoads& request_loads;
  ScorerLimits& scorer_limits;
  serving::PermitSource& permits;
  serving::UpstreamCaller& caller;
  FailureDomainId own_domain;
  std::mt19937_64& random;
  ReadItemHeaders read_headers;
  /// Number of partitions of each topic.
  int partitions = 1;
  /// Retention of the results of an ended batch, counted from its acceptance.
  std::chrono::milliseconds results_retention{180'000};
  /// Maximum size of a record in the store.
  std::size_t max_record_bytes = 262'144;
};

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_BATCH_CONTEXT_H_
