// Calls of a trainer for the cases about batch submissions.

#ifndef MULBERRYROAD_REVIEW_TRAINER_H_
#define MULBERRYROAD_REVIEW_TRAINER_H_

#include "world.h"

namespace review {

inline constexpr char kHost[] = "ficu95.example";

/// An item of a batch submission.
struct Item {
  std::string id;
  std::string group;
  std::string path;
};

/// Returns a manifest with one rollout route below /steps/, and one tenant for
/// each name, whose key is "key-of-NAME".
inline std::string RolloutManifest(const std::vector<std::string>& tenants,
                                   bool single_version, int max_attempts,
                                   double retention_s = 40.0) {
  nlohmann::json list = nlohmann::json::array();
  for (const std::string& tenant : tenants) {
    list.push_back({{"name", tenant}, {"apiKeys", {"key-of-" + tenant}}});
  }
  return nlohmann::json{
      {"version", 1},
      {"routes",
       {{{"name", "steps"},
         {"host", kHost},
         {"pathPrefix", "/steps/"},
         {"kind", "rollout"},
         {"timeoutMs", 10'000},
         {"targetLatencyMs", 400},
         {"priority", 1},
         {"service", "engines"},
         {"maxAttempts", max_attempts},
         {"retentionS", retention_s},
         {"resultDeadlineMs", 7'500},
         {"singleVersion", single_version},
         {"authExempt", false},
         {"sticky", true},
         {"resumable", true}}}},
      {"services",
       {{{"name", "engines"},
         {"healthPath", "/healthz"},
         {"engine", {{"slots", 12}, {"models", {{{"name", "m0"}}}}}}}}},
      {"limits",
       {{"maxHeaderBytes", 16'384},
        {"maxBodyBytes", 33'554'432},
        {"headerTimeoutMs", 3'000},
        {"idleTimeoutMs", 15'000}}},
      {"tenants", list}}
      .dump();
}

/// A trainer of one tenant.
class Trainer {
 public:
  Trainer(RunRecord& record, std::string tenant, std::string prefix = "/steps/")
      : record_(record),
        tenant_(std::move(tenant)),
        prefix_(std::move(prefix)) {}

  /// Submits a step at a node and returns the status.
  int Submit(const Node& node, const std::string& batch, int step,
             std::uint64_t min_version, int desired,
             const std::vector<Item>& items) {
    nlohmann::json list = nlohmann::json::array();
    for (const Item& item : items) {
      list.push_back({{"id", item.id},
                      {"path", item.path},
                      {"headers",
                       {{"Model", "m0"},
                        {"Token-Count", "16,400"},
                        {"Prompt-Prefix", "9c2e41:255,5d07b8:16"}}},
                      {"body", EncodeBase64("prompt of " + item.id)},
                      {"tokens", 416},
                      {"group", item.group}});
    }
    const Message response =
        Call(node.front(), "POST", prefix_ + batch,
             Headers({{"Request-Id", batch}, {"Deadline-Ms", "3000"}}),
             nlohmann::json{{"step", step},
                            {"model", "m0"},
                            {"minVersion", min_version},
                            {"desired", desired},
                            {"items", list}}
                 .dump(),
             milliseconds(3'000));
    Note("submits " + batch + " with " + std::to_string(items.size()) +
             " items at " + node.name(),
         response);
    return response.status;
  }

  /// Reads the results from the start; nullopt without a 200.
  std::optional<nlohmann::json> Read(const Node& node,
                                     const std::string& batch) {
    const Message response =
        Call(node.front(), "GET", "/v1/lots/" + batch + "?after=0", Headers({}),
             "", milliseconds(2'500));
    if (response.status != 200) {
      Note("reads " + batch + " at " + node.name(), response);
      return std::nullopt;
    }
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (body.dump() != last_) {
      last_ = body.dump();
      Note("reads " + batch + " at " + node.name(), response);
    }
    return body;
  }

  /// Returns the result of an item; nullopt if it is not listed.
  std::optional<nlohmann::json> Result(const Node& node,
                                       const std::string& batch,
                                       const std::string& item) {
    const auto page = Read(node, batch);
    if (page.has_value()) {
      for (const auto& result : page->at("results")) {
        if (result.value("id", "") == item) {
          return result;
        }
      }
    }
    return std::nullopt;
  }

  /// Ends a step at a node and returns the status; 0 without an answer.
  int End(const Node& node, const std::string& batch, int deadline_ms) {
    const Message response =
        Call(node.front(), "DELETE", "/v1/lots/" + batch,
             Headers({{"Request-Id", "end-" + batch},
                      {"Deadline-Ms", std::to_string(deadline_ms)}}),
             "", milliseconds(deadline_ms));
    Note("ends " + batch + " at " + node.name(), response);
    return response.status;
  }

 private:
  HeaderList Headers(HeaderList more) const {
    more.emplace_back("Host", kHost);
    more.emplace_back("Credential", "key-of-" + tenant_);
    return more;
  }
  void Note(const std::string& what, const Message& response) {
    record_.Write("trainer of " + tenant_ + " " + what + ": " +
                  (response.status == 0 ? std::string("no answer")
                                        : std::to_string(response.status)) +
                  " " + response.body.substr(0, 400));
  }

  RunRecord& record_;
  std::string tenant_;
  std::string prefix_;
  std::string last_;
};

/// Names a version of the model m0, as a trainer does.
inline void NameVersion(Store& store, RunRecord& record,
                        std::uint64_t version) {
  record.Write("the trainer names version " + std::to_string(version));
  store.Put("keyed.op", "version/m0",
            nlohmann::json{{"model", "m0"}, {"version", version}}.dump());
}

/// Starts the nodes and waits until they are ready.
inline bool StartNodes(const Store& store, RunRecord& record, Node& first,
                       Node& second) {
  const std::vector<int> seeds = {first.control(), second.control()};
  first.Start(store, seeds);
  second.Start(store, seeds);
  const bool ready = WaitUntil(milliseconds(15'000),
                               [&] { return first.ready() && second.ready(); });
  record.Write(ready ? "the nodes are ready" : "the nodes are not ready");
  return ready;
}

}  // namespace review

#endif  // MULBERRYROAD_REVIEW_TRAINER_H_
