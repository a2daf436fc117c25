#include "billing/window_book.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mulberryroad::billing {

namespace {

Usage UsageOf(const v1::UsageCounter& counter) {
  return {counter.requests(), counter.prompt_tokens(),
          counter.generated_tokens()};
}

/// Returns by how much `now` exceeds `before`, zero where it does not.
Usage GrowthOver(const Usage& before, const Usage& now) {
  const auto above = [](std::uint64_t low, std::uint64_t high) {
    return high > low ? high - low : 0;
  };
  return {above(before.requests, now.requests),
          above(before.prompt_tokens, now.prompt_tokens),
          above(before.generated_tokens, now.generated_tokens)};
}

bool IsZero(const Usage& usage) {
  return usage.requests == 0 && usage.prompt_tokens == 0 &&
         usage.generated_tokens == 0;
}

void AddTo(Usage& sum, const Usage& usage) {
  sum.requests += usage.requests;
  sum.prompt_tokens += usage.prompt_tokens;
  sum.generated_tokens += usage.generated_tokens;
}

}  // namespace

CounterKey KeyOf(const v1::UsageCounter& counter) {
  return {counter.node_id(), counter.incarnation(), counter.window(),
          counter.organisation()};
}

bool ClosedWindow::complete() const {
  const auto& figures = close.figures();
  return std::all_of(figures.begin(), figures.end(),
                     [this](const v1::UsageFigures& figure) {
                       return reported.contains(figure.organisation());
                     });
}

WindowBook::WindowBook(WindowBookOptions options) : options_(options) {}

CloseVerdict WindowBook::OnRecord(platform::Offset offset,
                                  const v1::Record& record) {
  if (record.has_snapshot()) {
    FoldSnapshot(offset, record.snapshot());
    return CloseVerdict::kNotAClose;
  }
  AgeGrowth(offset);
  CloseVerdict verdict = CloseVerdict::kNotAClose;
  if (record.has_usage_append()) {
    FoldUsage(offset, record.usage_append());
  } else if (record.has_window_close()) {
    verdict = FoldClose(offset, record.window_close());
  } else if (record.has_window_reported()) {
    FoldReported(offset, record.window_reported());
  }
  last_offset_ = std::max(last_offset_.value_or(offset), offset);
  return verdict;
}

void WindowBook::FoldSnapshot(platform::Offset offset,
                              const v1::Snapshot& snapshot) {
  if (snapshot.covered_offset() == offset) {
    *this = WindowBook(options_);
  }
  last_offset_ = offset;
}

void WindowBook::FoldUsage(platform::Offset offset,
                           const v1::UsageAppend& append) {
  bool grew = false;
  for (const v1::UsageCounter& counter : append.counters()) {
    Total& total = totals_[KeyOf(counter)];
    const Usage growth = GrowthOver(total.highest, UsageOf(counter));
    total.last_offset = offset;
    if (IsZero(growth)) {
      continue;
    }
    grew = true;
    AddTo(total.highest, growth);
    if (!options_.late_usage_moves_on && last_closed_ &&
        counter.window() <= *last_closed_) {
      continue;
    }
    recent_growth_.push_back(
        {offset, counter.window(), counter.organisation(), growth});
  }
  if (grew) {
    const auto& counters = append.counters();
    recent_.push_back({offset, {counters.begin(), counters.end()}});
  }
}

CloseVerdict WindowBook::FoldClose(platform::Offset offset,
                                   const v1::WindowClose& close) {
  const CloseVerdict verdict = Judge(offset, close);
  if (close.epoch() > highest_epoch_ || verdict == CloseVerdict::kValid) {
    highest_epoch_ = std::max(highest_epoch_, close.epoch());
    highest_epoch_offset_ = offset;
  }
  if (verdict == CloseVerdict::kValid) {
    Accept(offset, close);
  } else {
    ++void_closes_;
  }
  return verdict;
}

CloseVerdict WindowBook::Judge(platform::Offset offset,
                               const v1::WindowClose& close) const {
  if (options_.check_epoch && close.epoch() < highest_epoch_) {
    return CloseVerdict::kVoidOldEpoch;
  }
  if (options_.first_close_wins && last_closed_ &&
      close.window() <= *last_closed_) {
    return CloseVerdict::kVoidClosedBefore;
  }
  const platform::Offset covered = close.covered_offset();
  const bool covers_itself = covered >= offset;
  const bool falls_back = last_covered_ && covered < *last_covered_;
  const bool lags = !covers_itself && offset - covered > kMaxCloseLag;
  if (covers_itself || falls_back || lags) {
    return CloseVerdict::kVoidCoverage;
  }
  return CloseVerdict::kValid;
}

void WindowBook::Accept(platform::Offset offset, const v1::WindowClose& close) {
  TakeUsage(close);
  MarkCovered(close.covered_offset());
  last_closed_ = close.window();
  last_covered_ = close.covered_offset();
  ClosedWindow& closed = closed_[close.window()];
  closed.window = close.window();
  closed.offset = offset;
  closed.close = close;
  ForgetOldCounters(offset);
  ForgetCompleteWindows();
}

void WindowBook::TakeUsage(const v1::WindowClose& close) {
  std::erase_if(aged_growth_, [&close](const auto& entry) {
    return entry.first.window <= close.window();
  });
  std::erase_if(recent_growth_, [&close](const Growth& growth) {
    return growth.offset <= close.covered_offset() &&
           growth.window <= close.window();
  });
}

