// Budget of bytes and connections that the HTTP servers of a process share, and
// the rules that decide which connection is closed when it is used up.

#ifndef MULBERRYROAD_SRC_HTTP_MEMORY_BUDGET_H_
#define MULBERRYROAD_SRC_HTTP_MEMORY_BUDGET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace mulberryroad::http {

/// Why a connection is closed, or a request refused before its body is read.
enum class CloseReason {
  kNoMemory,
  kHeadTimeout,
  kBodyTimeout,
  kTooManyConnections,
  kBodyTooLarge,
  /// No route, no valid key, or refused by the owner of the server.
  kNotAdmitted,
  /// Not a request that the server can parse.
  kMalformed,
};
/// Returns the name of a reason for metrics and logs.
std::string_view ToString(CloseReason reason);

struct BudgetLimits {
  /// Bytes that connections and requests may hold; 0 for no limit.
  std::size_t bytes = 0;
  /// Open connections, and those to upstreams for the requests of callers that
  /// run; 0 for no limit.
  std::size_t connections = 0;
  /// Time from the first byte of a head to its end.
  std::chrono::milliseconds head_timeout{3'000};
  /// Time without a byte of an incomplete body.
  std::chrono::milliseconds body_timeout{30'000};

  bool enabled() const { return bytes > 0 || connections > 0; }
  /// Bytes that the process may reserve for other purposes than connections; 0
  /// for no limit.
  std::size_t max_reserved() const;
  /// Bytes that responses may hold while they are received; 0 for no limit.
  std::size_t max_responses() const;
  /// Bytes that outputs of items may hold between runs; 0 for no limit.
  std::size_t max_outputs() const;
};

/// Derives the limits from the memory and descriptors of the machine.
/// @param memory_mb 0 if not known: no limit of bytes
/// @param max_fds 0 if not known: no limit of connections
BudgetLimits LimitsFor(std::size_t memory_mb, std::size_t max_fds);

/// What a connection does at the moment.
enum class ConnectionPhase {
  /// Between requests, or the rest of a refused request is discarded.
  kIdle,
  /// Some bytes of a head were received.
  kHead,
  /// The head is complete, the body is not.
  kBody,
  /// The request was passed to its handler and has no complete response.
  kRunning,
  /// The response is complete, and some of it is not sent.
  kWriting,
};

/// Counts what connections hold. Performs no I/O and reads no clock.
class MemoryBudget {
 public:
  using Id = std::uint64_t;
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit MemoryBudget(BudgetLimits limits) : limits_(limits) {}

  const BudgetLimits& limits() const { return limits_; }
  void SetHeadTimeout(std::chrono::milliseconds timeout) {
    limits_.head_timeout = timeout;
  }

  /// Adds a connection.
  /// @param protected_peer whether the connection may use the share that
  ///     callers leave to peers and readiness checks, and is not closed for
  ///     others
  Id Open(bool protected_peer, TimePoint now);
  void Close(Id id);
  /// Sets what a connection does. Entering kHead or kBody starts its time.
  void SetPhase(Id id, ConnectionPhase phase, TimePoint now);
  /// Sets the bytes that a connection holds besides its response. An increase
  /// counts as progress.
  void SetHeld(Id id, std::size_t bytes, TimePoint now);
  /// Sets the bytes of a response that the client has not taken. A decrease
  /// counts as progress.
  void SetUnsent(Id id, std::size_t bytes, TimePoint now);

  /// Sets the bytes that the process holds for other purposes than connections.
  /// A share of them does not count against the connections.
  /// @return false if running requests leave no room for so many; the number
  ///     then stays as it was. A lower number is always accepted.
  bool Reserve(std::size_t bytes);

  /// Sets the bytes of the responses that the process is receiving. A share of
  /// them does not count against the connections.
  /// @return false if there are too many, or running requests leave no room for
  ///     so many; the number then stays as it was. A lower number is always
  ///     accepted.
  bool ReserveForResponses(std::size_t bytes);
  /// Sets the bytes of the outputs that the process keeps of responses received
  /// earlier. Outputs and responses together have one share that does not count
  /// against the connections.
  /// @return see ReserveForResponses
  bool ReserveForOutputs(std::size_t bytes);

  /// Returns whether a request that will hold so many bytes until its response
  /// fits beside the requests that run already. Incomplete bodies do not count,
  /// as they are closed for it.
  bool HasRoomFor(std::size_t bytes, bool protected_peer) const;
  /// Returns the connection to close while the budget is exceeded: the largest
  /// and slowest of those that no handler works on, or whose client does not
  /// read the response; nullopt if the budget is not exceeded or no such
  /// connection is left.
  std::optional<Id> NextVictim(TimePoint now) const;
  /// Returns whether too many connections are open. A caller's connection whose
  /// request runs counts twice, as the request needs one to an upstream.
  bool HasExcessConnections() const;
  /// Returns the connection to close while too many are open: the one that has
  /// been without a complete request for the longest time; nullopt if there is
  /// none.
  std::optional<Id> NextExcessConnection() const;

  struct Expired {
    Id id;
    CloseReason reason;
  };
  /// Returns connections whose head or body made no progress in time.
  std::vector<Expired> FindExpired(TimePoint now) const;

  std::size_t held() const { return held_; }
  std::size_t reserved() const { return reserved_; }
  /// Bytes of responses that are being received.
  std::size_t responses() const { return responses_; }
  /// Bytes of outputs that are kept.
  std::size_t outputs() const { return outputs_; }
  std::size_t connections() const { return entries_.size(); }

 private:
  struct Entry {
    bool protected_peer = false;
    ConnectionPhase phase = ConnectionPhase::kIdle;
    std::size_t held = 0;
    std::size_t unsent = 0;
    TimePoint phase_began;
    TimePoint progressed;

    std::size_t total() const { return held + unsent; }
    /// Bytes that count in the choice of a connection to close. A request that
    /// runs is closed for the response that its client does not read alone.
    std::size_t closable() const {
      return phase == ConnectionPhase::kRunning ? unsent : total();
    }
  };

  /// Returns the part of reserved bytes that counts against the connections.
  std::size_t Counted(std::size_t reserved) const;
  /// Returns the bytes that count against the connections besides their own.
  std::size_t counted_elsewhere() const {
    return Counted(reserved_) + Counted(responses_ + outputs_);
  }
  /// Add an entry to the sums, or take it out of them.
  void Add(const Entry& entry);
  void Remove(const Entry& entry);

  BudgetLimits limits_;
  std::map<Id, Entry> entries_;
  /// Bytes of all connections, with their responses.
  std::size_t held_ = 0;
  /// Part of held_ in phase kRunning.
  std::size_t running_ = 0;
  std::size_t reserved_ = 0;
  std::size_t responses_ = 0;
  std::size_t outputs_ = 0;
  std::size_t callers_ = 0;
  /// Part of callers_ in phase kRunning.
  std::size_t running_callers_ = 0;
  Id last_id_ = 0;
};

}  // namespace mulberryroad::http

#endif  // MULBERRYROAD_SRC_HTTP_MEMORY_BUDGET_H_
