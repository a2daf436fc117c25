// Appends snapshots of streams before their records expire.

#ifndef MULBERRYROAD_SRC_LOG_COMPACTOR_H_
#define MULBERRYROAD_SRC_LOG_COMPACTOR_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "lease/leases.h"
#include "log/live_records.h"
#include "log/log_journal.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::log {

/// Name of the role whose holder appends the snapshots.
inline constexpr char kCompactorRole[] = "compactor";

struct CompactorOptions {
  /// A stream gets a snapshot at this interval; well below the time for which
  /// the log keeps records.
  std::chrono::milliseconds interval{300'000};
};

/// Writes the state of a stream, after all records handed out so far, into a
/// snapshot.
using SaveState = std::function<void(v1::Snapshot*)>;
/// Returns the offsets of the records that a reader needs to come to the
/// present state.
using LiveOffsets = std::function<std::set<platform::Offset>()>;

/// A stream whose snapshots come from the holder of a role of its own, this
/// node at the moment.
struct LedStream {
  std::string stream;
  SaveState save;
};
/// Returns the streams that this node leads now and has read to their end.
using LedStreams = std::function<std::vector<LedStream>()>;

/// Strives for the role on every node. Two holders at once would be harmless:
/// each snapshot names the offset that it covers.
class Compactor {
 public:
  Compactor(base::EventLoop& loop, const Clock& clock, LogJournal& journal,
            lease::Leases& leases, CompactorOptions options);
  Compactor(const Compactor&) = delete;
  Compactor& operator=(const Compactor&) = delete;

  /// Adds a stream with a state of its own kind. This node must subscribe to
  /// it before.
  void Add(const std::string& stream, SaveState save);
  /// Adds a stream whose state is made of records. Subscribes to it.
  void AddRecords(const std::string& stream, LiveOffsets live);

  /// Adds streams that only the holders of their roles read. A stream gets a
  /// snapshot whenever this node begins to lead it, and then at the interval.
  void AddLed(LedStreams led);

  /// Gives the role up, for a graceful stop.
  void Stop();
  /// Number of snapshots that this node appended.
  std::uint64_t written() const { return written_; }

 private:
  struct Stream {
    SaveState save;
    std::shared_ptr<LiveRecords> records;
    LiveOffsets live;
    /// Live records at the last trim.
    std::size_t kept = 0;
    /// When a snapshot was last read or begun.
    std::optional<Instant> last;
    bool open = false;
  };

  void Watch(const std::string& stream);
  void Tick();
  void WriteLed();
  static void Trim(Stream* stream);
  bool Due(const std::string& name, const Stream& stream) const;
  void Write(const std::string& name, Stream* stream);
  void OnWritten(const std::string& name,
                 std::optional<platform::Offset> offset,
                 const std::string& reason);

  const Clock& clock_;
  LogJournal& journal_;
  lease::Leases& leases_;
  CompactorOptions options_;
  std::map<std::string, Stream> streams_;
  std::vector<LedStreams> led_sources_;
  std::map<std::string, Stream> led_;
  std::uint64_t written_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  base::Timer tick_;
};

}  // namespace mulberryroad::log

#endif  // MULBERRYROAD_SRC_LOG_COMPACTOR_H_
