#include "billing/counter_set.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mulberryroad::billing {

bool Covers(const v1::UsageCounter& counter, const v1::UsageCounter& other) {
  return counter.requests() >= other.requests() &&
         counter.prompt_tokens() >= other.prompt_tokens() &&
         counter.generated_tokens() >= other.generated_tokens();
}

CounterSet::CounterSet(NodeId node, std::uint64_t incarnation)
    : node_(std::move(node)), incarnation_(incarnation) {}

void CounterSet::Count(const OrganisationId& organisation, const Usage& usage,
                       WindowStart window) {
  latest_window_ = std::max(latest_window_, window);
  const CounterKey key{node_.value(), incarnation_, latest_window_,
                       organisation.value()};
  Entry& entry = entries_[key];
  v1::UsageCounter& counter = entry.counter;
  counter.set_node_id(key.node_id);
  counter.set_incarnation(key.incarnation);
  counter.set_window(key.window);
  counter.set_organisation(key.organisation);
  counter.set_requests(counter.requests() + usage.requests);
  counter.set_prompt_tokens(counter.prompt_tokens() + usage.prompt_tokens);
  counter.set_generated_tokens(counter.generated_tokens() +
                               usage.generated_tokens);
  ++entry.growths;
}

Counters CounterSet::Unappended() const {
  Counters counters;
  for (const auto& [key, entry] : entries_) {
    if (entry.appended < entry.growths) counters.push_back(entry.counter);
  }
  return counters;
}

Counters CounterSet::Uncopied() const {
  Counters counters;
  for (const auto& [key, entry] : entries_) {
    if (std::max(entry.appended, entry.copied) < entry.growths) {
      counters.push_back(entry.counter);
    }
  }
  return counters;
}

void CounterSet::MarkAppended(const Counters& counters) {
  for (const v1::UsageCounter& counter : counters) {
    const auto found = entries_.find(KeyOf(counter));
    if (found != entries_.end() && Covers(counter, found->second.counter)) {
      found->second.appended = found->second.growths;
    }
  }
}

void CounterSet::MarkCopied(const Counters& counters) {
  for (const v1::UsageCounter& counter : counters) {
    const auto found = entries_.find(KeyOf(counter));
    if (found != entries_.end() && Covers(counter, found->second.counter)) {
      found->second.copied = found->second.growths;
    }
  }
}

void CounterSet::ForgetCopies() {
  for (auto& [key, entry] : entries_) {
    entry.copied = 0;
  }
}

void CounterSet::Forget(WindowStart before) {
  std::erase_if(entries_, [before](const auto& item) {
    return item.first.window < before &&
           item.second.appended == item.second.growths;
  });
}

Counters CounterSet::all() const {
  Counters counters;
  counters.reserve(entries_.size());
  for (const auto& [key, entry] : entries_) {
    counters.push_back(entry.counter);
  }
  return counters;
}

void CopyKeeper::Keep(const v1::UsageCopy& copy) {
  for (const v1::UsageCounter& counter : copy.counters()) {
    v1::UsageCounter& kept = kept_[KeyOf(counter)];
    if (Covers(counter, kept)) {
      kept = counter;
    }
  }
}

void CopyKeeper::Seen(const v1::UsageAppend& append) {
  for (const v1::UsageCounter& counter : append.counters()) {
    const auto found = kept_.find(KeyOf(counter));
    if (found != kept_.end() && Covers(counter, found->second)) {
      kept_.erase(found);
    }
  }
}

std::vector<CopyKeeper::Run> CopyKeeper::runs() const {
  std::set<Run> runs;
  for (const auto& [key, counter] : kept_) {
    runs.insert({key.node_id, key.incarnation});
  }
  return {runs.begin(), runs.end()};
}

Counters CopyKeeper::Of(const Run& run) const {
  Counters counters;
  for (const auto& [key, counter] : kept_) {
    if (Run{key.node_id, key.incarnation} == run) counters.push_back(counter);
  }
  return counters;
}

}  // namespace mulberryroad::billing
