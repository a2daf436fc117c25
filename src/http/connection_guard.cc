#include "http/connection_guard.h"

#include <malloc.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace mulberryroad::http {

namespace {

using std::chrono::steady_clock;

// Freed bytes after which unused memory of the allocator is returned: freed
// buffers stay resident otherwise.
constexpr std::size_t kTrimBytes = 4U << 20U;
constexpr int kMmapThresholdBytes = 1 << 20;

}  // namespace

ConnectionGuard::ConnectionGuard(base::EventLoop& loop, BudgetLimits limits,
                                 Report report)
    : budget_(limits), report_(std::move(report)) {
  if (!limits.enabled()) {
    return;
  }
  sweep_timer_ = loop.Every(kSweepInterval, [this] { Sweep(); });
  // Large bodies are mapped on their own, so that their memory is returned when
  // they are freed; by default the threshold grows with the largest one.
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  // A fixed mapping threshold also fixes this one, at 128 KB by default: the
  // heap would be returned and grown again with each large message.
  mallopt(M_TRIM_THRESHOLD, static_cast<int>(kTrimBytes));
}

ConnectionGuard::Id ConnectionGuard::Open(bool protected_peer,
                                          Session session) {
  const Id id = budget_.Open(protected_peer, steady_clock::now());
  sessions_[id] = std::move(session);
  return id;
}

void ConnectionGuard::Close(Id id) {
  budget_.Close(id);
  sessions_.erase(id);
}

void ConnectionGuard::SetPhase(Id id, ConnectionPhase phase) {
  budget_.SetPhase(id, phase, steady_clock::now());
}

void ConnectionGuard::SetHeld(Id id, std::size_t bytes, std::size_t unsent) {
  const auto now = steady_clock::now();
  budget_.SetHeld(id, bytes, now);
  budget_.SetUnsent(id, unsent, now);
  CloseVictims();
}

bool ConnectionGuard::Reserve(std::size_t bytes) {
  if (!budget_.Reserve(bytes)) {
    return false;
  }
  CloseVictims();
  return true;
}

bool ConnectionGuard::ReserveForResponses(std::size_t bytes) {
  if (!budget_.ReserveForResponses(bytes)) {
    return false;
  }
  CloseVictims();
  return true;
}

bool ConnectionGuard::ReserveForOutputs(std::size_t bytes) {
  if (!budget_.ReserveForOutputs(bytes)) {
    return false;
  }
  CloseVictims();
  return true;
}

void ConnectionGuard::CloseVictims() {
  const auto now = steady_clock::now();
  peak_bytes_ = std::max(peak_bytes_, held_bytes());
  if (std::exchange(closing_, true)) {
    return;
  }
  while (const auto victim = budget_.NextVictim(now)) {
    CloseFor(*victim, CloseReason::kNoMemory);
    // A session that stays open to send its refusal holds nothing else.
    budget_.SetHeld(*victim, 0, now);
    budget_.SetUnsent(*victim, 0, now);
  }
  closing_ = false;
}

void ConnectionGuard::CloseExcess() {
  while (const auto excess = budget_.NextExcessConnection()) {
    CloseFor(*excess, CloseReason::kTooManyConnections);
    budget_.Close(*excess);
  }
}

void ConnectionGuard::CloseFor(Id id, CloseReason reason) {
  const auto found = sessions_.find(id);
  if (found != sessions_.end()) {
    // The session may remove itself.
    const auto close = found->second.close;
    close(reason);
  }
}

void ConnectionGuard::Sweep() {
  std::vector<Id> ids;
  ids.reserve(sessions_.size());
  for (const auto& [id, session] : sessions_) {
    ids.push_back(id);
  }
  for (const Id id : ids) {
    if (const auto found = sessions_.find(id); found != sessions_.end()) {
      const auto measure = found->second.measure;
      measure();
    }
  }
  for (const MemoryBudget::Expired& expired :
       budget_.FindExpired(steady_clock::now())) {
    CloseFor(expired.id, expired.reason);
  }
  TrimMemory();
}

void ConnectionGuard::TrimMemory() {
  const std::size_t bytes = held_bytes();
  if (peak_bytes_ > bytes + kTrimBytes) {
    malloc_trim(0);
    peak_bytes_ = bytes;
  }
}

}  // namespace mulberryroad::http
