#include "control/pool_observer.h"

#include <google/protobuf/util/message_differencer.h>

#include <utility>
#include <variant>

namespace mulberryroad::control {

namespace {

constexpr std::chrono::milliseconds kCallTimeout{2'000};

/// Names one run of a node: a dispatcher that restarts knows no notices.
std::string RunOf(const v1::Member& member) {
  return member.node_id() + "/" + std::to_string(member.incarnation());
}

}  // namespace

PoolObserver::PoolObserver(const Clock& clock, peer::Transport& transport,
                           membership::Members& members,
                           platform::VmDirectory& directory,
                           platform::EngineControl& engines,
                           platform::WeightStore& weights, PoolId pool,
                           bool is_model)
    : clock_(clock),
      transport_(transport),
      members_(members),
      directory_(directory),
      engines_(engines),
      weights_(weights),
      pool_(std::move(pool)),
      is_model_(is_model) {}

void PoolObserver::Poll() {
  PollVms();
  PollDemand();
  if (is_model_) {
    PollEngines();
    PollStore();
  }
}

void PoolObserver::PollVms() {
  directory_.ListPool(
      pool_, [this, alive = std::weak_ptr(alive_)](const auto& answer) {
        const auto* list = std::get_if<v1::VmList>(&answer);
        if (alive.expired() || list == nullptr) {
          return;
        }
        vms_.clear();
        for (const v1::Vm& vm : list->vms()) {
          vms_[vm.name()] = vm;
        }
        vms_time_ = clock_.now();
        const auto gone = [this](const auto& entry) {
          return !vms_.contains(entry.first);
        };
        std::erase_if(notices_, gone);
        std::erase_if(reports_, gone);
      });
}

void PoolObserver::PollDemand() {
  const std::optional<v1::Member> owner = members_.Owner(ToString(pool_));
  if (!owner) {
    return;
  }
  if (RunOf(*owner) != dispatcher_) {
    dispatcher_ = RunOf(*owner);
    dispatcher_since_ = clock_.now();
    // No decision and no notice until the new one says that it is in charge.
    demand_time_.reset();
    for (auto& [upstream, notice] : notices_) {
      notice.acknowledged.reset();
    }
  }
  const std::optional<Endpoint> endpoint =
      ParseEndpoint(owner->peer_endpoint());
  if (!endpoint) {
    return;
  }
  v1::PeerRequest request;
  request.mutable_demand()->set_target(pool_.target.value());
  request.mutable_demand()->set_failure_domain(pool_.failure_domain.value());
  transport_.Call(
      *endpoint, std::move(request), kCallTimeout,
      [this, alive = std::weak_ptr(alive_), asked = clock_.now(),
       from = dispatcher_](const std::optional<v1::PeerReply>& reply,
                           const std::string&) {
        if (alive.expired() || !reply || from != dispatcher_ ||
            !reply->demand().is_dispatcher()) {
          return;
        }
        demand_ = reply->demand();
        demand_asked_ = asked;
        demand_time_ = clock_.now();
      });
}

void PoolObserver::PollEngines() {
  for (const auto& [name, vm] : vms_) {
    const std::optional<Endpoint> endpoint = ParseEndpoint(vm.endpoint());
    Seen& seen = reports_[name];
    if (!endpoint || seen.asked) {
      continue;
    }
    seen.asked = true;
    engines_.Report(*endpoint, [this, alive = std::weak_ptr(alive_),
                                upstream = name](const auto& answer) {
      if (alive.expired()) {
        return;
      }
      const auto found = reports_.find(upstream);
      if (found == reports_.end()) {
        return;
      }
      found->second.asked = false;
      if (const auto* load = std::get_if<v1::EngineLoad>(&answer)) {
        found->second.load = *load;
        found->second.time = clock_.now();
      }
    });
  }
}

void PoolObserver::PollStore() {
  weights_.Newest(
      pool_.target, [this, alive = std::weak_ptr(alive_)](const auto& answer) {
        const auto* versions = std::get_if<v1::WeightVersions>(&answer);
        if (!alive.expired() && versions != nullptr) {
          newest_ = versions->newest();
        }
      });
}

void PoolObserver::Notify(const v1::UpstreamNotice& notice) {
  Notice& known = notices_[notice.upstream()];
  const bool same =
      google::protobuf::util::MessageDifferencer::Equals(known.sent, notice);
  if (!same) {
    known.sent = notice;
    known.acknowledged.reset();
  }
  if (!known.acknowledged && !known.under_way) {
    Send(notice.upstream());
  }
}

void PoolObserver::Send(const std::string& upstream) {
  const std::optional<v1::Member> owner = members_.Owner(ToString(pool_));
  const std::optional<Endpoint> endpoint =
      owner ? ParseEndpoint(owner->peer_endpoint()) : std::nullopt;
  if (!endpoint) {
    return;
  }
  Notice& notice = notices_[upstream];
  notice.under_way = true;
  v1::PeerRequest request;
  *request.mutable_upstream_notice() = notice.sent;
  transport_.Call(
      *endpoint, std::move(request), kCallTimeout,
      [this, alive = std::weak_ptr(alive_), sent = notice.sent,
       to = RunOf(*owner)](const std::optional<v1::PeerReply>& reply,
                           const std::string&) {
        if (alive.expired()) {
          return;
        }
        const auto found = notices_.find(sent.upstream());
        if (found == notices_.end()) {
          return;
        }
        found->second.under_way = false;
        const bool same = google::protobuf::util::MessageDifferencer::Equals(
            found->second.sent, sent);
        if (reply && reply->has_upstream_notice() && same &&
            to == dispatcher_) {
          found->second.acknowledged = clock_.now();
        }
      });
}

bool PoolObserver::IsFresh(const std::optional<Instant>& time) const {
  return time && clock_.now() - *time < kFreshFor;
}

bool PoolObserver::fresh() const {
  return IsFresh(vms_time_) && IsFresh(demand_time_);
}

const v1::EngineLoad* PoolObserver::engine(const std::string& upstream) const {
  const auto found = reports_.find(upstream);
  const bool known = found != reports_.end() && IsFresh(found->second.time) &&
                     found->second.time != Instant{};
  return known ? &found->second.load : nullptr;
}

std::uint32_t PoolObserver::InFlight(const std::string& upstream) const {
  for (const v1::UpstreamDemand& demand : demand_.upstreams()) {
    if (demand.upstream() == upstream) {
      return demand.in_flight();
    }
  }
  return 0;
}

bool PoolObserver::drained(const std::string& upstream) const {
  const auto found = notices_.find(upstream);
  if (found == notices_.end() || !found->second.sent.leaving() ||
      !found->second.acknowledged) {
    return false;
  }
  const bool quiet = demand_asked_ - *found->second.acknowledged >= kDrainQuiet;
  if (!quiet || InFlight(upstream) > 0) {
    return false;
  }
  const v1::EngineLoad* report = engine(upstream);
  if (report != nullptr) {
    return report->running() == 0 && report->waiting() == 0;
  }
  // A new dispatcher does not know what its predecessor granted.
  return clock_.now() - dispatcher_since_ >= kLongestRequest;
}

}  // namespace mulberryroad::control
