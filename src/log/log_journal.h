// The journal over the platform's log service: one long-polling tail for each
// subscribed stream, and appends that are settled by reading them back.

#ifndef MULBERRYROAD_SRC_LOG_LOG_JOURNAL_H_
#define MULBERRYROAD_SRC_LOG_LOG_JOURNAL_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/event_loop.h"
#include "log/journal.h"
#include "log/stream_reader.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"
#include "platform/log_service.h"

namespace mulberryroad::log {

struct LogJournalOptions {
  /// How long a read waits for a new record; an idle log answers this often.
  std::chrono::milliseconds read_wait{2'000};
};

/// The callback of Append runs after the subscribers of the stream have had the
/// record. A gap in a stream is logged, and stops the stream until a snapshot
/// closes it.
class LogJournal final : public Journal {
 public:
  LogJournal(base::EventLoop& loop, const Clock& clock,
             platform::LogService& service, const NodeId& node,
             std::uint64_t incarnation, LogJournalOptions options = {});
  ~LogJournal() override;
  LogJournal(const LogJournal&) = delete;
  LogJournal& operator=(const LogJournal&) = delete;

  void Append(const std::string& stream, v1::Record record,
              std::chrono::milliseconds give_up_after,
              OnJournaled on_journaled) override;
  void Subscribe(const std::string& stream, OnRecord on_record) override;
  void Unsubscribe(const std::string& stream) override;
  bool caught_up(const std::string& stream) const override;
  std::chrono::milliseconds silence() const override;

  /// The gap that stops a stream, if there is one.
  std::optional<Gap> gap(const std::string& stream) const;
  /// Offset of the next record that subscribers of a stream will get.
  platform::Offset position(const std::string& stream) const;
  /// What was seen of each writer of a stream up to its position.
  const WriterTable* writers(const std::string& stream) const;
  /// Records appended by this node since its start, repeats included.
  std::uint64_t appends_sent() const;

 private:
  class Tail;
  class PendingAppend;
  struct Shared;

  std::shared_ptr<Shared> shared_;
  std::map<std::string, std::uint64_t> next_sequence_;
};

}  // namespace mulberryroad::log

#endif  // MULBERRYROAD_SRC_LOG_LOG_JOURNAL_H_
