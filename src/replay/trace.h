// Reads and generates traces for replay. A trace file holds one v1::TraceEvent
// per line in JSON.

#ifndef MULBERRYROAD_SRC_REPLAY_TRACE_H_
#define MULBERRYROAD_SRC_REPLAY_TRACE_H_

#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <vector>

#include "mulberryroad/replay.pb.h"

namespace mulberryroad::replay {

/// Events ordered by time. The first is the setup, the last is the end.
using Trace = std::vector<v1::TraceEvent>;

/// Reads a trace in JSON lines.
/// @param reason receives the line number, if known, and the cause of a failure
/// @return nullopt if a line cannot be parsed or the setup or end is missing
std::optional<Trace> ReadTrace(std::istream& in, std::string* reason);

/// Returns the names that GenerateTrace accepts.
std::vector<std::string> TraceNames();

/// Generates a trace.
/// @param name deployment and scenario, such as "armor-flood"
/// @param seed seed of the random arrivals and lengths
/// @return nullopt if the name is unknown
std::optional<Trace> GenerateTrace(const std::string& name, std::uint64_t seed);

}  // namespace mulberryroad::replay

#endif  // MULBERRYROAD_SRC_REPLAY_TRACE_H_
