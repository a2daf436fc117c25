#include "http/memory_budget.h"

#include <algorithm>

namespace mulberryroad::http {

namespace {

constexpr std::size_t kMega = 1U << 20U;
// Memory of the process without callers' bytes: 11 MB at the start, and the
// records of a deployment.
constexpr std::size_t kProcessMb = 24;
// The rest covers unused space of buffers and of the allocator.
constexpr std::size_t kBudgetPercent = 80;
// Descriptors for files, the store, upstreams and peers.
constexpr std::size_t kReservedFds = 200;
constexpr std::size_t kMinConnections = 16;
// Part of the connections that callers leave to peers and readiness checks.
constexpr std::size_t kReservedConnectionsPart = 8;
// Part of the bytes that large requests leave to small ones and to peers. A
// request of 32 MB, which counts twice, still fits into 120 MB.
constexpr std::size_t kReservedBytesPart = 16;
// Part of the bytes that connections keep, whatever is reserved.
constexpr std::size_t kConnectionBytesPart = 4;
// Part of the bytes that may always be reserved, besides the budget: ordinary
// batches do not wait for large requests.
constexpr std::size_t kUncountedBytesPart = 16;
// Part of the bytes that responses may hold while they are received. On a VM of
// 120 MB it is 19 MB, enough for two responses of the largest size (8 MB).
constexpr std::size_t kResponseBytesPart = 4;
// Part of the bytes that outputs of items may hold between runs. On a VM of 120
// MB it is 9 MB, enough for some ten thousand ordinary outputs.
constexpr std::size_t kOutputBytesPart = 8;
// Requests up to this size may use the share that large bodies leave.
constexpr std::size_t kSmallRequestBytes = 128U << 10U;
// Average rate below which an incomplete body is closed under pressure after
// kSlowBodyAge.
constexpr double kMinBodyBytesPerSecond = 1'024;
constexpr std::chrono::seconds kSlowBodyAge{10};
// Bodies of peers are closed only after those of callers a hundredth as large.
constexpr double kProtectedWeight = 0.01;

double Seconds(MemoryBudget::TimePoint::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

std::string_view ToString(CloseReason reason) {
  switch (reason) {
    case CloseReason::kNoMemory:
      return "no_memory";
    case CloseReason::kHeadTimeout:
      return "head_timeout";
    case CloseReason::kBodyTimeout:
      return "body_timeout";
    case CloseReason::kTooManyConnections:
      return "too_many_connections";
    case CloseReason::kBodyTooLarge:
      return "body_too_large";
    case CloseReason::kNotAdmitted:
      return "not_admitted";
    case CloseReason::kMalformed:
      return "malformed";
  }
  return "unknown";
}

std::size_t BudgetLimits::max_reserved() const {
  return bytes - bytes / kConnectionBytesPart;
}

std::size_t BudgetLimits::max_responses() const {
  return bytes / kResponseBytesPart;
}

std::size_t BudgetLimits::max_outputs() const {
  return bytes / kOutputBytesPart;
}

BudgetLimits LimitsFor(std::size_t memory_mb, std::size_t max_fds) {
  BudgetLimits limits;
  if (memory_mb > 0) {
    const std::size_t left =
        memory_mb > kProcessMb ? memory_mb - kProcessMb : 1;
    limits.bytes = left * kMega * kBudgetPercent / 100;
  }
  if (max_fds > 0) {
    limits.connections = std::max(
        kMinConnections, max_fds > kReservedFds ? max_fds - kReservedFds : 0);
  }
  return limits;
}

MemoryBudget::Id MemoryBudget::Open(bool protected_peer, TimePoint now) {
  const Id id = ++last_id_;
  entries_[id] = {
      .protected_peer = protected_peer, .phase_began = now, .progressed = now};
  callers_ += protected_peer ? 0 : 1;
  return id;
}

void MemoryBudget::Close(Id id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  const Entry& entry = found->second;
  Remove(entry);
  callers_ -= entry.protected_peer ? 0 : 1;
  entries_.erase(found);
}

void MemoryBudget::Add(const Entry& entry) {
  held_ += entry.total();
  if (entry.phase == ConnectionPhase::kRunning) {
    running_ += entry.total();
    running_callers_ += entry.protected_peer ? 0 : 1;
  }
}

void MemoryBudget::Remove(const Entry& entry) {
  held_ -= entry.total();
  if (entry.phase == ConnectionPhase::kRunning) {
    running_ -= entry.total();
    running_callers_ -= entry.protected_peer ? 0 : 1;
  }
}

void MemoryBudget::SetPhase(Id id, ConnectionPhase phase, TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.phase == phase) {
    return;
  }
  Entry& entry = found->second;
  Remove(entry);
  entry.phase = phase;
  Add(entry);
  entry.phase_began = now;
  entry.progressed = now;
}

void MemoryBudget::SetHeld(Id id, std::size_t bytes, TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  if (bytes > entry.held) {
    entry.progressed = now;
  }
  Remove(entry);
  entry.held = bytes;
  Add(entry);
}

void MemoryBudget::SetUnsent(Id id, std::size_t bytes, TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  if (bytes < entry.unsent) {
    entry.progressed = now;
  }
  Remove(entry);
  entry.unsent = bytes;
  Add(entry);
}

std::size_t MemoryBudget::Counted(std::size_t reserved) const {
  return reserved - std::min(reserved, limits_.bytes / kUncountedBytesPart);
}

bool MemoryBudget::Reserve(std::size_t bytes) {
  const std::size_t usable = limits_.bytes - limits_.bytes / kReservedBytesPart;
  const bool fits =
      limits_.bytes == 0 || bytes <= reserved_ || Counted(bytes) == 0 ||
      (bytes <= limits_.max_reserved() &&
       running_ + Counted(responses_ + outputs_) + Counted(bytes) <= usable);
  if (fits) {
    reserved_ = bytes;
  }
  return fits;
}

bool MemoryBudget::ReserveForResponses(std::size_t bytes) {
  const bool fits =
      limits_.bytes == 0 || bytes <= responses_ ||
      Counted(bytes + outputs_) == 0 ||
      (bytes <= limits_.max_responses() &&
       running_ + Counted(reserved_) + Counted(bytes + outputs_) <=
           limits_.bytes);
  if (fits) {
    responses_ = bytes;
  }
  return fits;
}

bool MemoryBudget::ReserveForOutputs(std::size_t bytes) {
  const bool fits =
      limits_.bytes == 0 || bytes <= outputs_ ||
      Counted(responses_ + bytes) == 0 ||
      (bytes <= limits_.max_outputs() &&
       running_ + Counted(reserved_) + Counted(responses_ + bytes) <=
           limits_.bytes);
  if (fits) {
    outputs_ = bytes;
  }
  return fits;
}

bool MemoryBudget::HasRoomFor(std::size_t bytes, bool protected_peer) const {
  if (limits_.bytes == 0) {
    return true;
  }
  const bool whole = protected_peer || bytes <= kSmallRequestBytes;
  const std::size_t usable =
      whole ? limits_.bytes
            : limits_.bytes - limits_.bytes / kReservedBytesPart;
  return running_ + counted_elsewhere() + bytes <= usable;
}

std::optional<MemoryBudget::Id> MemoryBudget::NextVictim(TimePoint now) const {
  if (limits_.bytes == 0 || held_ + counted_elsewhere() <= limits_.bytes) {
    return std::nullopt;
  }
  std::optional<Id> victim;
  double most = 0;
  for (const auto& [id, entry] : entries_) {
    // Bytes weighted by the time since the last byte and by the age.
    const double score = static_cast<double>(entry.closable()) *
                         (entry.protected_peer ? kProtectedWeight : 1.0) *
                         (1.0 + Seconds(now - entry.progressed) +
                          0.1 * Seconds(now - entry.phase_began));
    if (score > most) {
      most = score;
      victim = id;
    }
  }
  return victim;
}

bool MemoryBudget::HasExcessConnections() const {
  const std::size_t reserved = limits_.connections / kReservedConnectionsPart;
  return limits_.connections > 0 &&
         (callers_ + running_callers_ > limits_.connections - reserved ||
          entries_.size() + running_callers_ > limits_.connections);
}

std::optional<MemoryBudget::Id> MemoryBudget::NextExcessConnection() const {
  if (!HasExcessConnections()) {
    return std::nullopt;
  }
  std::optional<Id> oldest;
  TimePoint began = TimePoint::max();
  for (const auto& [id, entry] : entries_) {
    if (!entry.protected_peer && entry.phase != ConnectionPhase::kRunning &&
        entry.phase_began < began) {
      began = entry.phase_began;
      oldest = id;
    }
  }
  return oldest;
}

std::vector<MemoryBudget::Expired> MemoryBudget::FindExpired(
    TimePoint now) const {
  std::vector<Expired> expired;
  const bool pressure =
      limits_.bytes > 0 && held_ + counted_elsewhere() > limits_.bytes / 2;
  for (const auto& [id, entry] : entries_) {
    const auto age = now - entry.phase_began;
    if (entry.phase == ConnectionPhase::kHead && age > limits_.head_timeout) {
      expired.push_back({id, CloseReason::kHeadTimeout});
    } else if (entry.phase == ConnectionPhase::kBody &&
               (now - entry.progressed > limits_.body_timeout ||
                (pressure && age > kSlowBodyAge &&
                 static_cast<double>(entry.held) <
                     kMinBodyBytesPerSecond * Seconds(age)))) {
      expired.push_back({id, CloseReason::kBodyTimeout});
    }
  }
  return expired;
}

}  // namespace mulberryroad::http
