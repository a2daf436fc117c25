// The shell around Roster: probes peers, answers their probes and reads the
// platform's list of VMs.

#ifndef MULBERRYROAD_SRC_MEMBERSHIP_MEMBERSHIP_H_
#define MULBERRYROAD_SRC_MEMBERSHIP_MEMBERSHIP_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "base/event_loop.h"
#include "membership/members.h"
#include "membership/roster.h"
#include "peer/transport.h"
#include "platform/platform.h"

namespace mulberryroad::membership {

class Membership final : public Members {
 public:
  Membership(base::EventLoop& loop, const Clock& clock,
             peer::Transport& transport, platform::VmDirectory& vms,
             v1::Member self, std::uint64_t seed, MembershipOptions options);

  const v1::Member& self() const override { return roster_.self(); }
  std::vector<v1::Member> all() const override { return roster_.all(); }
  std::vector<v1::Member> eligible() const override {
    return roster_.eligible();
  }
  std::optional<v1::Member> find(const NodeId& node) const override {
    return roster_.find(node);
  }
  std::optional<v1::Member> Owner(std::string_view key) const override {
    return roster_.Owner(key);
  }
  std::optional<v1::Member> Partner(std::string_view key) const override {
    return roster_.Partner(key);
  }
  sigc::signal<void()>& changed() override { return changed_; }

  /// Tells the peers that this node takes no more work.
  void Leave();
  /// Sets the revision that this node reports as in force.
  void SetConfigRevision(std::uint64_t revision);
  /// Sets how long the log has been silent here, for the peers.
  void SetLogSilence(std::chrono::milliseconds silence);

  /// Time since a peer last answered or called; the age of this node if none
  /// ever did.
  std::chrono::milliseconds peer_contact() const;
  /// The shortest time since any peer read the log, of what peers reported and
  /// aged since; nullopt if none ever reported.
  std::optional<std::chrono::milliseconds> peers_log_silence() const;
  /// The share of the other nodes that this node can reach. Dead nodes count
  /// for as long as the log is silent.
  double reach() const { return roster_.reach(); }

  /// Emitted with a peer's report of itself: on its probes and its answers.
  sigc::signal<void(const v1::Member&)>& heard() { return heard_; }
  /// Emitted once if the platform's list says that this VM is leaving.
  sigc::signal<void()>& asked_to_leave() { return asked_to_leave_; }

 private:
  using OnProbed = std::function<void(bool alive)>;

  void ProbeNext();
  void ProbeEndpoint(const std::string& endpoint, const std::string& node,
                     const std::string& target, OnProbed on_probed);
  void ProbeIndirectly(const v1::Member& target);
  void Answer(const v1::Probe& probe, peer::ReplyCallback respond);
  void ListVms();
  void TakeReport(const v1::Member& sender,
                  const google::protobuf::RepeatedPtrField<v1::Member>& news,
                  std::uint64_t log_silence_ms);
  void Apply(const RosterChange& change);
  v1::ProbeReply MakeReply(const std::string& receiver);
  std::weak_ptr<bool> alive() const { return alive_; }

  base::EventLoop& loop_;
  const Clock& clock_;
  peer::Transport& transport_;
  platform::VmDirectory& vms_;
  MembershipOptions options_;
  Roster roster_;
  std::mt19937_64 random_;
  Instant last_contact_;
  std::chrono::milliseconds log_silence_{0};
  // The instant at which a peer last read the log, as far as is known.
  std::optional<Instant> peers_read_log_;
  bool leave_known_ = false;
  sigc::signal<void()> changed_;
  sigc::signal<void(const v1::Member&)> heard_;
  sigc::signal<void()> asked_to_leave_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  base::Timer probe_timer_;
  base::Timer vm_timer_;
};

}  // namespace mulberryroad::membership

#endif  // MULBERRYROAD_SRC_MEMBERSHIP_MEMBERSHIP_H_
