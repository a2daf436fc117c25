// Judges a soak run by what callers and upstreams saw. Pure.

#ifndef MULBERRYROAD_TEST_SOAK_CHECKS_H_
#define MULBERRYROAD_TEST_SOAK_CHECKS_H_

#include <cstdint>
#include <istream>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "soak/traffic.h"
#include "soak/trainer.h"

namespace mulberryroad::soak {

/// What all upstreams noted.
struct UpstreamNotes {
  struct Run {
    std::int64_t at_ms = 0;
    std::string organisation;
    bool key_seen = false;
    std::uint64_t resume_after = 0;
  };
  struct Order {
    std::string upstream;
    std::string holder;
    std::uint64_t fence = 0;
  };
  std::map<std::string, std::vector<Run>> runs;
  /// Versions under which each event of an item was made.
  std::map<std::pair<std::string, std::uint64_t>, std::set<std::uint64_t>>
      events;
  /// When each event of an item was first made.
  std::map<std::pair<std::string, std::uint64_t>, std::int64_t> event_times;
  std::vector<Order> orders;

  /// Adds the lines of one upstream's log.
  void Read(std::istream& log);
};

struct Verdicts {
  std::vector<std::string> violations;
  /// Number of checks made, by what they check.
  std::map<std::string, std::uint64_t> made;

  void Check(const char* what, bool held, const std::string& violation);
};

/// Whole answers, at most one run, true refusals, organisations and keys.
/// @param known ids of further requests that were sent
void CheckRequests(const std::vector<Attempt>& attempts,
                   std::set<std::string> known, const UpstreamNotes& notes,
                   Verdicts* verdicts);
/// Texts, versions and runs of a trainer's steps.
/// @param calm the run had no faults, so that no node may start items late
void CheckSteps(const std::vector<Step>& steps, const std::string& organisation,
                const UpstreamNotes& notes, bool calm, Verdicts* verdicts);
/// Holders and fencing tokens of orders.
void CheckOrders(const UpstreamNotes& notes, Verdicts* verdicts);

/// An item of an ended batch must not start later than this.
inline constexpr std::chrono::milliseconds kCancelTime{3'000};

}  // namespace mulberryroad::soak

#endif  // MULBERRYROAD_TEST_SOAK_CHECKS_H_
