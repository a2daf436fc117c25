// Figures of running mulberryd processes, from the kernel and from their own
// counters.

#ifndef MULBERRYROAD_TEST_PROCESS_MEASUREMENT_H_
#define MULBERRYROAD_TEST_PROCESS_MEASUREMENT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "mulberryroad/fakes.pb.h"
#include "process/cluster.h"

namespace mulberryroad::process {

/// Figures of one node at one moment.
struct NodeFigures {
  double cpu_seconds = 0;
  double resident_mb = 0;
  /// Bytes on TCP connections to peers and to the platform that are open now.
  double wire_sent = 0;
  double wire_received = 0;
  /// Counters by their full name with labels.
  std::map<std::string, double> counters;
};

/// Figures of all nodes and of the log at one moment.
struct Snapshot {
  std::chrono::steady_clock::time_point time;
  std::vector<NodeFigures> nodes;
  v1::FakeLogStats log;
};

Snapshot Take(Cluster& cluster);

/// Median and highest value over the nodes.
struct Spread {
  double median = 0;
  double highest = 0;
};
Spread SpreadOf(std::vector<double> values);

/// Growth of figures between two snapshots, a second.
class Growth {
 public:
  Growth(const Snapshot& before, const Snapshot& after);

  double seconds() const { return seconds_; }
  /// Share of a core, in percent.
  Spread CpuPercent() const;
  Spread ResidentMb() const;
  Spread WireSent() const;
  Spread WireReceived() const;
  /// Sum of a counter over the nodes by the label text that names a part of it.
  std::map<std::string, double> Counters(const std::string& name) const;
  /// Spread over the nodes of the sum of all series of a counter whose labels
  /// contain a text.
  Spread Counter(const std::string& name, const std::string& labels) const;
  /// Appends to the log by kind of stream.
  std::map<std::string, double> Appends() const;

 private:
  const Snapshot& before_;
  const Snapshot& after_;
  double seconds_;
};

}  // namespace mulberryroad::process

#endif  // MULBERRYROAD_TEST_PROCESS_MEASUREMENT_H_
