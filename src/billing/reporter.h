// Closes usage windows and reports them, under the lease "reporter".

#ifndef MULBERRYROAD_SRC_BILLING_REPORTER_H_
#define MULBERRYROAD_SRC_BILLING_REPORTER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/decision_log.h"
#include "base/event_loop.h"
#include "billing/window_book.h"
#include "config/configuration.h"
#include "lease/leases.h"
#include "log/journal.h"
#include "mulberryroad/clock.h"
#include "platform/platform.h"

namespace mulberryroad::billing {

/// Role of the node that closes and reports windows.
inline constexpr char kReporterRole[] = "reporter";

/// A report is sent only from the close record that was read back from the log,
/// never from figures in memory, so that whoever holds the lease sends the
/// same.
class Reporter {
 public:
  Reporter(base::EventLoop& loop, const Clock& clock, log::Journal& journal,
           lease::Leases& leases, config::Configuration& configuration,
           platform::UsageService& usage_service, base::DecisionLog& decisions);

  /// Gives the lease up, for a graceful stop.
  void Stop();
  /// Does the work that is due; a timer calls it.
  void Tick();
  const WindowBook& book() const { return book_; }

  static constexpr std::chrono::milliseconds kTickInterval{500};

 private:
  void CloseDueWindow(std::uint64_t epoch);
  void SendReports(std::uint64_t epoch);
  void Send(const ClosedWindow& window, const v1::UsageFigures& figures,
            std::uint64_t epoch);
  void AppendReported(const v1::UsageReport& report);
  void LogClose(const v1::WindowClose& close);
  void LogReport(const v1::UsageReport& report, const std::string& reason,
                 Verdict verdict);
  std::optional<std::uint64_t> epoch() const;
  std::vector<OrganisationId> organisations() const;

  const Clock& clock_;
  log::Journal& journal_;
  lease::Leases& leases_;
  config::Configuration& configuration_;
  platform::UsageService& usage_service_;
  base::DecisionLog& decisions_;
  RoleId role_{kReporterRole};
  WindowBook book_;
  bool closing_ = false;
  /// Ids of reports that are under way, or taken but not yet marked so.
  std::set<std::string> in_flight_;
  base::Timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Returns the report of one organisation's figures in a closed window.
v1::UsageReport MakeReport(const v1::WindowClose& close,
                           const v1::UsageFigures& figures,
                           std::uint64_t fencing);

}  // namespace mulberryroad::billing

#endif  // MULBERRYROAD_SRC_BILLING_REPORTER_H_
