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
