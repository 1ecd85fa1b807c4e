/// What the operators' commands share: the log as calls that wait, and the
/// settings that all of them take.
#pragma once

#include <string>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/control/publisher.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/platform/log_client.h"
#include "peridotshelf/settings/schema.h"

namespace peridotshelf::program {

/// The platform's log for a process that has nothing else to do.
class HttpWaitingLog {
 public:
  explicit HttpWaitingLog(const std::string& url) : m_log(url, m_client) {}

  Result<int64_t> Append(const std::string& payload);
  Result<platform::LogPage> Read(int64_t from, Duration wait);

 private:
  http::Client m_client;
  platform::HttpLogClient m_log;
};

static_assert(control::WaitingLog<HttpWaitingLog>);

/// The operating system's clock, and sleep.
class SleepingClock {
 public:
  TimePoint Now() const { return SteadyClock().Now(); }
  void Sleep(Duration span);
};

/// Settings of every operator's command.
struct OperatorSettings {
  std::string log_url;
  /// How long to try.
  Duration time_limit = std::chrono::seconds(10);
  bool json = false;
};

/// Declares those settings.
template <class S>
void AddOperatorSettings(settings::SettingsBuilder<S>& builder) {
  constexpr settings::Range<int64_t> kTimeLimitMs{100, 600'000};
  builder.Url(&S::log_url, {"--log-url", "Base URL of the log service.", true})
      .Milliseconds(&S::time_limit,
                    {"--time-limit-ms", "How long to try before giving up."},
                    kTimeLimitMs)
      .Switch(&S::json, {"--json", "Write JSON lines instead of text."});
}

/// Now as UTC text, such as "2026-12-03T20:39:00Z".
std::string UtcNow();

}  // namespace peridotshelf::program
