// Scripts of the third review: cases-3 NUMBER RECORD. Environment: TROUBLE=0
// leaves the disruption out. Exit code: 1 if the rule was broken, 0 if it held,
// 2 if the case could not run.
#include "kit-3.h"

namespace review {
namespace {

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

const std::string kHost = "ficu95.example";

json Limits() {
  return {{"maxHeaderBytes", 16'384},
          {"maxBodyBytes", 33'554'432},
          {"headerTimeoutMs", 3'000},
          {"idleTimeoutMs", 15'000}};
}

json RolloutRoute() {
  return {{"name", "r-drafts"},
          {"host", kHost},
          {"pathPrefix", "/drafts/"},
          {"kind", "rollout"},
          {"timeoutMs", 10'000},
          {"targetLatencyMs", 500},
          {"priority", 1},
          {"service", "planner-lm"},
          {"maxAttempts", 3},
          {"retentionS", 40.0},
          {"resultDeadlineMs", 7'500},
          {"singleVersion", false},
          {"authExempt", false},
          {"sticky", true},
          {"resumable", true}};
}

json EngineService() {
  return {{"name", "planner-lm"},
          {"healthPath", "/healthz"},
          {"maxConns", 180},
          {"protocol", "h1"},
          {"tls", false},
          {"engine",
           {{"slots", 16},
            {"kvCapacityTokens", 42'360},
            {"models", json::array({{{"name", "m0"}}})}}}};
}

std::vector<std::string> Head(const std::string& key) {
  return {"Host: " + kHost, "Credential: " + key};
}

// An item of a batch; `out` is its most output tokens.
json Item(const std::string& id, const std::string& group, int out,
          const std::string& body = "draft") {
  return {{"id", id},
          {"path", "/drafts/" + id},
          {"headers",
           {{"Model", "m0"}, {"Token-Count", "271," + std::to_string(out)}}},
          {"body", Base64(body)},
          {"tokens", 271 + out},
          {"group", group}};
}

// A trainer or another consumer of a tenant; calls go to the nodes in turn.
class Trainer {
 public:
  Trainer(Deployment& deployment, Record& record, std::string name,
          std::string key)
      : deployment_(deployment),
        record_(record),
        name_(std::move(name)),
        key_(std::move(key)) {}

  // Submits a batch, again after a failure, as consumers do.
  bool Submit(const std::string& batch, int step, int desired,
              const json& items) {
    const json body = {{"step", step},
                       {"model", "m0"},
                       {"minVersion", 1},
                       {"desired", desired},
                       {"items", items}};
    std::vector<std::string> lines = Head(key_);
    lines.push_back("Request-Id: " + batch);
    lines.push_back("Deadline-Ms: 2000");
    lines.push_back("Content-Type: application/json");
    for (int attempt = 0; attempt < 3; ++attempt) {
      const Message answer = Call(NextPort(), "POST", "/drafts/" + batch, lines,
                                  body.dump(), 4'000);
      record_.Line(name_ + " submits batch " + batch + " with " +
                   std::to_string(items.size()) +
                   " items: " + std::to_string(answer.status));
      if (answer.status == 202) return true;
      SleepMs(300);
    }
    return false;
  }
  // Reads results from a position on.
  Message Read(const std::string& batch, std::size_t after) {
    return Call(NextPort(), "GET",
                "/v1/lots/" + batch + "?after=" + std::to_string(after),
                Head(key_), "", 3'000);
  }
  void End(const std::string& batch) {
    const Message answer =
        Call(NextPort(), "DELETE", "/v1/lots/" + batch, Head(key_), "", 4'000);
    record_.Line(name_ + " ends batch " + batch + ": " +
                 std::to_string(answer.status));
  }

 private:
  int NextPort() {
    auto& nodes = deployment_.nodes();
    return nodes[turn_++ % nodes.size()].front;
  }
  Deployment& deployment_;
  Record& record_;
  std::string name_, key_;
  std::size_t turn_ = 0;
};

// Ends the nodes and the program. The stand-ins' threads still run, so that
// nothing else is destroyed.
[[noreturn]] void Finish(Deployment& deployment, Record& record, int result) {
  deployment.End();
  record.Line("exit " + std::to_string(result));
  std::_Exit(result);
}

// The platform: a process that exceeds memoryMb is killed and started again.
class MemoryKeeper {
 public:
  MemoryKeeper(Deployment& deployment, Record& record, int memory_mb,
               std::atomic<bool>& over)
      : record_(record), thread_([this, &deployment, memory_mb, &over] {
          std::int64_t next = NowMs();
          while (!over) {
            std::string held;
            for (NodeProcess& node : deployment.nodes()) {
              Look(deployment, node, memory_mb, &held);
            }
            if (NowMs() >= next) {
              next = NowMs() + 10'000;
              record_.Line("memory of the nodes in MB:" + held);
            }
            SleepMs(5);
          }
        }) {}
  // Returns on how many machines a process ended three times or more.
  int Finish() {
    thread_.join();
    int machines = 0;
    for (const auto& [name, count] : ends_) {
      machines += count >= 3 ? 1 : 0;
      record_.Line("Fault: the process of " + name + " ended " +
                   std::to_string(count) + " times");
    }
    record_.Line("most memory seen of a process: " +
                 std::to_string(static_cast<int>(most_)) + " MB");
    return machines;
  }

 private:
  void Look(Deployment& deployment, NodeProcess& node, int memory_mb,
            std::string* held) {
    const double mb = node.ResidentMb();
    most_ = std::max(most_, mb);
    *held += " " + std::to_string(static_cast<int>(mb));
    if (mb > memory_mb) {
      ++ends_[node.name];
      record_.Line("platform kills " + node.name + ": it holds " +
                   std::to_string(static_cast<int>(mb)) +
                   " MB, its memoryMb is " + std::to_string(memory_mb));
      node.End(SIGKILL);
      node.Start(deployment.folder());
    } else if (!node.Alive()) {
      ++ends_[node.name];
      record_.Line(node.name + " ended by itself");
      node.Start(deployment.folder());
    }
  }
  Record& record_;
  std::map<std::string, int> ends_;
  double most_ = 0;
  std::thread thread_;
};

// REFUSED: a request that is not idempotent is answered 503 and has run.
int RefusedAfterRun(Record& record) {
  Platform& platform = *new Platform(record);
  platform.Put(
      "keyed.op", "config",
      json{{"version", 1},
           {"routes", json::array({{{"name", "r-reports"},
                                    {"host", kHost},
                                    {"pathPrefix", "/reports/"},
                                    {"kind", "non_idempotent"},
                                    {"timeoutMs", 2'000},
                                    {"targetLatencyMs", 150},
                                    {"priority", 2},
                                    {"service", "desk"},
                                    {"maxAttempts", 2}}})},
           {"services", json::array({{{"name", "desk"},
                                      {"healthPath", "/healthz"},
                                      {"maxConns", 96},
                                      {"protocol", "h1"},
                                      {"tls", false}}})},
           {"limits", Limits()},
           {"tenants",
            json::array({{{"name", "nord"}, {"apiKeys", {"key-nord"}}}})}}
          .dump());
  std::mutex mutex;
  std::map<std::string, int> done;  // how often each report was carried out
  std::atomic<int> number{0};
  auto& replicas = *new std::vector<std::unique_ptr<Replica>>;
  for (int i = 0; i < 7; ++i) {
    const bool grey = i == 0 && Trouble();
    replicas.push_back(std::make_unique<Replica>(
        platform, record,
        Replica::Options{.id = "desk-" + std::to_string(i + 1),
                         .service = "desk",
                         .slots = 6},
        [&, grey](Replica& self, const Message& m,
                  Conn& c) -> std::optional<bool> {
          SleepMs(25);
          {
            const std::lock_guard lock(mutex);
            ++done[m.body];
          }
          const std::string id = m.header("request-id");
          // Two of five requests fail after they were carried out.
          if (grey && number++ % 5 < 2) {
            record.Line("replica " + self.options().id + " carried out " + id +
                        " and fails it with 503, without Not-Executed");
            return c.Send(Answer(503, "failed", self.Stamp(id)));
          }
          return c.Send(Answer(200, "taken", self.Stamp(id)));
        }));
  }
  Deployment deployment(platform, 3, 320);
  if (!deployment.Start()) Finish(deployment, record, 2);
  SleepMs(1'500);
  std::map<std::string, int> answered;
  std::atomic<int> served{0};
  const auto report = [&](int n) {
    // A consumer retries once, on a new channel, only after a promise.
    for (int attempt = 0; attempt < 2; ++attempt) {
      const std::string id =
          "q" + std::to_string(n) + "-" + std::to_string(attempt + 1);
      std::vector<std::string> lines = Head("key-nord");
      lines.push_back("Request-Id: " + id);
      lines.push_back("Deadline-Ms: 2000");
      const Message answer = Call(
          deployment.nodes()[static_cast<std::size_t>(n + attempt) % 3].front,
          "POST", "/reports/new", lines, "report " + std::to_string(n), 2'200);
      record.Line("consumer sends " + id + ": " +
                  std::to_string(answer.status));
      {
        const std::lock_guard lock(mutex);
        answered[id] = answer.status;
      }
      if (answer.status == 200) ++served;
      if (answer.status != 503 && answer.status != 429 &&
          answer.status != 408 && answer.status != 421) {
        return;
      }
      SleepMs(20);
    }
  };
  std::vector<std::thread> callers;
  for (int n = 0; n < 300; ++n) {
    callers.emplace_back(report, n);
    SleepMs(100);
  }
  for (std::thread& caller : callers) caller.join();
  std::set<std::string> ran;
  for (const auto& replica : replicas) {
    for (const Run& run : replica->runs()) ran.insert(run.id);
  }
  int untrue = 0, doubled = 0;
  for (const auto& [id, status] : answered) {
    if ((status == 503 || status == 429 || status == 408 || status == 421) &&
        ran.contains(id)) {
      ++untrue;
      record.Line("REFUSED: " + id + " was answered " + std::to_string(status) +
                  " and has run");
    }
  }
  for (const auto& [body, times] : done) doubled += times > 1 ? 1 : 0;
  record.Line("served " + std::to_string(served) + " of 300; " +
              std::to_string(untrue) + " refusals of requests that ran; " +
              std::to_string(doubled) + " reports carried out twice");
  if (served < 200) Finish(deployment, record, 2);
  Finish(deployment, record, untrue > 0 ? 1 : 0);
}

// Fault: processes end by their memory as items run, with sound replicas.
int MemoryOfRuns(Record& record) {
  constexpr int kMemoryMb = 130;
  constexpr int kReplicas = 45;
  constexpr int kSlots = 8;
  constexpr int kItems = 248;
  std::vector<std::string> tenants;
  for (int i = 1; i <= 8; ++i) tenants.push_back("tenant" + std::to_string(i));
  Platform& platform = *new Platform(record);
  json declared = json::array();
  for (const std::string& tenant : tenants) {
    declared.push_back({{"name", tenant}, {"apiKeys", {"key-" + tenant}}});
  }
  platform.Put("keyed.op", "config",
               json{{"version", 1},
                    {"routes", json::array({RolloutRoute()})},
                    {"services", json::array({EngineService()})},
                    {"limits", Limits()},
                    {"tenants", declared}}
                   .dump());
  auto& replicas = *new std::vector<std::unique_ptr<Replica>>;
  for (int i = 0; i < kReplicas; ++i) {
    replicas.push_back(std::make_unique<Replica>(
        platform, record,
        Replica::Options{.id = "lm-" + std::to_string(i + 1),
                         .service = "planner-lm",
                         .slots = kSlots,
                         .models = {"m0"},
                         .event_bytes = 60,
                         .quiet = true}));
  }
  Deployment deployment(platform, 2, kMemoryMb);
  if (!deployment.Start()) Finish(deployment, record, 2);
  SleepMs(2'000);
  std::atomic<bool> over{false};
  MemoryKeeper keeper(deployment, record, kMemoryMb, over);
  std::atomic<int> whole{0}, asked{0};
  std::vector<std::thread> trainers;
  const std::int64_t end = NowMs() + 103'000;
  for (const std::string& tenant : tenants) {
    trainers.emplace_back([&, tenant] {
      Trainer trainer(deployment, record, tenant, "key-" + tenant);
      for (int step = 0; NowMs() < end; ++step) {
        const std::string batch = tenant + "-" + std::to_string(step);
        json items = json::array();
        for (int i = 0; i < kItems; ++i) {
          items.push_back(Item(batch + "-" + std::to_string(i),
                               "g" + std::to_string(i / 8), 47 * 7,
                               std::string(200, 'p')));
        }
        const std::int64_t sent = NowMs();
        ++asked;
        if (!trainer.Submit(batch, step, 28, items)) continue;
        std::size_t position = 0;
        while (NowMs() < sent + 7'500 && position < kItems) {
          const Message answer = trainer.Read(batch, position);
          if (answer.status == 200) {
            position = json::parse(answer.body)["nextToken"];
          }
          SleepMs(100);
        }
        whole += position == kItems ? 1 : 0;
        trainer.End(batch);
        // As usual, a step each 10 s; in the burst the next one at once.
        while (!Trouble() && NowMs() < std::min(sent + 10'000, end)) {
          SleepMs(50);
        }
      }
    });
  }
  for (std::thread& trainer : trainers) trainer.join();
  over = true;
  const int machines = keeper.Finish();
  record.Line(std::to_string(whole) + " of " + std::to_string(asked) +
              " steps were read whole");
  // Three ends on each of two machines at least.
  Finish(deployment, record, machines >= 2 ? 1 : 0);
}

// BUDGET: an item that fails at each run, during a rolling restart.
int FailingItem(Record& record) {
  constexpr int kMaxAttempts = 3;
  constexpr std::int64_t kContactMs = 3'000;
  Platform& platform = *new Platform(record);
  platform.Put(
      "keyed.op", "config",
      json{{"version", 1},
           {"routes", json::array({RolloutRoute()})},
           {"services", json::array({EngineService()})},
           {"limits", Limits()},
           {"tenants",
            json::array({{{"name", "nord"}, {"apiKeys", {"key-nord"}}}})}}
          .dump());
  struct Arrival {
    std::int64_t wall_ms;
    int failed_before;
  };
  auto& mutex = *new std::mutex;
  auto& failed = *new std::map<std::string, int>;  // answers of 500 by item
  auto& arrivals = *new std::map<std::string, std::vector<Arrival>>;
  auto& replicas = *new std::vector<std::unique_ptr<Replica>>;
  for (int i = 0; i < 4; ++i) {
    replicas.push_back(std::make_unique<Replica>(
        platform, record,
        Replica::Options{.id = "lm-" + std::to_string(i + 1),
                         .service = "planner-lm",
                         .models = {"m0"}},
        [&](Replica& self, const Message& m, Conn& c) -> std::optional<bool> {
          if (!m.body.starts_with("failing")) return std::nullopt;
          const std::string id = m.header("request-id");
          {
            const std::lock_guard lock(mutex);
            arrivals[id].push_back({WallMs(), failed[id]});
          }
          SleepMs(800);
          if (c.PeerClosed()) return false;
          const std::lock_guard lock(mutex);
          record.Line("replica " + self.options().id + " answers 500 to " + id +
                      ", answer " + std::to_string(++failed[id]));
          return c.Send(Answer(500, "{}", self.Stamp(id)));
        }));
  }
  Deployment deployment(platform, 9, 320);
  if (!deployment.Start()) Finish(deployment, record, 2);
  SleepMs(2'000);
  Trainer trainer(deployment, record, "nord", "key-nord");
  json items = json::array();
  for (int i = 0; i < 16; ++i) {
    const bool failing = i < 2;
    items.push_back(Item("item-" + std::to_string(i),
                         "g" + std::to_string(i / 4), 400,
                         failing ? "failing" : "draft"));
  }
  if (!trainer.Submit("lot-0", 0, 4, items)) Finish(deployment, record, 2);
  // Times at which a machine was stopped or started.
  std::map<std::string, std::vector<std::int64_t>> changes;
  std::vector<std::thread> stops;
  if (Trouble()) {
    for (NodeProcess& node : deployment.nodes()) {
      record.Line("platform sends SIGTERM to " + node.name);
      changes[node.name].push_back(WallMs());
      auto& own = changes[node.name];
      stops.emplace_back([&record, &deployment, &node, &own] {
        node.Stop(8'000);
        record.Line(node.name + " has ended and starts again");
        own.push_back(WallMs());
        node.Start(deployment.folder());
      });
      SleepMs(2'000);
    }
  } else {
    SleepMs(18'000);
  }
  SleepMs(9'000);
  for (std::thread& stop : stops) stop.join();
  const Message answer = trainer.Read("lot-0", 0);
  if (answer.status == 200) {
    for (const json& result : json::parse(answer.body)["results"]) {
      if (result["state"] == "terminated") {
        record.Line("listed as terminated: " + result["id"].get<std::string>());
      }
    }
  }
  // Who sent each run stands in the logs of the nodes.
  std::vector<std::tuple<std::int64_t, std::string, std::string>> sent;
  for (const NodeProcess& node : deployment.nodes()) {
    std::ifstream log(deployment.folder() + "/" + node.name + ".log");
    std::string line;
    while (std::getline(log, line)) {
      const json entry = json::parse(line, nullptr, false);
      if (entry.is_object() && entry.value("event", "") == "item.start") {
        sent.emplace_back(entry.value("time_ms", std::int64_t{0}),
                          entry.value("request", ""), node.name);
      }
    }
  }
  int broken = 0;
  for (const auto& [id, list] : arrivals) {
    for (const Arrival& arrival : list) {
      if (arrival.failed_before < 3 * kMaxAttempts) continue;
      for (const auto& [at, item, name] : sent) {
        if (item != id || at > arrival.wall_ms + 20 ||
            at < arrival.wall_ms - 60) {
          continue;
        }
        const auto& own = changes[name];
        const bool in_touch =
            std::none_of(own.begin(), own.end(), [at = at](std::int64_t c) {
              return c <= at && at < c + kContactMs;
            });
        record.Line((in_touch ? "BUDGET: " : "not counted: ") + id +
                    " reaches a replica after " +
                    std::to_string(arrival.failed_before) +
                    " answers of 500, from " + name +
                    (in_touch ? ", in touch" : ", out of touch"));
        broken += in_touch ? 1 : 0;
      }
    }
    record.Line(id + ": " + std::to_string(list.size()) + " runs, " +
                std::to_string(failed[id]) + " answers of 500");
  }
  Finish(deployment, record, broken > 0 ? 1 : 0);
}

// Fault: processes end by their memory while one replica sends bodies without
// end.
int EndlessOutputs(Record& record) {
  constexpr int kMemoryMb = 130;
  constexpr int kItems = 64;
  const std::vector<std::string> tenants = {"nord",  "sud",    "est",
                                            "ouest", "centre", "littoral"};
  Platform& platform = *new Platform(record);
  json declared = json::array();
  for (const std::string& tenant : tenants) {
    declared.push_back({{"name", tenant}, {"apiKeys", {"key-" + tenant}}});
  }
  platform.Put("keyed.op", "config",
               json{{"version", 1},
                    {"routes", json::array({RolloutRoute()})},
                    {"services", json::array({EngineService()})},
                    {"limits", Limits()},
                    {"tenants", declared}}
                   .dump());
  auto& replicas = *new std::vector<std::unique_ptr<Replica>>;
  for (int i = 0; i < 9; ++i) {
    // Five of nine replicas spoil one of 34 of their answers, for 5 s of 7.
    const bool spoils = i < 5 && Trouble();
    auto& answers = *new std::atomic<int>{0};
    replicas.push_back(std::make_unique<Replica>(
        platform, record,
        Replica::Options{.id = "lm-" + std::to_string(i + 1),
                         .service = "planner-lm",
                         .models = {"m0"}},
        [&record, &answers, spoils](Replica& self, const Message& m,
                                    Conn& c) -> std::optional<bool> {
          if (!spoils || NowMs() % 7'000 >= 5'000 || ++answers % 34 != 0) {
            return std::nullopt;
          }
          const std::string id = m.header("request-id");
          if (!c.Send(self.StreamHead(id, m.header("model")))) return false;
          // A body without end, until the caller closes.
          std::uint64_t n =
              std::strtoull(m.header("last-event-id").c_str(), nullptr, 10);
          std::size_t sent = 0;
          while (true) {
            std::string bytes;
            while (bytes.size() < 60'000) {
              bytes += "id: " + std::to_string(++n) + "\ndata: .\n\n";
            }
            if (!c.Send(Replica::Chunk(bytes))) break;
            sent += bytes.size();
            SleepMs(5);
          }
          record.Line("replica " + self.options().id + " sent " +
                      std::to_string(sent) + " bytes for " + id +
                      " until its caller closed");
          return false;
        }));
  }
  Deployment deployment(platform, 3, kMemoryMb);
  if (!deployment.Start()) Finish(deployment, record, 2);
  SleepMs(2'000);
  std::atomic<bool> over{false};
  MemoryKeeper keeper(deployment, record, kMemoryMb, over);
  std::atomic<int> whole{0}, asked{0};
  std::vector<std::thread> trainers;
  for (const std::string& tenant : tenants) {
    trainers.emplace_back([&, tenant] {
      Trainer trainer(deployment, record, tenant, "key-" + tenant);
      const std::int64_t end = NowMs() + 60'000;
      for (int step = 0; NowMs() < end; ++step) {
        const std::string batch = tenant + "-" + std::to_string(step);
        json items = json::array();
        for (int i = 0; i < kItems; ++i) {
          items.push_back(Item(batch + "-" + std::to_string(i),
                               "g" + std::to_string(i / 8), 47 * 9));
        }
        ++asked;
        const std::int64_t due = NowMs() + 7'500;
        if (!trainer.Submit(batch, step, 7, items)) continue;
        std::size_t position = 0;
        while (NowMs() < due && position < kItems) {
          const Message answer = trainer.Read(batch, position);
          if (answer.status == 200) {
            position = json::parse(answer.body)["nextToken"];
          }
          SleepMs(400);
        }
        record.Line(tenant + " read " + std::to_string(position) + " of " +
                    std::to_string(kItems) + " results of batch " + batch);
        whole += position == kItems ? 1 : 0;
        trainer.End(batch);
        SleepMs(1'000);
      }
    });
  }
  for (std::thread& trainer : trainers) trainer.join();
  over = true;
  const int machines = keeper.Finish();
  record.Line(std::to_string(whole) + " of " + std::to_string(asked) +
              " steps were read whole");
  // Three ends on each of two machines at least.
  Finish(deployment, record, machines >= 2 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 3) return 2;
  review::Record record(argv[2]);
  record.Line(review::Trouble() ? "with the disruption"
                                : "without the disruption");
  int result = 2;
  try {
    switch (std::atoi(argv[1])) {
      case 11:
        result = review::MemoryOfRuns(record);
        break;
      case 12:
        result = review::RefusedAfterRun(record);
        break;
      case 14:
        result = review::EndlessOutputs(record);
        break;
      case 15:
        result = review::FailingItem(record);
        break;
      default:
        break;
    }
  } catch (const std::exception& error) {
    record.Line(std::string("error: ") + error.what());
  }
  record.Line("exit " + std::to_string(result));
  std::_Exit(result);
}
