/// Decides when to ask which peer for a newer control state. No I/O.
#pragma once

#include <algorithm>
#include <map>
#include <optional>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/ids.h"

namespace peridotshelf::control {

/// Timing of the questions.
struct PeerExchangeOptions {
  /// The log has this long to bring a version before a peer is asked for it.
  Duration grace = std::chrono::milliseconds(600);
  /// A peer has this long to answer before another is asked.
  Duration retry = std::chrono::milliseconds(500);
};

/// What is known of the peers' versions. `Peer` is ordered and copyable. Not
/// thread-safe.
template <class Peer>
class PeerExchange {
 public:
  explicit PeerExchange(PeerExchangeOptions options = {})
      : m_options(options) {}

  /// A message from `peer` carried `version`.
  void NoteVersion(const Peer& peer, ControlVersion version) {
    ControlVersion& known = m_versions[peer];
    known = std::max(known, version);
  }
  /// The connection to `peer` ended.
  void Forget(const Peer& peer) { m_versions.erase(peer); }

  /// The peer to ask now, if any, when `own` is in force here. Peers that are
  /// known to be newer take turns.
  std::optional<Peer> ChoosePeer(ControlVersion own, TimePoint now) {
    if (!AnyNewer(own)) {
      m_behind_since.reset();
      return std::nullopt;
    }
    if (!m_behind_since) m_behind_since = now;
    if (now - *m_behind_since < m_options.grace) return std::nullopt;
    if (m_asked_at && now - *m_asked_at < m_options.retry) return std::nullopt;
    m_asked_at = now;
    m_asked = NextNewer(own);
    return m_asked;
  }

 private:
  bool AnyNewer(ControlVersion own) const {
    return std::any_of(m_versions.begin(), m_versions.end(),
                       [own](const auto& peer) { return peer.second > own; });
  }
  /// The first newer peer after the one asked last, in a circle.
  Peer NextNewer(ControlVersion own) const {
    auto it = m_asked ? m_versions.upper_bound(*m_asked) : m_versions.begin();
    while (true) {
      if (it == m_versions.end()) it = m_versions.begin();
      if (it->second > own) return it->first;
      ++it;
    }
  }

  PeerExchangeOptions m_options;
  std::map<Peer, ControlVersion> m_versions;
  std::optional<TimePoint> m_behind_since;
  std::optional<TimePoint> m_asked_at;
  std::optional<Peer> m_asked;
};

}  // namespace peridotshelf::control
