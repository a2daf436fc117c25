// Upstreams that send outputs without end for some of the items of a batch, to
// one mulberry-node on the smallest machine. The tests guard against memory
// that the node uses for outputs and does not count.

#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "process/hostile_upstream.h"

namespace mulberryroad::process {
namespace {

constexpr int kUpstreams = 6;
// Number of sound answers between two endless ones.
constexpr int kSoundAnswers = 4;
constexpr int kItemsOfBatch = 40;
constexpr int kBatches = 6;
constexpr int kSoundEvents = 9;
// Of one byte each, sent behind the event at which a run resumes. Together they
// stay below the size at which a response is given up.
constexpr int kEndlessEvents = 240'000;
// A test in which fewer answers begin plays too little.
constexpr int kMinEndlessAnswers = 40;
constexpr milliseconds kRegisterTime{1'500};
constexpr milliseconds kRunTime{6'000};

std::string Chunk(const std::string& bytes) {
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

/// Upstreams of which some answers hold many small events and do not end.
class EndlessOutputs {
 public:
  explicit EndlessOutputs(const NodeRun& run) {
    for (int i = 0; i < kUpstreams; ++i) {
      upstreams_.push_back(std::make_unique<HostileUpstream>(
          run.platform(), "endless-" + std::to_string(i), "engines",
          [this](const std::string& head) { return Answer(head); }));
    }
  }

  int endless() const { return endless_; }

 private:
  ScriptedAnswer Answer(const std::string& head) {
    const std::string id = HostileUpstream::HeaderOf(head, "Request-Id");
    const std::string stream_head =
        "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: s-" + id +
        "\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n";
    const int first =
        std::atoi(HostileUpstream::HeaderOf(head, "Last-Event-Id").c_str()) + 1;
    const bool endless = ++answers_ % (kSoundAnswers + 1) == 0;
    std::string events;
    const int last = endless ? first + kEndlessEvents : kSoundEvents;
    for (int event = first; event <= last; ++event) {
      events += "id: " + std::to_string(event) + "\ndata: .\n\n";
    }
    endless_ += endless ? 1 : 0;
    std::string body = events.empty() ? "" : Chunk(events);
    return {stream_head + body + (endless ? "" : "0\r\n\r\n")};
  }

  std::atomic<int> answers_{0};
  std::atomic<int> endless_{0};
  std::vector<std::unique_ptr<HostileUpstream>> upstreams_;
};

std::string Batch(const std::string& name) {
  json items = json::array();
  for (int i = 0; i < kItemsOfBatch; ++i) {
    const std::string id = name + "-" + std::to_string(i);
    items.push_back({{"id", id},
                     {"path", "/steps-a/" + id},
                     {"headers", {{"Model", "m0"}, {"Token-Count", "10,10"}}},
                     {"body", "YWJj"},
                     {"tokens", 20},
                     {"group", "g" + std::to_string(i / 4)}});
  }
  return json{{"step", 1},
              {"model", "m0"},
              {"minVersion", 1},
              {"desired", 1},
              {"items", items}}
      .dump();
}

// Guards against outputs between two runs, and copies for later batches, that
// nothing counts.
Test(hostile_outputs, many_small_events_without_end) {
  const TestLock lock;
  NodeRun run("outputs", kSmallestMemoryMb, kSmallestMaxFds, kRealMaxBodyBytes);
  const EndlessOutputs upstreams(run);
  run.Observe(kRegisterTime);
  for (int batch = 0; batch < kBatches; ++batch) {
    const std::string name = "batch-" + std::to_string(batch);
    cr_expect_eq(run.Submit(Batch(name), name), 202);
  }
  run.Observe(kRunTime);
  for (int batch = 0; batch < kBatches; ++batch) {
    cr_expect_eq(run.End("batch-" + std::to_string(batch)), 200);
  }
  run.Observe(kRegisterTime);
  run.Check();
  cr_expect_geq(upstreams.endless(), kMinEndlessAnswers,
                "only %d endless answers", upstreams.endless());
}

}  // namespace
}  // namespace mulberryroad::process
