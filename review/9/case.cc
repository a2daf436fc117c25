// One answer of one replica holds a body of line feeds.

#include "../kit-2.h"

namespace {

using kit::json;
using kit::record;

constexpr int kItems = 248;
// The run whose answer is spoiled, counted at the replica in trouble.
constexpr int kSpoiledRun = 20;
constexpr std::size_t kSpoiledBytes = 1'000'000;
constexpr double kTimeoutSeconds = 2.0;  // timeoutMs of the route
constexpr double kHalfSecond = 0.5;      // rule CONFIG
constexpr double kCallerSeconds = 6.0;   // the callers' deadline
constexpr double kWatchSeconds = 40.0;

std::atomic<int> runs_in_trouble{0};
std::atomic<double> spoiled_at{0};

std::optional<bool> Spoil(int fd, const kit::Message& request) {
  if (++runs_in_trouble != kSpoiledRun) {
    return std::nullopt;
  }
  const std::string id = request.header("request-id");
  spoiled_at = kit::Now();
  record().Line(
      "replica i-engine-3 spoils its answer to %s: %zu line feeds in one chunk",
      id.c_str(), kSpoiledBytes);
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", kSpoiledBytes);
  kit::SendAll(
      fd, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " +
              id + "\r\nServer-Seal: seal-" + id +
              "\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
              size + std::string(kSpoiledBytes, '\n') + "\r\n");
  // The caller closes the connection; the replica sends nothing more.
  kit::Reader(fd).Next();
  return false;
}

struct Counts {
  std::atomic<int> sent{0};
  std::atomic<int> answered{0};
  std::atomic<int> open_at_timeout{0};
  std::atomic<int> open_later{0};
};

void Caller(int front, const std::string& id, Counts& counts) {
  const double start = kit::Now();
  ++counts.sent;
  const auto answer = kit::Call(
      front, "POST", "/reports/" + id, "report",
      kit::CallerHeaders("key-a", id, static_cast<int>(kCallerSeconds * 1000)),
      kCallerSeconds);
  const double took = kit::Now() - start;
  counts.answered += answer.has_value() ? 1 : 0;
  counts.open_at_timeout += took > kTimeoutSeconds ? 1 : 0;
  counts.open_later += took > kTimeoutSeconds + kHalfSecond ? 1 : 0;
  if (took > kTimeoutSeconds) {
    record().Line("request %s: %s after %.2f s", id.c_str(),
                  answer.has_value() ? "answered" : "no answer", took);
  }
}

}  // namespace

int main(int argc, char** argv) {
  kit::Case run(argc, argv);
  kit::Platform platform;
  platform.Put("keyed.op", "config", kit::Manifest().dump());
  kit::Replica desk(platform, {"i-desk-1", "desk", 6, "", nullptr});
  kit::Replica engine_1(platform, {"i-engine-1", "engines", 16, "m0", nullptr});
  kit::Replica engine_2(platform, {"i-engine-2", "engines", 16, "m0", nullptr});
  kit::Replica engine_3(platform,
                        {"i-engine-3", "engines", 16, "m0",
                         run.trouble ? Spoil : decltype(&Spoil)(nullptr)});
  auto nodes = kit::StartNodes(run, platform, 3, 320);
  for (const auto& node : nodes) {
    if (!node->WaitReady()) {
      run.End(kit::kCannotRun, nodes, "a node did not get ready");
    }
  }
  json items = json::array();
  for (int i = 0; i < kItems; ++i) {
    items.push_back(kit::Item("item-" + std::to_string(i),
                              "group-" + std::to_string(i / 8)));
  }
  const json body = {{"step", 1},
                     {"model", "m0"},
                     {"minVersion", 1},
                     {"desired", 28},
                     {"items", items}};
  const auto accepted =
      kit::Call(nodes[0]->front(), "POST", "/steps/next", body.dump(),
                kit::CallerHeaders("key-a", "batch-1", 5'000));
  record().Line("batch-1 of %d items: %d", kItems,
                accepted ? accepted->status() : 0);
  if (!accepted || accepted->status() != 202) {
    run.End(kit::kCannotRun, nodes, "the batch submission was not accepted");
  }
  std::vector<Counts> counts(nodes.size());
  std::vector<double> silent_since(nodes.size(), 0);
  std::vector<double> longest(nodes.size(), 0);
  std::vector<std::thread> callers;
  const double begin = kit::Now();
  int number = 0;
  while (kit::Now() < begin + kWatchSeconds) {
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      const std::string id = nodes[i]->name() + "-" + std::to_string(++number);
      callers.emplace_back(
          [&, i, id] { Caller(nodes[i]->front(), id, counts[i]); });
      if (nodes[i]->Ready(0.3)) {
        silent_since[i] = 0;
      } else if (silent_since[i] == 0) {
        silent_since[i] = kit::Now();
      }
      longest[i] = std::max(
          longest[i], silent_since[i] == 0 ? 0 : kit::Now() - silent_since[i]);
    }
    kit::Sleep(0.5);
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  int open_at_timeout = 0;
  int open_later = 0;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    record().Line(
        "%s: %d requests, %d answered, %d open at timeoutMs, %d of them half a "
        "second "
        "later; no answer to GET /v1/readyz for up to %.1f s",
        nodes[i]->name().c_str(), counts[i].sent.load(),
        counts[i].answered.load(), counts[i].open_at_timeout.load(),
        counts[i].open_later.load(), longest[i]);
    open_at_timeout += counts[i].open_at_timeout;
    open_later += counts[i].open_later;
  }
  record().Line("runs at the replica in trouble: %d, spoiled: %d",
                runs_in_trouble.load(), spoiled_at > 0 ? 1 : 0);
  if (run.trouble && spoiled_at == 0) {
    run.End(kit::kCannotRun, nodes, "no answer was spoiled");
  }
  if (2 * open_later > open_at_timeout) {
    run.End(kit::kBroken, nodes,
            "CONFIG: most requests that were open at timeoutMs have no answer "
            "half a second "
            "later; a node hangs");
  }
  run.End(kit::kHeld, nodes, "requests were answered in time");
}
