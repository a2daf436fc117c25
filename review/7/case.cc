// The only replica of one of two services is taken away while a step runs whose
// items go to both.

#include "../kit-2.h"

namespace {

using kit::json;
using kit::record;

constexpr int kItems = 160;
constexpr double kNoticeSeconds = 2.4;    // scale_in reclaim, x
constexpr double kAwaySeconds = 9.6;      // scale_in reclaim, for_s
constexpr double kDeadlineSeconds = 7.5;  // resultDeadlineMs
constexpr double kIdleSeconds = 5.0;      // rule LOST
constexpr int kSlots = 8;

std::mutex mutex;
std::map<std::string, double> last_at;  // when an item was last at a replica
std::set<std::string> finished;
std::atomic<int> begun{0};  // runs of which an event was sent
std::atomic<int> running_a{0};
std::atomic<double> last_busy_a{0};

// Streams 8 events in 0.4 s.
std::optional<bool> Run(int fd, const kit::Message& request, bool at_a) {
  const std::string id = request.header("request-id");
  if (at_a && ++running_a * 2 >= 2 * kSlots) {
    last_busy_a = kit::Now();
  }
  bool open = kit::SendAll(
      fd, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " +
              id + "\r\nServer-Seal: seal-" + id +
              "\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int event = std::atoi(request.header("last-event-id").c_str()) + 1;
       open && event <= 8; ++event) {
    kit::Sleep(0.05);
    const std::string text = "id: " + std::to_string(event) + "\ndata: " + id +
                             "-" + std::to_string(event) + "\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    open = kit::SendAll(fd, size + text + "\r\n");
    begun += event == 1 ? 1 : 0;
  }
  open = open && kit::SendAll(fd, "0\r\n\r\n");
  if (at_a) {
    if (running_a * 2 >= 2 * kSlots) {
      last_busy_a = kit::Now();
    }
    --running_a;
  }
  const std::lock_guard lock(mutex);
  last_at[id] = kit::Now();
  if (open) {
    finished.insert(id);
  }
  return open;
}

}  // namespace

int main(int argc, char** argv) {
  kit::Case run(argc, argv);
  kit::Platform platform;
  json manifest = kit::Manifest();
  json split = manifest["routes"][1];
  split["name"] = "steps-long";
  split["pathPrefix"] = "/steps/long/";
  split["service"] = "engines-long";
  manifest["routes"].push_back(split);
  json service = manifest["services"][1];
  service["name"] = "engines-long";
  manifest["services"].push_back(service);
  platform.Put("keyed.op", "config", manifest.dump());
  const auto at_a = [](int fd, const kit::Message& request) {
    return Run(fd, request, true);
  };
  const auto at_b = [](int fd, const kit::Message& request) {
    return Run(fd, request, false);
  };
  kit::Replica engine_1(platform,
                        {"i-engine-1", "engines", kSlots, "m0", at_a});
  kit::Replica engine_2(platform,
                        {"i-engine-2", "engines", kSlots, "m0", at_a});
  kit::Replica engine_3(platform,
                        {"i-engine-3", "engines-long", kSlots, "m0", at_b});
  auto nodes = kit::StartNodes(run, platform, 2, 320);
  for (const auto& node : nodes) {
    if (!node->WaitReady()) {
      run.End(kit::kCannotRun, nodes, "a node did not get ready");
    }
  }
  // The store has dealt the partitions by then.
  kit::Sleep(3);
  json items = json::array();
  for (int i = 0; i < kItems; ++i) {
    const bool is_long = i % 4 == 0;
    json item = kit::Item((is_long ? "long-" : "short-") + std::to_string(i),
                          "group-" + std::to_string(i / 8));
    item["path"] = is_long ? "/steps/long/91c4" : "/steps/3/91c4";
    items.push_back(item);
  }
  const json body = {{"step", 1},
                     {"model", "m0"},
                     {"minVersion", 1},
                     {"desired", 18},
                     {"items", items}};
  const auto accepted =
      kit::Call(nodes[0]->front(), "POST", "/steps/next", body.dump(),
                kit::CallerHeaders("key-a", "batch-1", 5'000));
  const double submitted = kit::Now();
  record().Line("batch-1 of %d items: %d", kItems,
                accepted ? accepted->status() : 0);
  if (!accepted || accepted->status() != 202) {
    run.End(kit::kCannotRun, nodes, "the batch submission was not accepted");
  }
  kit::Sleep(0.3);
  std::unique_ptr<kit::Replica> engine_4;
  if (run.trouble) {
    record().Line("the replica of engines-long reports draining");
    engine_3.Drain();
    kit::Sleep(kNoticeSeconds);
    record().Line("the replica of engines-long is gone");
    engine_3.Leave();
  }
  kit::Sleep(submitted + kDeadlineSeconds - kit::Now());
  const double deadline = kit::Now();
  int idle = 0;
  int done = 0;
  {
    const std::lock_guard lock(mutex);
    done = static_cast<int>(finished.size());
    for (const json& item : items) {
      const std::string id = item["id"];
      const auto seen = last_at.find(id);
      const double since =
          deadline - (seen == last_at.end() ? submitted : seen->second);
      // Items of the service that has no replica are not counted.
      if (id.starts_with("short-") && !finished.contains(id) &&
          since > kIdleSeconds) {
        ++idle;
      }
    }
  }
  const double free_for = deadline - last_busy_a;
  record().Line(
      "resultDeadlineMs after the submission: %d runs begun, %d of %d items "
      "finished; %d items whose service has two replicas have been at no "
      "replica for %.0f s; these replicas were under half full for %.1f s",
      begun.load(), done, kItems, idle, kIdleSeconds, free_for);
  if (run.trouble) {
    kit::Sleep(submitted + 0.3 + kNoticeSeconds + kAwaySeconds - kit::Now());
    engine_4 = std::make_unique<kit::Replica>(
        platform, kit::Replica::Options{"i-engine-4", "engines-long", kSlots,
                                        "m0", at_b});
    record().Line("engines-long has a replica again");
    kit::Sleep(5);
    const std::lock_guard lock(mutex);
    record().Line("5 s later %zu items are finished", finished.size());
  }
  if (idle > 0 && begun > 0 && free_for > kIdleSeconds) {
    run.End(kit::kBroken, nodes,
            "LOST: a step runs out of time while items are at no replica, "
            "though replicas that "
            "could run them are idle");
  }
  run.End(kit::kHeld, nodes, "no item was left waiting beside idle replicas");
}
