// Reload of the settings and the drain of a node.

#include <string>
#include <utility>
#include <variant>

#include "node/node_impl.h"

namespace mulberryroad::node {

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
    return callers_.open_exchanges() + forward_server_.open();
  };
  steps.refuse = [this] {
    stopping_ = true;
    usage_.Flush();
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
