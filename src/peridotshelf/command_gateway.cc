// The subcommand `gateway`.
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

constexpr Duration kStopPoll = std::chrono::milliseconds(50);
/// The balancer asks once a second and takes a process out after two misses;
/// connections that are being opened meanwhile are served.
constexpr Duration kBalancerDelay = std::chrono::milliseconds(2700);
/// Before the process would be killed: its end takes a fraction of a second.
constexpr Duration kKillMargin = std::chrono::milliseconds(800);

/// Serves on until callers have gone to other processes and all requests have
/// their answers.
void WaitUntilIdle(GatewayDaemon& daemon, Duration grace) {
  const TimePoint began = SteadyClock().Now();
  const TimePoint last = began + grace - kKillMargin;
  std::this_thread::sleep_until(began + kBalancerDelay);
  daemon.StopTakingWork();
  while (SteadyClock().Now() < last) {
    std::this_thread::sleep_for(kStopPoll);
    const GatewayDaemon::Open open = daemon.CountOpen();
    if (open.requests == 0 && open.connections == 0) return;
  }
}

/// The file may change without a signal, so its text is compared at intervals.
constexpr Duration kSettingsPoll = std::chrono::seconds(2);

/// Serves until asked to stop; takes changed settings meanwhile.
void ServeUntilStopped(const StopSignal& signals, GatewayDaemon& daemon,
                       const std::string& path,
                       const deployment::ProcessSettings& started_with) {
  deployment::ProcessSettings current = started_with;
  while (true) {
    const auto asked = signals.WaitFor(kSettingsPoll);
    if (asked == Request::kStop) return;
    const auto changed = deployment::ReadSettings(path);
    if (!changed) {
      events::Log(EventId::kSettingsReloaded,
                  {{"taken", false}, {"reason", changed.error().detail}});
      continue;
    }
    if (*changed == current && !asked) continue;
    events::Log(EventId::kSettingsReloaded,
                {{"taken", true},
                 {"changed", !(*changed == current)},
                 {"signal", asked.has_value()},
                 {"store", changed->store.ToString()}});
    current = *changed;
    daemon.TakeSettings(current);
  }
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
  auto daemon = GatewayDaemon::Create(*settings);
  if (!daemon) {
    std::cerr << "peridotshelf: " << daemon.error().detail << "\n";
    return ExitCode::kCannotListen;
  }
  events::Log(EventId::kProcessStarted,
              {{"callers", settings->callers.ToString()},
               {"store", settings->store.ToString()},
               {"failure_domain", settings->failure_domain.value()}});
  ServeUntilStopped(signals, **daemon, parsed->config, *settings);
  events::Log(EventId::kProcessStopping);
  (*daemon)->StartLeaving();
  WaitUntilIdle(**daemon, settings->stop_grace);
  (*daemon)->AbortAll();
  events::Log(EventId::kProcessStopped);
  return ExitCode::kSuccess;
}

}  // namespace peridotshelf::program
