// Bounds what the connections of HTTP servers hold: judges requests by their
// head before evhttp reads the body, counts bytes as they arrive, and closes
// connections when the budget of the process is used up.

#ifndef MULBERRYROAD_SRC_HTTP_CONNECTION_GUARD_H_
#define MULBERRYROAD_SRC_HTTP_CONNECTION_GUARD_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/event_loop.h"
#include "http/memory_budget.h"
#include "http/server.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;

namespace mulberryroad::http {

/// Counts the content of a chunked body without storing it.
class ChunkCounter {
 public:
  void Add(std::string_view bytes);
  /// Bytes of content so far, without the framing.
  std::size_t content() const { return content_; }

 private:
  enum class State { kSize, kExtension, kContent, kEnd };

  State state_ = State::kSize;
  std::size_t chunk_left_ = 0;
  std::size_t content_ = 0;
};

/// Shared by all servers of a process. Belongs to the event loop's thread.
class ConnectionGuard {
 public:
  using Id = MemoryBudget::Id;
  /// Called once for each connection that is closed or refused.
  using Report = std::function<void(CloseReason)>;

  ConnectionGuard(base::EventLoop& loop, BudgetLimits limits, Report report);
  ~ConnectionGuard();
  ConnectionGuard(const ConnectionGuard&) = delete;
  ConnectionGuard& operator=(const ConnectionGuard&) = delete;

  MemoryBudget& budget() { return budget_; }

  /// Creates the stream of a connection that a server accepts.
  /// @param check judges requests whose body is not complete; outlives the
  ///     connection
  bufferevent* CreateStream(const HeadCheck& check, bool protected_peer);
  /// Records that a request was passed to its handler.
  Id OnRequest(evhttp_connection* connection, std::size_t body_bytes);
  /// Records that an exchange ended or its response was passed to evhttp.
  void OnExchangeEnded(Id id);
  /// Forgets a connection that evhttp closes.
  void OnClosed(evhttp_connection* connection);
  /// Makes evhttp call OnClosed.
  void WatchClose(evhttp_connection* connection);

  /// Time for which what a refused client still sends is read and discarded,
  /// so that it can read the response.
  static constexpr std::chrono::milliseconds kLingerTime{1'000};
  static constexpr std::chrono::milliseconds kSweepInterval{250};

 private:
  struct Connection;
  struct Head;

  static void OnInput(evbuffer* buffer, const evbuffer_cb_info* info,
                      void* argument);
  void OnBytes(Connection& connection, evbuffer* buffer, std::size_t added);
  void OnHeadBytes(Connection& connection, std::string bytes);
  void OnBodyBytes(Connection& connection, std::string_view bytes);
  void Watch(Connection& connection);
  void UpdateHeld(Connection& connection);
  void SetPhase(Connection& connection, ConnectionPhase phase);
  void Enforce();
  void Refuse(Connection& connection, const HeadVerdict& verdict,
              CloseReason reason);
  void CloseFor(Id id, CloseReason reason);
  void Sweep();
  void TrimMemory();
  Connection* Find(Id id);
  Connection* Find(evhttp_connection* connection);

  base::EventLoop& loop_;
  MemoryBudget budget_;
  Report report_;
  std::map<const bufferevent*, std::unique_ptr<Connection>> connections_;
  std::map<Id, Connection*> by_id_;
  /// Highest number of bytes held since freed memory was last returned.
  std::size_t peak_held_ = 0;
  base::Timer sweep_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::http

#endif  // MULBERRYROAD_SRC_HTTP_CONNECTION_GUARD_H_
