// The shell around RevisionHistory: reads and appends the stream "config",
// exchanges revisions with peers, and checks keys.

#ifndef MULBERRYROAD_SRC_CONFIG_CONFIG_STORE_H_
#define MULBERRYROAD_SRC_CONFIG_CONFIG_STORE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/event_loop.h"
#include "config/configuration.h"
#include "config/isolation.h"
#include "config/revision_history.h"
#include "log/journal.h"
#include "log/state_digests.h"
#include "membership/membership.h"
#include "mulberryroad/clock.h"
#include "peer/transport.h"

namespace mulberryroad::config {

/// Name of the stream of configurations.
inline constexpr char kConfigStream[] = "config";

struct ConfigStoreOptions {
  /// Keys are refused once neither the log nor enough peers brought news for
  /// this long.
  std::chrono::milliseconds isolation_limit{5'000};
};

class ConfigStore final : public Configuration {
 public:
  ConfigStore(base::EventLoop& loop, const Clock& clock, log::Journal& journal,
              peer::Transport& transport, membership::Membership& members,
              ConfigStoreOptions options);

  const v1::Declaration* declaration() const override;
  std::uint64_t revision() const override;
  std::optional<OrganisationId> Authorise(std::string_view secret,
                                          KeyRefusal* refusal) const override;
  void Apply(const std::string& text, std::uint64_t base_revision,
             const std::string& operator_name,
             std::function<void(v1::ApplyReply)> on_applied) override;
  sigc::signal<void()>& changed() override { return changed_; }

  /// Under which authority this node honours keys now.
  Authority authority() const;
  const RevisionHistory& history() const { return history_; }
  /// Writes the configuration into a snapshot, with its digest.
  void Save(v1::Snapshot* snapshot) const;
  /// Snapshots that differ from the state that this node had at their covered
  /// offset.
  std::uint64_t mismatches() const { return digests_.mismatches(); }

 private:
  void OnRecord(platform::Offset offset, const v1::Record& record);
  void OnHeard(const v1::Member& peer);
  void Fetch(const v1::Member& peer);
  void Answer(const v1::ConfigFetch& fetch, const peer::ReplyCallback& respond);
  void Update(std::uint64_t before);
  void Tick();
  v1::ApplyReply ReplyFor(std::optional<platform::Offset> offset,
                          const std::string& reason) const;

  base::EventLoop& loop_;
  const Clock& clock_;
  log::Journal& journal_;
  peer::Transport& transport_;
  membership::Membership& members_;
  ConfigStoreOptions options_;
  RevisionHistory history_;
  log::StateDigests digests_{kConfigStream};
  std::unordered_map<std::string, OrganisationId> organisation_of_digest_;
  bool fetching_ = false;
  // The highest revision that a peer reported, and since when it is missing.
  std::uint64_t highest_heard_ = 0;
  std::optional<Instant> behind_since_;
  sigc::signal<void()> changed_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  base::Timer tick_;
};

}  // namespace mulberryroad::config

#endif  // MULBERRYROAD_SRC_CONFIG_CONFIG_STORE_H_
