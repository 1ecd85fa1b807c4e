/// Tells an entry that is cut off from one that is alone.
#pragma once

#include <cstddef>

#include "peridotshelf/base/clock.h"

namespace peridotshelf::scheduling {

/// What an entry hears of the others at one time.
struct HeardPeers {
  /// Peers that are considered running.
  size_t live = 0;
  /// Of these, the ones that sent a report lately.
  size_t heard = 0;
  /// Peers whose addresses are known.
  size_t addresses = 0;
};

/// What an entry knows of the others, live or not.
struct KnownPeers {
  /// Whether the list of all entries was read since this one is in it.
  bool is_list_read = false;
  /// Whether this entry has heard of all others in the list once, be it before
  /// its process started: all know it then, and later ones by the list.
  bool is_known_to_all = false;
  size_t known = 0;
  /// Of these, the ones that sent a report since this process started.
  size_t heard = 0;

  bool HaveAllBeenHeard() const { return is_list_read && heard == known; }
};

/// Returns which part of a limit that all entries share this entry may use,
/// from 0 to 1. The parts add up to at most one, whichever entries are cut off
/// from each other or have just started: of two entries that have a part, each
/// knows the other and counts it, whether it is heard or not. An entry that is
/// not known to all yet has no part.
double ComputeLimitPart(const KnownPeers& peers);

/// Estimates how many other entries may send requests, for limits that all
/// entries share. An entry that hears nobody cannot tell whether the others
/// have stopped or the network is down, and would otherwise use a whole limit.
/// A smaller fleet is believed after some time, unless nobody is heard at all.
/// In the first seconds of an entry all known addresses count, since not all
/// peers have reported yet. Not thread-safe.
class FleetView {
 public:
  /// `start_time` must be longer than the interval of full reports.
  FleetView(TimePoint started_at, Duration start_time)
      : m_start_ends_at(started_at + start_time) {}

  /// Returns the number of other entries that may send but are not heard.
  size_t CountSilent(const HeardPeers& peers, TimePoint now);
  /// Returns whether the entry may not have heard of the others yet.
  bool IsStarting(const HeardPeers& peers, TimePoint now) const;

 private:
  TimePoint m_start_ends_at;
  size_t m_peers = 0;
  /// When at least `m_peers` were live last.
  TimePoint m_seen_at{};
};

}  // namespace peridotshelf::scheduling
