#include "ctl/in_force.h"

#include <thread>

#include "base/json.h"
#include "mulberryroad/clock.h"

namespace mulberryroad::ctl {

namespace {

constexpr std::chrono::milliseconds kPollInterval{100};
constexpr int kOk = 200;

bool IsLive(const v1::Member& member) {
  return member.state() == v1::MEMBER_ALIVE ||
         member.state() == v1::MEMBER_SUSPECT ||
         member.state() == v1::MEMBER_LEAVING;
}

}  // namespace

Spread CountInForce(const v1::NodeStatus& status, std::uint64_t revision) {
  Spread spread;
  for (const v1::Member& member : status.members()) {
    if (!IsLive(member)) {
      continue;
    }
    ++spread.live;
    // The node that was asked knows its own revision best.
    const std::uint64_t at_member = member.node_id() == status.node_id()
                                        ? status.config_revision()
                                        : member.config_revision();
    if (at_member >= revision) {
      ++spread.in_force;
    }
  }
  return spread;
}

bool WaitInForce(AdminClient& client, std::uint64_t revision,
                 std::chrono::milliseconds timeout, std::ostream& out,
                 std::ostream& err) {
  const SystemClock clock;
  const Instant deadline = clock.now() + timeout;
  std::size_t shown = 0;
  while (clock.now() < deadline) {
    const AdminAnswer answer =
        client.Ask(http::Method::kGet, "/admin/v1/status");
    v1::NodeStatus status;
    if (answer.status == kOk && base::FromJson(answer.body, &status, nullptr)) {
      const Spread spread = CountInForce(status, revision);
      if (spread.in_force != shown) {
        shown = spread.in_force;
        out << "in force on " << spread.in_force << " of " << spread.live
            << " nodes" << std::endl;
      }
      if (spread.complete()) {
        return true;
      }
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  err << "not in force everywhere within " << timeout.count() << " ms\n";
  return false;
}

}  // namespace mulberryroad::ctl
