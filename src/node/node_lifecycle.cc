// Reload of the settings and the drain of a node.

#include <string>
#include <utility>
#include <variant>

#include "node/node_impl.h"

namespace mulberryroad::node {

namespace {

constexpr int kGatewayTimeout = 504;
constexpr char kStoppedBody[] =
    R"({"error":"the node stopped before the request ended"})";

}  // namespace

void Node::Impl::Reload(ReloadCause cause) {
  const bool by_signal = cause == ReloadCause::kSignal;
  const SettingsResult read = reload_settings_();
  if (const auto* reason = std::get_if<std::string>(&read)) {
    log_.Write("reload.failed",
               {{"by_signal", by_signal}, {"reason", *reason}});
    return;
  }
  const auto& settings = std::get<Settings>(read);
  const bool changed = settings.seeds != settings_.seeds;
  if (changed) {
    settings_.seeds = settings.seeds;
    peers_.SetPeers(internal::SeedPeers(settings_));
    store_relay_.SetPeers(internal::SeedPeers(settings_));
  }
  if (changed || by_signal) {
    log_.Write("reload",
               {{"by_signal", by_signal}, {"seeds_changed", changed}});
  }
}

base::DrainSteps Node::Impl::MakeDrainSteps() {
  base::DrainSteps steps;
  steps.announce = [this] {
    log_.Write("drain.begin",
               {{"open_requests",
                 static_cast<std::int64_t>(callers_.open_exchanges())}});
    lease_.Release();
    batch_host_.Leave();
    usage_.Flush();
    callers_.BeginDrain();
  };
  steps.stop_accepting = [this] { callers_.StopAccepting(); };
  steps.open_requests = [this] {
    return callers_.open_exchanges() + callers_.unsent_responses() +
           forward_server_.open() +
           (peer_server_.has_value() ? peer_server_->unsent_responses() : 0);
  };
  steps.refuse = [this] {
    stopping_ = true;
    usage_.Flush();
  };
  steps.abandon = [this] {
    log_.Write("drain.abandon",
               {{"open_requests",
                 static_cast<std::int64_t>(callers_.open_exchanges())},
                {"unsent_responses",
                 static_cast<std::int64_t>(callers_.unsent_responses())}});
    // They may have run: an upstream may still work on them.
    callers_.ReplyToOpenExchanges(kGatewayTimeout, kStoppedBody);
  };
  steps.hand_over = [](const std::function<void()>& done) { done(); };
  steps.stop = [this] {
    log_.Write("stop", {{"open_requests", static_cast<std::int64_t>(
                                              callers_.open_exchanges())}});
    loop_.Stop();
  };
  return steps;
}

}  // namespace mulberryroad::node
