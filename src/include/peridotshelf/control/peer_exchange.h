/// Decides when to request a newer control state and from which peer, without
/// I/O.
#pragma once

#include <algorithm>
#include <map>
#include <optional>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/ids.h"

namespace peridotshelf::control {

/// Timing of the requests to peers.
struct PeerExchangeOptions {
  /// Time for the log to deliver a version before a peer is asked for it.
  Duration log_grace_period = std::chrono::milliseconds(600);
  /// Time for a peer to answer before another peer is asked.
  Duration answer_timeout = std::chrono::milliseconds(500);
};

/// Tracks the control versions that peers reported. `Peer` must be ordered and
/// copyable. Not thread-safe.
template <class Peer>
class PeerExchange {
 public:
  explicit PeerExchange(PeerExchangeOptions options = {})
      : m_options(options) {}

  /// Records the `version` in a message from `peer`.
  void NoteVersion(const Peer& peer, ControlVersion version) {
    ControlVersion& known = m_versions[peer];
    known = std::max(known, version);
  }
  /// Removes a peer whose connection closed.
  void RemovePeer(const Peer& peer) { m_versions.erase(peer); }

  /// Returns the peer to ask now, if any. Rotates through the peers whose
  /// version is newer than `local_version`.
  std::optional<Peer> ChoosePeer(ControlVersion local_version, TimePoint now) {
    if (!HasNewerPeer(local_version)) {
      m_behind_since.reset();
      return std::nullopt;
    }
    if (!m_behind_since) m_behind_since = now;
    if (now - *m_behind_since < m_options.log_grace_period) return std::nullopt;
    if (m_last_asked_at && now - *m_last_asked_at < m_options.answer_timeout)
      return std::nullopt;
    m_last_asked_at = now;
    m_last_asked = FindNextNewerPeer(local_version);
    return m_last_asked;
  }

 private:
  bool HasNewerPeer(ControlVersion local_version) const {
    return std::any_of(m_versions.begin(), m_versions.end(),
                       [local_version](const auto& peer) {
                         return peer.second > local_version;
                       });
  }
  /// Returns the next newer peer after the last asked one, in cyclic order.
  Peer FindNextNewerPeer(ControlVersion local_version) const {
    auto it = m_last_asked ? m_versions.upper_bound(*m_last_asked)
                           : m_versions.begin();
    while (true) {
      if (it == m_versions.end()) it = m_versions.begin();
      if (it->second > local_version) return it->first;
      ++it;
    }
  }

  PeerExchangeOptions m_options;
  std::map<Peer, ControlVersion> m_versions;
  std::optional<TimePoint> m_behind_since;
  std::optional<TimePoint> m_last_asked_at;
  std::optional<Peer> m_last_asked;
};

}  // namespace peridotshelf::control
