// The manifest that operators declare for a deployment: routes, services,
// organisations and limits.

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
  /// The request may run more than once.
  kIdempotent,
  /// The request runs at most once. A retry by the caller is a new request.
  kNonIdempotent,
  /// The response is a stream of server-sent events.
  kStreaming,
  /// The request submits a batch whose items run later.
  kBatch,
};

/// Share of a route's traffic that goes to one service.
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
  /// Whether an interrupted stream may be resumed at another upstream.
  bool resumable = false;
  /// Whether the route needs no API key.
  bool open = false;
  /// Whether all tokens of a sample must come from one weight version.
  bool single_version = false;
  std::vector<ServiceShare> services;
  /// Maximum number of upstreams that may run one request of the caller.
  int max_attempts = 1;
  std::chrono::milliseconds timeout{30'000};
  /// Target response time. Responses within it have their full value for the
  /// caller.
  std::chrono::milliseconds target_latency{1'000};
  /// Batch routes: time from submission until all results are due.
  std::chrono::milliseconds result_deadline{0};
  /// Batch routes: time from submission after which an item may be abandoned; 0
  /// if the manifest sets none.
  std::chrono::milliseconds retention{0};
  /// 0 is the highest; nullopt, if the manifest names none, is the lowest.
  std::optional<std::uint32_t> priority = std::nullopt;
};

/// Minimum and maximum number of upstreams of a service in each failure domain.
struct Scaling {
  std::uint32_t min = 0;
  std::uint32_t max = 0;
  /// Time from a capacity order to the first request that a new upstream
  /// serves.
  std::chrono::milliseconds start_up{0};
};

/// How a service's upstreams behave after their start.
struct ColdStart {
  /// Time after its start during which an upstream is cold.
  std::chrono::milliseconds after_start{0};
  /// Requests per second that a cold upstream tolerates from all nodes
  /// together; 0 if it has no limit.
  double requests_per_second = 0;
};

struct Service {
  TargetId name;
  /// Models of an engine service; empty for other services.
  std::vector<TargetId> models;
  std::optional<Scaling> scaling;
  /// As the manifest states it; ColdUpstreams clamps it.
  ColdStart cold_start = {};
};

/// Limits on the requests and connections of callers.
struct Limits {
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 8U << 20U;
  /// How long a caller may leave a connection idle and still send a request on
  /// it.
  std::chrono::milliseconds idle_timeout{15'000};
  /// Time in which a caller must send the head of a request.
  std::chrono::milliseconds header_timeout{3'000};
};

struct Organisation {
  OrganisationId id;
  std::vector<std::string> keys;
  /// Like Route::priority, which it precedes.
  std::optional<std::uint32_t> priority = std::nullopt;
};

struct Manifest {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  Limits limits;
  /// Organisations and their API keys. Without them no route needs a key.
  std::optional<std::vector<Organisation>> organisations;
  /// Whether a route or organisation names a priority, valid or not. Without
  /// one, requests are sent in the order of their arrival.
  bool uses_priorities = false;
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_MANIFEST_H_
