#include "peridotshelf/daemons.h"

#include <utility>

namespace peridotshelf::program {
namespace {

entry::EntryOptions ToOptions(const settings::EntrySettings& settings) {
  entry::EntryOptions options;
  options.host = HostId(settings.host);
  options.failure_domain = FailureDomain(settings.failure_domain);
  options.address = settings.address;
  options.http_port = settings.http_port;
  options.max_body_bytes = static_cast<size_t>(settings.max_body_bytes);
  options.read_timeout = settings.read_timeout;
  options.default_timeout = settings.default_timeout;
  options.max_timeout = settings.max_timeout;
  return options;
}

side::SideOptions ToOptions(const settings::SideSettings& settings) {
  side::SideOptions options;
  options.host = HostId(settings.host);
  options.failure_domain = FailureDomain(settings.failure_domain);
  options.listen = {settings.address, settings.port};
  options.lease = settings.lease;
  return options;
}

/// Returns a handler that passes the host list to `daemon` while it exists.
template <class Daemon>
HostsHandler MakeHostsHandler(const std::shared_ptr<Daemon>& daemon) {
  return [weak_daemon = std::weak_ptr<Daemon>(daemon)](
             const std::vector<platform::HostEntry>& hosts) {
    if (auto alive = weak_daemon.lock()) alive->UpdateHosts(hosts);
  };
}

}  // namespace

void EntryDaemon::StartLeaving() { m_entry->StartLeaving(); }

Result<std::unique_ptr<EntryDaemon>> EntryDaemon::Create(
    io::IoThreads& threads, const settings::EntrySettings& settings) {
  std::unique_ptr<EntryDaemon> daemon(new EntryDaemon(threads, settings));
  PlatformLink* platform = &daemon->m_platform;
  entry::EntryOptions options = ToOptions(settings);
  options.peers = platform->peers();
  options.not_ready_reason = [platform] {
    return ToString(platform->follower().readiness());
  };
  auto entry = entry::Entry::Create(threads, options,
                                    [platform] { return platform->Current(); });
  if (!entry) return tl::unexpected<Error>(entry.error());
  daemon->m_entry = std::move(*entry);
  platform->Start(MakeHostsHandler(daemon->m_entry));
  return daemon;
}

void SideDaemon::StartLeaving() { m_side->StartLeaving(); }

Result<std::unique_ptr<SideDaemon>> SideDaemon::Create(
    io::IoThreads& threads, const settings::SideSettings& settings) {
  std::unique_ptr<SideDaemon> daemon(new SideDaemon(threads, settings));
  PlatformLink* platform = &daemon->m_platform;
  side::SideOptions options = ToOptions(settings);
  options.peers = platform->peers();
  auto side = side::Side::Create(threads, options,
                                 [platform] { return platform->Current(); });
  if (!side) return tl::unexpected<Error>(side.error());
  daemon->m_side = std::move(*side);
  SideStatusOptions status_options{
      settings.address, settings.http_port, options,
      [platform] { return platform->Current(); },
      [platform] { return ToString(platform->follower().readiness()); }};
  auto status =
      SideStatus::Create(threads, std::move(status_options), daemon->m_side);
  if (!status) return tl::unexpected<Error>(status.error());
  daemon->m_status = std::move(*status);
  platform->Start(MakeHostsHandler(daemon->m_side));
  return daemon;
}

}  // namespace peridotshelf::program
