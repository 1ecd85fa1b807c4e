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

/// Longer than a lost connection takes to be found and opened again, which is
/// when a peer comes back for the end of an answer.
constexpr Duration kStopLinger = std::chrono::seconds(3);
constexpr Duration kStopPoll = std::chrono::milliseconds(50);

/// Waits until `daemon` has answered all that it took on, and the answers have
/// had time to arrive.
template <class Daemon>
void WaitUntilIdle(const Daemon& daemon) {
  IdleTimer watch(kStopLinger);
  while (!watch.MayEnd(SteadyClock().Now(), daemon.RunningCount())) {
    std::this_thread::sleep_for(kStopPoll);
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
  const settings::EntrySettings& given = *parsed;
  const StopSignal stop;
  events::StartLogging(given.log_level, "entry:" + given.host);
  io::IoThreads threads(static_cast<size_t>(given.threads));
  const auto daemon = EntryDaemon::Create(threads, given);
  if (!daemon) return ReportFailure(daemon.error());
  entry::Entry& entry = (*daemon)->entry();
  events::Log(EventId::kProcessStarted,
              {{"address", given.address}, {"http_port", given.http_port}});
  stop.Wait();
  events::Log(EventId::kProcessStopping);
  (*daemon)->StartLeaving();
  std::this_thread::sleep_for(given.drain_delay);
  WaitUntilIdle(entry);
  threads.Stop();
  events::Log(EventId::kProcessStopped);
  return ExitCode::kSuccess;
}

ExitCode RunSide(Arguments args) {
  const auto parsed = settings::SideSchema().ParseOrExplain(
      args, settings::ProcessEnvironment(), std::cout, std::cerr);
  if (!parsed) return parsed.error();
  const settings::SideSettings& given = *parsed;
  const StopSignal stop;
  events::StartLogging(given.log_level, "side:" + given.host);
  io::IoThreads threads(static_cast<size_t>(given.threads));
  const auto daemon = SideDaemon::Create(threads, given);
  if (!daemon) return ReportFailure(daemon.error());
  side::Side& side = (*daemon)->side();
  events::Log(EventId::kProcessStarted,
              {{"address", given.address}, {"port", given.port}});
  stop.Wait();
  events::Log(EventId::kProcessStopping);
  (*daemon)->StartLeaving();
  WaitUntilIdle(side);
  threads.Stop();
  events::Log(EventId::kProcessStopped);
  return ExitCode::kSuccess;
}

}  // namespace peridotshelf::program
