// The pure state of membership: which nodes exist, what is known of each, and
// which news is still to be spread.

#ifndef MULBERRYROAD_SRC_MEMBERSHIP_ROSTER_H_
#define MULBERRYROAD_SRC_MEMBERSHIP_ROSTER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"
#include "mulberryroad/membership.pb.h"
#include "mulberryroad/platform.pb.h"

namespace mulberryroad::membership {

struct MembershipOptions {
  /// One random peer is probed at each interval.
  std::chrono::milliseconds probe_interval{1'000};
  /// Time for the answer of a direct probe.
  std::chrono::milliseconds probe_timeout{400};
  /// Other nodes that are asked to probe a silent one.
  std::size_t indirect_probes = 3;
  /// Time in which a suspected node can refute the suspicion.
  std::chrono::milliseconds suspicion{4'000};
  /// How long a dead node is remembered.
  std::chrono::milliseconds remember_dead{120'000};
  /// Mean interval between two readings of the VM list.
  std::chrono::milliseconds vm_list_interval{30'000};
  /// Upper bound on the news in one message.
  std::size_t max_news = 8;
};

/// What a change of the roster means to others.
struct RosterChange {
  /// The eligible nodes are others than before.
  bool eligible_changed = false;
  /// This node must tell that it is alive, or that it leaves.
  bool self_changed = false;
};

/// Precedence of two reports about one node: the higher incarnation wins, then
/// the higher refutation, then alive < suspect < leaving < dead.
bool Supersedes(const v1::Member& news, const v1::Member& known);

class Roster {
 public:
  Roster(v1::Member self, std::uint64_t seed, MembershipOptions options);

  const v1::Member& self() const { return self_; }
  /// All known nodes with this one, by name.
  std::vector<v1::Member> all() const;
  std::vector<v1::Member> eligible() const;
  std::optional<v1::Member> find(const NodeId& node) const;
  /// Returns the eligible node that rendezvous hashing gives a key.
  std::optional<v1::Member> Owner(std::string_view key) const;
  /// Returns an eligible other node, in another failure domain if possible.
  std::optional<v1::Member> Partner(std::string_view key) const;

  /// Takes in a report about a node.
  RosterChange Merge(const v1::Member& news, Instant now);
  /// Takes in an answer or a probe of the node itself.
  RosterChange Heard(const v1::Member& sender, Instant now);
  /// A direct and the indirect probes of a node brought no answer.
  RosterChange ProbeFailed(const NodeId& node, Instant now);
  /// Takes in the platform's list of VMs.
  RosterChange TakeVmList(const v1::VmList& list, Instant now);
  /// Declares suspects dead and forgets the dead whose time has come.
  /// @param keep_dead forget nobody for now
  RosterChange Tick(Instant now, bool keep_dead = false);

  /// Returns the next node to probe: each once in a round, in random order.
  std::optional<v1::Member> NextTarget();
  /// Returns random live nodes other than one.
  std::vector<v1::Member> Helpers(const NodeId& other_than);
  /// Returns an endpoint of the VM list that no live member has, in turn.
  std::optional<std::string> NextUnknownEndpoint();
  /// Returns news for one message, what concerns its receiver first.
  std::vector<v1::Member> TakeNews(const std::string& receiver);

  void SetConfigRevision(std::uint64_t revision);
  /// Makes this node a leaving one; there is no way back.
  RosterChange Leave();

  /// The share of the other nodes that this node can reach: the lower of the
  /// share of the latest probes that were answered and the share of the
  /// remembered nodes that are alive. Nodes that left on purpose do not count.
  double reach() const;
  /// Notes whether a probe was answered, for reach().
  void NoteProbe(bool answered);

 private:
  struct Entry {
    v1::Member member;
    std::uint64_t hash = 0;
    /// When the suspicion, or the remembering of a dead node, ends.
    std::optional<Instant> deadline;
    /// The node was leaving before it was dead.
    bool left = false;
  };
  struct News {
    std::size_t left = 0;
  };

  RosterChange MergeSelf(const v1::Member& news);
  void Set(Entry* entry, const v1::Member& member, Instant now);
  void Spread(const std::string& node);
  bool IsLeaving(const v1::Member& member, const v1::VmList& list) const;
  std::optional<v1::Member> Highest(std::string_view key,
                                    const std::string& without,
                                    const std::string& other_domain) const;
  static bool Eligible(const v1::Member& member);

  v1::Member self_;
  std::uint64_t self_hash_;
  MembershipOptions options_;
  mutable std::mt19937_64 random_;
  std::map<std::string, Entry> others_;
  std::map<std::string, News> news_;
  std::vector<std::string> round_;
  std::vector<std::string> listed_endpoints_;
  std::size_t next_listed_ = 0;
  std::vector<bool> recent_probes_;
};

}  // namespace mulberryroad::membership

#endif  // MULBERRYROAD_SRC_MEMBERSHIP_ROSTER_H_
