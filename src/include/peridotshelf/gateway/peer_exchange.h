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
#include "peridotshelf/scheduling/active_request_table.h"

namespace peridotshelf::gateway {

/// Where this entry is reached by others.
struct PeerAddress {
  std::string ip;
  uint16_t port = 0;

  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

/// How far an entry has followed the platform's records.
struct RecordsView {
  /// The configuration's version; 0 for none.
  int64_t configuration_version = 0;
  /// Changes when an engine comes, leaves or goes.
  int64_t engines_digest = 0;
  /// Where the next registration will be read.
  int64_t engines_offset = 0;
};

struct PeerExchangeOptions {
  PeerAddress own;
  /// Changes within this time, for each live peer, go in one datagram: the more
  /// peers, the fewer datagrams to each.
  Duration gather_per_peer = std::chrono::microseconds(500);
  Duration max_gather = std::chrono::milliseconds(200);
  /// Peers that one datagram of changes goes to; others get it with the repeat.
  size_t max_receivers = 32;
  /// All work is repeated at this interval.
  Duration repeat = std::chrono::seconds(1);
  /// A peer that sends nothing for this long is taken as gone.
  Duration peer_timeout = std::chrono::milliseconds(3500);
};

/// Keeps `active_request_table` up to date with the work of peers. All members
/// are called on the one thread of `threads`.
class PeerExchange {
 public:
  static Result<std::unique_ptr<PeerExchange>> Create(
      io::IoThreads& threads,
      scheduling::ActiveRequestTable& active_request_table,
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
  /// What this entry has read; peers that are behind hear of it at once when
  /// the configuration or the engines changed.
  void SetView(const RecordsView& view);
  /// Called with what a peer has read.
  void OnPeerView(std::function<void(const RecordsView&)> callback);
  /// Entries that are heard from, this one included.
  size_t LiveEntries() const;

 private:
  struct Impl;
  explicit PeerExchange(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace peridotshelf::gateway
