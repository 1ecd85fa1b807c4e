/// Shared by the operators' commands: blocking access to the log, and common
/// settings.
#pragma once

#include <string>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/control/publisher.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/platform/log_client.h"
#include "peridotshelf/settings/schema.h"

namespace peridotshelf::program {

/// Blocking client of the platform's log.
class HttpBlockingLog {
 public:
  explicit HttpBlockingLog(const std::string& url) : m_log(url, m_client) {}

  Result<int64_t> Append(const std::string& payload);
  Result<platform::LogPage> Read(int64_t from, Duration wait);

 private:
  http::Client m_client;
  platform::HttpLogClient m_log;
};

static_assert(control::BlockingLog<HttpBlockingLog>);

/// Steady clock and blocking sleep.
class SleepingClock {
 public:
  TimePoint Now() const { return SteadyClock().Now(); }
  void Sleep(Duration span);
};

/// Settings that all operators' commands have.
struct OperatorSettings {
  std::string log_url;
  /// Time after which the command gives up.
  Duration timeout = std::chrono::seconds(10);
  bool json = false;
};

/// Declares the settings of `OperatorSettings`.
template <class S>
void AddOperatorSettings(settings::SettingsBuilder<S>& builder) {
  constexpr settings::Range<int64_t> kTimeoutMs{100, 600'000};
  builder.Url(&S::log_url, {"--log-url", "Base URL of the log service.", true})
      .Milliseconds(
          &S::timeout,
          {"--time-limit-ms", "Time after which the command gives up."},
          kTimeoutMs)
      .Switch(&S::json, {"--json", "Write JSON lines instead of text."});
}

/// Returns the current UTC time as text, such as "2026-12-03T20:39:00Z".
std::string UtcNow();

}  // namespace peridotshelf::program
