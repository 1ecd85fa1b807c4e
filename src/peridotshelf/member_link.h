/// A daemon's part in the fleet's membership.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>

#include "peridotshelf/membership/gossip_node.h"
#include "peridotshelf/platform_link.h"
#include "peridotshelf/wire/channel.h"

namespace peridotshelf::program {

/// Gossips on behalf of a daemon and asks a side for control state that the
/// log has not brought in time. Thread-safe; `threads` outlives it.
class MemberLink : public std::enable_shared_from_this<MemberLink> {
 public:
  static Result<std::shared_ptr<MemberLink>> Create(
      io::IoThreads& threads, const membership::GossipNodeOptions& options,
      PlatformLink& platform, wire::HelloSource hello);

  /// Uses `platform` no more once it returns.
  void Stop();
  /// Takes the platform's newest list.
  void UpdateHosts(std::span<const platform::HostEntry> hosts);
  /// Tells the members that this process takes no new work.
  void StartLeaving() { m_node->StartLeaving(); }
  /// What membership holds of a host.
  wire::MemberState::type StateOf(const HostId& host) const {
    return m_node->StateOf(host);
  }
  membership::GossipTraffic traffic() const { return m_node->traffic(); }

 private:
  MemberLink(io::IoThreads& threads, PlatformLink& platform,
             wire::HelloSource hello);
  /// The version in force here, or nothing after `Stop`.
  std::optional<ControlVersion> OwnVersion() const;
  void OnNewerVersion(ControlVersion version, const HostId& holder);
  void TryPull(ControlVersion version, const HostId& holder, int tries_left);
  /// The endpoint of `holder` if it is a side, else that of any other side.
  std::optional<wire::Endpoint> ChooseSide(const HostId& holder) const;
  void PullFrom(const wire::Endpoint& endpoint);
  void PublishVersion();

  io::IoThreads& m_threads;
  wire::HelloSource m_hello;
  std::shared_ptr<control::PeerLink> m_peers;
  /// Guards all below.
  mutable std::mutex m_mutex;
  PlatformLink* m_platform;
  std::map<HostId, wire::Endpoint> m_sides;
  std::unique_ptr<membership::GossipNode> m_node;
};

}  // namespace peridotshelf::program
