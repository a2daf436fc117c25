#include "serving/admission_queues.h"

#include <utility>

namespace mulberryroad::serving {

AdmissionQueues::AdmissionQueues(base::EventLoop& loop, const Clock& clock,
                                 base::Metrics& metrics,
                                 std::mt19937_64& random)
    : loop_(loop), clock_(clock), metrics_(metrics), random_(random) {
  metrics_.Gauge("requests_queued",
                 [this] { return static_cast<double>(size()); });
}

AdmissionQueues::~AdmissionQueues() { *alive_ = false; }

double AdmissionQueues::Draw() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
}

std::variant<AdmissionQueue::Ticket, AdmissionRefusal> AdmissionQueues::Add(
    const TargetId& service, const QueuedRequest& request, Waiter waiter) {
  Service& entry = services_[service];
  auto result = entry.queue.Add(request, clock_.now(), Draw());
  if (const auto* ticket = std::get_if<AdmissionQueue::Ticket>(&result)) {
    entry.waiters[*ticket] = std::move(waiter);
    PostDispatch(service);
  }
  return result;
}

void AdmissionQueues::Remove(const TargetId& service,
                             AdmissionQueue::Ticket ticket) {
  Service& entry = services_[service];
  entry.queue.Remove(ticket, clock_.now());
  entry.waiters.erase(ticket);
}

std::optional<AdmissionRefusal> AdmissionQueues::EndWait(
    const TargetId& service, AdmissionQueue::Ticket ticket) {
  AdmissionQueue& queue = services_[service].queue;
  const bool overloaded = queue.overloaded(clock_.now());
  Remove(service, ticket);
  return overloaded ? std::optional(queue.Refuse("the service is overloaded",
                                                 clock_.now(), Draw()))
                    : std::nullopt;
}

void AdmissionQueues::OnStarted(const TargetId& service,
                                const RequestRank& rank) {
  services_[service].queue.OnStarted(rank);
}

void AdmissionQueues::OnEnded(const TargetId& service, const RequestRank& rank,
                              std::chrono::microseconds used) {
  services_[service].queue.OnEnded(rank, used);
  PostDispatch(service);
}

bool AdmissionQueues::HasWaiting(const TargetId& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.queue.size() > 0;
}

std::size_t AdmissionQueues::size() const {
  std::size_t sum = 0;
  for (const auto& [id, service] : services_) {
    sum += service.queue.size();
  }
  return sum;
}

// Posted, since the caller may be inside a callback of a request.
void AdmissionQueues::PostDispatch(const TargetId& id) {
  Service& service = services_[id];
  if (service.queue.size() == 0 || std::exchange(service.posted, true)) {
    return;
  }
  loop_.Post([this, alive = alive_, id] {
    if (*alive) {
      services_[id].posted = false;
      Dispatch(id);
    }
  });
}

void AdmissionQueues::Dispatch(const TargetId& id) {
  Service& service = services_[id];
  while (const auto next = service.queue.TakeNext(
             clock_.now(), [&service](AdmissionQueue::Ticket ticket) {
               return service.waiters.at(ticket).may_send();
             })) {
    const Waiter waiter = std::move(service.waiters.extract(*next).mapped());
    waiter.on_turn();
  }
  if (service.queue.size() > 0) {
    service.timer = loop_.After(kRetryInterval, [this, id] { Dispatch(id); });
  }
}

}  // namespace mulberryroad::serving
