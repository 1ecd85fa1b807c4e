/// The process beside the backend servers of one host: the only way to them.
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

/// Who the process is, where it listens and how long its leases are.
struct SideOptions {
  HostId host;
  FailureDomain failure_domain;
  wire::Endpoint listen;
  /// Attempts whose entry is gone for this long are cancelled.
  Duration lease = std::chrono::seconds(3);
  wire::ChannelOptions channel;
  /// Exchanges control state with the entries; may be null.
  std::shared_ptr<control::PeerLink> peers;
};

/// Yields the control state in force now; may be null before the first.
using ControlSource = std::function<control::ControlStatePtr()>;

/// Serves entries until destroyed.
class Side {
 public:
  static Result<std::unique_ptr<Side>> Create(io::IoThreads& threads,
                                              const SideOptions& options,
                                              ControlSource control);
  ~Side();
  Side(const Side&) = delete;
  Side& operator=(const Side&) = delete;

  /// Refuses all new work from now on, with proof that it was not run.
  void StartLeaving();
  /// Takes the platform's newest list; work is refused as well while this host
  /// is leaving there, or while operators drain it.
  void UpdateHosts(std::span<const platform::HostEntry> hosts);
  /// What is free and what waits at each engine that was met.
  std::vector<wire::EngineLoad> Loads() const;
  /// Whether new work is refused.
  bool IsLeaving() const;
  /// Attempts and calls that still run.
  size_t RunningCount() const;

 private:
  struct Impl;
  explicit Side(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace peridotshelf::side
