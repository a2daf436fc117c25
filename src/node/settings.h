// Settings of a node.

#ifndef MULBERRYROAD_SRC_NODE_SETTINGS_H_
#define MULBERRYROAD_SRC_NODE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "mulberryroad/endpoint.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::node {

struct Settings {
  NodeId node;
  FailureDomainId failure_domain;
  /// True if no process of the service has run before.
  bool first_start = false;
  /// Listening address for callers.
  Endpoint caller_address;
  /// Listening address for the readiness checks of the platform.
  Endpoint readiness_address;
  /// Listening address for other nodes.
  std::optional<Endpoint> peer_address;
  /// Listening address for metrics.
  std::optional<Endpoint> metrics_address;
  /// Peer addresses of some of the nodes; a listed node may no longer exist.
  std::vector<Endpoint> seeds;
  /// Address of the store.
  Endpoint store_address;
  /// Number of partitions of each topic.
  int partitions = 1;
  /// Maximum size of a record in the store.
  std::size_t max_record_bytes = 262'144;
  /// CPU share of this VM, in cores.
  double cores = 1;
  /// Address of the services for usage reports and capacity orders.
  Endpoint duty_services_address;
  /// Time between SIGTERM and SIGKILL.
  std::chrono::milliseconds grace_period{8'000};
  /// Lease duration of a duty. Within this time, a duty must not move to
  /// another node and back.
  std::chrono::milliseconds lease_duration{3'000};
  /// Length of the windows in which usage is reported.
  std::chrono::seconds usage_window{5};
  /// Time after its submission during which the results of a batch can be read.
  std::chrono::milliseconds result_retention{120'000};
  /// Maximum time during which a revoked key may still be accepted.
  std::chrono::milliseconds key_revocation_delay{5'000};
  /// Within a second, a cold upstream may get this multiple of the rate that it
  /// tolerates ...
  double cold_bound_factor = 1.5;
  /// ... and this number of requests on top.
  double cold_bound_requests = 5;
  /// Whether this node reports its slots in use to other nodes and uses theirs.
  bool share_slots = false;
  /// Memory of this VM in MB; 0 if not known.
  std::size_t memory_mb = 0;
  /// File descriptors of this process; 0 if not known.
  std::size_t max_fds = 0;
};

}  // namespace mulberryroad::node

#endif  // MULBERRYROAD_SRC_NODE_SETTINGS_H_
