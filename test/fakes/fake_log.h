// Stand-in of the append-only log service.

#ifndef MULBERRYROAD_TEST_FAKES_FAKE_LOG_H_
#define MULBERRYROAD_TEST_FAKES_FAKE_LOG_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "base/event_loop.h"
#include "fakes/faulty_server.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/fakes.pb.h"

namespace mulberryroad::fakes {

class FakeLog {
 public:
  FakeLog(base::EventLoop& loop, const Clock& clock);

  /// Listens for all nodes.
  bool Listen(const Endpoint& endpoint);
  /// Listens for the nodes that control.second_outage cuts off.
  bool ListenSecond(const Endpoint& endpoint);
  v1::FakeLogControl& control() { return control_; }

 private:
  struct Entry {
    std::string record;
    Instant appended;
  };
  struct Stream {
    std::uint64_t first_offset = 0;
    std::deque<Entry> entries;
    v1::FakeLogStats::Stream figures;

    std::uint64_t next_offset() const { return first_offset + entries.size(); }
  };
  struct Waiter {
    std::string stream;
    std::uint64_t from = 0;
    std::uint32_t max = 0;
    std::shared_ptr<http::Exchange> exchange;
    FaultyServer* server = nullptr;
    base::Timer timer;
  };

  void AddRoutes(FaultyServer* server);
  Answer Append(const http::Request& request);
  void Read(FaultyServer* server,
            const std::shared_ptr<http::Exchange>& exchange);
  void AnswerPage(FaultyServer* server,
                  const std::shared_ptr<http::Exchange>& exchange,
                  const std::string& stream, std::uint64_t from,
                  std::uint32_t max);
  void Wake(const std::string& stream);
  bool WithinLimit();
  void Expire(Stream* stream);
  std::string Stats() const;

  base::EventLoop& loop_;
  const Clock& clock_;
  v1::FakeLogControl control_;
  v1::FakeFaults second_faults_;
  FaultyServer server_;
  FaultyServer second_;
  std::map<std::string, Stream> streams_;
  std::list<Waiter> waiters_;
  Instant limit_second_{};
  std::uint32_t appends_in_second_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_FAKE_LOG_H_
