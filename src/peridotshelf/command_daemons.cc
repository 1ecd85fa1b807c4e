// The subcommands `entry` and `side`.
#include <cstdlib>
#include <iostream>
#include <thread>

#include "peridotshelf/base/idle_timer.h"
#include "peridotshelf/command.h"
#include "peridotshelf/daemons.h"
#include "peridotshelf/events/log.h"
#include "peridotshelf/settings/daemon_settings.h"
#include "peridotshelf/stop_signal.h"

namespace peridotshelf::program {
namespace {

using events::EventId;

/// Idle time before a stopping process exits. Longer than it takes to detect
/// and reopen a lost connection, so that a peer can still fetch the rest of an
/// answer.
constexpr Duration kStopIdlePeriod = std::chrono::seconds(3);
constexpr Duration kStopPollInterval = std::chrono::milliseconds(50);

/// Waits until `daemon` has answered all accepted requests and the answers have
/// had time to arrive.
template <class Daemon>
void WaitUntilIdle(const Daemon& daemon) {
  IdleTimer idle_timer(kStopIdlePeriod);
  while (!idle_timer.HasElapsed(SteadyClock().Now(), daemon.CountRunning())) {
    std::this_thread::sleep_for(kStopPollInterval);
  }
}

ExitCode ReportFailure(const Error& error) {
  std::cerr << "peridotshelf: " << error.detail << "\n";
  return ExitCode::kCannotListen;
}

}  // namespace

ExitCode RunEntry(Arguments args) {
  const auto parsed = settings::EntrySchema().ParseOrExplain(
      args, settings::ProcessEnvironment(), std::cout, std::cerr);
  if (!parsed) return parsed.error();
  const settings::EntrySettings& settings = *parsed;
  const StopSignal stop;
  events::StartLogging(settings.log_level, "entry:" + settings.host);
  io::IoThreads threads(static_cast<size_t>(settings.threads));
  const auto daemon = EntryDaemon::Create(threads, settings);
  if (!daemon) return ReportFailure(daemon.error());
  entry::Entry& entry = (*daemon)->entry();
  events::Log(EventId::kProcessStarted, {{"address", settings.address},
                                         {"http_port", settings.http_port}});
  stop.Wait();
  events::Log(EventId::kProcessStopping);
  (*daemon)->StartLeaving();
  std::this_thread::sleep_for(settings.drain_delay);
  WaitUntilIdle(entry);
  threads.Stop();
  events::Log(EventId::kProcessStopped);
  return ExitCode::kSuccess;
}

ExitCode RunSide(Arguments args) {
  const auto parsed = settings::SideSchema().ParseOrExplain(
      args, settings::ProcessEnvironment(), std::cout, std::cerr);
  if (!parsed) return parsed.error();
  const settings::SideSettings& settings = *parsed;
  const StopSignal stop;
  events::StartLogging(settings.log_level, "side:" + settings.host);
  io::IoThreads threads(static_cast<size_t>(settings.threads));
  const auto daemon = SideDaemon::Create(threads, settings);
  if (!daemon) return ReportFailure(daemon.error());
  side::Side& side = (*daemon)->side();
  events::Log(EventId::kProcessStarted,
              {{"address", settings.address}, {"port", settings.port}});
  stop.Wait();
  events::Log(EventId::kProcessStopping);
  (*daemon)->StartLeaving();
  WaitUntilIdle(side);
  threads.Stop();
  events::Log(EventId::kProcessStopped);
  return ExitCode::kSuccess;
}

}  // namespace peridotshelf::program
