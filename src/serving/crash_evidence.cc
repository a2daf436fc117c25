#include "serving/crash_evidence.h"

#include <algorithm>
#include <set>

namespace mulberryroad::serving {

CrashEvidence::Entry& CrashEvidence::EntryFor(const std::string& content,
                                              Instant now) {
  if (!contents_.contains(content) && contents_.size() >= kMaxContents) {
    contents_.erase(std::min_element(contents_.begin(), contents_.end(),
                                     [](const auto& a, const auto& b) {
                                       return a.second.newest < b.second.newest;
                                     }));
  }
  Entry& entry = contents_[content];
  entry.newest = std::max(entry.newest, now);
  return entry;
}

void CrashEvidence::OnConnectionLost(const std::string& content,
                                     const Crash& crash) {
  while (!recent_.empty() &&
         recent_.front().crash.at + kCommonCauseTime < crash.at) {
    recent_.pop_front();
  }
  recent_.push_back({content, crash});
  EntryFor(content, crash.at).seen.emplace(crash.upstream, crash);
  DiscountCommonCauses();
}

void CrashEvidence::DiscountCommonCauses() {
  std::set<UpstreamProcess> lost;
  for (const Loss& loss : recent_) {
    lost.insert(loss.crash.upstream);
  }
  if (lost.size() <= kCommonCauseUpstreams) {
    return;
  }
  for (const Loss& loss : recent_) {
    std::set<UpstreamProcess> others = lost;
    for (const Loss& same : recent_) {
      if (same.content == loss.content) {
        others.erase(same.crash.upstream);
      }
    }
    const auto entry = contents_.find(loss.content);
    if (others.size() < kCommonCauseUpstreams || entry == contents_.end()) {
      continue;
    }
    entry->second.seen.erase(loss.crash.upstream);
    if (entry->second.seen.empty() && entry->second.reported.empty()) {
      contents_.erase(entry);
    }
  }
}

void CrashEvidence::OnReported(const std::string& content, const Crash& crash) {
  EntryFor(content, crash.at).reported.emplace(crash.upstream, crash);
}

void CrashEvidence::OnWithdrawn(const std::string& content,
                                const UpstreamProcess& upstream) {
  const auto entry = contents_.find(content);
  if (entry == contents_.end()) {
    return;
  }
  entry->second.reported.erase(upstream);
  entry->second.seen.erase(upstream);
  if (entry->second.reported.empty() && entry->second.seen.empty()) {
    contents_.erase(entry);
  }
}

std::vector<UpstreamProcess> CrashEvidence::OnAnswered(
    const std::string& content) {
  const auto entry = contents_.find(content);
  if (entry == contents_.end()) {
    return {};
  }
  std::vector<UpstreamProcess> reported;
  reported.reserve(entry->second.reported.size());
  for (const auto& [upstream, crash] : entry->second.reported) {
    reported.push_back(upstream);
  }
  contents_.erase(entry);
  return reported;
}

void CrashEvidence::Expire(Instant now) {
  std::erase_if(contents_, [now](const auto& entry) {
    return entry.second.newest + kMaxAge < now;
  });
}

std::vector<Crash> CrashEvidence::crashes(const std::string& content) const {
  const auto entry = contents_.find(content);
  if (entry == contents_.end()) {
    return {};
  }
  std::map<UpstreamProcess, Crash> all = entry->second.seen;
  all.insert(entry->second.reported.begin(), entry->second.reported.end());
  std::vector<Crash> result;
  result.reserve(all.size());
  for (const auto& [upstream, crash] : all) {
    result.push_back(crash);
  }
  return result;
}

std::vector<Crash> CrashEvidence::unreported(const std::string& content) const {
  const auto entry = contents_.find(content);
  if (entry == contents_.end()) {
    return {};
  }
  std::vector<Crash> result;
  for (const auto& [upstream, crash] : entry->second.seen) {
    if (!entry->second.reported.contains(upstream)) {
      result.push_back(crash);
    }
  }
  return result;
}

bool CrashEvidence::IsCrashing(const std::string& content) const {
  return crashes(content).size() >= kMaxCrashes;
}

std::vector<std::string> CrashEvidence::ContentsBefore(Instant time) const {
  std::vector<std::string> result;
  for (const auto& [content, entry] : contents_) {
    if (entry.newest < time) {
      result.push_back(content);
    }
  }
  return result;
}

}  // namespace mulberryroad::serving
