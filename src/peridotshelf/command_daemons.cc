// The subcommands `entry` and `side`.
#include <cstdlib>
#include <iostream>
#include <thread>

#include "peridotshelf/command.h"
#include "peridotshelf/entry/entry.h"
#include "peridotshelf/events/log.h"
#include "peridotshelf/member_link.h"
#include "peridotshelf/platform_link.h"
#include "peridotshelf/settings/daemon_settings.h"
#include "peridotshelf/side/side.h"
#include "peridotshelf/stop_signal.h"

namespace peridotshelf::program {
namespace {

using events::EventId;

constexpr Duration kStopPoll = std::chrono::milliseconds(50);

/// Waits until `daemon` has answered all that it took on.
template <class Daemon>
void WaitUntilIdle(const Daemon& daemon) {
  while (daemon.RunningCount() > 0) std::this_thread::sleep_for(kStopPoll);
}

/// Joins the fleet's membership as `host`.
Result<std::unique_ptr<MemberLink>> JoinMembers(
    io::IoThreads& threads, PlatformLink& platform, wire::Role::type role,
    const membership::GossipNodeOptions& options) {
  auto hello = [&platform, role, self = options.self,
                process_id = MakeRandomId()] {
    wire::Hello message;
    message.protocol_version = wire::kProtocolVersion;
    message.process_id = process_id;
    message.host = self.value();
    message.role = role;
    message.control_version = platform.follower().version();
    return message;
  };
  return MemberLink::Create(threads, options, platform, std::move(hello));
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
  PlatformLink platform(threads, given.log_url, given.hosts_url);
  entry::EntryOptions options;
  options.host = HostId(given.host);
  options.failure_domain = FailureDomain(given.failure_domain);
  options.address = given.address;
  options.http_port = given.http_port;
  options.max_body_bytes = static_cast<size_t>(given.max_body_bytes);
  options.default_timeout = given.default_timeout;
  options.max_timeout = given.max_timeout;
  options.peers = platform.peers();
  options.not_ready_reason = [&platform] {
    return ToString(platform.follower().readiness());
  };
  auto entry = entry::Entry::Create(threads, options,
                                    [&platform] { return platform.Current(); });
  if (!entry) return ReportFailure(entry.error());
  auto members =
      JoinMembers(threads, platform, wire::Role::ENTRY,
                  {options.host, given.address, given.gossip_port, {}});
  if (!members) return ReportFailure(members.error());
  platform.Start([&](const std::vector<platform::HostEntry>& hosts) {
    (*entry)->UpdateHosts(hosts);
    (*members)->UpdateHosts(hosts);
  });
  events::Log(EventId::kProcessStarted,
              {{"address", given.address}, {"http_port", given.http_port}});
  stop.Wait();
  events::Log(EventId::kProcessStopping);
  (*entry)->StartLeaving();
  (*members)->StartLeaving();
  std::this_thread::sleep_for(given.drain_delay);
  WaitUntilIdle(**entry);
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
  PlatformLink platform(threads, given.log_url, given.hosts_url);
  side::SideOptions options;
  options.host = HostId(given.host);
  options.failure_domain = FailureDomain(given.failure_domain);
  options.listen = {given.address, given.port};
  options.lease = given.lease;
  options.peers = platform.peers();
  auto side = side::Side::Create(threads, options,
                                 [&platform] { return platform.Current(); });
  if (!side) return ReportFailure(side.error());
  auto members = JoinMembers(threads, platform, wire::Role::SIDE,
                             {options.host, given.address, given.port, {}});
  if (!members) return ReportFailure(members.error());
  platform.Start([&](const std::vector<platform::HostEntry>& hosts) {
    (*side)->UpdateHosts(hosts);
    (*members)->UpdateHosts(hosts);
  });
  events::Log(EventId::kProcessStarted,
              {{"address", given.address}, {"port", given.port}});
  stop.Wait();
  events::Log(EventId::kProcessStopping);
  (*side)->StartLeaving();
  (*members)->StartLeaving();
  WaitUntilIdle(**side);
  threads.Stop();
  events::Log(EventId::kProcessStopped);
  return ExitCode::kSuccess;
}

}  // namespace peridotshelf::program
