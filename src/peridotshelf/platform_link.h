/// Connects a daemon to the platform: control state and host list.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "peridotshelf/control/follower.h"
#include "peridotshelf/control/peer_link.h"
#include "peridotshelf/control/snapshot_writer.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/io/io_threads.h"
#include "peridotshelf/platform/host_list.h"
#include "peridotshelf/platform/log_client.h"

namespace peridotshelf::program {

using HostsHandler = std::function<void(std::vector<platform::HostEntry>)>;

/// URLs of the platform, and this process's snapshot schedule.
struct PlatformLinkOptions {
  HostId host;
  std::string log_url;
  std::string hosts_url;
  control::SnapshotScheduleOptions snapshots;
};

/// Follows the log and polls the host list. Must be destroyed before
/// `threads`.
class PlatformLink {
 public:
  PlatformLink(io::IoThreads& threads, const PlatformLinkOptions& options);

  /// Starts following; calls `on_hosts` with each list that differs from the
  /// previous one.
  void Start(HostsHandler on_hosts);
  /// Returns the active control state; null until the follower is ready.
  control::ControlStatePtr Current() const { return m_follower.Current(); }
  /// Exchanges control state with peers over the daemon's connections.
  const std::shared_ptr<control::PeerLink>& peers() const { return m_peers; }
  control::Follower<platform::HttpLogClient>& follower() { return m_follower; }
  platform::HttpLogClient& log() { return m_log; }

 private:
  struct HostPoll;

  io::IoThreads& m_threads;
  http::Client m_client;
  platform::HttpLogClient m_log;
  platform::HttpHostList m_hosts;
  control::Follower<platform::HttpLogClient> m_follower;
  std::shared_ptr<control::PeerLink> m_peers;
  std::shared_ptr<control::SnapshotWriter<platform::HttpLogClient>> m_snapshots;
  std::shared_ptr<HostPoll> m_poll;
};

}  // namespace peridotshelf::program
