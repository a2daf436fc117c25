#include "billing/usage_meter.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "billing/window_rules.h"

namespace mulberryroad::billing {

namespace {

constexpr std::chrono::milliseconds kCopyTimeout{2'000};
constexpr std::chrono::milliseconds kAppendTimeout{10'000};
/// Counters in one record, so that a record stays well under a megabyte.
constexpr std::size_t kMaxCountersPerRecord = 2'000;
/// Windows that are shown to operators after they ended.
constexpr std::uint64_t kWindowsShown = 2;

}  // namespace

UsageMeter::UsageMeter(base::EventLoop& loop, const Clock& clock,
                       log::Journal& journal, peer::Transport& transport,
                       membership::Members& members,
                       config::Configuration& configuration, NodeId node,
                       std::uint64_t incarnation)
    : clock_(clock),
      journal_(journal),
      transport_(transport),
      members_(members),
      configuration_(configuration),
      node_(std::move(node)),
      counters_(node_, incarnation),
      last_append_(clock.now()) {
  journal_.Subscribe(
      kUsageStream, [this, alive = std::weak_ptr(alive_)](
                        platform::Offset, const v1::Record& record) {
        if (alive.expired() || !record.has_usage_append()) {
          return;
        }
        const auto& appended = record.usage_append().counters();
        counters_.MarkAppended({appended.begin(), appended.end()});
        keeper_.Seen(record.usage_append());
      });
  transport_.Handle(
      v1::PeerRequest::kUsageCopy,
      [this, alive = std::weak_ptr(alive_)](const v1::PeerRequest& request,
                                            peer::ReplyCallback respond) {
        if (alive.expired()) {
          return;
        }
        keeper_.Keep(request.usage_copy());
        v1::PeerReply reply;
        reply.mutable_usage_copy();
        respond(std::move(reply));
      });
  timer_ = loop.Every(kTickInterval, [this] { Tick(); });
}

void UsageMeter::Count(const OrganisationId& organisation, const Usage& usage) {
  if (organisation.empty()) {
    return;
  }
  const WindowRules rules = RulesOf(configuration_.declaration());
  counters_.Count(organisation, usage, WindowAt(clock_.wall_now(), rules));
}

void UsageMeter::Flush() {
  flushing_ = true;
  Append();
}

bool UsageMeter::settled() const { return counters_.Unappended().empty(); }

std::vector<v1::UsageCounter> UsageMeter::counters() const {
  return counters_.all();
}

void UsageMeter::Tick() {
  SendCopies();
  if (flushing_ || clock_.now() - last_append_ >= append_interval()) {
    Append();
  }
}

void UsageMeter::SendCopies() {
  const std::optional<v1::Member> partner = members_.Partner(node_.value());
  if (copying_ || !partner) {
    return;
  }
  if (partner->node_id() != partner_) {
    partner_ = partner->node_id();
    counters_.ForgetCopies();
  }
  const std::optional<Endpoint> endpoint =
      ParseEndpoint(partner->peer_endpoint());
  const Counters counters = counters_.Uncopied();
  if (!endpoint || counters.empty()) {
    return;
  }
  copying_ = true;
  v1::PeerRequest request;
  request.mutable_usage_copy()->mutable_counters()->Assign(counters.begin(),
                                                           counters.end());
  transport_.Call(
      *endpoint, std::move(request), kCopyTimeout,
      [this, alive = std::weak_ptr(alive_), counters, to = partner_](
          std::optional<v1::PeerReply> reply, const std::string&) {
        if (alive.expired()) {
          return;
        }
        copying_ = false;
        if (reply && reply->has_usage_copy() && to == partner_) {
          counters_.MarkCopied(counters);
        }
      });
}

void UsageMeter::Append() {
  if (appending_) {
    return;
  }
  last_append_ = clock_.now();
  Counters counters = counters_.Unappended();
  const Counters orphans = Orphans();
  counters.insert(counters.end(), orphans.begin(), orphans.end());
  if (counters.empty()) {
    ForgetOldWindows();
    return;
  }
  const std::size_t count = std::min(counters.size(), kMaxCountersPerRecord);
  v1::Record record;
  record.mutable_usage_append()->mutable_counters()->Assign(
      counters.begin(), counters.begin() + static_cast<std::ptrdiff_t>(count));
  appending_ = true;
  journal_.Append(kUsageStream, std::move(record), kAppendTimeout,
                  [this, alive = std::weak_ptr(alive_)](
                      std::optional<platform::Offset>, const std::string&) {
                    if (!alive.expired()) {
                      appending_ = false;
                    }
                  });
}

Counters UsageMeter::Orphans() const {
  Counters orphans;
  for (const CopyKeeper::Run& run : keeper_.runs()) {
    if (IsGone(run)) {
      const Counters counters = keeper_.Of(run);
      orphans.insert(orphans.end(), counters.begin(), counters.end());
    }
  }
  return orphans;
}

bool UsageMeter::IsGone(const CopyKeeper::Run& run) const {
  const auto member = members_.find(NodeId(run.node_id));
  return !member || member->state() == v1::MEMBER_DEAD ||
         member->incarnation() > run.incarnation;
}

std::chrono::milliseconds UsageMeter::append_interval() const {
  const auto nodes = static_cast<double>(members_.eligible().size());
  const std::chrono::milliseconds shared(
      static_cast<std::int64_t>(nodes / kAppendsPerSecond * 1'000));
  return std::clamp(shared, kShortestAppendInterval, kLongestAppendInterval);
}

void UsageMeter::ForgetOldWindows() {
  const WindowRules rules = RulesOf(configuration_.declaration());
  const WindowStart current = WindowAt(clock_.wall_now(), rules);
  const auto shown =
      kWindowsShown * static_cast<std::uint64_t>(rules.length.count());
  counters_.Forget(current > shown ? current - shown : 0);
}

}  // namespace mulberryroad::billing
