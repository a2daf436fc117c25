#include "control/controller.h"

#include <utility>

namespace mulberryroad::control {

Controller::Controller(base::EventLoop& loop, const Clock& clock,
                       peer::Transport& transport, membership::Members& members,
                       config::Configuration& configuration,
                       lease::Leases& leases, log::Journal& journal,
                       platform::VmDirectory& directory,
                       platform::OrderingService& ordering,
                       platform::EngineControl& engines,
                       platform::WeightStore& weights,
                       base::DecisionLog& decisions, FailureDomainId own,
                       ControllerOptions options)
    : services_{clock,     transport, members, configuration, leases,   journal,
                directory, ordering,  engines, weights,       decisions},
      own_(std::move(own)) {
  timer_ = loop.Every(options.interval, [this] { Tick(); });
}

void Controller::Stop() {
  timer_.Cancel();
  domains_.clear();
}

std::vector<log::LedStream> Controller::led_streams() {
  std::vector<log::LedStream> led;
  for (const auto& [domain, controller] : domains_) {
    if (std::optional<log::LedStream> stream = controller->led_stream()) {
      led.push_back(*std::move(stream));
    }
  }
  return led;
}

void Controller::Tick() {
  const std::set<FailureDomainId> wanted = WantedDomains();
  std::erase_if(domains_, [&wanted](const auto& entry) {
    return !wanted.contains(entry.first);
  });
  for (const FailureDomainId& domain : wanted) {
    std::unique_ptr<DomainController>& controller = domains_[domain];
    if (controller == nullptr) {
      controller = std::make_unique<DomainController>(services_, domain);
    }
    controller->Tick();
  }
}

std::set<FailureDomainId> Controller::WantedDomains() const {
  std::set<FailureDomainId> wanted{own_};
  const v1::Declaration* declaration = services_.configuration.declaration();
  if (declaration == nullptr) {
    return wanted;
  }
  std::set<std::string> covered;
  for (const v1::Member& member : services_.members.eligible()) {
    covered.insert(member.failure_domain());
  }
  const std::string& self = services_.members.self().node_id();
  for (const v1::FailureDomain& domain : declaration->failure_domains()) {
    if (covered.contains(domain.name())) {
      continue;
    }
    const FailureDomainId id(domain.name());
    const auto heir = services_.members.Owner(ControllerRole(id).value());
    if (heir && heir->node_id() == self) {
      wanted.insert(id);
    }
  }
  return wanted;
}

}  // namespace mulberryroad::control
