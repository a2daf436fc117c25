// Follows one keyed partition of the store: its newest records first, then
// each record as it comes.

#ifndef MULBERRYROAD_SRC_STORE_KEYED_TAIL_H_
#define MULBERRYROAD_SRC_STORE_KEYED_TAIL_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "base/structured_log.h"
#include "mulberryroad/clock.h"
#include "platform/partition_store.h"

namespace mulberryroad::store {

struct TailTiming {
  /// How long a read waits at the store: often enough to notice a connection
  /// that went silent within two seconds.
  std::chrono::milliseconds wait{1'000};
  /// Beyond the wait, how long an answer may take: twenty times the usual, so
  /// that a slow store is still read.
  std::chrono::milliseconds patience{800};
  /// Pause between two reads that brought records, which gathers them.
  std::chrono::milliseconds pace{0};
  /// Pause after a failed read.
  std::chrono::milliseconds retry{100};
  /// After a failure reads do not wait at the store and are given up after this
  /// time, so that its return is noticed soon; a store that is sixty times
  /// slower than usual answers in 240 ms.
  std::chrono::milliseconds probe_timeout{400};
};

/// Receives what a tail reads.
struct TailHandler {
  /// All keys with their newest records: first, and after history was lost.
  std::function<void(std::vector<platform::KeyedRecord>)> on_snapshot;
  /// One later record.
  std::function<void(const platform::KeyedRecord&)> on_record;
  /// The end of a page of later records.
  std::function<void()> on_page_end;
  /// An answered call, by when it was sent.
  std::function<void(Instant)> on_contact;
};

/// Reads until it is stopped or destroyed.
class KeyedTail : public std::enable_shared_from_this<KeyedTail> {
 public:
  KeyedTail(base::EventLoop& loop, const Clock& clock, base::StructuredLog& log,
            platform::PartitionStore& store, platform::PartitionId partition,
            TailTiming timing, TailHandler handler);

  void Start();
  void Stop();

  /// True once the newest records were read.
  bool caught_up() const { return caught_up_; }
  /// When the last answered call was sent; nullopt before the first.
  std::optional<Instant> last_contact() const { return last_contact_; }
  /// When the last call failed; nullopt if none did.
  std::optional<Instant> last_failure() const { return last_failure_; }
  /// True from a failed call to the next answered one.
  bool failing() const { return failing_since_.has_value(); }
  /// When the first call failed since the last answered one; nullopt if none
  /// did.
  std::optional<Instant> failing_since() const { return failing_since_; }
  /// Offset behind the last record read.
  platform::Offset position() const { return position_; }

 private:
  void LoadPage(const std::string& after);
  void OnNewest(Instant sent, platform::NewestOutcome outcome);
  std::chrono::milliseconds ReadTimeout(std::chrono::milliseconds wait) const;
  void Follow();
  void OnRead(Instant sent, const platform::ReadOutcome& outcome);
  void Answered(Instant sent);
  void Failed(const std::string& reason, std::function<void()> retry);
  void After(std::chrono::milliseconds delay, std::function<void()> step);

  base::EventLoop& loop_;
  const Clock& clock_;
  base::StructuredLog& log_;
  platform::PartitionStore& store_;
  platform::PartitionId partition_;
  TailTiming timing_;
  TailHandler handler_;
  bool stopped_ = false;
  bool caught_up_ = false;
  std::optional<platform::Offset> load_end_;
  std::vector<platform::KeyedRecord> loaded_;
  platform::Offset position_ = 0;
  std::optional<Instant> last_contact_;
  std::optional<Instant> last_failure_;
  std::optional<Instant> failing_since_;
  base::Timer timer_;
};

}  // namespace mulberryroad::store

#endif  // MULBERRYROAD_SRC_STORE_KEYED_TAIL_H_
