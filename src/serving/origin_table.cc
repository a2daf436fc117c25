#include "serving/origin_table.h"

#include <algorithm>
#include <iterator>

namespace mulberryroad::serving {

bool OriginTable::Add(const std::string& key, const StreamOrigin& origin,
                      OriginRecord record, bool several_services, Instant now) {
  Remove(key);
  if (streams_.size() >= kMaxStreams) {
    streams_.erase(by_age_.begin()->second);
    by_age_.erase(by_age_.begin());
  }
  const auto declared = declared_.find(origin.service);
  const bool only_version = declared != declared_.end() &&
                            declared->second.size() == 1 &&
                            declared->second.contains(origin.software);
  const bool writes =
      record == OriginRecord::kNone && (several_services || !only_version);
  streams_[key] = {origin, now, writes ? OriginRecord::kOwn : record};
  services_.insert(origin.service);
  by_age_.emplace(now, key);
  return writes;
}

bool OriginTable::Complete(const std::string& key) {
  const auto found = streams_.find(key);
  if (found == streams_.end()) {
    return false;
  }
  found->second.complete = true;
  return found->second.record == OriginRecord::kOwn;
}

void OriginTable::Remove(const std::string& key) {
  const auto found = streams_.find(key);
  if (found == streams_.end()) {
    return;
  }
  const auto [first, last] = by_age_.equal_range(found->second.begun);
  by_age_.erase(std::find_if(
      first, last, [&key](const auto& entry) { return entry.second == key; }));
  streams_.erase(found);
}

const KnownOrigin* OriginTable::find(const std::string& key) const {
  const auto found = streams_.find(key);
  return found == streams_.end() ? nullptr : &found->second;
}

bool OriginTable::NeedsDeclaration(const StreamOrigin& origin) const {
  const auto declared = declared_.find(origin.service);
  return declared == declared_.end() ||
         !declared->second.contains(origin.software);
}

std::vector<std::string> OriginTable::OnDeclared(const StreamOrigin& origin) {
  std::set<std::string>& versions = declared_[origin.service];
  versions.insert(origin.software);
  return versions.size() < 2 ? std::vector<std::string>()
                             : RecordAll(origin.service);
}

std::vector<std::string> OriginTable::OnRouteLeft(const TargetId& service) {
  return RecordAll(service);
}

std::vector<std::string> OriginTable::RecordAll(const TargetId& service) {
  std::vector<std::string> unrecorded;
  for (auto& [key, stream] : streams_) {
    if (stream.origin.service == service &&
        stream.record == OriginRecord::kNone && !stream.complete) {
      stream.record = OriginRecord::kOwn;
      unrecorded.push_back(key);
    }
  }
  return unrecorded;
}

void OriginTable::OnWithdrawn(const StreamOrigin& origin) {
  declared_[origin.service].erase(origin.software);
}

void OriginTable::Expire(Instant now) {
  while (!by_age_.empty() && by_age_.begin()->first + kMaxAge < now) {
    streams_.erase(by_age_.begin()->second);
    by_age_.erase(by_age_.begin());
  }
}

std::optional<StreamOrigin> OnlyOrigin(const std::vector<TargetId>& services,
                                       const SoftwareVersions& declared,
                                       const SoftwareVersions& listed) {
  if (services.size() != 1) {
    return std::nullopt;
  }
  std::set<std::string> versions;
  for (const SoftwareVersions* source : {&declared, &listed}) {
    if (const auto found = source->find(services.front());
        found != source->end()) {
      versions.insert(found->second.begin(), found->second.end());
    }
  }
  if (versions.size() != 1 || versions.contains("") ||
      !declared.contains(services.front())) {
    return std::nullopt;
  }
  return StreamOrigin{services.front(), *versions.begin()};
}

void AppendPacer::OnAppended(std::chrono::milliseconds took) {
  interval_ = took > kSlowAppend
                  ? std::min(kMaxInterval, interval_ * 2)
                  : std::max(kMinInterval, interval_ - kMinInterval);
}

void AppendPacer::OnFailed() {
  interval_ = std::min(kMaxInterval, interval_ * 2);
}

}  // namespace mulberryroad::serving
