#include "config/revision_history.h"

#include "config/check.h"

namespace mulberryroad::config {

namespace {
// Outcomes kept for operators who still wait for theirs.
constexpr std::size_t kMaxOutcomes = 256;
}  // namespace

ApplyOutcome RevisionHistory::Apply(platform::Offset offset,
                                    const v1::ConfigApply& apply) {
  ApplyOutcome outcome = Decide(offset, apply);
  outcomes_[offset] = outcome;
  if (outcomes_.size() > kMaxOutcomes) {
    outcomes_.erase(outcomes_.begin());
  }
  return outcome;
}

ApplyOutcome RevisionHistory::Decide(platform::Offset offset,
                                     const v1::ConfigApply& apply) {
  if (apply.base_revision() != chain_.revision()) {
    return Rejected{
        "the base is revision " + std::to_string(apply.base_revision()) +
        " but the current one is " + std::to_string(chain_.revision())};
  }
  if (apply.sha256() != DeclarationDigest(apply.declaration())) {
    return Rejected{"the declaration does not have the stated digest"};
  }
  chain_.set_revision(offset + 1);
  *chain_.mutable_declaration() = apply.declaration();
  chain_.set_sha256(apply.sha256());
  Raise(chain_);
  return Accepted{chain_.revision()};
}

void RevisionHistory::Load(const v1::ConfigRevision& revision) {
  chain_ = revision;
  Raise(revision);
}

bool RevisionHistory::Learn(const v1::ConfigRevision& revision) {
  if (revision.sha256() != DeclarationDigest(revision.declaration())) {
    return false;
  }
  return Raise(revision);
}

bool RevisionHistory::Raise(const v1::ConfigRevision& revision) {
  if (revision.revision() <= in_force_.revision()) {
    return false;
  }
  in_force_ = revision;
  return true;
}

std::optional<ApplyOutcome> RevisionHistory::outcome(
    platform::Offset offset) const {
  const auto found = outcomes_.find(offset);
  if (found == outcomes_.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace mulberryroad::config
