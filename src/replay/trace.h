// Traces for replay: JSON lines of v1::TraceEvent, read or generated.

#ifndef MULBERRYROAD_SRC_REPLAY_TRACE_H_
#define MULBERRYROAD_SRC_REPLAY_TRACE_H_

#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <vector>

#include "mulberryroad/replay.pb.h"

namespace mulberryroad::replay {

/// Events in the order of their time; the first one is the setup.
using Trace = std::vector<v1::TraceEvent>;

/// Reads JSON lines.
/// @param reason receives the line and the cause of a failure
std::optional<Trace> ReadTrace(std::istream& in, std::string* reason);

/// Returns the names that GenerateTrace knows.
std::vector<std::string> TraceNames();

/// Makes a trace of a deployment and a situation, such as "armor-flood".
std::optional<Trace> GenerateTrace(const std::string& name, std::uint64_t seed);

}  // namespace mulberryroad::replay

#endif  // MULBERRYROAD_SRC_REPLAY_TRACE_H_
