#include "soak/soak_run.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

#include "soak/checks.h"
#include "soak/stream_callers.h"
#include "soak/traffic.h"
#include "soak/trainer.h"

namespace mulberryroad::soak {

namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr milliseconds kStartLimit{15'000};
constexpr milliseconds kPoll{50};
constexpr milliseconds kConfigApply{2'000};
// Steps under way when traffic ends are over by then.
constexpr milliseconds kFinishLimit{40'000};
constexpr int kProbes = 20;
// Engines have few slots, which the items of batches use as well.
constexpr milliseconds kStreamInterval{400};
constexpr milliseconds kStreamsLimit{20'000};
// Reads at all nodes must be through before results expire, also with many
// nodes; more at once would be a burst of their own.
constexpr std::size_t kComparedAtOnce = 12;
constexpr milliseconds kCompareLimit{5'000};

// Engines run two software versions in turn.
DeploymentOptions WithTwoVersions(DeploymentOptions options) {
  for (std::size_t i = 0; i < options.engines; ++i) {
    options.engine_software.emplace_back(i % 2 == 0 ? fakes::kDefaultSoftware
                                                    : "v2");
  }
  return options;
}

class SoakRun {
 public:
  explicit SoakRun(const SoakOptions& options)
      : options_(options),
        client_(loop_),
        deployment_(loop_, client_, WithTwoVersions(options.deployment)),
        traffic_(loop_, client_, deployment_, options.deployment.seed),
        streams_(loop_, client_, deployment_, options.deployment.seed),
        trainer_a_(loop_, client_, deployment_, 'a', options.deployment.seed),
        trainer_b_(loop_, client_, deployment_, 'b', options.deployment.seed) {}

  json Run() {
    if (!deployment_.Start()) {
      return {{"violations", {"harness: a port is taken"}}};
    }
    Wait(milliseconds(300), [] { return false; });
    deployment_.Put("config", MakeManifest(1, /*with_withdrawn_key=*/true));
    const bool started = Wait(kStartLimit, [this] {
      return std::all_of(deployment_.nodes().begin(), deployment_.nodes().end(),
                         [](const NodeUnderTest& node) { return node.ready; });
    });
    verdicts_.Check("the system starts", started, "a node is not ready");
    began_ = steady_clock::now();
    traffic_.Start();
    stream_timer_ = loop_.Every(kStreamInterval, [this] { streams_.Start(); });
    trainer_a_.Start();
    trainer_b_.Start();
    PlayFaults();
    deployment_.Heal();
    Recover();
    Judge();
    return Report();
  }

 private:
  bool Wait(milliseconds limit, const std::function<bool()>& condition) {
    const auto end = steady_clock::now() + limit;
    bool held = condition();
    const base::Timer poll = loop_.Every(kPoll, [&] {
      held = held || condition();
      if (held || steady_clock::now() >= end) {
        loop_.Stop();
      }
    });
    if (!held) {
      loop_.Run();
    }
    return held;
  }

  milliseconds elapsed() const {
    return duration_cast<milliseconds>(steady_clock::now() - began_);
  }

  void PlayFaults() {
    faults_ = DrawFaults(options_.deployment.seed, options_.limits);
    const milliseconds withdrawal = options_.limits.traffic / 2;
    std::size_t next = 0;
    bool withdrawn = false;
    Wait(options_.limits.traffic, [&, withdrawal] {
      while (next < faults_.size() && faults_[next].at <= elapsed()) {
        deployment_.Strike(faults_[next++]);
      }
      if (!withdrawn && elapsed() >= withdrawal) {
        withdrawn = true;
        deployment_.Put("config",
                        MakeManifest(3, /*with_withdrawn_key=*/false));
      }
      return false;
    });
  }

  // Traffic goes on while the system recovers; then it must serve everywhere.
  void Recover() {
    healed_ = elapsed();
    const bool recovered = Wait(kRecoveryTime, [this] {
      return std::all_of(deployment_.nodes().begin(), deployment_.nodes().end(),
                         [](const NodeUnderTest& node) {
                           // One that was asked to stop counts once it is back.
                           return node.ready && !node.stopping;
                         });
    });
    verdicts_.Check("recovery", recovered,
                    "a node is not ready after the faults");
    Wait(kConfigApply, [] { return false; });
    ProbeAllNodes();
    stream_timer_.Cancel();
    trainer_a_.Finish();
    trainer_b_.Finish();
    const bool finished = Wait(kFinishLimit, [this] {
      return trainer_a_.idle() && trainer_b_.idle();
    });
    verdicts_.Check("steps end", finished, "a step does not come to an end");
    traffic_.Stop();
    Wait(Traffic::kPatience + milliseconds(1'000),
         [this] { return traffic_.open() == 0; });
    verdicts_.Check(
        "streams end",
        Wait(kStreamsLimit, [this] { return streams_.open() == 0; }),
        "a stream does not come to an end");
    CompareEverywhere(trainer_a_);
    CompareEverywhere(trainer_b_);
    ReadStats();
  }

  // After recovery each node serves, and none honours the withdrawn key.
  void ProbeAllNodes() {
    std::size_t open = 0;
    std::size_t served = 0;
    for (NodeUnderTest& node : deployment_.nodes()) {
      for (int i = 0; i < kProbes; ++i) {
        open += 2;
        traffic_.Send(RequestKind::kIdempotent, node, /*repeated=*/true,
                      [&](const Attempt& attempt) {
                        --open;
                        served += attempt.status == kOk ? 1 : 0;
                      });
        traffic_.Send(RequestKind::kWithdrawn, node, /*repeated=*/true,
                      [&](const Attempt& attempt) {
                        --open;
                        verdicts_.Check("withdrawn key",
                                        attempt.status == kUnauthorized,
                                        attempt.node + " answered " +
                                            std::to_string(attempt.status) +
                                            " to the withdrawn key");
                      });
        // Spread out, so that the probes are no burst of their own.
        Wait(kPoll, [] { return false; });
      }
    }
    Wait(Traffic::kPatience + milliseconds(1'000), [&] { return open == 0; });
    const double share = static_cast<double>(served) /
                         static_cast<double>(deployment_.nodes().size()) /
                         kProbes;
    verdicts_.Check("served after recovery", share >= 0.95,
                    "only " + std::to_string(share) + " of the probes");
  }

  void CompareEverywhere(Trainer& trainer) {
    std::size_t open = 0;
    for (Step& step : trainer.steps()) {
      if (!step.accepted) {
        continue;
      }
      for (NodeUnderTest& node : deployment_.nodes()) {
        ++open;
        trainer.Compare(step, node, [&open] { --open; });
        Wait(kCompareLimit, [&open] { return open < kComparedAtOnce; });
      }
    }
    Wait(kCompareLimit, [&open] { return open == 0; });
  }

  void ReadStats() {
    http::ClientRequest request;
    request.endpoint = deployment_.platform();
    request.path = "/stats";
    bool read = false;
    client_.Send(std::move(request), [&](const http::Result& result) {
      read = true;
      if (const auto* response = std::get_if<http::Response>(&result)) {
        stats_ = json::parse(response->body, nullptr, false);
      }
    });
    Wait(milliseconds(2'000), [&read] { return read; });
    verdicts_.Check("usage is reported",
                    stats_.is_object() && !stats_["windows"].empty(),
                    "no window was reported");
    for (const json& violation : stats_.value("violations", json::array())) {
      verdicts_.violations.push_back("duties: " + violation.get<std::string>());
    }
  }

  void Judge() {
    deployment_.Stop();
    UpstreamNotes notes;
    for (const std::string& path : deployment_.UpstreamLogs()) {
      std::ifstream log(path);
      notes.Read(log);
    }
    CheckRequests(traffic_.attempts(), streams_.AttemptIds(), notes,
                  &verdicts_);
    CheckSteps(trainer_a_.steps(), "org-a", notes, faults_.empty(), &verdicts_);
    CheckSteps(trainer_b_.steps(), "org-b", notes, faults_.empty(), &verdicts_);
    CheckOrders(notes, &verdicts_);
    for (const CalledStream& stream : streams_.streams()) {
      verdicts_.Check("one software version", stream.software.size() <= 1,
                      stream.id + " holds events of two software versions");
      verdicts_.Check("events in order", !stream.out_of_order,
                      stream.id + " misses an event or has one twice");
    }
    for (const auto* list :
         {&deployment_.violations(), &trainer_a_.violations(),
          &trainer_b_.violations()}) {
      verdicts_.violations.insert(verdicts_.violations.end(), list->begin(),
                                  list->end());
    }
  }

  json Report() {
    std::map<int, int> statuses;
    json answers = json::array();
    for (const Attempt& attempt : traffic_.attempts()) {
      ++statuses[attempt.status];
      if (attempt.status == kOk) {
        answers.push_back(
            {duration_cast<milliseconds>(attempt.sent - began_).count(),
             duration_cast<milliseconds>(attempt.ended - attempt.sent)
                 .count()});
      }
    }
    json by_status = json::object();
    for (const auto& [status, count] : statuses) {
      by_status[std::to_string(status)] = count;
    }
    json steps = json::array();
    for (Trainer* trainer : {&trainer_a_, &trainer_b_}) {
      for (const Step& step : trainer->steps()) {
        steps.push_back(
            {{"step", step.id},
             {"accepted", step.accepted},
             {"listed", step.results.size()},
             {"whole_ms",
              step.whole_after.has_value() ? step.whole_after->count() : -1}});
      }
    }
    json faults = json::array();
    for (const Fault& fault : faults_) {
      faults.push_back({{"at_ms", fault.at.count()},
                        {"kind", NameOf(fault.kind)},
                        {"target", fault.target},
                        {"lasts_ms", fault.lasts.count()}});
    }
    return {{"seed", options_.deployment.seed},
            {"nodes", options_.deployment.nodes},
            {"healed_ms", healed_.count()},
            {"faults", faults},
            {"checks", verdicts_.made},
            {"statuses", by_status},
            {"steps", steps},
            {"streams", streams_.streams().size()},
            {"resumptions", streams_.resumptions()},
            {"resumed", streams_.resumed()},
            {"windows", stats_.value("windows", json::object()).size()},
            {"answers", answers},
            {"violations", verdicts_.violations}};
  }

  SoakOptions options_;
  base::EventLoop loop_;
  http::Client client_;
  Deployment deployment_;
  Traffic traffic_;
  StreamCallers streams_;
  base::Timer stream_timer_;
  Trainer trainer_a_;
  Trainer trainer_b_;
  Verdicts verdicts_;
  std::vector<Fault> faults_;
  steady_clock::time_point began_;
  milliseconds healed_{0};
  json stats_ = json::object();
};

}  // namespace

json MakeManifest(int version, bool with_withdrawn_key) {
  const auto route = [](const char* name, const char* prefix, const char* kind,
                        const char* service, int attempts, bool open) {
    return json{{"name", name},
                {"host", kHost},
                {"pathPrefix", prefix},
                {"kind", kind},
                {"timeoutMs", 2'000},
                {"targetLatencyMs", 150},
                {"resultDeadlineMs", 7'500},
                {"retentionS", 60},
                {"service", service},
                {"maxAttempts", attempts},
                {"authExempt", open}};
  };
  json streams =
      route("streams", "/streams/", "streaming", "engines", 3, false);
  streams["resumable"] = true;
  streams["timeoutMs"] = 20'000;
  json keys_of_a = {kKeyOfA};
  if (with_withdrawn_key) {
    keys_of_a.push_back(kWithdrawnKey);
  }
  return {
      {"version", version},
      {"routes",
       {route("reports", "/reports/", "idempotent", "desk", 2, false),
        route("orders", "/orders/", "non_idempotent", "desk", 1, false),
        route("open", "/open/", "idempotent", "desk", 2, true),
        route("scores", "/scores/", "idempotent", "desk", 2, false), streams,
        route("steps-a", "/steps-a/", "rollout", "engines", 3, false),
        route("steps-b", "/steps-b/", "rollout", "engines", 3, false)}},
      {"services",
       {{{"name", "desk"}},
        {{"name", "engines"},
         {"engine", {{"models", {{{"name", "m0"}}, {{"name", "m1"}}}}}}}}},
      {"limits",
       {{"maxHeaderBytes", 16'384},
        {"maxBodyBytes", 4'194'304},
        {"headerTimeoutMs", 3'000},
        {"idleTimeoutMs", 15'000}}},
      {"tenants",
       {{{"name", "org-a"}, {"apiKeys", keys_of_a}},
        {{"name", "org-b"}, {"apiKeys", {kKeyOfB}}}}}};
}

json PlaySeed(const SoakOptions& options) { return SoakRun(options).Run(); }

std::string DrawLatency(const json& report) {
  constexpr double kWidth = 1'000;
  constexpr double kHeight = 260;
  constexpr double kLongestMillis = 3'000;
  constexpr double kEndMargin = 1'000;
  double end = 1;
  for (const json& answer : report["answers"]) {
    end = std::max(end, answer[0].get<double>() + kEndMargin);
  }
  const auto x = [end](double millis) { return millis / end * kWidth; };
  const auto y = [](double millis) {
    return kHeight * (1 - std::log1p(millis) / std::log1p(kLongestMillis));
  };
  std::ostringstream svg;
  svg << std::fixed << std::setprecision(1)
      << R"(<svg xmlns="http://www.w3.org/2000/svg" width=")" << kWidth
      << R"(" height=")" << kHeight + 20 << R"(" font-size="9">)"
      << "\n";
  for (const json& fault : report["faults"]) {
    const double from = x(fault["at_ms"].get<double>());
    svg << R"(<rect fill="#e88" fill-opacity="0.3" y="0" x=")" << from
        << R"(" width=")" << x(fault["lasts_ms"].get<double>())
        << R"(" height=")" << kHeight << R"("><title>)"
        << fault["kind"].get<std::string>() << "</title></rect>\n";
  }
  for (const double millis : {10.0, 100.0, 1'000.0}) {
    svg << R"(<text x="0" y=")" << y(millis) << R"(">)" << millis
        << " ms</text>\n";
  }
  for (const json& answer : report["answers"]) {
    svg << R"(<circle r="1.2" cx=")" << x(answer[0].get<double>())
        << R"(" cy=")" << y(answer[1].get<double>()) << R"("/>)"
        << "\n";
  }
  svg << "</svg>\n";
  return svg.str();
}

}  // namespace mulberryroad::soak
