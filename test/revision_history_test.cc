#include "config/revision_history.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "config/check.h"

namespace mulberryroad::config {
namespace {

v1::ConfigApply On(std::uint64_t base, const std::string& model) {
  v1::ConfigApply apply;
  apply.set_base_revision(base);
  apply.mutable_declaration()->add_models()->set_name(model);
  apply.set_sha256(DeclarationDigest(apply.declaration()));
  return apply;
}

bool IsAccepted(const ApplyOutcome& outcome) {
  return std::holds_alternative<Accepted>(outcome);
}

Test(revision_history, the_first_of_two_racing_applies_wins) {
  RevisionHistory history;
  cr_expect(IsAccepted(history.Apply(0, On(0, "first"))));
  cr_expect(!IsAccepted(history.Apply(1, On(0, "second"))));
  cr_expect(history.in_force().revision() == 1);
  cr_expect(history.in_force().declaration().models(0).name() == "first");
  cr_expect(IsAccepted(history.Apply(5, On(1, "third"))));
  cr_expect(history.in_force().revision() == 6, "the offset plus one");
}

Test(revision_history, a_wrong_digest_is_rejected) {
  RevisionHistory history;
  v1::ConfigApply apply = On(0, "m");
  apply.set_sha256("00");
  cr_expect(!IsAccepted(history.Apply(0, apply)));
  v1::ConfigRevision learnt;
  learnt.set_revision(9);
  learnt.set_sha256("00");
  cr_expect(!history.Learn(learnt));
}

Test(revision_history, a_peer_can_be_ahead_and_the_log_catches_up) {
  RevisionHistory ahead;
  ahead.Apply(0, On(0, "one"));
  ahead.Apply(1, On(1, "two"));
  RevisionHistory behind;
  cr_expect(behind.Learn(ahead.in_force()));
  cr_expect(IsAccepted(behind.Apply(0, On(0, "one"))),
            "the chain follows the log alone");
  cr_expect(behind.in_force().declaration().models(0).name() == "two",
            "what is in force must not fall back");
  cr_expect(IsAccepted(behind.Apply(1, On(1, "two"))));
  cr_expect(behind.chain_revision() == behind.in_force().revision());
  cr_expect(!behind.Learn(ahead.in_force()), "nothing new");
}

Test(revision_history, keeps_outcomes_for_waiting_operators) {
  RevisionHistory history;
  history.Apply(0, On(0, "one"));
  history.Apply(1, On(0, "two"));
  cr_expect(IsAccepted(*history.outcome(0)));
  cr_expect(!IsAccepted(*history.outcome(1)));
  cr_expect(!history.outcome(2).has_value());
}

/// Operators apply on what their own node has in force while nodes read late,
/// learn from each other and restart from snapshots.
struct Node {
  RevisionHistory history;
  std::size_t position = 0;
};

Test(revision_history, never_falls_and_agrees_under_racing_applies) {
  constexpr int kSeeds = 400;
  constexpr int kNodes = 4;
  constexpr int kSteps = 300;
  int conflicts = 0;
  int accepted = 0;
  for (int seed = 0; seed < kSeeds; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<v1::ConfigApply> log;
    RevisionHistory truth;
    std::vector<Node> nodes(kNodes);
    for (int step = 0; step < kSteps; ++step) {
      Node& node = nodes[random() % kNodes];
      const std::uint64_t before = node.history.in_force().revision();
      switch (random() % 5) {
        case 0: {
          const v1::ConfigApply apply = On(before, "m" + std::to_string(step));
          const bool valid = IsAccepted(truth.Apply(log.size(), apply));
          accepted += valid ? 1 : 0;
          conflicts += valid ? 0 : 1;
          log.push_back(apply);
          break;
        }
        case 1:
          node.history.Learn(nodes[random() % kNodes].history.in_force());
          break;
        case 2:
          if (random() % 8 == 0) {
            const Node& source = nodes[random() % kNodes];
            if (source.position >= node.position) {
              node.history.Load(source.history.chain());
              node.position = source.position;
            }
          }
          break;
        default:
          if (node.position < log.size()) {
            node.history.Apply(node.position, log[node.position]);
            ++node.position;
          }
      }
      cr_assert(node.history.in_force().revision() >= before,
                "seed %d step %d: the revision fell", seed, step);
    }
    for (Node& node : nodes) {
      for (; node.position < log.size(); ++node.position) {
        node.history.Apply(node.position, log[node.position]);
      }
      cr_assert(node.history.in_force().sha256() == truth.in_force().sha256(),
                "seed %d: a node has another configuration", seed);
    }
  }
  cr_expect(conflicts > 0 && accepted > 0, "%d conflicts, %d accepted",
            conflicts, accepted);
}

}  // namespace
}  // namespace mulberryroad::config
