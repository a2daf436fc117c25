#include "process/measurement.h"

#include <sys/types.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <set>
#include <sstream>

namespace mulberryroad::process {

namespace {

constexpr double kKilobytesPerMegabyte = 1024;
constexpr double kPercent = 100;

double CpuSeconds(pid_t pid) {
  const std::string stat = ReadFile("/proc/" + std::to_string(pid) + "/stat");
  // The second field, in brackets, may contain spaces.
  std::istringstream fields(stat.substr(stat.rfind(')') + 1));
  std::string skipped;
  constexpr int kFieldsBeforeTimes = 11;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ResidentMb(pid_t pid) {
  std::istringstream lines(
      ReadFile("/proc/" + std::to_string(pid) + "/status"));
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with("VmRSS:")) {
      return std::stod(line.substr(6)) / kKilobytesPerMegabyte;
    }
  }
  return 0;
}

std::map<std::string, double> ReadCounters(const std::string& text) {
  std::map<std::string, double> counters;
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    const std::size_t space = line.rfind(' ');
    if (!line.empty() && line[0] != '#' && space != std::string::npos) {
      counters[line.substr(0, space)] = std::atof(line.c_str() + space);
    }
  }
  return counters;
}

/// Bytes of one process's control connections.
struct WireBytes {
  double sent = 0;
  double received = 0;
};

double Field(const std::string& line, const std::string& name) {
  const std::size_t at = line.find(" " + name + ":");
  return at == std::string::npos
             ? 0
             : std::atof(line.c_str() + at + name.size() + 2);
}

std::uint16_t PortOf(const std::string& address) {
  return static_cast<std::uint16_t>(
      std::stoul(address.substr(address.rfind(':') + 1)));
}

/// Reads the kernel's byte counts of the TCP connections of this machine whose
/// one end is a control port.
std::map<pid_t, WireBytes> ReadWire(const std::set<std::uint16_t>& ports) {
  std::map<pid_t, WireBytes> wire;
  const std::unique_ptr<FILE, int (*)(FILE*)> pipe(
      popen("ss -tinpOH state established 2>/dev/null", "r"), pclose);
  std::array<char, 8192> buffer{};
  while (pipe && fgets(buffer.data(), buffer.size(), pipe.get()) != nullptr) {
    const std::string line = buffer.data();
    std::istringstream fields(line);
    std::string receive_queue;
    std::string send_queue;
    std::string local;
    std::string remote;
    fields >> receive_queue >> send_queue >> local >> remote;
    const std::size_t owner = line.find("pid=");
    if (owner == std::string::npos ||
        (!ports.contains(PortOf(local)) && !ports.contains(PortOf(remote)))) {
      continue;
    }
    WireBytes& bytes = wire[std::atoi(line.c_str() + owner + 4)];
    bytes.sent += Field(line, "bytes_acked");
    bytes.received += Field(line, "bytes_received");
  }
  return wire;
}

std::set<std::uint16_t> ControlPorts(Cluster& cluster) {
  std::set<std::uint16_t> ports = {
      cluster.log().port, cluster.vms().port, cluster.ordering().port,
      cluster.usage().port, cluster.weights().port};
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    ports.insert(cluster.node(i).peer.port);
  }
  return ports;
}

// "batch/x/y" is counted under "batch".
std::string KindOf(const std::string& stream) {
  return stream.substr(0, stream.find('/'));
}

}  // namespace

Snapshot Take(Cluster& cluster) {
  Snapshot snapshot;
  snapshot.time = std::chrono::steady_clock::now();
  const auto wire = ReadWire(ControlPorts(cluster));
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    const pid_t pid = cluster.node(i).process->pid();
    NodeFigures figures;
    figures.cpu_seconds = CpuSeconds(pid);
    figures.resident_mb = ResidentMb(pid);
    if (const auto found = wire.find(pid); found != wire.end()) {
      figures.wire_sent = found->second.sent;
      figures.wire_received = found->second.received;
    }
    snapshot.nodes.push_back(std::move(figures));
  }
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    snapshot.nodes[i].counters =
        ReadCounters(cluster.Get(cluster.node(i).admin, "/metrics").body);
  }
  snapshot.log = cluster.Fetch<v1::FakeLogStats>(cluster.log(), "/stats");
  return snapshot;
}

Spread SpreadOf(std::vector<double> values) {
  if (values.empty()) {
    return {};
  }
  std::sort(values.begin(), values.end());
  return {values[values.size() / 2], values.back()};
}

Growth::Growth(const Snapshot& before, const Snapshot& after)
    : before_(before),
      after_(after),
      seconds_(
          std::chrono::duration<double>(after.time - before.time).count()) {}

Spread Growth::CpuPercent() const {
  std::vector<double> values;
  for (std::size_t i = 0; i < after_.nodes.size(); ++i) {
    values.push_back(
        kPercent *
        (after_.nodes[i].cpu_seconds - before_.nodes[i].cpu_seconds) /
        seconds_);
  }
  return SpreadOf(std::move(values));
}

Spread Growth::ResidentMb() const {
  std::vector<double> values;
  for (const NodeFigures& node : after_.nodes) {
    values.push_back(node.resident_mb);
  }
  return SpreadOf(std::move(values));
}

Spread Growth::WireSent() const {
  std::vector<double> values;
  for (std::size_t i = 0; i < after_.nodes.size(); ++i) {
    values.push_back((after_.nodes[i].wire_sent - before_.nodes[i].wire_sent) /
                     seconds_);
  }
  return SpreadOf(std::move(values));
}

Spread Growth::WireReceived() const {
  std::vector<double> values;
  for (std::size_t i = 0; i < after_.nodes.size(); ++i) {
    values.push_back(
        (after_.nodes[i].wire_received - before_.nodes[i].wire_received) /
        seconds_);
  }
  return SpreadOf(std::move(values));
}

std::map<std::string, double> Growth::Counters(const std::string& name) const {
  std::map<std::string, double> sums;
  for (std::size_t i = 0; i < after_.nodes.size(); ++i) {
    for (const auto& [series, value] : after_.nodes[i].counters) {
      if (!series.starts_with(name)) {
        continue;
      }
      const auto former = before_.nodes[i].counters.find(series);
      const double growth = former == before_.nodes[i].counters.end()
                                ? value
                                : value - former->second;
      sums[series.substr(name.size())] += growth / seconds_;
    }
  }
  return sums;
}

Spread Growth::Counter(const std::string& name,
                       const std::string& labels) const {
  std::vector<double> values;
  for (std::size_t i = 0; i < after_.nodes.size(); ++i) {
    double sum = 0;
    for (const auto& [series, value] : after_.nodes[i].counters) {
      if (!series.starts_with(name) ||
          series.find(labels) == std::string::npos) {
        continue;
      }
      const auto former = before_.nodes[i].counters.find(series);
      sum += former == before_.nodes[i].counters.end() ? value
                                                       : value - former->second;
    }
    values.push_back(sum / seconds_);
  }
  return SpreadOf(std::move(values));
}

std::map<std::string, double> Growth::Appends() const {
  std::map<std::string, double> appends;
  for (const auto& stream : after_.log.streams()) {
    appends[KindOf(stream.name())] +=
        static_cast<double>(stream.appends()) / seconds_;
  }
  for (const auto& stream : before_.log.streams()) {
    appends[KindOf(stream.name())] -=
        static_cast<double>(stream.appends()) / seconds_;
  }
  return appends;
}

}  // namespace mulberryroad::process
