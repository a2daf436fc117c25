// Settings of a node that runs on the users' platform.

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
  /// No process of the system ran before.
  bool first_start = false;
  /// Where callers, the platform's readiness checks and other nodes connect.
  Endpoint callers;
  Endpoint readiness;
  std::optional<Endpoint> peers;
  /// Serves counters and histograms.
  std::optional<Endpoint> metrics;
  /// Peer addresses of some nodes, which may be gone.
  std::vector<Endpoint> seeds;
  Endpoint store;
  /// Partitions of each topic.
  int partitions = 1;
  /// Longest record that the store takes.
  std::size_t max_record_bytes = 262'144;
  /// Processor time that this VM has, in cores.
  double cores = 1;
  /// Takes usage reports and orders of capacity.
  Endpoint duty_services;
  /// Time between SIGTERM and SIGKILL.
  std::chrono::milliseconds grace{8'000};
  /// Duties must not go back and forth between nodes within this time.
  std::chrono::milliseconds lease{3'000};
  std::chrono::seconds usage_window{5};
  /// How long the results of a batch can be read after its submission.
  std::chrono::milliseconds results_kept{120'000};
  /// How long a withdrawn key may still work.
  std::chrono::milliseconds key_withdrawal{5'000};
};

}  // namespace mulberryroad::node

#endif  // MULBERRYROAD_SRC_NODE_SETTINGS_H_
