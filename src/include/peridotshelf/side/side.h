/// The side: the process on a host with backend servers through which all calls
/// to them pass.
#pragma once

#include <functional>
#include <memory>
#include <span>
#include <vector>

#include "peridotshelf/base/error.h"
#include "peridotshelf/base/ids.h"
#include "peridotshelf/control/configuration.h"
#include "peridotshelf/control/peer_link.h"
#include "peridotshelf/io/io_threads.h"
#include "peridotshelf/platform/concepts.h"
#include "peridotshelf/wire/channel.h"

namespace peridotshelf::side {

/// Identity, listen address and leases of the process.
struct SideOptions {
  HostId host;
  FailureDomain failure_domain;
  wire::Endpoint listen;
  /// Attempts whose entry is disconnected or unresponsive for this long are
  /// cancelled.
  Duration lease = std::chrono::seconds(3);
  wire::ChannelOptions channel;
  /// Exchanges control state with the entries; may be null.
  std::shared_ptr<control::PeerLink> peers;
};

/// Returns the current control state, or null before the first is received.
using ControlSource = std::function<control::ControlStatePtr()>;

/// Serves the connections of entries until destroyed.
class Side {
 public:
  static Result<std::unique_ptr<Side>> Create(io::IoThreads& threads,
                                              const SideOptions& options,
                                              ControlSource control);
  ~Side();
  Side(const Side&) = delete;
  Side& operator=(const Side&) = delete;

  /// Refuses all new requests from now on; each refusal guarantees that the
  /// attempt did not run.
  void StartLeaving();
  /// Applies the platform's newest host list. New requests are also refused
  /// while the list shows this host as leaving, or while operators drain it.
  void UpdateHosts(std::span<const platform::HostEntry> hosts);
  /// Free capacity and queue of each engine that the side has connected to.
  std::vector<wire::EngineLoad> Loads() const;
  /// Whether new requests are refused.
  bool IsLeaving() const;
  /// Number of attempts and calls that still run.
  size_t CountRunning() const;

 private:
  struct Impl;
  explicit Side(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace peridotshelf::side
