#include "peridotshelf/events/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>

namespace peridotshelf::events {
namespace {

struct State {
  log4cplus::Logger logger;
  std::string process;
};
std::atomic<State*> g_state{nullptr};

log4cplus::LogLevel ToLogLevel(Level level) {
  switch (level) {
    case Level::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case Level::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case Level::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case Level::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

std::string_view ToString(Level level) {
  switch (level) {
    case Level::kDebug:
      return "debug";
    case Level::kInfo:
      return "info";
    case Level::kWarning:
      return "warning";
    case Level::kError:
      return "error";
  }
  return "error";
}

std::string CurrentTime() {
  const auto now = std::chrono::system_clock::now();
  const auto since_epoch = now.time_since_epoch();
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count() %
      1000;
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char date[32];
  std::strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &parts);
  char text[48];
  std::snprintf(text, sizeof(text), "%s.%03dZ", date, static_cast<int>(millis));
  return text;
}

}  // namespace

void StartLogging(Level threshold, std::string_view process) {
  log4cplus::initialize();
  auto layout = std::make_unique<log4cplus::PatternLayout>("%m%n");
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/true,
                                     /*immediateFlush=*/true));
  appender->setLayout(std::move(layout));
  auto logger = log4cplus::Logger::getRoot();
  logger.removeAllAppenders();
  logger.addAppender(appender);
  logger.setLogLevel(ToLogLevel(threshold));
  // Threads may still log while the process ends, so the state is never freed.
  g_state.store(new State{logger, std::string(process)});
}

void Log(EventId id, std::initializer_list<Field> fields) {
  State* state = g_state.load();
  if (state == nullptr) return;
  const log4cplus::LogLevel level = ToLogLevel(InfoOf(id).level);
  if (!state->logger.isEnabledFor(level)) return;
  state->logger.log(level,
                    FormatLine(id, state->process, CurrentTime(), fields));
}

std::string FormatLine(EventId id, std::string_view process,
                       std::string_view time,
                       std::initializer_list<Field> fields) {
  const EventInfo& info = InfoOf(id);
  nlohmann::ordered_json line;
  line["time"] = time;
  line["level"] = ToString(info.level);
  line["event"] = static_cast<int>(id);
  line["name"] = info.name;
  line["process"] = process;
  for (const Field& field : fields) {
    std::visit([&](const auto& value) { line[field.key.data()] = value; },
               field.value);
  }
  return line.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace peridotshelf::events
