#include "config/config_store.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "base/decision_log.h"
#include "base/digest.h"
#include "config/check.h"

namespace mulberryroad::config {

namespace {

constexpr std::chrono::milliseconds kTick{200};
constexpr std::chrono::milliseconds kApplyGivesUp{8'000};
constexpr std::chrono::milliseconds kFetchTimeout{2'000};

v1::ApplyReply Refusal(const std::string& reason) {
  v1::ApplyReply reply;
  reply.set_reason(reason);
  return reply;
}

std::string StateDigest(const v1::ConfigRevision& revision) {
  return std::to_string(revision.revision()) + ":" + revision.sha256();
}

std::string Join(const std::vector<Problem>& problems) {
  std::string text;
  for (const Problem& problem : problems) {
    text += (text.empty() ? "" : "\n") + ToString(problem);
  }
  return text;
}

}  // namespace

ConfigStore::ConfigStore(base::EventLoop& loop, const Clock& clock,
                         log::Journal& journal, peer::Transport& transport,
                         membership::Membership& members,
                         ConfigStoreOptions options)
    : loop_(loop),
      clock_(clock),
      journal_(journal),
      transport_(transport),
      members_(members),
      options_(options) {
  const std::weak_ptr<bool> alive = alive_;
  journal_.Subscribe(kConfigStream, [this, alive](platform::Offset offset,
                                                  const v1::Record& record) {
    if (!alive.expired()) {
      OnRecord(offset, record);
    }
  });
  transport_.Handle(v1::PeerRequest::kConfigFetch,
                    [this, alive](const v1::PeerRequest& request,
                                  const peer::ReplyCallback& respond) {
                      if (!alive.expired()) {
                        Answer(request.config_fetch(), respond);
                      }
                    });
  members_.heard().connect([this, alive](const v1::Member& peer) {
    if (!alive.expired()) {
      OnHeard(peer);
    }
  });
  tick_ = loop_.Every(kTick, [this] { Tick(); });
}

const v1::Declaration* ConfigStore::declaration() const {
  return revision() == 0 ? nullptr : &history_.in_force().declaration();
}

std::uint64_t ConfigStore::revision() const {
  return history_.in_force().revision();
}

std::optional<OrganisationId> ConfigStore::Authorise(
    std::string_view secret, KeyRefusal* refusal) const {
  if (revision() == 0 || authority() == Authority::kIsolated) {
    *refusal = KeyRefusal::kIsolated;
    return std::nullopt;
  }
  const auto found = organisation_of_digest_.find(base::Sha256Hex(secret));
  if (found == organisation_of_digest_.end()) {
    *refusal = KeyRefusal::kUnknown;
    return std::nullopt;
  }
  return found->second;
}

Authority ConfigStore::authority() const {
  Contact contact;
  contact.log_silence = journal_.silence();
  contact.log_read = journal_.caught_up(kConfigStream);
  if (behind_since_.has_value()) {
    contact.behind = std::chrono::duration_cast<std::chrono::milliseconds>(
        clock_.now() - *behind_since_);
  }
  contact.peer_silence = members_.peer_contact();
  contact.peers_log_silence = members_.peers_log_silence();
  contact.peers_known = members_.all().size() - 1;
  contact.reach = members_.reach();
  return Judge(contact, options_.isolation_limit);
}

void ConfigStore::Apply(const std::string& text, std::uint64_t base_revision,
                        const std::string& operator_name,
                        std::function<void(v1::ApplyReply)> on_applied) {
  CheckResult checked = Check(text);
  if (const auto* problems = std::get_if<std::vector<Problem>>(&checked)) {
    on_applied(Refusal(Join(*problems)));
    return;
  }
  if (base_revision != revision()) {
    on_applied(Refusal(
        "conflict: the base is revision " + std::to_string(base_revision) +
        " but the current one is " + std::to_string(revision())));
    return;
  }
  v1::Record record;
  v1::ConfigApply* apply = record.mutable_config_apply();
  apply->set_base_revision(base_revision);
  *apply->mutable_declaration() = std::get<v1::Declaration>(checked);
  apply->set_sha256(DeclarationDigest(apply->declaration()));
  apply->set_operator_name(operator_name);
  journal_.Append(
      kConfigStream, std::move(record), kApplyGivesUp,
      [this, alive = std::weak_ptr<bool>(alive_),
       on_applied = std::move(on_applied)](
          std::optional<platform::Offset> offset, const std::string& reason) {
        if (!alive.expired()) {
          on_applied(ReplyFor(offset, reason));
        }
      });
}

v1::ApplyReply ConfigStore::ReplyFor(std::optional<platform::Offset> offset,
                                     const std::string& reason) const {
  if (!offset.has_value()) {
    return Refusal("unknown: " + reason +
                   "; the declaration may still come into force, see the "
                   "current revision before applying again");
  }
  const std::optional<ApplyOutcome> outcome = history_.outcome(*offset);
  if (!outcome.has_value()) {
    return Refusal("unknown: the record was read before the outcome was kept");
  }
  if (const auto* rejected = std::get_if<Rejected>(&*outcome)) {
    return Refusal("conflict: " + rejected->reason);
  }
  v1::ApplyReply reply;
  reply.set_accepted(true);
  reply.set_revision(std::get<Accepted>(*outcome).revision);
  return reply;
}

void ConfigStore::OnRecord(platform::Offset offset, const v1::Record& record) {
  const std::uint64_t before = revision();
  if (record.has_config_apply()) {
    history_.Apply(offset, record.config_apply());
  } else if (record.has_snapshot() &&
             record.snapshot().covered_offset() == offset) {
    history_.Load(record.snapshot().config());
  }
  if (record.has_snapshot()) {
    digests_.Compare(offset, record.snapshot());
  }
  digests_.Note(offset, StateDigest(history_.chain()));
  Update(before);
}

void ConfigStore::Save(v1::Snapshot* snapshot) const {
  *snapshot->mutable_config() = history_.chain();
  snapshot->set_state_sha256(StateDigest(history_.chain()));
}

void ConfigStore::Update(std::uint64_t before) {
  if (revision() == before) {
    return;
  }
  if (revision() >= highest_heard_) {
    behind_since_.reset();
  }
  organisation_of_digest_.clear();
  for (const auto& organisation :
       history_.in_force().declaration().organisations()) {
    for (const v1::Key& key : organisation.keys()) {
      organisation_of_digest_.emplace(key.sha256(),
                                      OrganisationId(organisation.name()));
    }
  }
  members_.SetConfigRevision(revision());
  base::LogInfo("config-in-force", "revision " + std::to_string(revision()));
  changed_.emit();
}

void ConfigStore::OnHeard(const v1::Member& peer) {
  if (peer.config_revision() <= revision()) {
    return;
  }
  highest_heard_ = std::max(highest_heard_, peer.config_revision());
  behind_since_ = behind_since_.value_or(clock_.now());
  if (!fetching_) {
    Fetch(peer);
  }
}

void ConfigStore::Fetch(const v1::Member& peer) {
  const std::optional<Endpoint> endpoint = ParseEndpoint(peer.peer_endpoint());
  if (!endpoint.has_value()) {
    return;
  }
  fetching_ = true;
  v1::PeerRequest request;
  request.mutable_config_fetch()->set_have_revision(revision());
  transport_.Call(
      *endpoint, std::move(request), kFetchTimeout,
      [this, alive = std::weak_ptr<bool>(alive_)](
          const std::optional<v1::PeerReply>& reply, const std::string&) {
        if (alive.expired()) {
          return;
        }
        fetching_ = false;
        if (!reply.has_value() || !reply->config_fetch().has_newer()) {
          return;
        }
        const std::uint64_t before = revision();
        history_.Learn(reply->config_fetch().newer());
        Update(before);
      });
}

void ConfigStore::Answer(const v1::ConfigFetch& fetch,
                         const peer::ReplyCallback& respond) {
  v1::PeerReply reply;
  v1::ConfigFetchReply* answer = reply.mutable_config_fetch();
  if (revision() > fetch.have_revision()) {
    *answer->mutable_newer() = history_.in_force();
  }
  respond(std::move(reply));
}

void ConfigStore::Tick() { members_.SetLogSilence(journal_.silence()); }

}  // namespace mulberryroad::config
