/// The entry's connections to the sides, one per host.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <span>

#include "peridotshelf/attempts/key_owner.h"
#include "peridotshelf/control/peer_link.h"
#include "peridotshelf/platform/concepts.h"
#include "peridotshelf/wire/channel.h"

namespace peridotshelf::entry {

/// Keeps a connection to each listed side and reconnects after a loss.
/// Thread-safe.
class SideLinks : public std::enable_shared_from_this<SideLinks> {
 public:
  using FrameHandler = std::function<void(const HostId&, wire::Frame)>;
  using HostHandler = std::function<void(const HostId&)>;

  SideLinks(io::IoThreads& threads, wire::ChannelOptions options,
            wire::HelloSource hello, FrameHandler on_frame,
            HostHandler on_opened, HostHandler on_lost,
            std::shared_ptr<control::PeerLink> peers = nullptr);

  /// Applies the platform's newest list of hosts: connects to the added sides
  /// and forgets the removed ones.
  void Update(std::span<const platform::HostEntry> hosts);
  /// Returns the open connection to a host's side, or null.
  wire::ChannelPtr Find(const HostId& host) const;
  /// Returns the range of the control versions that all listed sides last
  /// reported.
  attempts::ReportedVersions CollectReportedVersions() const;

 private:
  struct Link {
    wire::Endpoint endpoint;
    wire::ChannelPtr channel;
    /// The version that the side last reported; 0 without a connection.
    ControlVersion reported_version = 0;
    /// Connections lost or failed since the last one that opened.
    int32_t failures = 0;
  };
  void OpenConnection(const HostId& host, const wire::Endpoint& endpoint);
  void OnOpened(const HostId& host, const wire::Endpoint& endpoint,
                const wire::ChannelPtr& channel);
  void NoteReportedVersion(const HostId& host, ControlVersion version);
  void OnClosed(const HostId& host, const wire::Endpoint& endpoint,
                const Error& reason);

  io::IoThreads& m_threads;
  wire::ChannelOptions m_options;
  wire::HelloSource m_hello;
  FrameHandler m_on_frame;
  HostHandler m_on_opened;
  HostHandler m_on_lost;
  /// Notified of every connection; may be null.
  std::shared_ptr<control::PeerLink> m_peers;
  mutable std::mutex m_mutex;
  std::map<HostId, Link> m_links;
};

}  // namespace peridotshelf::entry
