/// Exchanges control state with the peers that a process is connected to, so
/// that one which is cut off from the log still gets each accepted change.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "peridotshelf/control/log_state.h"
#include "peridotshelf/control/peer_exchange.h"
#include "peridotshelf/io/io_threads.h"
#include "peridotshelf/wire/channel.h"

namespace peridotshelf::control {

/// Where the process keeps its own control state.
struct PeerLinkSource {
  /// The version in force here; 0 if there is none.
  std::function<ControlVersion()> version;
  /// All that was folded here.
  std::function<LogState()> state;
  /// Adopts a state if it is newer; says whether it was.
  std::function<bool(LogState)> take;
};

/// Watches the versions on all connections of a process. Thread-safe.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  PeerLink(io::IoThreads& threads, PeerLinkSource source,
           PeerExchangeOptions options = {});

  /// Begins to ask peers that are newer.
  void Start();
  /// A connection opened.
  void OnOpen(const wire::ChannelPtr& channel);
  /// A frame came; true if it was for this exchange alone.
  bool OnFrame(const wire::ChannelPtr& channel, const wire::Frame& frame);
  /// A connection ended.
  void OnClosed(const wire::ChannelPtr& channel);

 private:
  void Tick();
  void Note(const wire::ChannelPtr& channel, ControlVersion version);
  void Answer(const wire::ChannelPtr& channel, ControlVersion from_version);
  void Take(const std::string& snapshot);

  io::IoThreads& m_threads;
  PeerLinkSource m_source;
  std::mutex m_mutex;
  PeerExchange<wire::ChannelPtr> m_exchange;
};

}  // namespace peridotshelf::control
