// Measures what nodes spend on control, idle and loaded, and how fast a key is
// withdrawn. tools/slopes runs it at several sizes.

#include <popt.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include "process/cluster.h"
#include "process/load.h"
#include "process/measurement.h"

namespace {

using mulberryroad::Endpoint;
using mulberryroad::process::ArmorDeclaration;
using mulberryroad::process::Cluster;
using mulberryroad::process::ClusterOptions;
using mulberryroad::process::Growth;
using mulberryroad::process::Load;
using mulberryroad::process::LoadOptions;
using mulberryroad::process::Replace;
using mulberryroad::process::Snapshot;
using mulberryroad::process::Spread;
using mulberryroad::process::Take;
using std::chrono::milliseconds;

constexpr milliseconds kSettle{5'000};
constexpr milliseconds kBound{30'000};
constexpr milliseconds kPollPause{20};
constexpr int kUnauthorised = 401;
constexpr const char* kWithdrawnKey = "sample-concarneau-crews-40e7";

struct Flags {
  int nodes = 3;
  int seconds = 10;
  int callers = 16;
  int max_tokens = 20;
  int replicas = 3;
  int organisations = 0;
};

Flags ReadFlags(int argc, const char** argv) {
  Flags flags;
  const std::array options = {
      poptOption{"nodes", 0, POPT_ARG_INT, &flags.nodes, 0, "Nodes", "N"},
      poptOption{"seconds", 0, POPT_ARG_INT, &flags.seconds, 0,
                 "Length of each measurement", "S"},
      poptOption{"callers", 0, POPT_ARG_INT, &flags.callers, 0,
                 "Requests under way at once", "N"},
      poptOption{"max-tokens", 0, POPT_ARG_INT, &flags.max_tokens, 0,
                 "Tokens of an answer", "N"},
      poptOption{"replicas", 0, POPT_ARG_INT, &flags.replicas, 0,
                 "Drafting replicas, in three pools", "N"},
      poptOption{"organisations", 0, POPT_ARG_INT, &flags.organisations, 0,
                 "Organisations besides the sample's eight", "N"},
      poptOption POPT_AUTOHELP poptOption POPT_TABLEEND};
  poptContext context = poptGetContext(nullptr, argc, argv, options.data(), 0);
  if (poptGetNextOpt(context) < -1) {
    std::cerr << "unknown flag\n";
    std::exit(2);
  }
  poptFreeContext(context);
  return flags;
}

std::string Declaration(const Flags& flags) {
  const std::string count = std::to_string(flags.replicas / 3);
  std::string text =
      Replace(ArmorDeclaration(), "min_upstreams: 1 max_upstreams: 2",
              "min_upstreams: " + count + " max_upstreams: " + count);
  for (int i = 0; i < flags.organisations; ++i) {
    std::array<char, 65> digest{};
    std::snprintf(digest.data(), digest.size(), "%064x", i);
    const std::string name = "team-" + std::to_string(i);
    text.append("organisations { name: \"").append(name);
    text.append("\" keys { name: \"").append(name).append("-key\" sha256: \"");
    text.append(digest.data()).append("\" } }\n");
  }
  return text;
}

void Print(const char* name, const Spread& spread, const char* unit) {
  std::printf("  %-28s median %10.2f  highest %10.2f %s\n", name, spread.median,
              spread.highest, unit);
}

void Print(const char* phase, const Growth& growth) {
  std::printf("%s, %.0f s\n", phase, growth.seconds());
  Print("resident memory", growth.ResidentMb(), "MB");
  Print("CPU of a core", growth.CpuPercent(), "%");
  Print("control sent, on the wire", growth.WireSent(), "bytes/s");
  Print("control received, on the wire", growth.WireReceived(), "bytes/s");
  Print("peer messages sent, payload",
        growth.Counter("peer_bytes_total", "sent"), "bytes/s");
  Print("peer messages sent", growth.Counter("peer_messages_total", "sent"),
        "1/s");
  Print("log read, payload", growth.Counter("log_read_bytes_total", ""),
        "bytes/s");
  for (const auto& [labels, rate] : growth.Counters("peer_messages_total")) {
    if (labels.find("sent") != std::string::npos && rate > 0) {
      std::printf("  all nodes, peer %-30s %10.2f 1/s\n", labels.c_str(), rate);
    }
  }
  for (const auto& [stream, rate] : growth.Appends()) {
    std::printf("  all nodes, appends to %-24s %10.2f 1/s\n", stream.c_str(),
                rate);
  }
}

/// Polls all nodes until the key is refused at each.
class WithdrawalWatch {
 public:
  explicit WithdrawalWatch(Cluster* cluster) : cluster_(*cluster) {
    waiting_ = cluster_.size();
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      Poll(cluster_.node(i).caller);
    }
  }
  std::size_t waiting() const { return waiting_; }

 private:
  void Poll(const Endpoint& node) {
    mulberryroad::http::ClientRequest request;
    request.endpoint = node;
    request.path = "/v1/batches/none/samples";
    request.headers = {
        {"Authorization", std::string("Bearer ") + kWithdrawnKey}};
    cluster_.client().Send(
        std::move(request),
        [this, node](const mulberryroad::http::Result& result) {
          const auto* response =
              std::get_if<mulberryroad::http::Response>(&result);
          if (response != nullptr && response->status == kUnauthorised) {
            --waiting_;
            return;
          }
          timers_.push_back(
              cluster_.loop().After(kPollPause, [this, node] { Poll(node); }));
        });
  }

  Cluster& cluster_;
  std::size_t waiting_ = 0;
  std::vector<mulberryroad::base::Timer> timers_;
};

double SecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

void MeasureWithdrawal(Cluster* cluster, const std::string& declaration) {
  const std::string without =
      Replace(declaration,
              "keys { name: \"concarneau-crews\" sha256: "
              "\"d69d479a5542c964c3ac4111f885c11dfba22aa2c91974bde4bc85b9da748a"
              "4a\" }",
              "");
  const auto base = cluster->Status(0).config_revision();
  const auto start = std::chrono::steady_clock::now();
  const auto reply = cluster->Apply(0, without, base);
  std::printf("key withdrawal\n  accepted after %31.2f s\n",
              SecondsSince(start));
  if (!reply.accepted()) {
    std::printf("  refused: %s\n", reply.reason().c_str());
    return;
  }
  const WithdrawalWatch watch(cluster);
  const bool done =
      cluster->WaitFor(kBound, [&] { return watch.waiting() == 0; });
  std::printf("  refused on all nodes after %20.2f s%s\n", SecondsSince(start),
              done ? "" : " (not on all)");
}

bool Run(const Flags& flags) {
  ClusterOptions options;
  options.nodes = static_cast<std::size_t>(flags.nodes);
  options.node_flags = {"--log-level=warn"};
  Cluster cluster(options);
  const std::string declaration = Declaration(flags);
  if (!cluster.Start() || !cluster.ApplyEverywhere(declaration) ||
      !cluster.WaitForUpstreams("drafting",
                                static_cast<std::size_t>(flags.replicas))) {
    std::cerr << "the cluster does not start: " << cluster.reason() << "\n";
    return false;
  }
  std::printf("%d nodes, %d drafting replicas, %d organisations\n", flags.nodes,
              flags.replicas, 8 + flags.organisations);
  cluster.Pump(kSettle);
  const Snapshot idle_start = Take(cluster);
  cluster.Pump(std::chrono::seconds(flags.seconds));
  const Snapshot idle_end = Take(cluster);
  Print("idle", Growth(idle_start, idle_end));

  std::vector<Endpoint> callers;
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    callers.push_back(cluster.node(i).caller);
  }
  LoadOptions load_options;
  load_options.callers = static_cast<std::size_t>(flags.callers);
  load_options.max_tokens = static_cast<std::uint32_t>(flags.max_tokens);
  Load load(cluster.loop(), cluster.client(), callers, load_options);
  load.Start();
  cluster.Pump(kSettle);
  const auto before = load.counts();
  const Snapshot load_start = Take(cluster);
  cluster.Pump(std::chrono::seconds(flags.seconds));
  const Snapshot load_end = Take(cluster);
  const auto after = load.counts();
  const Growth growth(load_start, load_end);
  Print("loaded", growth);
  std::printf(
      "  answers %38.1f 1/s, %lu not whole, %lu refused\n",
      static_cast<double>(after.whole - before.whole) / growth.seconds(),
      after.wrong + after.cut + after.may_have_run,
      after.not_run - before.not_run);
  MeasureWithdrawal(&cluster, declaration);
  load.Stop();
  cluster.WaitFor(kBound, [&] { return load.open() == 0; });
  return true;
}

}  // namespace

int main(int argc, const char** argv) {
  return Run(ReadFlags(argc, argv)) ? 0 : 1;
}
