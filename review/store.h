// Stand-in for the platform's store of partitioned logs, and for the platform's
// duty calls, as PROTOCOL.md describes them.

#ifndef MULBERRYROAD_REVIEW_STORE_H_
#define MULBERRYROAD_REVIEW_STORE_H_

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <nlohmann/json.hpp>

#include "http.h"

namespace review {

inline std::string EncodeBase64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t value = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      value = (value << 8) |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text +=
          i + j > bytes.size() ? '=' : kDigits[(value >> (18 - 6 * j)) & 63];
    }
  }
  return text;
}

/// A record of a keyed topic.
struct Record {
  std::string key;
  std::string value;
};

/// What happens to an append.
struct Fate {
  /// No answer comes, and the append is executed this much later if its
  /// condition still holds then.
  std::optional<milliseconds> late;
};

class Store {
 public:
  using AppendHook = std::function<Fate(const std::string& topic,
                                        const std::vector<Record>& records)>;

  explicit Store(int partitions) : partitions_(partitions) {}
  ~Store() { Stop(); }

  int port() const { return server_.port(); }
  /// Decides on each append; called for the system's appends only.
  void SetAppendHook(AppendHook hook) {
    const std::lock_guard lock(mutex_);
    hook_ = std::move(hook);
  }
  /// Refuses all calls for a topic for this long, as if only its partitions
  /// were down.
  void RefuseTopic(const std::string& topic, milliseconds duration) {
    const std::lock_guard lock(mutex_);
    refused_until_[topic] = SteadyClock::now() + duration;
  }
  /// Writes a record as the operator, a trainer or a replica does.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value) {
    const std::lock_guard lock(mutex_);
    Add(logs_[{topic, 0}], {key, value});
    changed_.notify_all();
  }
  std::size_t appends() const { return appends_; }
  std::size_t lost_appends() const { return lost_appends_; }

  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
      changed_.notify_all();
    }
    server_.Stop();
  }

 private:
  using Part = std::pair<std::string, int>;
  struct Producer {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    bool started = false;
    std::deque<std::pair<std::uint64_t, std::string>> answers;
  };
  struct Newest {
    std::string value;
    std::uint64_t offset = 0;
  };
  struct Log {
    std::vector<std::string> records;
    std::map<std::string, Newest> newest;
    std::map<std::string, Producer> producers;
  };
  struct Holding {
    std::string holder;
    std::string target;
    std::uint64_t since = 0;
  };
  struct Member {
    milliseconds lifetime{0};
    SteadyClock::time_point heard;
  };
  struct Group {
    std::uint64_t generation = 0;
    std::map<std::string, Member> members;
    std::map<Part, Holding> holdings;
  };

  static std::string Number(std::uint64_t value, int bytes) {
    std::string text;
    for (int i = bytes; i-- > 0;) {
      text += static_cast<char>(value >> (8 * i));
    }
    return text;
  }

  static void Add(Log& log, const Record& record) {
    if (record.value.empty()) {
      log.newest.erase(record.key);
    } else {
      log.newest[record.key] = {record.value, log.records.size()};
    }
    log.records.push_back(Number(record.key.size(), 1) + record.key +
                          record.value);
  }

  static std::vector<Record> Decode(const std::string& body) {
    std::vector<Record> records;
    for (std::size_t at = 0; at + 5 <= body.size();) {
      std::size_t length = 0;
      for (std::size_t i = 0; i < 4; ++i) {
        length = (length << 8) | static_cast<unsigned char>(body[at + i]);
      }
      const std::string raw = body.substr(at + 4, length);
      const auto key = static_cast<unsigned char>(raw[0]);
      records.push_back({raw.substr(1, key), raw.substr(1 + key)});
      at += 4 + length;
    }
    return records;
  }

  static std::uint64_t Unsigned(const Message& request, const char* name) {
    return std::strtoull(request.parameter(name).value_or("0").c_str(), nullptr,
                         10);
  }

  static Part PartOf(const Message& request) {
    return {request.parameter("topic").value_or(""),
            static_cast<int>(Unsigned(request, "part"))};
  }

  bool Serve(const std::shared_ptr<Connection>& connection,
             const Message& request) {
    const std::string path = request.path();
    {
      const std::lock_guard lock(mutex_);
      const auto refused =
          refused_until_.find(request.parameter("topic").value_or(""));
      if (refused != refused_until_.end() &&
          SteadyClock::now() < refused->second) {
        return connection->Write(FormatResponse(503, "{}"));
      }
    }
    if (path == "/v1/log-append") {
      return Append(connection, request);
    }
    if (path == "/v1/log-read") {
      return connection->Write(Read(request));
    }
    std::unique_lock lock(mutex_);
    std::string response;
    if (path == "/v1/log-newest") {
      response = ReadNewest(request);
    } else if (path == "/v1/log-join") {
      response = Join(nlohmann::json::parse(request.body));
    } else if (path == "/v1/log-leave") {
      const auto body = nlohmann::json::parse(request.body);
      Drop(groups_[body.value("group", "")], body.value("member", ""));
      response = FormatResponse(200, "{}");
    } else if (path == "/v1/log-owners") {
      response = Owners(request);
    } else {
      // The duty calls: usage reports and orders for capacity.
      response = FormatResponse(200, "{}");
    }
    lock.unlock();
    return connection->Write(response);
  }

  bool Append(const std::shared_ptr<Connection>& connection,
              const Message& request) {
    const std::vector<Record> records = Decode(request.body);
    std::unique_lock lock(mutex_);
    ++appends_;
    const Fate fate =
        hook_ ? hook_(request.parameter("topic").value_or(""), records)
              : Fate{};
    if (!fate.late.has_value()) {
      const std::string response = Execute(request, records);
      changed_.notify_all();
      lock.unlock();
      return connection->Write(response);
    }
    ++lost_appends_;
    const auto due = SteadyClock::now() + *fate.late;
    while (!stopped_ && SteadyClock::now() < due) {
      changed_.wait_until(lock, due);
    }
    if (!stopped_) {
      Execute(request, records);
      changed_.notify_all();
    }
    return false;
  }

  std::string Execute(const Message& request,
                      const std::vector<Record>& records) {
    Log& log = logs_[PartOf(request)];
    const auto end = [&log] { return log.records.size(); };
    if (request.parameter("at").has_value() &&
        Unsigned(request, "at") != end()) {
      return FormatResponse(412, nlohmann::json{{"endOffset", end()}}.dump());
    }
    Producer* producer = nullptr;
    const std::uint64_t sequence = Unsigned(request, "seq");
    if (const auto name = request.parameter("producer")) {
      producer = &log.producers[*name];
      const std::uint64_t epoch = Unsigned(request, "epoch");
      if (epoch < producer->epoch) {
        return FormatResponse(409, R"({"why":"fenced"})");
      }
      if (epoch > producer->epoch) {
        *producer = {};
        producer->epoch = epoch;
      }
      for (const auto& [known, answer] : producer->answers) {
        if (known == sequence) {
          return answer;
        }
      }
      if (producer->started && sequence != producer->sequence + 1) {
        return FormatResponse(
            409, nlohmann::json{{"why", "seq"}, {"seq", producer->sequence + 1}}
                     .dump());
      }
    }
    const std::uint64_t first = end();
    for (const Record& record : records) {
      Add(log, record);
    }
    std::string answer = FormatResponse(
        200, nlohmann::json{{"offset", first}, {"endOffset", end()}}.dump());
    if (producer != nullptr) {
      producer->started = true;
      producer->sequence = sequence;
      producer->answers.emplace_back(sequence, answer);
      if (producer->answers.size() > 5) {
        producer->answers.pop_front();
      }
    }
    return answer;
  }

  std::string Read(const Message& request) {
    const auto until =
        SteadyClock::now() + milliseconds(Unsigned(request, "waitMs"));
    const std::uint64_t from = Unsigned(request, "from");
    std::unique_lock lock(mutex_);
    Log& log = logs_[PartOf(request)];
    while (!stopped_ && from >= log.records.size() &&
           SteadyClock::now() < until) {
      changed_.wait_until(lock, until);
    }
    std::string body = Number(log.records.size(), 8) + Number(0, 8);
    for (std::size_t i = from; i < log.records.size() && body.size() < 900'000;
         ++i) {
      body += Number(log.records[i].size(), 4) + log.records[i];
    }
    return FormatResponse(200, body);
  }

  std::string ReadNewest(const Message& request) {
    const Log& log = logs_[PartOf(request)];
    nlohmann::json body = {{"items", nlohmann::json::array()},
                           {"hasMore", false},
                           {"endOffset", log.records.size()}};
    std::size_t bytes = 0;
    for (auto entry =
             log.newest.upper_bound(request.parameter("after").value_or(""));
         entry != log.newest.end(); ++entry) {
      if (body["items"].size() >= 500 || bytes > 900'000) {
        body["hasMore"] = true;
        break;
      }
      bytes += entry->second.value.size();
      body["items"].push_back({{"key", entry->first},
                               {"value", EncodeBase64(entry->second.value)},
                               {"offset", entry->second.offset}});
    }
    return FormatResponse(200, body.dump());
  }

  void Deal(Group& group) {
    ++group.generation;
    std::vector<std::string> names;
    for (const auto& [name, member] : group.members) {
      names.push_back(name);
    }
    std::size_t next = 0;
    for (auto& [part, holding] : group.holdings) {
      holding.target = names.empty() ? "" : names[next++ % names.size()];
      holding.since = group.generation;
      if (!group.members.contains(holding.holder)) {
        holding.holder.clear();
      }
    }
  }

  void Drop(Group& group, const std::string& member) {
    if (group.members.erase(member) > 0) {
      Deal(group);
    }
  }

  std::string Join(const nlohmann::json& body) {
    Group& group = groups_[body.value("group", "")];
    const std::string member = body.value("member", "");
    const auto now = SteadyClock::now();
    std::vector<std::string> silent;
    for (const auto& [name, state] : group.members) {
      if (name != member && now > state.heard + state.lifetime) {
        silent.push_back(name);
      }
    }
    for (const std::string& name : silent) {
      Drop(group, name);
    }
    const bool joins = !group.members.contains(member);
    group.members[member] = {milliseconds(body.value("ttlMs", 1'000)), now};
    for (const auto& topic : body["topics"]) {
      for (int part = 0; part < partitions_; ++part) {
        group.holdings.try_emplace({topic.get<std::string>(), part});
      }
    }
    if (joins) {
      Deal(group);
    }
    nlohmann::json parts = nlohmann::json::array();
    for (auto& [part, holding] : group.holdings) {
      if (holding.holder == member && holding.target != member &&
          body.value("generation", std::uint64_t{0}) >= holding.since) {
        holding.holder.clear();
      }
      if (holding.target == member &&
          (holding.holder.empty() || holding.holder == member)) {
        holding.holder = member;
        parts.push_back({part.first, part.second, 0});
      }
    }
    return FormatResponse(200,
                          nlohmann::json{{"generation", group.generation},
                                         {"ttlMs", body.value("ttlMs", 1'000)},
                                         {"parts", parts}}
                              .dump());
  }

  std::string Owners(const Message& request) {
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& [part, holding] :
         groups_[request.parameter("group").value_or("")].holdings) {
      rows.push_back({part.first, part.second, holding.holder, 0});
    }
    return FormatResponse(200, nlohmann::json{{"parts", rows}}.dump());
  }

  int partitions_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopped_ = false;
  AppendHook hook_;
  std::map<std::string, SteadyClock::time_point> refused_until_;
  std::map<Part, Log> logs_;
  std::map<std::string, Group> groups_;
  std::atomic<std::size_t> appends_ = 0;
  std::atomic<std::size_t> lost_appends_ = 0;
  // Last, so that its threads end before the state that they use.
  Server server_{
      [this](const std::shared_ptr<Connection>& connection,
             const Message& request) { return Serve(connection, request); }};
};

}  // namespace review

#endif  // MULBERRYROAD_REVIEW_STORE_H_
