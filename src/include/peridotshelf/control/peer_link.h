/// Exchanges control state with connected peers, so that a process that cannot
/// reach the log still receives every accepted change.
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

/// Access to the control state of the local process.
struct PeerLinkSource {
  /// Returns the local control version; 0 if there is none.
  std::function<ControlVersion()> version;
  /// Returns the local log state.
  std::function<LogState()> state;
  /// Adopts a state if it is newer. Returns whether it was adopted.
  std::function<bool(LogState)> adopt;
};

/// Tracks the peer versions on all connections of a process and requests newer
/// states. Thread-safe.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  PeerLink(io::IoThreads& threads, PeerLinkSource source,
           PeerExchangeOptions options = {});

  /// Starts the periodic check for newer peers.
  void Start();
  /// Handles an opened connection.
  void OnOpen(const wire::ChannelPtr& channel);
  /// Handles a received frame. Returns true if no other component needs it.
  bool OnFrame(const wire::ChannelPtr& channel, const wire::Frame& frame);
  /// Handles a closed connection.
  void OnClosed(const wire::ChannelPtr& channel);

 private:
  void Tick();
  void NoteVersion(const wire::ChannelPtr& channel, ControlVersion version);
  void SendState(const wire::ChannelPtr& channel, ControlVersion from_version);
  void AdoptState(const std::string& snapshot);

  io::IoThreads& m_threads;
  PeerLinkSource m_source;
  std::mutex m_mutex;
  PeerExchange<wire::ChannelPtr> m_exchange;
};

}  // namespace peridotshelf::control
