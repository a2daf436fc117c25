#include "membership/membership.h"

#include <algorithm>
#include <utility>

#include "base/decision_log.h"

namespace mulberryroad::membership {

namespace {

// The list is read this often until the first peer is found.
constexpr std::chrono::milliseconds kFirstListInterval{1'000};
// Dead nodes are not forgotten while the log is silent for longer than this.
constexpr std::chrono::milliseconds kLogIsSilent{5'000};

std::chrono::milliseconds Since(Instant then, Instant now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(now - then);
}

}  // namespace

Membership::Membership(base::EventLoop& loop, const Clock& clock,
                       peer::Transport& transport, platform::VmDirectory& vms,
                       v1::Member self, std::uint64_t seed,
                       MembershipOptions options)
    : loop_(loop),
      clock_(clock),
      transport_(transport),
      vms_(vms),
      options_(options),
      roster_(std::move(self), seed, options),
      random_(seed + 1),
      last_contact_(clock.now()) {
  transport_.Handle(v1::PeerRequest::kProbe,
                    [this, alive = alive()](const v1::PeerRequest& request,
                                            peer::ReplyCallback respond) {
                      if (!alive.expired()) {
                        Answer(request.probe(), std::move(respond));
                      }
                    });
  probe_timer_ = loop_.Every(options_.probe_interval, [this] { ProbeNext(); });
  loop_.Post([this, alive = alive()] {
    if (!alive.expired()) {
      ListVms();
    }
  });
}

void Membership::Leave() {
  leave_known_ = true;
  Apply(roster_.Leave());
}

void Membership::SetConfigRevision(std::uint64_t revision) {
  roster_.SetConfigRevision(revision);
}

void Membership::SetLogSilence(std::chrono::milliseconds silence) {
  log_silence_ = silence;
}

std::chrono::milliseconds Membership::peer_contact() const {
  return Since(last_contact_, clock_.now());
}

std::optional<std::chrono::milliseconds> Membership::peers_log_silence() const {
  if (!peers_read_log_.has_value()) {
    return std::nullopt;
  }
  return Since(*peers_read_log_, clock_.now());
}

void Membership::ProbeNext() {
  Apply(roster_.Tick(clock_.now(), log_silence_ > kLogIsSilent));
  if (const auto endpoint = roster_.NextUnknownEndpoint()) {
    ProbeEndpoint(*endpoint, "", "", [](bool) {});
  }
  const std::optional<v1::Member> target = roster_.NextTarget();
  if (!target.has_value()) {
    return;
  }
  ProbeEndpoint(target->peer_endpoint(), target->node_id(), "",
                [this, target = *target](bool answered) {
                  roster_.NoteProbe(answered);
                  if (!answered) {
                    ProbeIndirectly(target);
                  }
                });
}

void Membership::ProbeEndpoint(const std::string& endpoint,
                               const std::string& node,
                               const std::string& target, OnProbed on_probed) {
  const std::optional<Endpoint> address = ParseEndpoint(endpoint);
  if (!address.has_value()) {
    return;
  }
  v1::PeerRequest request;
  v1::Probe* probe = request.mutable_probe();
  *probe->mutable_sender() = roster_.self();
  for (v1::Member& news : roster_.TakeNews(node)) {
    *probe->add_news() = std::move(news);
  }
  probe->set_target(target);
  probe->set_log_silence_ms(log_silence_.count());
  const auto timeout =
      target.empty() ? options_.probe_timeout : options_.probe_timeout * 2;
  transport_.Call(
      *address, std::move(request), timeout,
      [this, alive = alive(), target, on_probed = std::move(on_probed)](
          const std::optional<v1::PeerReply>& reply, const std::string&) {
        if (alive.expired()) {
          return;
        }
        if (!reply.has_value() || !reply->has_probe()) {
          on_probed(false);
          return;
        }
        const v1::ProbeReply& answer = reply->probe();
        TakeReport(answer.responder(), answer.news(), answer.log_silence_ms());
        on_probed(target.empty() || answer.target_alive());
      });
}

void Membership::ProbeIndirectly(const v1::Member& target) {
  const NodeId node(target.node_id());
  const std::vector<v1::Member> helpers = roster_.Helpers(node);
  if (helpers.empty()) {
    Apply(roster_.ProbeFailed(node, clock_.now()));
    return;
  }
  struct Round {
    std::size_t open;
    bool answered = false;
  };
  const auto round = std::make_shared<Round>(Round{helpers.size()});
  for (const v1::Member& helper : helpers) {
    ProbeEndpoint(helper.peer_endpoint(), helper.node_id(), target.node_id(),
                  [this, round, node](bool alive) {
                    round->answered = round->answered || alive;
                    if (--round->open == 0 && !round->answered) {
                      Apply(roster_.ProbeFailed(node, clock_.now()));
                    }
                  });
  }
}

void Membership::Answer(const v1::Probe& probe, peer::ReplyCallback respond) {
  TakeReport(probe.sender(), probe.news(), probe.log_silence_ms());
  const std::string receiver = probe.sender().node_id();
  const std::optional<v1::Member> target =
      probe.target().empty() ? std::nullopt
                             : roster_.find(NodeId(probe.target()));
  if (!target.has_value()) {
    v1::PeerReply reply;
    *reply.mutable_probe() = MakeReply(receiver);
    respond(std::move(reply));
    return;
  }
  ProbeEndpoint(target->peer_endpoint(), target->node_id(), "",
                [this, receiver, respond = std::move(respond)](bool answered) {
                  v1::PeerReply reply;
                  *reply.mutable_probe() = MakeReply(receiver);
                  reply.mutable_probe()->set_target_alive(answered);
                  respond(std::move(reply));
                });
}

v1::ProbeReply Membership::MakeReply(const std::string& receiver) {
  v1::ProbeReply reply;
  *reply.mutable_responder() = roster_.self();
  for (v1::Member& news : roster_.TakeNews(receiver)) {
    *reply.add_news() = std::move(news);
  }
  reply.set_log_silence_ms(log_silence_.count());
  return reply;
}

void Membership::TakeReport(
    const v1::Member& sender,
    const google::protobuf::RepeatedPtrField<v1::Member>& news,
    std::uint64_t log_silence_ms) {
  const Instant now = clock_.now();
  last_contact_ = now;
  const Instant read = now - std::chrono::milliseconds(log_silence_ms);
  peers_read_log_ = std::max(peers_read_log_.value_or(read), read);
  RosterChange change = roster_.Heard(sender, now);
  for (const v1::Member& member : news) {
    const RosterChange one = roster_.Merge(member, now);
    change.eligible_changed |= one.eligible_changed;
    change.self_changed |= one.self_changed;
  }
  Apply(change);
  heard_.emit(sender);
}

void Membership::ListVms() {
  vms_.ListNodes(
      [this, alive = alive()](
          const std::variant<v1::VmList, platform::PlatformFailure>& answer) {
        if (alive.expired()) {
          return;
        }
        if (const auto* list = std::get_if<v1::VmList>(&answer)) {
          Apply(roster_.TakeVmList(*list, clock_.now()));
        }
        const bool alone = roster_.all().size() == 1;
        const auto mean =
            alone ? kFirstListInterval : options_.vm_list_interval;
        std::uniform_int_distribution<std::int64_t> jitter(
            mean.count() / 2, mean.count() * 3 / 2);
        vm_timer_ = loop_.After(std::chrono::milliseconds(jitter(random_)),
                                [this] { ListVms(); });
      });
}

void Membership::Apply(const RosterChange& change) {
  const bool leaving = roster_.self().state() == v1::MEMBER_LEAVING;
  if (change.eligible_changed) {
    changed_.emit();
  }
  if (leaving && !leave_known_) {
    leave_known_ = true;
    asked_to_leave_.emit();
  }
}

}  // namespace mulberryroad::membership
