// Seams in memory for the shells of control and billing: a journal that
// delivers on demand, leases that are set, and a configuration.

#ifndef MULBERRYROAD_TEST_FAKES_MEMORY_SERVICES_H_
#define MULBERRYROAD_TEST_FAKES_MEMORY_SERVICES_H_

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "config/configuration.h"
#include "lease/leases.h"
#include "log/journal.h"

namespace mulberryroad::fakes {

/// The streams that the journals of a test share.
using MemoryStreams = std::map<std::string, std::vector<v1::Record>>;

/// Appends at once; subscribers get the records when Deliver is called.
class MemoryJournal final : public log::Journal {
 public:
  explicit MemoryJournal(MemoryStreams& streams) : streams_(streams) {}

  /// While down, appends are lost and nothing is delivered.
  void SetDown(bool down) { down_ = down; }
  void Deliver() {
    for (Subscription& subscription : subscriptions_) {
      const auto& records = streams_[subscription.stream];
      while (!down_ && subscription.next < records.size()) {
        const platform::Offset offset = subscription.next++;
        subscription.on_record(offset, records[offset]);
      }
    }
  }

  void Append(const std::string& stream, v1::Record record,
              std::chrono::milliseconds /*give_up_after*/,
              log::OnJournaled on_journaled) override {
    if (down_) {
      on_journaled(std::nullopt, "down");
      return;
    }
    streams_[stream].push_back(std::move(record));
    on_journaled(streams_[stream].size() - 1, "");
  }
  void Subscribe(const std::string& stream, log::OnRecord on_record) override {
    subscriptions_.push_back({stream, std::move(on_record), 0});
  }
  void Unsubscribe(const std::string& stream) override {
    std::erase_if(subscriptions_, [&stream](const Subscription& subscription) {
      return subscription.stream == stream;
    });
  }
  bool caught_up(const std::string& /*stream*/) const override { return true; }
  std::chrono::milliseconds silence() const override {
    return std::chrono::milliseconds(0);
  }

 private:
  struct Subscription {
    std::string stream;
    log::OnRecord on_record;
    std::size_t next = 0;
  };

  MemoryStreams& streams_;
  std::vector<Subscription> subscriptions_;
  bool down_ = false;
};

/// One term for all roles, as the test sets it.
class MemoryLeases final : public lease::Leases {
 public:
  void Hold(std::uint64_t epoch) { term_ = lease::Term{epoch, {}}; }
  void Lapse() { term_.reset(); }

  void Want(const RoleId& /*role*/, bool /*wanted*/) override {}
  std::optional<lease::Term> term(const RoleId& /*role*/) const override {
    return term_;
  }
  std::vector<v1::LeaseState> states() const override { return {}; }
  sigc::signal<void(const RoleId&, std::uint64_t)>& gained() override {
    return gained_;
  }
  sigc::signal<void(const RoleId&)>& lost() override { return lost_; }

 private:
  std::optional<lease::Term> term_;
  sigc::signal<void(const RoleId&, std::uint64_t)> gained_;
  sigc::signal<void(const RoleId&)> lost_;
};

class MemoryConfiguration final : public config::Configuration {
 public:
  v1::Declaration& mutable_declaration() { return declaration_; }

  const v1::Declaration* declaration() const override { return &declaration_; }
  std::uint64_t revision() const override { return 1; }
  std::optional<OrganisationId> Authorise(
      std::string_view /*secret*/,
      config::KeyRefusal* /*refusal*/) const override {
    return std::nullopt;
  }
  void Apply(const std::string& /*text*/, std::uint64_t /*base_revision*/,
             const std::string& /*operator_name*/,
             std::function<void(v1::ApplyReply)> /*on_applied*/) override {}
  sigc::signal<void()>& changed() override { return changed_; }

 private:
  v1::Declaration declaration_;
  sigc::signal<void()> changed_;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_MEMORY_SERVICES_H_
