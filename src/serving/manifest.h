// What operators declare for a deployment: routes, services, organisations and
// limits.

#ifndef MULBERRYROAD_SRC_SERVING_MANIFEST_H_
#define MULBERRYROAD_SRC_SERVING_MANIFEST_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mulberryroad/ids.h"

namespace mulberryroad::serving {

enum class RouteKind {
  /// May run more than once.
  kIdempotent,
  /// Runs at most once for each attempt of the caller.
  kNonIdempotent,
  /// Answers with a stream of events.
  kStreaming,
  /// Takes batches, whose items run later.
  kBatch,
};

struct ServiceShare {
  TargetId service;
  double weight = 0;
};

struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  /// An interrupted stream may go on at another upstream.
  bool resumable = false;
  /// Needs no key.
  bool open = false;
  /// All tokens of a sample must come from one weight version.
  bool single_version = false;
  std::vector<ServiceShare> services;
  /// Upstreams that may run one attempt of the caller.
  int max_attempts = 1;
  std::chrono::milliseconds timeout{30'000};
  /// Answers within this time earn their full value.
  std::chrono::milliseconds target_latency{1'000};
  /// Batches: when all results are due, and when an item may be given up.
  std::chrono::milliseconds result_deadline{0};
  std::chrono::milliseconds retention{0};
};

/// How many upstreams a service may have in each failure domain.
struct Scaling {
  std::uint32_t min = 0;
  std::uint32_t max = 0;
  /// From an order to the first request that a new upstream serves.
  std::chrono::milliseconds start_up{0};
};

struct Service {
  TargetId name;
  /// Models of an engine service; empty for plain services.
  std::vector<TargetId> models;
  std::optional<Scaling> scaling;
};

/// Bounds on what callers may send.
struct Limits {
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 8U << 20U;
  /// How long callers may leave a connection idle and use it again.
  std::chrono::milliseconds idle_timeout{15'000};
};

struct Organisation {
  OrganisationId id;
  std::vector<std::string> keys;
};

struct Manifest {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  Limits limits;
  /// Without organisations no route needs a key.
  std::optional<std::vector<Organisation>> organisations;
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_MANIFEST_H_
