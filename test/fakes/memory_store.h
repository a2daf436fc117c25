// A partition store in memory, with the faults of a real one: it can be
// unavailable, lose answers and drop history.

#ifndef MULBERRYROAD_TEST_FAKES_MEMORY_STORE_H_
#define MULBERRYROAD_TEST_FAKES_MEMORY_STORE_H_

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/event_loop.h"
#include "platform/partition_store.h"

namespace mulberryroad::fakes {

/// Answers from the loop, in the order of the calls. Reads do not wait.
class MemoryStore final : public platform::PartitionStore {
 public:
  explicit MemoryStore(base::EventLoop& loop) : loop_(loop) {}

  /// Refuses all calls while it is unavailable.
  bool unavailable = false;
  /// Takes calls and answers none of them; callers see their time-outs.
  bool unresponsive = false;
  /// Calls that were taken while it was unresponsive.
  int unanswered = 0;
  /// Carries out this many appends without an answer that the caller gets.
  int append_answers_to_lose = 0;
  /// Runs once before an append that has no records is carried out.
  std::function<void()> before_fence;
  /// Partitions that each member of a group holds.
  std::map<std::string, platform::GroupAssignment> shares;

  void Append(const platform::PartitionId& id,
              const std::vector<platform::KeyedRecord>& records,
              platform::AppendCondition condition,
              std::chrono::milliseconds timeout,
              platform::OnOutcome<platform::AppendOutcome> done) override {
    if (Refuses<platform::AppendOutcome>(timeout, done)) {
      return;
    }
    if (records.empty() && before_fence) {
      std::exchange(before_fence, nullptr)();
    }
    platform::AppendOutcome outcome = Execute(id, records, condition);
    if (append_answers_to_lose > 0) {
      --append_answers_to_lose;
      outcome = platform::PlatformFailure{Verdict::kMayHaveRun, "lost answer"};
    }
    Answer(done, outcome);
  }

  void Read(const platform::PartitionId& id, platform::Offset from,
            std::chrono::milliseconds /*wait*/,
            std::chrono::milliseconds timeout,
            platform::OnOutcome<platform::ReadOutcome> done) override {
    if (Refuses<platform::ReadOutcome>(timeout, done)) {
      return;
    }
    const Partition& partition = partitions_[id];
    if (from < partition.first) {
      Answer(done,
             platform::ReadOutcome(platform::OffsetExpired{partition.first}));
      return;
    }
    platform::RecordPage page;
    page.first_retained = partition.first;
    page.end = partition.end;
    page.next = partition.end;
    for (const platform::KeyedRecord& record : partition.records) {
      if (record.offset >= from) {
        page.records.push_back(record);
      }
    }
    // A real store would wait; an empty answer at once would spin the loop.
    const auto timer = std::make_shared<base::Timer>();
    *timer = loop_.After(std::chrono::milliseconds(2),
                         [timer, done, page] { done(page); });
    timers_.push_back(timer);
  }

  void ReadLatest(const platform::PartitionId& id, const std::string& after,
                  std::chrono::milliseconds timeout,
                  platform::OnOutcome<platform::NewestOutcome> done) override {
    if (Refuses<platform::NewestOutcome>(timeout, done)) {
      return;
    }
    const Partition& partition = partitions_[id];
    platform::LatestPage page;
    page.end = partition.end;
    for (const auto& [key, record] : partition.newest) {
      if (key <= after && !after.empty()) {
        continue;
      }
      if (page.records.size() == page_size) {
        page.has_more = true;
        break;
      }
      page.records.push_back(record);
    }
    Answer(done, platform::NewestOutcome(page));
  }

  void Join(const std::string& /*group*/, const std::string& member,
            const std::string& /*topic*/, std::chrono::milliseconds /*ttl*/,
            std::uint64_t /*generation*/, std::chrono::milliseconds timeout,
            platform::OnOutcome<platform::JoinOutcome> done) override {
    if (Refuses<platform::JoinOutcome>(timeout, done)) {
      return;
    }
    Answer(done, platform::JoinOutcome(shares[member]));
  }

  void Leave(const std::string& /*group*/, const std::string& member,
             std::chrono::milliseconds /*timeout*/) override {
    shares.erase(member);
  }

  void ListOwners(const std::string& /*group*/,
                  std::chrono::milliseconds /*timeout*/,
                  platform::OnOutcome<platform::OwnersOutcome> done) override {
    platform::PartitionOwners owners;
    for (const auto& [member, share] : shares) {
      for (const platform::PartitionId& partition : share.partitions) {
        owners.owners.emplace_back(partition, member);
      }
    }
    Answer(done, platform::OwnersOutcome(owners));
  }

