#include "fakes/platform/log_store.h"

#include <openssl/evp.h>

#include <nlohmann/json.hpp>

namespace mulberryroad::fakes {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNothingYet = 204;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kEndMoved = 412;
constexpr std::size_t kLengthBytes = 4;
constexpr int kBitsPerByte = 8;
constexpr std::size_t kPageBytes = 1'000'000;
constexpr std::string_view kKeyedPrefix = "keyed.";

std::string Number(std::uint64_t value, std::size_t bytes) {
  std::string text;
  for (std::size_t i = bytes; i-- > 0;) {
    text.push_back(static_cast<char>(value >> (kBitsPerByte * i)));
  }
  return text;
}

std::optional<std::vector<std::string>> Split(std::string_view framed) {
  std::vector<std::string> records;
  while (!framed.empty()) {
    if (framed.size() < kLengthBytes) {
      return std::nullopt;
    }
    std::size_t length = 0;
    for (std::size_t i = 0; i < kLengthBytes; ++i) {
      length = (length << kBitsPerByte) | static_cast<unsigned char>(framed[i]);
    }
    framed.remove_prefix(kLengthBytes);
    if (framed.size() < length) {
      return std::nullopt;
    }
    records.emplace_back(framed.substr(0, length));
    framed.remove_prefix(length);
  }
  return records;
}

std::string Base64(const std::string& bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

}  // namespace

void LogStore::Take(const PartKey& key, Partition& partition,
                    std::string record) {
  if (key.first.starts_with(kKeyedPrefix) && !record.empty()) {
    const auto length = static_cast<unsigned char>(record[0]);
    const std::string name = record.substr(1, length);
    std::string value = record.substr(std::min(record.size(), 1UL + length));
    if (value.empty()) {
      partition.newest.erase(name);
    } else {
      partition.newest[name] = {std::move(value), partition.end()};
    }
  }
  partition.records.push_back(std::move(record));
}

StoreAnswer LogStore::Append(const PartKey& part, std::string_view framed,
                             const AppendQuery& query) {
  Partition& partition = partitions_[part];
  const auto records = Split(framed);
  if (!records.has_value()) {
    return {kBadRequest, "{}"};
  }
  if (query.expected_end.has_value() &&
      *query.expected_end != partition.end()) {
    return {kEndMoved, json{{"endOffset", partition.end()}}.dump()};
  }
  Producer* producer = nullptr;
  if (!query.producer.empty()) {
    producer = &partition.producers[query.producer];
    if (query.epoch < producer->epoch) {
      return {kConflict, json{{"why", "fenced"}}.dump()};
    }
    if (query.epoch > producer->epoch) {
      *producer = {query.epoch, 0, false, {}};
    }
    for (const auto& [sequence, answer] : producer->answers) {
      if (sequence == query.sequence) {
        return answer;
      }
    }
    if (producer->started && query.sequence != producer->sequence + 1) {
      return {
          kConflict,
          json{{"why", "seq"}, {"expected", producer->sequence + 1}}.dump()};
    }
  }
  const std::uint64_t first = partition.end();
  for (const std::string& record : *records) {
    Take(part, partition, record);
  }
  StoreAnswer answer{
      kOk, json{{"offset", first}, {"endOffset", partition.end()}}.dump()};
  if (producer != nullptr) {
    producer->sequence = query.sequence;
    producer->started = true;
    producer->answers.emplace_back(query.sequence, answer);
    if (producer->answers.size() > kRemembered) {
      producer->answers.pop_front();
    }
  }
  return answer;
}

void LogStore::Put(const PartKey& part, const std::string& key,
                   const std::optional<std::string>& value) {
  Take(part, partitions_[part],
       Number(key.size(), 1) + key + value.value_or(""));
}

StoreAnswer LogStore::Read(const PartKey& part, std::uint64_t from) const {
  const auto found = partitions_.find(part);
  static const Partition nothing;
  const Partition& partition =
      found == partitions_.end() ? nothing : found->second;
  if (from < partition.first) {
    return {kGone, json{{"first", partition.first}}.dump()};
  }
  std::string body = Number(partition.end(), 8) + Number(partition.first, 8);
  if (from >= partition.end()) {
    return {kNothingYet, body};
  }
  for (std::uint64_t at = from;
       at < partition.end() && body.size() < kPageBytes; ++at) {
    const std::string& record = partition.records[at - partition.first];
    body += Number(record.size(), kLengthBytes) + record;
  }
  return {kOk, body};
}

StoreAnswer LogStore::Newest(const PartKey& part,
                             const std::string& after) const {
  json body = {{"items", json::array()}, {"hasMore", false}, {"endOffset", 0}};
  const auto found = partitions_.find(part);
  if (found != partitions_.end()) {
    const Partition& partition = found->second;
    body["endOffset"] = partition.end();
    std::size_t bytes = 0;
    for (auto entry = partition.newest.upper_bound(after);
         entry != partition.newest.end(); ++entry) {
      if (body["items"].size() == kPageRecords || bytes > kPageBytes) {
        body["hasMore"] = true;
        break;
      }
      bytes += entry->second.value.size();
      body["items"].push_back({{"key", entry->first},
                               {"value", Base64(entry->second.value)},
                               {"offset", entry->second.offset}});
    }
  }
  return {kOk, body.dump()};
}

const std::map<std::string, NewestRecord>& LogStore::newest(
    const PartKey& part) {
  return partitions_[part].newest;
}

void LogStore::DropHistory() {
  for (auto& [key, partition] : partitions_) {
    partition.first = partition.end();
    partition.records.clear();
  }
}

void LogStore::Deal(Group& group) {
  ++group.generation;
  std::vector<std::string> names;
  for (const auto& [name, member] : group.members) {
    names.push_back(name);
  }
  std::size_t next = group.turn;
  for (auto& [part, holding] : group.holdings) {
    holding.target = names.empty() ? "" : names[next++ % names.size()];
    holding.since = group.generation;
    if (!group.members.contains(holding.holder)) {
      holding.holder.clear();
    }
  }
}

void LogStore::Drop(Group& group, const std::string& member) {
  if (group.members.erase(member) > 0) {
    Deal(group);
  }
}

StoreAnswer LogStore::Join(const std::string& name, const std::string& member,
                           const std::vector<std::string>& topics,
                           std::chrono::milliseconds lifetime,
                           std::uint64_t generation, StoreTime now) {
  Group& group = groups_[name];
  const bool joins = !group.members.contains(member);
  group.members[member] = {lifetime, now};
  for (const std::string& topic : topics) {
    for (int part = 0; part < kPartitions; ++part) {
      group.holdings.try_emplace({topic, part});
    }
  }
  if (joins) {
    Deal(group);
  }
  json parts = json::array();
  for (auto& [part, holding] : group.holdings) {
    const bool let_go = holding.holder == member && holding.target != member &&
                        generation >= holding.since;
    if (let_go) {
      holding.holder.clear();
    }
    if (holding.target == member && holding.holder.empty()) {
      holding.holder = member;
    }
    if (holding.target == member && holding.holder == member) {
      parts.push_back({part.first, part.second, 0});
    }
  }
  return {kOk, json{{"generation", group.generation},
                    {"ttlMs", lifetime.count()},
                    {"parts", parts}}
                   .dump()};
}

void LogStore::Leave(const std::string& group, const std::string& member) {
  Drop(groups_[group], member);
}

StoreAnswer LogStore::Owners(const std::string& name) const {
  json rows = json::array();
  if (const auto group = groups_.find(name); group != groups_.end()) {
    for (const auto& [part, holding] : group->second.holdings) {
      rows.push_back({part.first, part.second, holding.holder, 0});
    }
  }
  return {kOk, json{{"owners", rows}}.dump()};
}

void LogStore::Expire(StoreTime now) {
  for (auto& [name, group] : groups_) {
    std::vector<std::string> silent;
    for (const auto& [member, state] : group.members) {
      if (now > state.heard + state.lifetime) {
        silent.push_back(member);
      }
    }
    for (const std::string& member : silent) {
      Drop(group, member);
    }
  }
}

void LogStore::Rebalance() {
  for (auto& [name, group] : groups_) {
    ++group.turn;
    Deal(group);
    for (auto& [part, holding] : group.holdings) {
      holding.holder.clear();
    }
  }
}

void LogStore::ForgiveSilence(StoreTime now) {
  for (auto& [name, group] : groups_) {
    for (auto& [member, state] : group.members) {
      state.heard = now;
    }
  }
}

}  // namespace mulberryroad::fakes
