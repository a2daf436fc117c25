// All nodes are killed and start again while the partition of the store that
// holds the manifest is down. No item may be given up after a single 500 of a
// route that allows three.

#include "trainer.h"

namespace review {
namespace {

constexpr std::uint64_t kEvents = 60;
constexpr milliseconds kInterval{50};
constexpr milliseconds kDown{4'000};
constexpr int kMaxAttempts = 3;

int Run() {
  RunRecord record;
  Store store(4);
  std::mutex mutex;
  std::set<std::string> failures;
  std::atomic<bool> failing = false;
  store.Put("keyed.op", "config",
            RolloutManifest({"brest"}, false, kMaxAttempts));
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 1; i <= 2; ++i) {
    Replica::Options options{
        "engine-" + std::to_string(i), "engines", 12, {{"m0", 1}}};
    replicas.push_back(std::make_unique<Replica>(
        store, record, options,
        [&](Replica& self, const std::shared_ptr<Connection>& connection,
            const Message& request) {
          const std::string id = request.header("Request-Id");
          bool fails = false;
          if (failing) {
            const std::lock_guard lock(mutex);
            fails = failures.insert(id).second;
          }
          if (fails) {
            record.Write(self.id() + " answers 500 to " + id);
            return connection->Write(FormatResponse(
                500, "{}",
                {{"Request-Id", id}, {"Server-Seal", self.Seal(request)}}));
          }
          return StreamItem(self, record, connection, request, kEvents,
                            kInterval);
        }));
  }
  Node first("edge-1");
  Node second("edge-2");
  if (!StartNodes(store, record, first, second)) {
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(milliseconds(1'500));

  Trainer trainer(record, "brest");
  std::vector<Item> items;
  for (const char* id : {"a3c0", "b7d1", "c5e2", "d9a4"}) {
    items.push_back({id, "g-1", std::string("/steps/1/") + id});
  }
  // The first run of each item fails without the trouble, and the first one
  // after the nodes have started again with it.
  failing = !Troubled();
  if (trainer.Submit(first, "step-1", 1, 1, 1, items) != 202) {
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(milliseconds(500));
  failing = true;
  const std::vector<int> seeds = {first.control(), second.control()};
  if (Troubled()) {
    record.Write("the store refuses calls for keyed.op for 4 s");
    store.RefuseTopic("keyed.op", kDown);
    record.Write("SIGKILL to edge-1 and edge-2; they start again");
    first.Kill();
    second.Kill();
    std::this_thread::sleep_for(milliseconds(200));
    first.Start(store, seeds);
    second.Start(store, seeds);
  }

  std::optional<nlohmann::json> page;
  WaitUntil(milliseconds(25'000), [&] {
    std::this_thread::sleep_for(milliseconds(300));
    page = trainer.Read(second, "step-1");
    return page.has_value() && page->at("results").size() == items.size();
  });
  trainer.End(first, "step-1", 1'500);
  if (!page.has_value()) {
    record.Write("the step can't be read");
    return kCouldNotRun;
  }
  bool held = true;
  for (const auto& result : page->at("results")) {
    const std::string id = result.value("id", "");
    const std::lock_guard lock(mutex);
    const int answers = failures.contains(id) ? 1 : 0;
    record.Write(id + " is " + result.value("state", "") + " after " +
                 std::to_string(answers) + " answers of 500");
    if (result.value("state", "") == "terminated" && answers < kMaxAttempts) {
      record.Write("MIXED: " + id + " is terminated, " +
                   std::to_string(kMaxAttempts) + " attempts are allowed");
      held = false;
    }
  }
  return held ? kHeld : kBroken;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
