/// A `Membership` on a UDP socket.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <vector>

#include "peridotshelf/base/error.h"
#include "peridotshelf/io/io_threads.h"
#include "peridotshelf/membership/membership.h"
#include "peridotshelf/platform/concepts.h"

namespace peridotshelf::membership {

/// Where the node listens and its timing.
struct GossipNodeOptions {
  HostId self;
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  MembershipOptions membership;
};

/// What the owner is told, on any thread and never two at once.
struct GossipCallbacks {
  std::function<void(const MemberChange&)> on_change;
  /// A member holds a newer control version than any heard of before.
  std::function<void(ControlVersion, const HostId&)> on_newer_version;
};

/// UDP payload bytes since the start.
struct GossipTraffic {
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  uint64_t datagrams_sent = 0;
  uint64_t datagrams_received = 0;
};

/// Gossips with the listed members until destroyed. Thread-safe.
class GossipNode {
 public:
  static Result<std::unique_ptr<GossipNode>> Create(
      io::IoThreads& threads, const GossipNodeOptions& options,
      GossipCallbacks callbacks);
  ~GossipNode();
  GossipNode(const GossipNode&) = delete;
  GossipNode& operator=(const GossipNode&) = delete;

  /// Takes the platform's newest list; entries without a port take no part.
  void UpdateHosts(std::span<const platform::HostEntry> hosts);
  void SetControlVersion(ControlVersion version);
  /// Tells the members that this process takes no new work.
  void StartLeaving();
  wire::MemberState::type StateOf(const HostId& host) const;
  GossipTraffic traffic() const;

 private:
  struct Impl;
  explicit GossipNode(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace peridotshelf::membership
