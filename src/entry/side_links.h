/// The entry's connections to the sides, one for each host.
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

/// Keeps a connection to each listed side and opens lost ones again.
/// Thread-safe.
class SideLinks : public std::enable_shared_from_this<SideLinks> {
 public:
  using FrameHandler = std::function<void(const HostId&, wire::Frame)>;
  using HostHandler = std::function<void(const HostId&)>;

  SideLinks(io::IoThreads& threads, wire::ChannelOptions options,
            wire::HelloSource hello, FrameHandler on_frame,
            HostHandler on_opened, HostHandler on_lost,
            std::shared_ptr<control::PeerLink> peers = nullptr);

  /// Connects to the sides that are new in the list.
  void Update(std::span<const platform::HostEntry> hosts);
  /// The open connection to a host's side, or null.
  wire::ChannelPtr Find(const HostId& host) const;
  /// The control versions last heard of from all listed sides.
  attempts::ReportedVersions Heard() const;

 private:
  struct Link {
    wire::Endpoint endpoint;
    wire::ChannelPtr channel;
    /// What the side last said of itself; 0 without a connection.
    ControlVersion heard_version = 0;
    /// Failures in a row to connect.
    int32_t failures = 0;
  };
  void Open(const HostId& host, const wire::Endpoint& endpoint);
  void OnOpened(const HostId& host, const wire::Endpoint& endpoint,
                const wire::ChannelPtr& channel);
  void NoteVersion(const HostId& host, ControlVersion version);
  void OnClosed(const HostId& host, const wire::Endpoint& endpoint,
                const Error& reason);

  io::IoThreads& m_threads;
  wire::ChannelOptions m_options;
  wire::HelloSource m_hello;
  FrameHandler m_on_frame;
  HostHandler m_on_opened;
  HostHandler m_on_lost;
  /// Is told of every connection; may be null.
  std::shared_ptr<control::PeerLink> m_peers;
  mutable std::mutex m_mutex;
  std::map<HostId, Link> m_links;
};

}  // namespace peridotshelf::entry
