// The store executes the end of a step late and its answers are lost. The
// trainer goes on with the next step, in which an incomplete group comes again.
// No item may be listed as completed with a text that is not its whole output.

#include "trainer.h"

namespace review {
namespace {

constexpr std::uint64_t kLongEvents = 60;
constexpr std::uint64_t kShortEvents = 10;
constexpr char kLong[] = "b7d1-long";

std::uint64_t EventsOf(const std::string& item) {
  return item == kLong ? kLongEvents : kShortEvents;
}

std::unique_ptr<Replica> MakeReplica(Store& store, RunRecord& record,
                                     const std::string& id,
                                     std::uint64_t version,
                                     milliseconds interval) {
  return std::make_unique<Replica>(
      store, record, Replica::Options{id, "engines", 12, {{"m0", version}}, 0},
      [&record, interval](Replica& replica,
                          const std::shared_ptr<Connection>& connection,
                          const Message& request) {
        return StreamItem(replica, record, connection, request,
                          EventsOf(request.header("Request-Id")), interval);
      });
}

// Reads a step until an item is listed or the trainer's patience ends.
std::optional<nlohmann::json> AwaitItem(Trainer& trainer, const Node& node,
                                        const std::string& batch,
                                        const std::string& item,
                                        milliseconds patience) {
  std::optional<nlohmann::json> result;
  WaitUntil(patience, [&] {
    std::this_thread::sleep_for(milliseconds(200));
    result = trainer.Result(node, batch, item);
    return result.has_value();
  });
  return result;
}

// Returns whether a listed result is what the replicas made of the item.
bool IsTrue(RunRecord& record, const std::string& batch,
            const nlohmann::json& result) {
  const std::string item = result.value("id", "");
  const std::string expected = WholeText(item, EventsOf(item));
  if (result.value("state", "") != "completed" ||
      result.value("text", "") == expected) {
    return true;
  }
  record.Write("MIXED: " + batch + " lists " + item + " as completed with " +
               std::to_string(result.value("text", "").size()) +
               " bytes of text; its whole output has " +
               std::to_string(expected.size()));
  return false;
}

int Run() {
  RunRecord record;
  Store store(4);
  store.Put("keyed.op", "config", RolloutManifest({"brest"}, true, 3));
  store.Put("keyed.op", "version/m0", R"({"model":"m0","version":2})");
  // Takes four times as long as the second replica.
  const auto slow =
      MakeReplica(store, record, "engine-1", 2, milliseconds(160));
  Node first("edge-1");
  Node second("edge-2");
  if (!StartNodes(store, record, first, second)) {
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(milliseconds(1'500));

  // Step 2 wants one of its two groups.
  Trainer trainer(record, "brest");
  const Item carried = {kLong, "g-long", "/steps/2/long"};
  if (trainer.Submit(first, "step-2", 2, 1, 1,
                     {{"a3c0-short", "g-short", "/steps/2/short"}, carried}) !=
      202) {
    return kCouldNotRun;
  }
  if (!AwaitItem(trainer, second, "step-2", "a3c0-short", milliseconds(7'500))
           .has_value()) {
    record.Write("the first group of step 2 did not come");
    return kCouldNotRun;
  }

  // The store loses the answers to the appends that end step 2, and executes
  // them when `due` comes.
  const auto due = SteadyClock::now() + milliseconds(5'900);
  std::atomic<std::size_t> all_before = store.appends();
  if (Troubled()) {
    store.SetAppendHook([due, &record](
                            const std::string& topic,
                            const std::vector<Record>& records) -> Fate {
      if (topic != "keyed.batches" || records.front().key != "step-2/e" ||
          SteadyClock::now() > due) {
        return {};
      }
      const auto late =
          std::chrono::duration_cast<milliseconds>(due - SteadyClock::now());
      record.Write(
          "the store answers an append of step-2/e never, and "
          "executes it in " +
          std::to_string(late.count()) + " ms");
      return {late};
    });
  }
  const auto end_sent = SteadyClock::now();
  int ended = trainer.End(first, "step-2", 1'500);
  for (int i = 0;
       ended != 200 && SteadyClock::now() < end_sent + milliseconds(2'900);
       ++i) {
    ended = trainer.End(i % 2 == 0 ? second : first, "step-2", 1'500);
  }
  record.Write(std::to_string(store.lost_appends()) + " of " +
               std::to_string(store.appends() - all_before) +
               " appends since the end of step 2 were executed late");
  // An end without an ack counts as acknowledged after ackMs.
  std::this_thread::sleep_until(end_sent + milliseconds(4'000));

  // Training; the next version; a second replica is added.
  NameVersion(store, record, 3);
  const auto fast = MakeReplica(store, record, "engine-2", 3, milliseconds(40));
  std::this_thread::sleep_for(milliseconds(800));
  if (trainer.Submit(second, "step-3", 3, 2, 2,
                     {carried, {"c5e2-short", "g-3", "/steps/3/short"}}) !=
      202) {
    return kCouldNotRun;
  }
  const auto third =
      AwaitItem(trainer, first, "step-3", kLong, milliseconds(7'500));
  record.Write(std::string("step 3 has ") + (third ? "" : "not ") + "listed " +
               kLong);
  bool held = !third.has_value() || IsTrue(record, "step-3", *third);
  trainer.End(first, "step-3", 1'500);
  if (!third.has_value()) {
    // The group was not complete and comes again.
    std::this_thread::sleep_for(milliseconds(1'000));
    NameVersion(store, record, 4);
    if (trainer.Submit(first, "step-4", 4, 3, 2,
                       {carried, {"d9a4-short", "g-4", "/steps/4/short"}}) !=
        202) {
      return kCouldNotRun;
    }
    const auto fourth =
        AwaitItem(trainer, second, "step-4", kLong, milliseconds(9'000));
    held = held && (!fourth.has_value() || IsTrue(record, "step-4", *fourth));
  }
  return held ? kHeld : kBroken;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
