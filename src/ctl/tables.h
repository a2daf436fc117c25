// Readable output of mulberryctl.

#ifndef MULBERRYROAD_SRC_CTL_TABLES_H_
#define MULBERRYROAD_SRC_CTL_TABLES_H_

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "ctl/commands.h"
#include "mulberryroad/api.pb.h"
#include "mulberryroad/billing.pb.h"
#include "mulberryroad/decision.pb.h"

namespace mulberryroad::ctl {

/// Prints nodes, roles and pools.
void PrintStatus(const v1::NodeStatus& status, std::ostream& out);

/// Prints usage counters, one line each.
void PrintUsage(const v1::UsageAppend& usage, std::ostream& out);

/// Prints the lines of a difference, or that there is none.
void PrintPlan(std::uint64_t revision, const std::vector<std::string>& lines,
               OutputFormat format, std::ostream& out);

/// Sorts decisions by time and prints them.
void PrintExplanation(v1::Explanation* explanation, OutputFormat format,
                      std::ostream& out);

}  // namespace mulberryroad::ctl

#endif  // MULBERRYROAD_SRC_CTL_TABLES_H_