  /// Appends at once, as another process would.
  platform::AppendOutcome AppendNow(
      const platform::PartitionId& id,
      const std::vector<platform::KeyedRecord>& records,
      const platform::AppendCondition& condition = {}) {
    return Execute(id, records, condition);
  }

  /// Drops all records but the newest of each key.
  void DropHistory(const platform::PartitionId& id) {
    Partition& partition = partitions_[id];
    partition.first = partition.end;
    partition.records.clear();
  }
  /// Returns the newest value of a key, or nullopt.
  std::optional<std::string> value(const platform::PartitionId& id,
                                   const std::string& key) {
    const auto found = partitions_[id].newest.find(key);
    return found == partitions_[id].newest.end() ? std::nullopt
                                                 : found->second.value;
  }
  /// Returns all keys of a partition in order.
  std::vector<std::string> keys(const platform::PartitionId& id) {
    std::vector<std::string> keys;
    for (const auto& [key, record] : partitions_[id].newest) {
      keys.push_back(key);
    }
    return keys;
  }

  std::size_t page_size = 500;
  /// Appends with a larger record are refused.
  std::size_t max_record_bytes = std::numeric_limits<std::size_t>::max();

 private:
  struct WriterState {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::map<std::uint64_t, platform::Appended> answers;
  };
  struct Partition {
    platform::Offset first = 0;
    platform::Offset end = 0;
    std::vector<platform::KeyedRecord> records;
    std::map<std::string, platform::KeyedRecord> newest;
    std::map<std::string, WriterState> writers;
  };

  static platform::PlatformFailure Unavailable() {
    return {Verdict::kNotRun, "the store is away"};
  }

  template <typename Outcome>
  bool Refuses(std::chrono::milliseconds timeout,
               const platform::OnOutcome<Outcome>& done) {
    if (unresponsive) {
      ++unanswered;
      const auto timer = std::make_shared<base::Timer>();
      *timer = loop_.After(timeout, [timer, done] {
        done(platform::PlatformFailure{Verdict::kMayHaveRun, "silent"});
      });
      timers_.push_back(timer);
      return true;
    }
    if (unavailable) {
      Answer(done, Outcome(Unavailable()));
      return true;
    }
    return false;
  }

  template <typename Outcome>
  void Answer(const platform::OnOutcome<Outcome>& done, Outcome outcome) {
    loop_.Post([done, outcome] { done(outcome); });
  }

  platform::AppendOutcome Execute(
      const platform::PartitionId& id,
      const std::vector<platform::KeyedRecord>& records,
      const platform::AppendCondition& condition) {
    if (std::any_of(records.begin(), records.end(),
                    [this](const platform::KeyedRecord& record) {
                      return record.key.size() +
                                 record.value.value_or("").size() >
                             max_record_bytes;
                    })) {
      return platform::TooLarge{};
    }
    Partition& partition = partitions_[id];
    if (const auto* at = std::get_if<platform::ExpectedEnd>(&condition);
        at != nullptr && at->end != partition.end) {
      return platform::EndMismatch{partition.end};
    }
    const auto* fenced = std::get_if<platform::WriterFence>(&condition);
    if (fenced != nullptr) {
      WriterState& writer = partition.writers[fenced->writer];
      if (fenced->epoch < writer.epoch) {
        return platform::Fenced{};
      }
      if (fenced->epoch > writer.epoch) {
        writer = {fenced->epoch, fenced->sequence, {}};
      } else if (writer.answers.contains(fenced->sequence)) {
        return writer.answers[fenced->sequence];
      } else if (fenced->sequence != writer.sequence + 1) {
        return platform::OutOfSequence{};
      }
    }
    const platform::Appended appended{partition.end,
                                      partition.end + records.size()};
    for (platform::KeyedRecord record : records) {
      record.offset = partition.end++;
      if (record.value.has_value()) {
        partition.newest[record.key] = record;
      } else {
        partition.newest.erase(record.key);
      }
      partition.records.push_back(std::move(record));
    }
    if (fenced != nullptr) {
      WriterState& writer = partition.writers[fenced->writer];
      writer.sequence = fenced->sequence;
      writer.answers[fenced->sequence] = appended;
    }
    return appended;
  }

  base::EventLoop& loop_;
  std::map<platform::PartitionId, Partition> partitions_;
  std::vector<std::shared_ptr<base::Timer>> timers_;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_MEMORY_STORE_H_
