// The log service in memory, with its faults: outages, lost answers, delays
// and retention.

#ifndef MULBERRYROAD_TEST_FAKES_MEMORY_LOG_H_
#define MULBERRYROAD_TEST_FAKES_MEMORY_LOG_H_

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/event_loop.h"
#include "platform/log_service.h"

namespace mulberryroad::fakes {

/// One instance may serve several nodes of a test.
class MemoryLog final : public platform::LogService {
 public:
  enum class Fault {
    kNone,
    /// The append has no effect and is refused.
    kRefuse,
    /// The append has no effect and no answer.
    kLoseBefore,
    /// The append has its effect but no answer.
    kLoseAfter,
  };

  explicit MemoryLog(base::EventLoop& loop) : loop_(loop) {}

  /// Fault of the next appends, one each.
  void FailNextAppends(std::vector<Fault> faults) {
    faults_.insert(faults_.end(), faults.begin(), faults.end());
  }
  /// While down, every call fails.
  void SetDown(bool down) { down_ = down; }
  /// Delays every answer.
  void SetDelay(std::chrono::milliseconds delay) { delay_ = delay; }
  /// Drops the records below an offset.
  void Retain(const std::string& stream, platform::Offset from) {
    Stream& kept = streams_[stream];
    while (kept.first < from && !kept.records.empty()) {
      kept.records.pop_front();
      ++kept.first;
    }
  }
  /// Number of records that a stream ever got.
  platform::Offset end(const std::string& stream) {
    return streams_[stream].end();
  }
  /// Appends without any fault.
  platform::Offset Put(const std::string& stream, std::string record) {
    Stream& target = streams_[stream];
    target.records.push_back(std::move(record));
    Wake(stream);
    return target.end() - 1;
  }

  void Append(const std::string& stream, std::string record,
              std::chrono::milliseconds timeout,
              platform::OnAppended on_appended) override {
    const Fault fault = NextFault();
    if (down_ || fault == Fault::kRefuse) {
      return Fail(delay_, Verdict::kNotRun, std::move(on_appended));
    }
    if (fault == Fault::kLoseBefore) {
      return Fail(timeout, Verdict::kMayHaveRun, std::move(on_appended));
    }
    const platform::Offset offset = Put(stream, std::move(record));
    if (fault == Fault::kLoseAfter) {
      return Fail(timeout, Verdict::kMayHaveRun, std::move(on_appended));
    }
    Later(delay_, [on_appended = std::move(on_appended), offset] {
      on_appended(platform::LogPosition{offset});
    });
  }

  void Read(const std::string& stream, platform::Offset from,
            std::uint32_t max_records, std::chrono::milliseconds wait,
            platform::OnPage on_page) override {
    if (down_) {
      return Fail(delay_, Verdict::kNotRun, std::move(on_page));
    }
    const auto reader =
        std::make_shared<Reader>(Reader{from, max_records, std::move(on_page)});
    if (streams_[stream].end() > from || wait.count() == 0) {
      return Later(delay_, [this, stream, reader] { Serve(stream, *reader); });
    }
    streams_[stream].waiting.push_back(reader);
    Later(wait, [this, stream, reader] { Serve(stream, *reader); });
  }

 private:
  struct Reader {
    platform::Offset from;
    std::uint32_t max_records;
    platform::OnPage on_page;
  };
  struct Stream {
    platform::Offset first = 0;
    std::deque<std::string> records;
    std::vector<std::shared_ptr<Reader>> waiting;

    platform::Offset end() const { return first + records.size(); }
  };

  Fault NextFault() {
    if (faults_.empty()) {
      return Fault::kNone;
    }
    const Fault fault = faults_.front();
    faults_.pop_front();
    return fault;
  }

  void Later(std::chrono::milliseconds delay, std::function<void()> run) {
    const auto timer = std::make_shared<base::Timer>();
    timers_.push_back(timer);
    *timer = loop_.After(delay, [this, key = timer.get(), run] {
      std::erase_if(timers_, [key](const auto& t) { return t.get() == key; });
      run();
    });
  }

  template <typename Callback>
  void Fail(std::chrono::milliseconds delay, Verdict verdict,
            Callback callback) {
    Later(delay, [verdict, callback = std::move(callback)] {
      callback(platform::PlatformFailure{verdict, "the log service is down"});
    });
  }

  void Wake(const std::string& stream) {
    const auto waiting = std::exchange(streams_[stream].waiting, {});
    for (const auto& reader : waiting) {
      Later(delay_, [this, stream, reader] { Serve(stream, *reader); });
    }
  }

  void Serve(const std::string& stream, Reader& reader) {
    if (!reader.on_page) {
      return;
    }
    const platform::OnPage on_page = std::exchange(reader.on_page, nullptr);
    if (down_) {
      on_page(platform::PlatformFailure{Verdict::kNotRun, "down"});
      return;
    }
    const Stream& source = streams_[stream];
    platform::LogPage page;
    page.first_offset = source.first;
    page.next_offset = source.end();
    page.records_from = std::max(reader.from, source.first);
    for (platform::Offset offset = page.records_from;
         offset < source.end() && page.records.size() < reader.max_records;
         ++offset) {
      page.records.push_back(source.records[offset - source.first]);
    }
    on_page(std::move(page));
  }

  base::EventLoop& loop_;
  std::map<std::string, Stream> streams_;
  std::deque<Fault> faults_;
  std::vector<std::shared_ptr<base::Timer>> timers_;
  bool down_ = false;
  std::chrono::milliseconds delay_{0};
};

/// One node's connection to a log service, which can be cut.
class LogLink final : public platform::LogService {
 public:
  LogLink(base::EventLoop& loop, platform::LogService& log)
      : loop_(loop), log_(log) {}

  void SetCut(bool cut) { *cut_ = cut; }

  void Append(const std::string& stream, std::string record,
              std::chrono::milliseconds timeout,
              platform::OnAppended on_appended) override {
    if (*cut_) {
      return Fail(std::move(on_appended));
    }
    log_.Append(stream, std::move(record), timeout,
                Through(std::move(on_appended)));
  }
  void Read(const std::string& stream, platform::Offset from,
            std::uint32_t max_records, std::chrono::milliseconds wait,
            platform::OnPage on_page) override {
    if (*cut_) {
      return Fail(std::move(on_page));
    }
    log_.Read(stream, from, max_records, wait, Through(std::move(on_page)));
  }

 private:
  // An answer that comes while the link is cut is lost.
  template <typename Callback>
  Callback Through(Callback callback) {
    return [cut = cut_, callback = std::move(callback)](auto result) {
      if (*cut) {
        result = platform::PlatformFailure{Verdict::kMayHaveRun, "cut off"};
      }
      callback(std::move(result));
    };
  }

  template <typename Callback>
  void Fail(Callback callback) {
    loop_.Post([callback = std::move(callback)] {
      callback(platform::PlatformFailure{Verdict::kNotRun, "cut off"});
    });
  }

  base::EventLoop& loop_;
  platform::LogService& log_;
  std::shared_ptr<bool> cut_ = std::make_shared<bool>(false);
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_MEMORY_LOG_H_
