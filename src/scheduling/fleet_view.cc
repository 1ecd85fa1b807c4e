#include "peridotshelf/scheduling/fleet_view.h"

#include <algorithm>

namespace peridotshelf::scheduling {
namespace {

/// A group of entries that is cut off for longer uses whole limits again.
constexpr Duration kFleetMemory = std::chrono::minutes(2);

}  // namespace

double ComputeLimitPart(const KnownPeers& peers) {
  const bool is_counted_by_all =
      peers.is_known_to_all || peers.HaveAllBeenHeard();
  if (!peers.is_list_read || !is_counted_by_all) return 0;
  return 1 / static_cast<double>(peers.known + 1);
}

size_t FleetView::CountSilent(const HeardPeers& peers, TimePoint now) {
  const bool is_cut_off = peers.live == 0;
  if (peers.live >= m_peers ||
      (!is_cut_off && now - m_seen_at > kFleetMemory)) {
    m_peers = peers.live;
    m_seen_at = now;
  }
  if (now < m_start_ends_at) {
    const size_t known = std::max(peers.live, peers.addresses);
    return known - std::min(known, peers.heard);
  }
  // An entry that has never heard of a peer knows only the addresses.
  const size_t others = m_peers > 0 ? m_peers : peers.addresses;
  return others - std::min(others, peers.heard);
}

bool FleetView::IsStarting(const HeardPeers& peers, TimePoint now) const {
  return now < m_start_ends_at && peers.heard == 0;
}

}  // namespace peridotshelf::scheduling
