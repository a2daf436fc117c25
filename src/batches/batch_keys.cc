#include "batches/batch_keys.h"

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <cstdlib>

#include "base/digest.h"

namespace mulberryroad::batches {

namespace {

// A key has at most 255 bytes, and that of a progress record holds two ids.
constexpr std::size_t kMaxIdLength = 110;
constexpr char kAccepted[] = "a";
constexpr char kResults[] = "b";
constexpr char kEnd[] = "e";
constexpr char kProgress[] = "p";
constexpr char kChunks[] = "s";

// Marks the digest of an id.
constexpr char kDigestPrefix[] = "sha256.";

// Numbers have a fixed width, so that keys sort in numerical order.
std::string NumberedKey(const std::string& batch, const char* part,
                        std::uint32_t number) {
  char text[16];
  std::snprintf(text, sizeof(text), "%08u", number);
  return batch + "/" + part + "/" + text;
}

}  // namespace

std::string Encode(const AcceptedKey& key) {
  return key.batch + "/" + kAccepted;
}

std::string Encode(const ResultKey& key) {
  return NumberedKey(key.batch, kResults, key.position);
}

std::string Encode(const ProgressKey& key) {
  return NumberedKey(key.batch + "/" + kProgress, key.item.c_str(), key.number);
}

std::string Encode(const EndKey& key) { return key.batch + "/" + kEnd; }

std::string Encode(const ChunkKey& key) {
  return NumberedKey(key.batch, kChunks, key.number);
}

BatchKey Decode(const std::string& key) {
  const std::size_t first = key.find('/');
  if (first == std::string::npos) {
    return UnrecognizedKey{};
  }
  const std::string batch = key.substr(0, first);
  const std::string rest = key.substr(first + 1);
  if (rest == kAccepted) {
    return AcceptedKey{batch};
  }
  if (rest == kEnd) {
    return EndKey{batch};
  }
  const std::size_t second = rest.find('/');
  if (second == std::string::npos) {
    return UnrecognizedKey{};
  }
  const std::string part = rest.substr(0, second);
  if (part == kProgress) {
    const std::size_t third = rest.find('/', second + 1);
    if (third == std::string::npos) {
      return UnrecognizedKey{};
    }
    return ProgressKey{batch, rest.substr(second + 1, third - second - 1),
                       static_cast<std::uint32_t>(std::strtoul(
                           rest.c_str() + third + 1, nullptr, 10))};
  }
  const auto number = static_cast<std::uint32_t>(
      std::strtoul(rest.c_str() + second + 1, nullptr, 10));
  if (part == kResults) {
    return ResultKey{batch, number};
  }
  if (part == kChunks) {
    return ChunkKey{batch, number};
  }
  return UnrecognizedKey{};
}

bool IsValidKeyId(const std::string& id) {
  return !id.empty() && id.size() <= kMaxIdLength &&
         std::all_of(id.begin(), id.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

std::string ProgressIdOf(const std::string& item) {
  return IsValidKeyId(item) && !item.starts_with(kDigestPrefix)
             ? item
             : kDigestPrefix + base::Sha256Hex(item);
}

platform::PartitionId BatchPartitionOf(const std::string& organisation,
                                       int partitions) {
  return {kBatchTopic,
          static_cast<int>(base::StableHash(organisation) %
                           static_cast<std::uint64_t>(partitions))};
}

platform::PartitionId ResultPartitionOf(const std::string& batch,
                                        int partitions) {
  return {kResultTopic,
          static_cast<int>(base::StableHash(batch) %
                           static_cast<std::uint64_t>(partitions))};
}

}  // namespace mulberryroad::batches