void WindowBook::MarkCovered(platform::Offset covered) {
  for (auto& [key, total] : totals_) {
    if (total.aged.offset) {
      total.covered = std::exchange(total.aged, {});
    }
  }
  while (!recent_.empty() && recent_.front().offset <= covered) {
    const RecentAppend& append = recent_.front();
    for (const v1::UsageCounter& counter : append.counters) {
      Raise(totals_[KeyOf(counter)].covered, append.offset, counter);
    }
    recent_.pop_front();
  }
}

void WindowBook::Raise(Mark& mark, platform::Offset offset,
                       const v1::UsageCounter& counter) {
  const Usage counts = UsageOf(counter);
  if (!IsZero(GrowthOver(mark.counts, counts))) {
    mark = {offset, counts};
  }
}

void WindowBook::AgeGrowth(platform::Offset offset) {
  const auto aged = [offset](platform::Offset at) {
    return offset > at && offset - at > kMaxCloseLag;
  };
  while (!recent_growth_.empty() && aged(recent_growth_.front().offset)) {
    const Growth& growth = recent_growth_.front();
    Usage& sum =
        aged_growth_
            .try_emplace({growth.window, growth.organisation}, Usage{0, 0, 0})
            .first->second;
    AddTo(sum, growth.usage);
    recent_growth_.pop_front();
  }
  while (!recent_.empty() && aged(recent_.front().offset)) {
    const RecentAppend& append = recent_.front();
    for (const v1::UsageCounter& counter : append.counters) {
      Raise(totals_[KeyOf(counter)].aged, append.offset, counter);
    }
    recent_.pop_front();
  }
}

void WindowBook::FoldReported(platform::Offset offset,
                              const v1::WindowReported& reported) {
  const auto found = closed_.find(reported.window());
  if (found == closed_.end()) {
    return;
  }
  found->second.reported.try_emplace(reported.organisation(), offset);
  ForgetCompleteWindows();
}

void WindowBook::ForgetOldCounters(platform::Offset offset) {
  std::erase_if(totals_, [this, offset](const auto& entry) {
    const bool window_closed = entry.first.window <= *last_closed_;
    return window_closed &&
           entry.second.last_offset + kForgetCounterAfter < offset;
  });
}

void WindowBook::ForgetCompleteWindows() {
  while (closed_.size() > kCompleteWindowsKept) {
    const auto oldest = closed_.begin();
    if (!oldest->second.complete()) {
      return;
    }
    closed_.erase(oldest);
  }
}

v1::WindowClose WindowBook::Prepare(
    WindowStart window, std::uint64_t epoch,
    const std::vector<OrganisationId>& organisations) const {
  std::map<std::string, Usage> sums;
  for (const OrganisationId& organisation : organisations) {
    sums.try_emplace(organisation.value(), Usage{0, 0, 0});
  }
  const auto add = [&sums](const std::string& name, const Usage& usage) {
    AddTo(sums.try_emplace(name, Usage{0, 0, 0}).first->second, usage);
  };
  for (const auto& [key, usage] : aged_growth_) {
    if (key.window <= window) add(key.organisation, usage);
  }
  for (const Growth& growth : recent_growth_) {
    if (growth.window <= window) add(growth.organisation, growth.usage);
  }
  v1::WindowClose close;
  close.set_window(window);
  close.set_epoch(epoch);
  close.set_covered_offset(last_offset_.value_or(0));
  for (const auto& [name, usage] : sums) {
    v1::UsageFigures& figures = *close.add_figures();
    figures.set_organisation(name);
    figures.set_requests(usage.requests);
    figures.set_prompt_tokens(usage.prompt_tokens);
    figures.set_generated_tokens(usage.generated_tokens);
  }
  return close;
}

std::optional<WindowStart> WindowBook::oldest_open() const {
  std::optional<WindowStart> oldest;
  const auto consider = [&oldest](WindowStart window) {
    oldest = std::min(oldest.value_or(window), window);
  };
  for (const auto& [key, usage] : aged_growth_) consider(key.window);
  for (const Growth& growth : recent_growth_) consider(growth.window);
  return oldest;
}

std::optional<WindowStart> WindowBook::last_closed() const {
  return last_closed_;
}

std::vector<const ClosedWindow*> WindowBook::unreported() const {
  std::vector<const ClosedWindow*> windows;
  for (const auto& [start, closed] : closed_) {
    if (!closed.complete()) windows.push_back(&closed);
  }
  return windows;
}

const ClosedWindow* WindowBook::closed(WindowStart window) const {
  const auto found = closed_.find(window);
  return found == closed_.end() ? nullptr : &found->second;
}

std::map<std::string, Usage> WindowBook::open_usage() const {
  std::map<std::string, Usage> sums;
  const auto add = [&sums](const std::string& name, const Usage& usage) {
    AddTo(sums.try_emplace(name, Usage{0, 0, 0}).first->second, usage);
  };
  for (const auto& [key, usage] : aged_growth_) add(key.organisation, usage);
  for (const Growth& growth : recent_growth_) {
    add(growth.organisation, growth.usage);
  }
  return sums;
}

std::set<platform::Offset> WindowBook::live_offsets() const {
  std::set<platform::Offset> live;
  for (const auto& [key, total] : totals_) {
    if (total.covered.offset) live.insert(*total.covered.offset);
    if (total.aged.offset) live.insert(*total.aged.offset);
  }
  for (const RecentAppend& append : recent_) {
    live.insert(append.offset);
  }
  for (const auto& [start, closed] : closed_) {
    if (closed.complete() && start != last_closed_) continue;
    live.insert(closed.offset);
    for (const auto& [name, offset] : closed.reported) live.insert(offset);
  }
  if (highest_epoch_offset_) live.insert(*highest_epoch_offset_);
  return live;
}

}  // namespace mulberryroad::billing
