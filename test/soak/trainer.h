// A trainer of a soak run: submits steps as batches, reads their results at any
// node, ends them and names weight versions.

#ifndef MULBERRYROAD_TEST_SOAK_TRAINER_H_
#define MULBERRYROAD_TEST_SOAK_TRAINER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "http/client.h"
#include "soak/deployment.h"

namespace mulberryroad::soak {

/// A result as it was read.
struct ReadItem {
  std::string id;
  std::string state;
  std::string text;
  std::set<std::uint64_t> versions;
  std::string score;

  friend bool operator==(const ReadItem&, const ReadItem&) = default;
};

/// A batch as its trainer knows it.
struct Step {
  std::string id;
  std::uint64_t min_version = 0;
  std::map<std::string, std::uint64_t> events_by_item;
  /// Ids of the scorer calls by item; empty if the items have none.
  std::map<std::string, std::string> scorer_calls;
  /// Items whose scorer call always fails.
  std::set<std::string> unscorable;
  bool accepted = false;
  bool refused_throughout = true;
  bool ended = false;
  std::chrono::system_clock::time_point ended_at;
  std::chrono::steady_clock::time_point submitted;
  std::chrono::steady_clock::time_point accepted_at;
  /// When the last result was read.
  std::optional<std::chrono::milliseconds> whole_after;
  std::vector<ReadItem> results;
};

class Trainer {
 public:
  /// @param letter tells trainers, their routes and models apart: 'a' or 'b'
  Trainer(base::EventLoop& loop, http::Client& client, Deployment& deployment,
          char letter, std::uint64_t seed);

  void Start();
  /// Submits no further steps.
  void Finish() { finishing_ = true; }
  bool idle() const { return idle_; }
  /// Reads a batch from its start at a node and compares it with what was read
  /// before.
  void Compare(Step& step, NodeUnderTest& node,
               std::function<void()> on_compared);

  std::vector<Step>& steps() { return steps_; }
  const std::vector<std::string>& violations() const { return violations_; }

  static constexpr int kItems = 16;
  static constexpr int kGroupSize = 4;
  static constexpr std::chrono::milliseconds kStepPatience{12'000};
  static constexpr std::chrono::milliseconds kReadInterval{200};

 private:
  using OnAnswer = std::function<void(const http::Response*)>;

  void BeginStep();
  void Submit();
  void Read();
  void Take(Step& step, std::size_t position, const nlohmann::json& body);
  void End();
  void NameVersion();
  http::ClientRequest Request(http::Method method, std::string path,
                              const NodeUnderTest& node) const;
  void Call(http::ClientRequest request, OnAnswer on_answer);
  void After(std::chrono::milliseconds delay, void (Trainer::*next)());
  Step& current() { return steps_.back(); }

  base::EventLoop& loop_;
  http::Client& client_;
  Deployment& deployment_;
  char letter_;
  std::mt19937_64 random_;
  std::uint64_t version_ = 1;
  std::string body_;
  std::vector<Step> steps_;
  std::vector<std::string> violations_;
  base::Timer timer_;
  bool finishing_ = false;
  bool idle_ = false;
};

}  // namespace mulberryroad::soak

#endif  // MULBERRYROAD_TEST_SOAK_TRAINER_H_
