#include "peridotshelf/events/log.h"

#include <log4cplus/appender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <climits>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>

#include "peridotshelf/base/text.h"

namespace peridotshelf::events {
namespace {

/// Writes whole lines to standard output and drops lines that would block. A
/// pipe that polls writable accepts up to PIPE_BUF bytes without blocking.
class StandardOutputAppender : public log4cplus::Appender {
 public:
  StandardOutputAppender() = default;
  ~StandardOutputAppender() override { destructorImpl(); }
  // log4cplus prescribes these names and signatures.
  void close() override { closed = true; }
  /// Returns the number of lines dropped since the last call.
  int64_t TakeDroppedCount() { return m_dropped.exchange(0); }
  /// Counts a line that was dropped before it came here.
  void CountDropped() { ++m_dropped; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    const std::string line = event.getMessage() + "\n";
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    // Writing a longer line could block halfway even if the output polls
    // writable.
    const bool writable = line.size() <= PIPE_BUF && poll(&output, 1, 0) == 1 &&
                          (output.revents & POLLOUT) != 0;
    if (!writable || write(STDOUT_FILENO, line.data(), line.size()) < 0) {
      ++m_dropped;
    }
  }

 private:
  std::atomic<int64_t> m_dropped{0};
};

/// Limits the number of lines per second of each event.
class LineLimiter {
 public:
  /// Returns whether another line of `id` may be written at `now`. When a new
  /// second begins, sets `suppressed` to the number of lines of each event that
  /// were suppressed in the previous one.
  bool Allow(EventId id, Level level, std::chrono::steady_clock::time_point now,
             std::map<EventId, int64_t>& suppressed) {
    std::scoped_lock lock(m_mutex);
    if (now - m_second_start >= std::chrono::seconds(1)) {
      m_second_start = now;
      m_written.clear();
      suppressed.swap(m_suppressed);
      m_suppressed.clear();
    }
    const int limit =
        level >= Level::kWarning ? 2 * kMaxLinesPerSecond : kMaxLinesPerSecond;
    if (++m_written[id] <= limit) return true;
    ++m_suppressed[id];
    return false;
  }

 private:
  std::mutex m_mutex;
  std::chrono::steady_clock::time_point m_second_start{};
  std::map<EventId, int> m_written;
  std::map<EventId, int64_t> m_suppressed;
};

struct State {
  log4cplus::Logger logger;
  std::string process;
  StandardOutputAppender* appender = nullptr;
  LineLimiter limiter;
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

/// Longest text of a field; shorter if the line would be over `kMaxLineBytes`.
constexpr size_t kMaxTextBytes = 2048;
/// A line and its newline are written at once.
constexpr size_t kMaxLineBytes = PIPE_BUF - 1;

/// Adds a text field. Names it in `cut` or `escaped` if the line does not have
/// all of its bytes as they are.
void AddText(nlohmann::ordered_json& line, const std::string& key,
             std::string_view text, size_t max_bytes,
             nlohmann::ordered_json& cut, nlohmann::ordered_json& escaped) {
  if (text.size() > max_bytes) {
    cut[key] = text.size();
    text = text.substr(0, FindCut(text, max_bytes));
  }
  if (IsUtf8(text)) {
    line[key] = text;
  } else {
    escaped.push_back(key);
    line[key] = EscapeBytes(text);
  }
}

std::string FormatFields(EventId id, std::string_view process,
                         std::string_view time,
                         std::initializer_list<Field> fields, size_t max_text) {
  const EventInfo& info = FindEventInfo(id);
  nlohmann::ordered_json line;
  nlohmann::ordered_json cut;
  nlohmann::ordered_json escaped;
  line["time"] = time;
  line["level"] = ToString(info.level);
  line["event"] = static_cast<int>(id);
  line["name"] = info.name;
  AddText(line, "process", process, max_text, cut, escaped);
  for (const Field& field : fields) {
    const std::string key(field.key);
    if (const auto* text = std::get_if<std::string>(&field.value)) {
      AddText(line, key, *text, max_text, cut, escaped);
    } else {
      std::visit([&](const auto& value) { line[key] = value; }, field.value);
    }
  }
  if (!cut.is_null()) line["cut"] = std::move(cut);
  if (!escaped.is_null()) line["escaped"] = std::move(escaped);
  return line.dump();
}

void LogOrThrow(State& state, EventId id, std::initializer_list<Field> fields) {
  const Level level = FindEventInfo(id).level;
  if (!state.logger.isEnabledFor(ToLogLevel(level))) return;
  std::map<EventId, int64_t> suppressed;
  const bool allowed = state.limiter.Allow(
      id, level, std::chrono::steady_clock::now(), suppressed);
  const auto write = [&](EventId event, std::initializer_list<Field> values) {
    state.logger.log(ToLogLevel(FindEventInfo(event).level),
                     FormatLine(event, state.process, CurrentTime(), values));
  };
  for (const auto& [event, count] : suppressed) {
    write(EventId::kEventsSuppressed, {{"of", FindEventInfo(event).name},
                                       {"count", count},
                                       {"cause", "rate"}});
  }
  if (allowed) write(id, fields);
  const int64_t dropped = state.appender->TakeDroppedCount();
  if (dropped > 0) {
    write(EventId::kEventsSuppressed,
          {{"of", "any"}, {"count", dropped}, {"cause", "output_full"}});
  }
}

}  // namespace

void StartLogging(Level threshold, std::string_view process) {
  log4cplus::initialize();
  auto* output = new StandardOutputAppender();
  log4cplus::SharedAppenderPtr appender(output);
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  auto logger = log4cplus::Logger::getRoot();
  logger.removeAllAppenders();
  logger.addAppender(appender);
  logger.setLogLevel(ToLogLevel(threshold));
  // Threads may still log while the process exits, so the state is never freed.
  auto* state = new State{logger, std::string(process), output, {}};
  g_state.store(state);
}

void Log(EventId id, std::initializer_list<Field> fields) noexcept {
  State* state = g_state.load();
  if (state == nullptr) return;
  try {
    LogOrThrow(*state, id, fields);
  } catch (...) {
    state->appender->CountDropped();
  }
}

std::string FormatLine(EventId id, std::string_view process,
                       std::string_view time,
                       std::initializer_list<Field> fields) {
  std::string line;
  size_t max_text = kMaxTextBytes;
  do {
    line = FormatFields(id, process, time, fields, max_text);
    max_text /= 2;
  } while (line.size() > kMaxLineBytes && max_text > 0);
  return line;
}

}  // namespace peridotshelf::events
