// A node is stopped with SIGTERM while a long request keeps it running. Callers
// go on using the channels that they kept open. No request that the node has
// passed on may end without an answer.

#include "world.h"

namespace review {
namespace {

constexpr int kCallers = 60;
constexpr milliseconds kWork{100};
constexpr milliseconds kLongWork{9'500};
// Time after the SIGTERM at which the first caller uses its channel again, and
// the time from one caller to the next.
constexpr milliseconds kFirst{6'600};
constexpr milliseconds kNext{20};

std::string Manifest() {
  const auto route = [](const char* name, const char* prefix, const char* kind,
                        int timeout, int target) {
    return nlohmann::json{{"name", name},         {"host", "ficu95.example"},
                          {"pathPrefix", prefix}, {"kind", kind},
                          {"timeoutMs", timeout}, {"targetLatencyMs", target},
                          {"priority", 1},        {"service", "desk"},
                          {"maxAttempts", 2},     {"authExempt", false}};
  };
  return nlohmann::json{
      {"version", 1},
      {"routes",
       {route("reports", "/reports/", "idempotent", 2'000, 400),
        route("plans", "/plans/", "non_idempotent", 10'000, 4'000)}},
      {"services", {{{"name", "desk"}, {"healthPath", "/healthz"}}}},
      {"limits",
       {{"maxHeaderBytes", 16'384},
        {"maxBodyBytes", 33'554'432},
        {"headerTimeoutMs", 3'000},
        {"idleTimeoutMs", 15'000}}},
      {"tenants", {{{"name", "brest"}, {"apiKeys", {"key-of-brest"}}}}}}
      .dump();
}

HeaderList HeadersOf(const std::string& id, int deadline) {
  return {{"Host", "ficu95.example"},
          {"Request-Id", id},
          {"Deadline-Ms", std::to_string(deadline)},
          {"Credential", "key-of-brest"}};
}

// What became of a request of a caller after the SIGTERM.
struct Outcome {
  double sent = 0;
  double ended = 0;
  Message response;
};

int Run() {
  RunRecord record;
  Store store(4);
  std::mutex mutex;
  std::map<std::string, double> runs;
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 1; i <= 3; ++i) {
    replicas.push_back(std::make_unique<Replica>(
        store, record,
        Replica::Options{"desk-" + std::to_string(i), "desk", 12, {}, 0},
        [&](Replica& replica, const std::shared_ptr<Connection>& connection,
            const Message& request) {
          const std::string id = request.header("Request-Id");
          {
            const std::lock_guard lock(mutex);
            runs.emplace(id, record.seconds());
          }
          record.Write(replica.id() + " runs " + id);
          const auto work =
              request.path().starts_with("/plans/") ? kLongWork : kWork;
          const auto end = SteadyClock::now() + work;
          while (SteadyClock::now() < end && !replica.stopped()) {
            std::this_thread::sleep_for(milliseconds(5));
            if (connection->closed()) {
              record.Write(replica.id() + " drops " + id +
                           ": its channel was closed");
              return false;
            }
          }
          return connection->Write(FormatResponse(
              200, "answer to " + id,
              {{"Request-Id", id}, {"Server-Seal", replica.Seal(request)}}));
        }));
  }
  store.Put("keyed.op", "config", Manifest());
  Node first("edge-1");
  Node second("edge-2");
  const std::vector<int> seeds = {first.control(), second.control()};
  first.Start(store, seeds);
  second.Start(store, seeds);
  if (!WaitUntil(milliseconds(15'000),
                 [&] { return first.ready() && second.ready(); })) {
    record.Write("the nodes are not ready");
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(milliseconds(1'000));

  // Each caller opens a channel and keeps it after its first answer. It stays
  // idle for 9 s at most, less than four fifths of idleTimeoutMs.
  std::vector<std::unique_ptr<Connection>> channels;
  for (int i = 0; i < kCallers; ++i) {
    channels.push_back(std::make_unique<Connection>(Connect(first.front())));
  }
  std::atomic<int> kept = 0;
  std::vector<std::thread> openers;
  for (int i = 0; i < kCallers; ++i) {
    openers.emplace_back([&, i] {
      std::this_thread::sleep_for(i * milliseconds(10));
      const std::string id = "first-" + std::to_string(i);
      Message response;
      channels[i]->Write(FormatRequest("POST", "/reports/" + id,
                                       HeadersOf(id, 2'000), "report"));
      if (channels[i]->Read(&response,
                            SteadyClock::now() + milliseconds(2'000)) &&
          response.status == 200 && response.header("Connection") != "close") {
        ++kept;
      }
    });
  }
  for (std::thread& opener : openers) {
    opener.join();
  }
  record.Write(std::to_string(kept) + " channels to edge-1 are kept");
  if (kept != kCallers) {
    return kCouldNotRun;
  }
  std::thread plan([&] {
    record.Write("a caller sends plan-1, which takes 9.5 s, to edge-1");
    const Message response =
        Call(first.front(), "POST", "/plans/plan-1",
             HeadersOf("plan-1", 10'000), "plan", milliseconds(11'000));
    record.Write("plan-1 ends with " + std::to_string(response.status));
  });
  std::this_thread::sleep_for(milliseconds(500));

  const double term = record.seconds();
  if (Troubled()) {
    record.Write("SIGTERM to edge-1");
    first.Signal(SIGTERM);
  }
  const auto start = SteadyClock::now();
  std::vector<Outcome> outcomes(kCallers);
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      std::this_thread::sleep_until(start + kFirst + i * kNext);
      const std::string id = "second-" + std::to_string(i);
      Outcome& outcome = outcomes[i];
      outcome.sent = record.seconds();
      channels[i]->Write(FormatRequest("POST", "/reports/" + id,
                                       HeadersOf(id, 2'000), "report"));
      if (!channels[i]->Read(&outcome.response,
                             SteadyClock::now() + milliseconds(2'000))) {
        outcome.response.complete = false;
      }
      outcome.ended = record.seconds();
      record.Write(id + " ends " +
                   (outcome.response.complete
                        ? "with " + std::to_string(outcome.response.status)
                        : std::string("without an answer")) +
                   ", " + std::to_string(outcome.ended - outcome.sent) +
                   " s after it was sent");
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  plan.join();
  record.Write(std::string("edge-1 ") + (first.ended() ? "has" : "has not") +
               " ended");

  int lost = 0;
  int answered = 0;
  for (int i = 0; i < kCallers; ++i) {
    const std::string id = "second-" + std::to_string(i);
    const Outcome& outcome = outcomes[i];
    answered += outcome.response.complete ? 1 : 0;
    const std::lock_guard lock(mutex);
    const auto run = runs.find(id);
    // Sent to the node over 3 s after the SIGTERM, passed on to a replica, and
    // cut before its deadline.
    if (!outcome.response.complete && run != runs.end() &&
        outcome.ended - outcome.sent < 1.9) {
      ++lost;
      record.Write("LOST: " + id + " was sent " +
                   std::to_string(outcome.sent - term) +
                   " s after the SIGTERM, began to run " +
                   std::to_string(run->second - term) +
                   " s after it, and its channel ended without an answer " +
                   std::to_string(outcome.ended - term) + " s after it");
    }
  }
  record.Write(std::to_string(answered) + " of " + std::to_string(kCallers) +
               " answered, " + std::to_string(lost) + " lost");
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
