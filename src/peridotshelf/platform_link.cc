#include "peridotshelf/platform_link.h"

#include "peridotshelf/events/log.h"

namespace peridotshelf::program {

/// Polls the host list. Shared, so that it outlives its owner while a callback
/// runs.
struct PlatformLink::HostPoll
    : std::enable_shared_from_this<PlatformLink::HostPoll> {
  HostPoll(io::IoThreads& io, platform::HttpHostList& list,
           HostsHandler handler)
      : threads(io), hosts(list), on_hosts(std::move(handler)) {}

  void Fetch() {
    std::weak_ptr<HostPoll> weak = weak_from_this();
    hosts.Fetch([weak](Result<std::vector<platform::HostEntry>> list) {
      if (auto self = weak.lock()) self->HandleList(std::move(list));
    });
  }

  void HandleList(Result<std::vector<platform::HostEntry>> list) {
    if (!list) {
      events::Log(events::EventId::kPlatformCallFailed,
                  {{"call", "hosts"}, {"reason", list.error().detail}});
    } else if (*list != last_list) {
      events::Log(events::EventId::kHostListChanged, {{"hosts", list->size()}});
      last_list = std::move(*list);
      on_hosts(last_list);
    }
    std::weak_ptr<HostPoll> weak = weak_from_this();
    threads.RunAfter(hosts.NextDelay(), [weak] {
      if (auto self = weak.lock()) self->Fetch();
    });
  }

  io::IoThreads& threads;
  platform::HttpHostList& hosts;
  HostsHandler on_hosts;
  std::vector<platform::HostEntry> last_list;
};

PlatformLink::PlatformLink(io::IoThreads& threads,
                           const PlatformLinkOptions& options)
    : m_threads(threads),
      m_log(options.log_url, m_client),
      m_hosts(options.hosts_url, m_client),
      m_follower(threads, m_log) {
  control::PeerLinkSource source;
  source.version = [this] { return m_follower.version(); };
  source.state = [this] { return m_follower.state(); };
  source.adopt = [this](control::LogState state) {
    return m_follower.AdoptSnapshot(std::move(state));
  };
  m_peers = std::make_shared<control::PeerLink>(threads, std::move(source));
  m_snapshots =
      std::make_shared<control::SnapshotWriter<platform::HttpLogClient>>(
          threads, m_log, m_follower, options.host, options.snapshots);
}

void PlatformLink::Start(HostsHandler on_hosts) {
  m_follower.Start();
  m_peers->Start();
  m_snapshots->Start();
  auto on_list = [snapshots = m_snapshots, on_hosts = std::move(on_hosts)](
                     std::vector<platform::HostEntry> hosts) {
    std::vector<HostId> members;
    members.reserve(hosts.size());
    for (const platform::HostEntry& entry : hosts) {
      members.push_back(entry.host);
    }
    snapshots->SetMembers(std::move(members));
    on_hosts(std::move(hosts));
  };
  m_poll = std::make_shared<HostPoll>(m_threads, m_hosts, std::move(on_list));
  m_poll->Fetch();
}

}  // namespace peridotshelf::program
