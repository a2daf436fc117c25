// Bounds what the connections of HTTP servers hold: shares one budget among the
// sessions of a process, and closes those that exceed it or are too slow.

#ifndef MULBERRYROAD_SRC_HTTP_CONNECTION_GUARD_H_
#define MULBERRYROAD_SRC_HTTP_CONNECTION_GUARD_H_

#include <cstddef>
#include <functional>
#include <map>

#include "base/event_loop.h"
#include "http/memory_budget.h"

namespace mulberryroad::http {

/// Shared by all servers of a process. Belongs to the event loop's thread.
class ConnectionGuard {
 public:
  using Id = MemoryBudget::Id;
  /// Called once for each connection that is closed or refused.
  using Report = std::function<void(CloseReason)>;
  /// Callbacks of a session. Open calls neither.
  struct Session {
    /// Closes the connection or refuses its request. May call Close.
    std::function<void(CloseReason)> close;
    /// Calls SetHeld with what the session holds now.
    std::function<void()> measure;
  };

  ConnectionGuard(base::EventLoop& loop, BudgetLimits limits, Report report);
  ConnectionGuard(const ConnectionGuard&) = delete;
  ConnectionGuard& operator=(const ConnectionGuard&) = delete;

  MemoryBudget& budget() { return budget_; }

  /// Adds a connection.
  /// @param protected_peer see MemoryBudget::Open
  Id Open(bool protected_peer, Session session);
  /// Removes a connection.
  void Close(Id id);
  void SetPhase(Id id, ConnectionPhase phase);
  /// Sets what a connection holds, and closes connections, perhaps this one,
  /// while the budget is exceeded.
  /// @param bytes what it holds besides its response
  /// @param unsent bytes of the response that the client has not taken
  void SetHeld(Id id, std::size_t bytes, std::size_t unsent);
  /// Sets the bytes that the process holds for other purposes, and closes
  /// connections while the budget is exceeded.
  /// @return see MemoryBudget::Reserve
  bool Reserve(std::size_t bytes);
  /// Sets the bytes of the responses that the process is receiving, and closes
  /// connections while the budget is exceeded.
  /// @return see MemoryBudget::ReserveForResponses
  bool ReserveForResponses(std::size_t bytes);
  /// @return see MemoryBudget::ReserveForOutputs
  bool ReserveForOutputs(std::size_t bytes);
  /// Closes connections, perhaps the newest one, while too many are open.
  void CloseExcess();
  /// Records that a connection was closed or its request refused.
  void Count(CloseReason reason) const { report_(reason); }

  static constexpr std::chrono::milliseconds kSweepInterval{250};

 private:
  /// Returns the bytes that the process holds.
  std::size_t held_bytes() const {
    return budget_.held() + budget_.reserved() + budget_.responses() +
           budget_.outputs();
  }
  void CloseVictims();
  void CloseFor(Id id, CloseReason reason);
  void Sweep();
  void TrimMemory();

  MemoryBudget budget_;
  Report report_;
  std::map<Id, Session> sessions_;
  /// Set while connections are closed, which calls SetHeld again.
  bool closing_ = false;
  /// Highest number of bytes held and reserved since freed memory was last
  /// returned.
  std::size_t peak_bytes_ = 0;
  base::Timer sweep_timer_;
};

}  // namespace mulberryroad::http

#endif  // MULBERRYROAD_SRC_HTTP_CONNECTION_GUARD_H_
