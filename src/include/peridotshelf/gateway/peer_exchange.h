/// Tells other entries what this one has running, and hears the same of them.
///
/// Datagrams carry state, not changes: each lists all work at the engines that
/// it names, so a lost one is made good by the next.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "peridotshelf/base/error.h"
#include "peridotshelf/io/io_threads.h"
#include "peridotshelf/scheduling/load_board.h"

namespace peridotshelf::gateway {

/// Where this entry is reached by others.
struct PeerAddress {
  std::string ip;
  uint16_t port = 0;

  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

struct PeerExchangeOptions {
  PeerAddress own;
  /// Changes within this time go in one datagram.
  Duration gather = std::chrono::milliseconds(4);
  /// All work is repeated at this interval.
  Duration repeat = std::chrono::seconds(1);
  /// A peer that sends nothing for this long is taken as gone.
  Duration peer_timeout = std::chrono::milliseconds(3500);
};

/// Keeps `board` up to date with the work of peers. All members are called on
/// the one thread of `threads`.
class PeerExchange {
 public:
  static Result<std::unique_ptr<PeerExchange>> Create(
      io::IoThreads& threads, scheduling::LoadBoard& board,
      const PeerExchangeOptions& options);
  ~PeerExchange();
  PeerExchange(const PeerExchange&) = delete;
  PeerExchange& operator=(const PeerExchange&) = delete;

  /// Learns of a peer; "IP:PORT". Its own address is passed over.
  void AddPeer(const std::string& address);
  /// Own work at `engine` changed.
  void NoteChange(const std::string& engine);
  /// Called when a peer's work changed.
  void OnPeerChange(std::function<void()> callback);
  /// Tells peers that this entry is about to stop.
  void Leave();
  /// Entries that are heard from, this one included.
  size_t LiveEntries() const;

 private:
  struct Impl;
  explicit PeerExchange(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace peridotshelf::gateway
