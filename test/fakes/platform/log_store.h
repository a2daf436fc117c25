// The state of a stand-in of the platform's store: partitions of records and
// groups of members. Pure; the HTTP shell is FakePlatform.

#ifndef MULBERRYROAD_TEST_FAKES_PLATFORM_LOG_STORE_H_
#define MULBERRYROAD_TEST_FAKES_PLATFORM_LOG_STORE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mulberryroad::fakes {

using PartKey = std::pair<std::string, int>;
using StoreTime = std::chrono::steady_clock::time_point;

/// Condition of an append.
struct AppendQuery {
  std::optional<std::uint64_t> expected_end;
  std::string producer;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
};

/// Answer to a call: an HTTP status and a body.
struct StoreAnswer {
  int status = 200;
  std::string body;
};

/// Newest record of a key.
struct NewestRecord {
  std::string value;
  std::uint64_t offset = 0;
};

class LogStore {
 public:
  /// Appends framed records; a topic "keyed.*" keeps the newest of each key.
  StoreAnswer Append(const PartKey& part, std::string_view framed,
                     const AppendQuery& query);
  /// Appends one keyed record, as the operator and upstreams do.
  /// @param value nullopt drops the key
  void Put(const PartKey& part, const std::string& key,
           const std::optional<std::string>& value);
  /// Returns a page from an offset on; status 204 if there is nothing yet.
  StoreAnswer Read(const PartKey& part, std::uint64_t from) const;
  /// Returns the newest records behind a key.
  StoreAnswer Newest(const PartKey& part, const std::string& after) const;
  const std::map<std::string, NewestRecord>& newest(const PartKey& part);

  /// Drops the history of all partitions; the newest records of keys stay.
  void DropHistory();

  /// Joins a group or stays in it.
  StoreAnswer Join(const std::string& group, const std::string& member,
                   const std::vector<std::string>& topics,
                   std::chrono::milliseconds lifetime, std::uint64_t generation,
                   StoreTime now);
  void Leave(const std::string& group, const std::string& member);
  StoreAnswer Owners(const std::string& group) const;
  /// Removes members that were silent for their lifetime.
  void Expire(StoreTime now);
  /// Deals the partitions of all groups anew at once.
  void Rebalance();
  /// Time in which the store was away does not count against members.
  void ForgiveSilence(StoreTime now);

  static constexpr int kPartitions = 4;
  /// The real store takes five repeats.
  static constexpr std::size_t kRemembered = 5;
  static constexpr std::size_t kPageRecords = 500;

 private:
  struct Producer {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    bool started = false;
    std::deque<std::pair<std::uint64_t, StoreAnswer>> answers;
  };
  struct Partition {
    std::uint64_t first = 0;
    std::deque<std::string> records;
    std::map<std::string, NewestRecord> newest;
    std::map<std::string, Producer> producers;

    std::uint64_t end() const { return first + records.size(); }
  };
  struct Member {
    std::chrono::milliseconds lifetime{0};
    StoreTime heard;
  };
  /// A partition changes hands once its holder has joined with the generation
  /// that took it away.
  struct Holding {
    std::string holder;
    std::string target;
    std::uint64_t since = 0;
  };
  struct Group {
    std::uint64_t generation = 0;
    std::uint64_t turn = 0;
    std::map<std::string, Member> members;
    std::map<PartKey, Holding> holdings;
  };

  static void Deal(Group& group);
  static void Drop(Group& group, const std::string& member);
  void Take(const PartKey& key, Partition& partition, std::string record);

  std::map<PartKey, Partition> partitions_;
  std::map<std::string, Group> groups_;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_PLATFORM_LOG_STORE_H_
