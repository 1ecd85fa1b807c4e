// The subcommand `gateway`.
#include <algorithm>
#include <iostream>
#include <thread>

#include "peridotshelf/command.h"
#include "peridotshelf/events/log.h"
#include "peridotshelf/gateway_daemon.h"
#include "peridotshelf/settings/gateway_settings.h"
#include "peridotshelf/stop_signal.h"
#include "platform/settings_file.h"

namespace peridotshelf::program {
namespace {

using events::EventId;

constexpr Duration kStopPollInterval = std::chrono::milliseconds(50);
/// The load balancer checks readiness once a second and removes a process after
/// two failed checks; connections opened until then are served.
constexpr Duration kBalancerRemovalDelay = std::chrono::milliseconds(2700);
/// Waiting ends this long before the platform kills the process; exiting takes
/// a fraction of a second.
constexpr Duration kKillMargin = std::chrono::milliseconds(800);

/// All calls are refused for this long before running requests are aborted, so
/// that those accepted last are not among them.
constexpr Duration kLastCallTime = std::chrono::milliseconds(800);
/// How long the last answers may take to reach their callers, within
/// `kKillMargin`.
constexpr Duration kLastAnswersTime = std::chrono::milliseconds(400);

/// Waits until callers have no open request or connection, or until `deadline`.
/// Returns whether they have none.
bool WaitUntilIdle(const GatewayDaemon& daemon, TimePoint deadline) {
  while (SteadyClock().Now() < deadline) {
    const GatewayDaemon::OpenCounts open = daemon.CountOpen();
    if (open.requests == 0 && open.connections == 0) return true;
    std::this_thread::sleep_for(kStopPollInterval);
  }
  return false;
}

/// Keeps serving until callers have moved to other processes and all requests
/// are answered, or until `grace` is almost over; then gives each caller its
/// final answer.
void Stop(GatewayDaemon& daemon, Duration grace) {
  const TimePoint start = SteadyClock().Now();
  const TimePoint deadline = start + grace - kKillMargin;
  daemon.StartLeaving();
  std::this_thread::sleep_until(
      std::min(start + kBalancerRemovalDelay, deadline - kLastCallTime));
  daemon.RefuseLongWork(deadline);
  if (!WaitUntilIdle(daemon, deadline - kLastCallTime)) {
    daemon.RefuseAllNewWork();
    WaitUntilIdle(daemon, deadline);
  }
  daemon.Shutdown();
  WaitUntilIdle(daemon, SteadyClock().Now() + kLastAnswersTime);
}

/// The settings file may change without a signal, so it is also read
/// periodically.
constexpr Duration kSettingsPollInterval = std::chrono::seconds(2);

/// Reads the settings file and applies it to `daemon` if it has changed or
/// `is_requested`. A file that cannot be read changes nothing.
void ReloadSettings(GatewayDaemon& daemon, const std::string& path,
                    bool is_requested, deployment::ProcessSettings& current) {
  const auto newest = deployment::ReadSettings(path);
  if (!newest) {
    events::Log(EventId::kSettingsReloaded,
                {{"taken", false}, {"reason", newest.error().detail}});
    return;
  }
  const bool has_changed = !(*newest == current);
  if (!has_changed && !is_requested) return;
  events::Log(EventId::kSettingsReloaded,
              {{"taken", true},
               {"changed", has_changed},
               {"signal", is_requested},
               {"store", newest->store.ToString()}});
  current = *newest;
  daemon.ApplySettings(current);
}

/// Serves until a stop signal; applies changed settings in the meantime and a
/// last time before it returns, so that `current` are those of the stop.
void ServeUntilStopped(const StopSignal& signals, GatewayDaemon& daemon,
                       const std::string& path,
                       deployment::ProcessSettings& current) {
  while (true) {
    const auto action = signals.WaitFor(kSettingsPollInterval);
    const bool is_stopped = action == SignalAction::kStop;
    ReloadSettings(daemon, path, action && !is_stopped, current);
    if (is_stopped) return;
  }
}

scheduling::HedgeOptions MakeHedgeOptions(
    const settings::GatewaySettings& settings) {
  scheduling::HedgeOptions::Builder builder;
  builder.SetRequestShare(settings.hedge_requests);
  if (settings.hedge_engine_time > 0) {
    builder.SetEngineTimeShare(settings.hedge_engine_time);
  }
  return builder.Build();
}

}  // namespace

ExitCode RunGateway(Arguments args) {
  const auto parsed = settings::GatewaySchema().ParseOrExplain(
      args, settings::ProcessEnvironment(), std::cout, std::cerr);
  if (!parsed) return parsed.error();
  const auto settings = deployment::ReadSettings(parsed->config);
  if (!settings) {
    std::cerr << "peridotshelf: " << parsed->config << ": "
              << settings.error().detail << "\n";
    return ExitCode::kBadSettings;
  }
  const StopSignal signals = StopSignal::WithReload();
  events::StartLogging(parsed->log_level, "gateway:" + settings->host.value());
  auto daemon = GatewayDaemon::Create(*settings, MakeHedgeOptions(*parsed));
  if (!daemon) {
    std::cerr << "peridotshelf: " << daemon.error().detail << "\n";
    return ExitCode::kCannotListen;
  }
  events::Log(EventId::kProcessStarted,
              {{"callers", settings->callers.ToString()},
               {"store", settings->store.ToString()},
               {"failure_domain", settings->failure_domain.value()}});
  deployment::ProcessSettings current = *settings;
  ServeUntilStopped(signals, **daemon, parsed->config, current);
  events::Log(EventId::kProcessStopping);
  Stop(**daemon, current.stop_grace);
  events::Log(EventId::kProcessStopped);
  return ExitCode::kSuccess;
}

}  // namespace peridotshelf::program
