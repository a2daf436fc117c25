#include "duties/usage_reporter.h"

#include <cstdlib>
#include <utility>
#include <variant>

#include "mulberryroad/store.pb.h"

namespace mulberryroad::duties {

namespace {

// Writer name that all nodes share, so that the store compares their epochs.
constexpr char kReporterName[] = "usage-reporter";

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
  tick_timer_ = loop_.Every(kTick, [this] { Tick(); });
}

void UsageReporter::Flush() {
  counts_.Expire(clock_.wall_now());
  for (auto& [window, record] : counts_.TakeChanged()) {
    store_.Append(
        UsagePartition(window, partitions_), {std::move(record)}, {}, kTimeout,
        [this, alive = alive_,
         window = window](const platform::AppendOutcome& outcome) {
          if (*alive && !std::holds_alternative<platform::Appended>(outcome)) {
            counts_.Restore(window);
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
    Begin(*epoch);
    return;
  }
  if (term_->over || !term_->loaded) {
    return;
  }
  const std::int64_t due =
      WindowAt(clock_.wall_now() - timing_.close_delay, timing_.window) - 1;
  for (std::int64_t window = due - kLookBack; window <= due; ++window) {
    if (term_->reported.contains(window) || term_->busy.contains(window)) {
      continue;
    }
    term_->busy.insert(window);
    if (term_->closed.contains(window)) {
      Report(term_, window);
    } else {
      Close(term_, window);
    }
  }
}

void UsageReporter::Begin(std::uint64_t epoch) {
  if (term_ != nullptr) {
    term_->over = true;
    term_->writer->Stop();
  }
  term_ = std::make_shared<Term>();
  term_->epoch = epoch;
  const std::weak_ptr<Term> weak = term_;
  term_->writer = std::make_shared<store::FencedWriter>(
      loop_, log_, store_,
      platform::PartitionId{kDutyTopic, kClosedWindowsPartition}, kReporterName,
      epoch,
      [this, alive = alive_, weak] {
        const auto term = weak.lock();
        if (*alive && term != nullptr) {
          // From here on the store rejects appends of earlier holders, so no
          // window that they closed is missed.
          LoadClosed(term, {});
        }
      },
      [weak] {
        if (const auto term = weak.lock()) {
          term->over = true;
        }
      });
  term_->writer->Start();
}

void UsageReporter::LoadClosed(const std::shared_ptr<Term>& term,
                               const std::string& after) {
  store_.ReadNewest(
      {kDutyTopic, kClosedWindowsPartition}, after, kTimeout,
      [this, alive = alive_, term,
       after](const platform::NewestOutcome& outcome) {
        if (!*alive || term->over) {
          return;
        }
        const auto* page = std::get_if<platform::NewestPage>(&outcome);
        if (page == nullptr) {
          LoadClosed(term, after);
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
          LoadClosed(term, page->records.back().key);
        } else {
          term->loaded = true;
        }
      });
}

void UsageReporter::Close(const std::shared_ptr<Term>& term,
                          std::int64_t window) {
  const std::string prefix = UsageKeyPrefix(window);
  store_.ReadNewest(
      UsagePartition(window, partitions_), prefix, kTimeout,
      [this, alive = alive_, term, window,
       prefix](const platform::NewestOutcome& outcome) {
        if (!*alive || term->over) {
          return;
        }
        const auto* page = std::get_if<platform::NewestPage>(&outcome);
        if (page == nullptr) {
          term->busy.erase(window);
          return;
        }
        UsageByOrganisation total;
        std::vector<platform::KeyedRecord> dropped;
        for (const platform::KeyedRecord& record : page->records) {
          v1::UsageCount counts;
          if (!record.key.starts_with(prefix) ||
              !counts.ParseFromString(record.value.value_or(""))) {
            continue;
          }
          for (const auto& [organisation, count] : FromRecord(counts)) {
            total[organisation] += count;
          }
          dropped.push_back({record.key, std::nullopt});
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
            {std::to_string(window - 4 * kLookBack), std::nullopt}};
        term->writer->Append(
            std::move(records),
            [this, alive, term, window, total, dropped = std::move(dropped)] {
              if (!*alive || term->over) {
                return;
              }
              term->closed[window] = total;
              Report(term, window);
              if (!dropped.empty()) {
                store_.Append(UsagePartition(window, partitions_), dropped, {},
                              kTimeout, [](const platform::AppendOutcome&) {});
              }
            });
      });
}

void UsageReporter::Report(const std::shared_ptr<Term>& term,
                           std::int64_t window) {
  const auto epoch = epoch_();
  if (epoch != term->epoch) {
    term->busy.erase(window);
    return;
  }
  UsageByOrganisation counts = term->closed[window];
  counts.erase(OrganisationId());
  services_.ReportUsage(
      {node_, term->epoch}, window, counts,
      [this, alive = alive_, term,
       window](const platform::DutyOutcome& outcome) {
        if (!*alive || term->over) {
          return;
        }
        term->busy.erase(window);
        log_.Write("usage.report",
                   {{"window", window},
                    {"epoch", static_cast<std::int64_t>(term->epoch)},
                    {"accepted",
                     std::holds_alternative<platform::DutyDone>(outcome)}});
        if (std::holds_alternative<platform::DutyDone>(outcome)) {
          term->reported.insert(window);
        } else if (std::holds_alternative<platform::DutyFenced>(outcome)) {
          term->over = true;
          term->writer->Stop();
        }
      });
}

}  // namespace mulberryroad::duties
