#include "base/decision_log.h"

#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/time_util.h>
#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <memory>
#include <utility>

#include "base/json.h"

namespace mulberryroad::base {

namespace {

const log4cxx::LoggerPtr& Logger() {
  static const log4cxx::LoggerPtr logger =
      log4cxx::Logger::getLogger("mulberryroad");
  return logger;
}

std::string FormatTime(WallTime time) {
  const std::int64_t millis = UnixTime(time).count();
  return google::protobuf::util::TimeUtil::ToString(
      google::protobuf::util::TimeUtil::MillisecondsToTimestamp(millis));
}

std::string FormatEventLine(const std::string& level, const std::string& event,
                            const std::string& detail) {
  google::protobuf::Struct line;
  auto& fields = *line.mutable_fields();
  fields["time"].set_string_value(FormatTime(std::chrono::system_clock::now()));
  fields["level"].set_string_value(level);
  fields["event"].set_string_value(event);
  fields["detail"].set_string_value(detail);
  return ToJson(line);
}

}  // namespace

void SetUpLogging(const std::string& level) {
  const auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout);
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(appender);
  Logger()->setLevel(log4cxx::Level::toLevel(level));
}

void SetUpAsyncLogging(const std::string& level) {
  // Holds the lines that StructuredLog writes in about a second at its highest
  // rate.
  constexpr int kBufferCapacityLines = 512;
  const auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
  const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout);
  const auto appender = std::make_shared<log4cxx::AsyncAppender>();
  appender->setBufferSize(kBufferCapacityLines);
  appender->setBlocking(false);
  appender->addAppender(console);
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(appender);
  Logger()->setLevel(log4cxx::Level::toLevel(level));
}

void ShutDownLogging() { log4cxx::LogManager::shutdown(); }

void LogInfo(const std::string& event, const std::string& detail) {
  LOG4CXX_INFO(Logger(), FormatEventLine("info", event, detail));
}

void LogWarning(const std::string& event, const std::string& detail) {
  LOG4CXX_WARN(Logger(), FormatEventLine("warn", event, detail));
}

void LogError(const std::string& event, const std::string& detail) {
  LOG4CXX_ERROR(Logger(), FormatEventLine("error", event, detail));
}

DecisionLog::DecisionLog(const Clock& clock, NodeId node, std::size_t capacity)
    : clock_(clock), node_(std::move(node)), capacity_(capacity) {}

void DecisionLog::Write(v1::Decision decision) {
  decision.set_time(FormatTime(clock_.wall_now()));
  decision.set_node_id(node_.value());
  LOG4CXX_INFO(Logger(), ToJson(decision));
  recent_decisions_.push_back(std::move(decision));
  if (recent_decisions_.size() > capacity_) {
    recent_decisions_.pop_front();
  }
}

std::vector<v1::Decision> DecisionLog::Explain(
    const std::string& request_or_batch) const {
  std::vector<v1::Decision> matches;
  for (const v1::Decision& decision : recent_decisions_) {
    if (decision.request_id() == request_or_batch ||
        decision.batch() == request_or_batch) {
      matches.push_back(decision);
    }
  }
  return matches;
}

}  // namespace mulberryroad::base
