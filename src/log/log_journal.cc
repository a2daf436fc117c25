#include "log/log_journal.h"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

#include "base/decision_log.h"
#include "base/digest.h"

namespace mulberryroad::log {

namespace {

constexpr std::uint32_t kPageRecords = 512;
constexpr std::chrono::milliseconds kFirstReadBackoff{100};
constexpr std::chrono::milliseconds kMaxReadBackoff{1'000};
constexpr std::chrono::milliseconds kGapRetry{1'000};
constexpr std::chrono::milliseconds kCatchUpPause{20};
constexpr std::chrono::milliseconds kAttemptTimeout{2'000};
constexpr std::chrono::milliseconds kFirstAppendBackoff{200};
constexpr std::chrono::milliseconds kMaxAppendBackoff{2'000};

using platform::PlatformFailure;

}  // namespace

struct LogJournal::Shared {
  base::EventLoop& loop;
  const Clock& clock;
  platform::LogService& service;
  std::string writer;
  std::mt19937_64 random;
  Instant last_answer;
  std::chrono::milliseconds read_wait;
  std::uint64_t appends_sent = 0;
  std::map<std::string, std::shared_ptr<Tail>> tails{};
  std::map<std::string, std::map<std::uint64_t, std::shared_ptr<PendingAppend>>>
      pending{};
  std::vector<std::shared_ptr<Tail>> catching_up{};

  /// Returns a duration between half of `full` and `full`.
  std::chrono::milliseconds Jitter(std::chrono::milliseconds full) {
    std::uniform_int_distribution<std::int64_t> pick(full.count() / 2,
                                                     full.count());
    return std::chrono::milliseconds(pick(random));
  }
};

/// An append that was not read back yet.
class LogJournal::PendingAppend final
    : public std::enable_shared_from_this<PendingAppend> {
 public:
  PendingAppend(std::shared_ptr<Shared> shared, std::string stream,
                v1::Record record, OnJournaled on_journaled)
      : shared_(std::move(shared)),
        stream_(std::move(stream)),
        sequence_(record.sequence()),
        bytes_(record.SerializeAsString()),
        on_journaled_(std::move(on_journaled)) {}

  void Start(std::chrono::milliseconds give_up_after) {
    shared_->pending[stream_][sequence_] = shared_from_this();
    give_up_ = shared_->loop.After(give_up_after,
                                   [self = weak_from_this()] { GiveUp(self); });
    Attempt();
  }

  void Settle(std::optional<platform::Offset> offset,
              const std::string& reason) {
    if (!on_journaled_) {
      return;
    }
    const OnJournaled done = std::exchange(on_journaled_, nullptr);
    give_up_.Cancel();
    retry_.Cancel();
    const std::shared_ptr<PendingAppend> keep = shared_from_this();
    shared_->pending[stream_].erase(sequence_);
    done(offset, reason);
  }

 private:
  static void GiveUp(const std::weak_ptr<PendingAppend>& self) {
    if (const auto append = self.lock()) {
      append->Settle(std::nullopt, append->reason_);
    }
  }

  void Attempt() {
    ++shared_->appends_sent;
    shared_->service.Append(
        stream_, bytes_, kAttemptTimeout,
        [self = weak_from_this()](const std::variant<platform::LogPosition,
                                                     PlatformFailure>& result) {
          if (const auto append = self.lock()) {
            append->TakeAnswer(result);
          }
        });
  }

  // An answer is not the end: the tail settles the append when it reads it.
  void TakeAnswer(
      const std::variant<platform::LogPosition, PlatformFailure>& result) {
    const auto* failure = std::get_if<PlatformFailure>(&result);
    if (!on_journaled_ || failure == nullptr) {
      reason_ = "the record was appended but not read back in time";
      return;
    }
    reason_ = failure->reason;
    retry_ = shared_->loop.After(shared_->Jitter(backoff_),
                                 [self = weak_from_this()] {
                                   if (const auto append = self.lock()) {
                                     append->Attempt();
                                   }
                                 });
    backoff_ = std::min(backoff_ * 2, kMaxAppendBackoff);
  }

  std::shared_ptr<Shared> shared_;
  std::string stream_;
  std::uint64_t sequence_;
  std::string bytes_;
  OnJournaled on_journaled_;
  std::string reason_ = "the log service did not answer in time";
  std::chrono::milliseconds backoff_ = kFirstAppendBackoff;
  base::Timer give_up_;
  base::Timer retry_;
};

/// Reads one stream for a list of subscribers.
class LogJournal::Tail final : public std::enable_shared_from_this<Tail> {
 public:
  Tail(std::shared_ptr<Shared> shared, std::string stream)
      : shared_(std::move(shared)), stream_(std::move(stream)) {}

  /// Reads for one late subscriber until it has what the main tail has.
  void Follow(std::shared_ptr<Tail> main) { main_ = std::move(main); }
  void Add(OnRecord on_record) { handlers_.push_back(std::move(on_record)); }
  void Start() { Read(std::chrono::milliseconds(0)); }
  void Stop() {
    stopped_ = true;
    timer_.Cancel();
  }
  bool untouched() const { return !took_page_; }
  const std::string& stream() const { return stream_; }
  const StreamReader& reader() const { return reader_; }

 private:
  using PageResult = std::variant<platform::LogPage, PlatformFailure>;

  void Read(std::chrono::milliseconds wait) {
    shared_->service.Read(stream_, reader_.position(), kPageRecords, wait,
                          [self = weak_from_this()](const PageResult& result) {
                            const auto tail = self.lock();
                            if (tail != nullptr && !tail->stopped_) {
                              tail->TakeResult(result);
                            }
                          });
  }

  void ReadAfter(std::chrono::milliseconds delay) {
    timer_ = shared_->loop.After(delay, [self = weak_from_this()] {
      if (const auto tail = self.lock()) {
        tail->Read(std::chrono::milliseconds(0));
      }
    });
  }

  void TakeResult(const PageResult& result) {
    const auto* page = std::get_if<platform::LogPage>(&result);
    if (page == nullptr) {
      ReadAfter(shared_->Jitter(backoff_));
      backoff_ = std::min(backoff_ * 2, kMaxReadBackoff);
      return;
    }
    backoff_ = kFirstReadBackoff;
    shared_->last_answer = shared_->clock.now();
    took_page_ = true;
    TakePage(*page);
    if (!stopped_) {
      Continue(*page);
    }
  }

  void TakePage(const platform::LogPage& page) {
    std::optional<platform::Offset> limit;
    if (main_ != nullptr) {
      limit = main_->reader_.delivered_to();
    }
    for (const ReadEvent& event : reader_.Take(page, limit)) {
      std::visit([this](const auto& kind) { Handle(kind); }, event);
      if (stopped_) {
        return;
      }
    }
  }

  void Continue(const platform::LogPage& page) {
    if (main_ != nullptr &&
        reader_.delivered_to() == main_->reader_.delivered_to()) {
      Join();
    } else if (reader_.gap().has_value()) {
      ReadAfter(kGapRetry);
    } else if (main_ != nullptr && reader_.position() < page.next_offset) {
      ReadAfter(kCatchUpPause);
    } else {
      Read(main_ == nullptr ? shared_->read_wait
                            : std::chrono::milliseconds(0));
    }
  }

  void Join() {
    for (OnRecord& handler : handlers_) {
      main_->Add(std::move(handler));
    }
    Stop();
    std::erase(shared_->catching_up, shared_from_this());
  }

  void Handle(const Deliver& event) {
    for (std::size_t i = 0; i < handlers_.size() && !stopped_; ++i) {
      const OnRecord handler = handlers_[i];
      handler(event.offset, event.record);
    }
    if (main_ != nullptr || event.record.writer() != shared_->writer) {
      return;
    }
    const auto& pending = shared_->pending[stream_];
    const auto found = pending.find(event.record.sequence());
    if (found != pending.end()) {
      const std::shared_ptr<PendingAppend> append = found->second;
      append->Settle(event.offset, "");
    }
  }

  void Handle(const Gap& gap) {
    base::LogError("log-gap", "stream " + stream_ + " expected offset " +
                                  std::to_string(gap.expected) +
                                  " but retains only from " +
                                  std::to_string(gap.first_retained) +
                                  " and has no usable snapshot");
  }

  void Handle(const Unreadable& event) {
    base::LogError("log-unreadable", "stream " + stream_ + " offset " +
                                         std::to_string(event.offset));
  }

  std::shared_ptr<Shared> shared_;
  std::string stream_;
  StreamReader reader_;
  std::vector<OnRecord> handlers_;
  std::shared_ptr<Tail> main_;
  std::chrono::milliseconds backoff_ = kFirstReadBackoff;
  base::Timer timer_;
  bool took_page_ = false;
  bool stopped_ = false;
};

LogJournal::LogJournal(base::EventLoop& loop, const Clock& clock,
                       platform::LogService& service, const NodeId& node,
                       std::uint64_t incarnation, LogJournalOptions options) {
  const std::string writer = node.value() + "#" + std::to_string(incarnation);
  shared_ = std::make_shared<Shared>(Shared{
      loop, clock, service, writer, std::mt19937_64(base::StableHash(writer)),
      clock.now(), options.read_wait});
}

LogJournal::~LogJournal() {
  for (const auto& [stream, tail] : shared_->tails) {
    tail->Stop();
  }
  for (const auto& tail : shared_->catching_up) {
    tail->Stop();
  }
  shared_->tails.clear();
  shared_->catching_up.clear();
  shared_->pending.clear();
}

void LogJournal::Append(const std::string& stream, v1::Record record,
                        std::chrono::milliseconds give_up_after,
                        OnJournaled on_journaled) {
  if (!shared_->tails.contains(stream)) {
    shared_->loop.Post([on_journaled = std::move(on_journaled), stream] {
      on_journaled(std::nullopt, "stream " + stream + " is not subscribed");
    });
    return;
  }
  record.set_writer(shared_->writer);
  record.set_sequence(next_sequence_[stream]++);
  std::make_shared<PendingAppend>(shared_, stream, std::move(record),
                                  std::move(on_journaled))
      ->Start(give_up_after);
}

void LogJournal::Subscribe(const std::string& stream, OnRecord on_record) {
  std::shared_ptr<Tail>& main = shared_->tails[stream];
  if (main != nullptr && main->untouched()) {
    main->Add(std::move(on_record));
    return;
  }
  const auto tail = std::make_shared<Tail>(shared_, stream);
  tail->Add(std::move(on_record));
  if (main == nullptr) {
    main = tail;
  } else {
    tail->Follow(main);
    shared_->catching_up.push_back(tail);
  }
  tail->Start();
}

void LogJournal::Unsubscribe(const std::string& stream) {
  const auto found = shared_->tails.find(stream);
  if (found == shared_->tails.end()) {
    return;
  }
  found->second->Stop();
  shared_->tails.erase(found);
  std::erase_if(shared_->catching_up, [&stream](const auto& tail) {
    if (tail->stream() != stream) {
      return false;
    }
    tail->Stop();
    return true;
  });
  const auto pending = std::move(shared_->pending[stream]);
  shared_->pending.erase(stream);
  for (const auto& [sequence, append] : pending) {
    append->Settle(std::nullopt, "stream " + stream + " was unsubscribed");
  }
}

bool LogJournal::caught_up(const std::string& stream) const {
  const auto found = shared_->tails.find(stream);
  return found != shared_->tails.end() && found->second->reader().caught_up();
}

std::chrono::milliseconds LogJournal::silence() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      shared_->clock.now() - shared_->last_answer);
}

std::optional<Gap> LogJournal::gap(const std::string& stream) const {
  const auto found = shared_->tails.find(stream);
  if (found == shared_->tails.end()) {
    return std::nullopt;
  }
  return found->second->reader().gap();
}

platform::Offset LogJournal::position(const std::string& stream) const {
  const auto found = shared_->tails.find(stream);
  return found == shared_->tails.end() ? 0
                                       : found->second->reader().delivered_to();
}

const WriterTable* LogJournal::writers(const std::string& stream) const {
  const auto found = shared_->tails.find(stream);
  return found == shared_->tails.end() ? nullptr
                                       : &found->second->reader().writers();
}

std::uint64_t LogJournal::appends_sent() const { return shared_->appends_sent; }

}  // namespace mulberryroad::log
