#include "peridotshelf/daemons.h"

#include <utility>

namespace peridotshelf::program {
namespace {

entry::EntryOptions ToOptions(const settings::EntrySettings& given) {
  entry::EntryOptions options;
  options.host = HostId(given.host);
  options.failure_domain = FailureDomain(given.failure_domain);
  options.address = given.address;
  options.http_port = given.http_port;
  options.max_body_bytes = static_cast<size_t>(given.max_body_bytes);
  options.default_timeout = given.default_timeout;
  options.max_timeout = given.max_timeout;
  return options;
}

side::SideOptions ToOptions(const settings::SideSettings& given) {
  side::SideOptions options;
  options.host = HostId(given.host);
  options.failure_domain = FailureDomain(given.failure_domain);
  options.listen = {given.address, given.port};
  options.lease = given.lease;
  return options;
}

}  // namespace

Result<std::unique_ptr<EntryDaemon>> EntryDaemon::Create(
    io::IoThreads& threads, const settings::EntrySettings& settings) {
  std::unique_ptr<EntryDaemon> daemon(new EntryDaemon(threads, settings));
  PlatformLink* platform = &daemon->m_platform;
  auto entry = entry::Entry::Create(threads, ToOptions(settings),
                                    [platform] { return platform->Current(); });
  if (!entry) return tl::unexpected<Error>(entry.error());
  daemon->m_entry = std::move(*entry);
  std::weak_ptr<entry::Entry> weak = daemon->m_entry;
  platform->Start([weak](const std::vector<platform::HostEntry>& hosts) {
    if (auto alive = weak.lock()) alive->UpdateHosts(hosts);
  });
  return daemon;
}

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
  std::weak_ptr<side::Side> weak = daemon->m_side;
  platform->Start([weak](const std::vector<platform::HostEntry>& hosts) {
    if (auto alive = weak.lock()) alive->UpdateHosts(hosts);
  });
  return daemon;
}

}  // namespace peridotshelf::program
