#include "base/structured_log.h"

#include <log4cxx/logger.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace mulberryroad::base {

StructuredLog::StructuredLog(const Clock& clock, NodeId node)
    : clock_(clock), node_(std::move(node)), last_refill_(clock.now()) {}

void StructuredLog::Write(std::string_view event,
                          std::initializer_list<LogField> fields) {
  const Instant now = clock_.now();
  const double seconds =
      std::chrono::duration<double>(now - last_refill_).count();
  tokens_ = std::min(kBurstLines, tokens_ + seconds * kLinesPerSecond);
  last_refill_ = now;
  if (tokens_ < 1) {
    ++dropped_;
    return;
  }
  tokens_ -= 1;
  nlohmann::ordered_json line;
  line["time_ms"] = UnixTime(clock_.wall_now()).count();
  line["node"] = node_.value();
  line["event"] = event;
  for (const LogField& field : fields) {
    std::visit(
        [&line, &field](const auto& value) {
          line[std::string(field.name)] = value;
        },
        field.value);
  }
  if (dropped_ != reported_dropped_) {
    line["lines_dropped"] = dropped_ - reported_dropped_;
    reported_dropped_ = dropped_;
  }
  static const log4cxx::LoggerPtr logger =
      log4cxx::Logger::getLogger("mulberryroad");
  LOG4CXX_INFO(logger, line.dump(-1, ' ', false,
                                 nlohmann::json::error_handler_t::replace));
}

}  // namespace mulberryroad::base
