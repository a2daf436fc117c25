#include "duties/usage_reporter.h"

#include <cstdlib>
#include <utility>
#include <variant>

#include "mulberryroad/store.pb.h"

namespace mulberryroad::duties {

namespace {

// Writer name that all nodes share, so that the store compares their epochs.
constexpr char kWriterName[] = "usage-reporter";

UsageByOrganisation FromRecord(const v1::UsageCount& record) {
  UsageByOrganisation counts;
  for (const auto& [organisation, count] : record.requests()) {
    counts[OrganisationId(organisation)] += count;
  }
  return counts;
}

}  // namespace

UsageReporter::UsageReporter(
    base::EventLoop& loop, const Clock& clock, base::StructuredLog& log,
    platform::PartitionStore& store, platform::DutyServices& services,
    int partitions, UsageTiming timing, std::string node, UsageCounts& counts,
    std::function<std::optional<std::uint64_t>()> epoch)
    : loop_(loop),
      clock_(clock),
      log_(log),
      store_(store),
      services_(services),
      partitions_(partitions),
      timing_(timing),
      node_(std::move(node)),
      counts_(counts),
      epoch_(std::move(epoch)) {}

UsageReporter::~UsageReporter() { *alive_ = false; }

void UsageReporter::Start() {
  flush_timer_ = loop_.Every(kFlushInterval, [this] { Flush(); });
  tick_timer_ = loop_.Every(kTickInterval, [this] { Tick(); });
}

void UsageReporter::Flush() {
  counts_.Expire(clock_.wall_now());
  for (auto& [window, record] : counts_.TakeChangedRecords()) {
    store_.Append(
        UsagePartition(window, partitions_), {std::move(record)}, {},
        kStoreTimeout,
        [this, alive = alive_,
         window = window](const platform::AppendOutcome& outcome) {
          if (*alive && !std::holds_alternative<platform::Appended>(outcome)) {
            counts_.MarkChanged(window);
          }
        });
  }
}

void UsageReporter::Tick() {
  // A lease that lapsed and was renewed under the same epoch keeps its writer:
  // a new one would reuse the sequence numbers of earlier appends.
  const auto epoch = epoch_();
  if (!epoch.has_value()) {
    return;
  }
  if (term_ == nullptr || term_->epoch != *epoch) {
    BeginTerm(*epoch);
    return;
  }
  if (term_->ended || !term_->loaded) {
    return;
  }
  const std::int64_t due =
      WindowAt(clock_.wall_now() - timing_.close_delay, timing_.window) - 1;
  for (std::int64_t window = due - kLookBackWindows; window <= due; ++window) {
    if (term_->reported.contains(window) ||
        term_->in_progress.contains(window)) {
      continue;
    }
    term_->in_progress.insert(window);
    if (term_->closed.contains(window)) {
      ReportWindow(term_, window);
    } else {
      CloseWindow(term_, window);
    }
  }
}

void UsageReporter::BeginTerm(std::uint64_t epoch) {
  if (term_ != nullptr) {
    term_->ended = true;
    term_->writer->Stop();
  }
  term_ = std::make_shared<Term>();
  term_->epoch = epoch;
  const std::weak_ptr<Term> weak = term_;
  term_->writer = std::make_shared<store::FencedWriter>(
      loop_, log_, store_,
      platform::PartitionId{kDutyTopic, kClosedWindowsPartition}, kWriterName,
      epoch,
      [this, alive = alive_, weak] {
        const auto term = weak.lock();
        if (*alive && term != nullptr) {
          // From here on the store rejects appends of earlier holders, so no
          // window that they closed is missed.
          LoadClosedWindows(term, {});
        }
      },
      [weak] {
        if (const auto term = weak.lock()) {
          term->ended = true;
        }
      });
  term_->writer->Start();
}

void UsageReporter::LoadClosedWindows(const std::shared_ptr<Term>& term,
                                      const std::string& after) {
  store_.ReadLatest(
      {kDutyTopic, kClosedWindowsPartition}, after, kStoreTimeout,
      [this, alive = alive_, term,
       after](const platform::NewestOutcome& outcome) {
        if (!*alive || term->ended) {
          return;
        }
        const auto* page = std::get_if<platform::LatestPage>(&outcome);
        if (page == nullptr) {
          LoadClosedWindows(term, after);
          return;
        }
        for (const platform::KeyedRecord& record : page->records) {
          v1::UsageCount counts;
          if (counts.ParseFromString(record.value.value_or(""))) {
            term->closed[std::strtoll(record.key.c_str(), nullptr, 10)] =
                FromRecord(counts);
          }
        }
        if (page->has_more && !page->records.empty()) {
          LoadClosedWindows(term, page->records.back().key);
        } else {
          term->loaded = true;
        }
      });
}

void UsageReporter::CloseWindow(const std::shared_ptr<Term>& term,
                                std::int64_t window) {
  const std::string prefix = UsageKeyPrefix(window);
  store_.ReadLatest(
      UsagePartition(window, partitions_), prefix, kStoreTimeout,
      [this, alive = alive_, term, window,
       prefix](const platform::NewestOutcome& outcome) {
        if (!*alive || term->ended) {
          return;
        }
        const auto* page = std::get_if<platform::LatestPage>(&outcome);
        if (page == nullptr) {
          term->in_progress.erase(window);
          return;
        }
        UsageByOrganisation total;
        std::vector<platform::KeyedRecord> deletions;
        for (const platform::KeyedRecord& record : page->records) {
          v1::UsageCount counts;
          if (!record.key.starts_with(prefix) ||
              !counts.ParseFromString(record.value.value_or(""))) {
            continue;
          }
          for (const auto& [organisation, count] : FromRecord(counts)) {
            total[organisation] += count;
          }
          deletions.push_back({record.key, std::nullopt});
        }
        v1::UsageCount closed;
        for (const auto& [organisation, count] : total) {
          (*closed.mutable_requests())[organisation.value()] = count;
        }
        // A window without requests needs a non-empty value: an empty one
        // would delete its key.
        (*closed.mutable_requests())[""] = 0;
        std::vector<platform::KeyedRecord> records = {
            {std::to_string(window), closed.SerializeAsString()},
            {std::to_string(window - 4 * kLookBackWindows), std::nullopt}};
        term->writer->Append(
            std::move(records), [this, alive, term, window, total,
                                 deletions = std::move(deletions)] {
              if (!*alive || term->ended) {
                return;
              }
              term->closed[window] = total;
              ReportWindow(term, window);
              if (!deletions.empty()) {
                store_.Append(UsagePartition(window, partitions_), deletions,
                              {}, kStoreTimeout,
                              [](const platform::AppendOutcome&) {});
              }
            });
      });
}

void UsageReporter::ReportWindow(const std::shared_ptr<Term>& term,
                                 std::int64_t window) {
  const auto epoch = epoch_();
  if (epoch != term->epoch) {
    term->in_progress.erase(window);
    return;
  }
  UsageByOrganisation counts = term->closed[window];
  counts.erase(OrganisationId());
  services_.ReportUsage(
      {node_, term->epoch,
       [this, epoch = term->epoch] { return epoch_() == epoch; }},
      window, counts,
      [this, alive = alive_, term,
       window](const platform::DutyOutcome& outcome) {
        if (!*alive || term->ended) {
          return;
        }
        term->in_progress.erase(window);
        log_.Write("usage.report",
                   {{"window", window},
                    {"epoch", static_cast<std::int64_t>(term->epoch)},
                    {"accepted",
                     std::holds_alternative<platform::DutyDone>(outcome)}});
        if (std::holds_alternative<platform::DutyDone>(outcome)) {
          term->reported.insert(window);
        } else if (std::holds_alternative<platform::DutyFenced>(outcome)) {
          term->ended = true;
          term->writer->Stop();
        }
      });
}

}  // namespace mulberryroad::duties
