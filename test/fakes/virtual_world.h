// Virtual time, a faulty log and nodes that freeze, for seeded explorations of
// the pure rules.

#ifndef MULBERRYROAD_TEST_FAKES_VIRTUAL_WORLD_H_
#define MULBERRYROAD_TEST_FAKES_VIRTUAL_WORLD_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/record.pb.h"
#include "platform/log_service.h"

namespace mulberryroad::fakes {

using std::chrono::milliseconds;

/// Runs callbacks in the order of virtual time.
class VirtualWorld {
 public:
  explicit VirtualWorld(std::uint64_t seed) : random_(seed) {}

  Instant now() const { return now_; }
  WallTime wall_now() const {
    return WallTime{} + std::chrono::hours(24) +
           std::chrono::duration_cast<milliseconds>(now_.time_since_epoch());
  }
  void After(milliseconds delay, std::function<void()> callback) {
    events_.push({now_ + delay, next_event_++, std::move(callback)});
  }
  void RunFor(milliseconds span) {
    const Instant end = now_ + span;
    while (!events_.empty() && events_.top().time <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.callback();
    }
    now_ = end;
  }

  /// Returns a time between zero and a bound.
  milliseconds Random(milliseconds bound) {
    return milliseconds(
        std::uniform_int_distribution<std::int64_t>(0, bound.count())(random_));
  }
  bool Chance(double probability) {
    return std::bernoulli_distribution(probability)(random_);
  }

 private:
  struct Event {
    Instant time;
    std::uint64_t number;
    std::function<void()> callback;

    bool operator<(const Event& other) const {
      return std::pair(time, number) > std::pair(other.time, other.number);
    }
  };

  std::mt19937_64 random_;
  Instant now_{};
  std::uint64_t next_event_ = 0;
  std::priority_queue<Event> events_;
};

struct LogFaults {
  double delayed = 0.1;
  milliseconds longest_delay{8'000};
  double lost_before = 0.05;
  double lost_answer = 0.1;
};

/// The log of a virtual world: appends that are delayed, lost, or lose their
/// answer; and outages.
class VirtualLog {
 public:
  using OnEnd = std::function<void(std::optional<platform::Offset>)>;

  VirtualLog(VirtualWorld& world, LogFaults faults)
      : world_(world), faults_(faults) {}

  const std::vector<v1::Record>& stream(const std::string& name) {
    return streams_[name];
  }
  /// Makes all calls fail for a time.
  void BreakFor(milliseconds span) { broken_until_ = world_.now() + span; }
  bool broken() const { return world_.now() < broken_until_; }

  void Append(const std::string& stream, v1::Record record, OnEnd on_end) {
    if (broken() || world_.Chance(faults_.lost_before)) {
      world_.After(kTimeout, [on_end] { on_end(std::nullopt); });
      return;
    }
    const milliseconds delay = world_.Chance(faults_.delayed)
                                   ? world_.Random(faults_.longest_delay)
                                   : world_.Random(kUsualDelay);
    world_.After(delay, [this, stream, record = std::move(record), on_end] {
      streams_[stream].push_back(record);
      const platform::Offset offset = streams_[stream].size() - 1;
      const bool lost = world_.Chance(faults_.lost_answer);
      world_.After(lost ? kTimeout : milliseconds(1), [on_end, offset, lost] {
        on_end(lost ? std::nullopt : std::optional(offset));
      });
    });
  }

 private:
  static constexpr milliseconds kTimeout{2'000};
  static constexpr milliseconds kUsualDelay{30};

  VirtualWorld& world_;
  LogFaults faults_;
  Instant broken_until_{};
  std::map<std::string, std::vector<v1::Record>> streams_;
};

/// A node's time and reading: while it is frozen nothing of it runs.
class VirtualNode {
 public:
  using OnRecord =
      std::function<void(platform::Offset offset, const v1::Record& record)>;

  VirtualNode(VirtualWorld& world, VirtualLog& log)
      : world_(world), log_(log) {}

  void FreezeFor(milliseconds span) { frozen_until_ = world_.now() + span; }
  /// Runs a callback on this node, after a thaw if it is frozen by then.
  void After(milliseconds delay, std::function<void()> callback) {
    world_.After(delay, [this, callback = std::move(callback)]() mutable {
      RunThawed(std::move(callback));
    });
  }
  void Every(milliseconds interval, const std::function<void()>& callback) {
    After(interval, [this, interval, callback] {
      callback();
      Every(interval, callback);
    });
  }
  /// Reads a stream, now and then with a lag of seconds.
  void Tail(const std::string& stream, const OnRecord& on_record) {
    const milliseconds pause = world_.Chance(kLagChance)
                                   ? world_.Random(kLongestLag)
                                   : world_.Random(kUsualLag);
    After(pause, [this, stream, on_record] {
      const std::vector<v1::Record>& records = log_.stream(stream);
      std::size_t& cursor = cursors_[stream];
      while (!log_.broken() && cursor < records.size()) {
        on_record(cursor, records[cursor]);
        ++cursor;
      }
      Tail(stream, on_record);
    });
  }
  void Append(const std::string& stream, v1::Record record,
              VirtualLog::OnEnd on_end) {
    log_.Append(stream, std::move(record),
                [this, on_end](std::optional<platform::Offset> offset) {
                  After(milliseconds(0), [on_end, offset] { on_end(offset); });
                });
  }

 private:
  static constexpr double kLagChance = 0.02;
  static constexpr milliseconds kUsualLag{140};
  static constexpr milliseconds kLongestLag{6'000};

  void RunThawed(std::function<void()> callback) {
    if (world_.now() >= frozen_until_) {
      callback();
      return;
    }
    const auto left =
        std::chrono::ceil<milliseconds>(frozen_until_ - world_.now());
    After(left, std::move(callback));
  }

  VirtualWorld& world_;
  VirtualLog& log_;
  Instant frozen_until_{};
  std::map<std::string, std::size_t> cursors_;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_VIRTUAL_WORLD_H_
