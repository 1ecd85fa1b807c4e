#include "peridotshelf/attempts/home.h"

#include <xxhash.h>

#include <utility>

namespace peridotshelf::attempts {

HostId HomeOf(std::string_view key, std::span<const HostId> hosts) {
  const uint64_t seed = XXH64(key.data(), key.size(), 0);
  HostId winner;
  uint64_t best = 0;
  for (const HostId& host : hosts) {
    const std::string& name = host.value();
    const uint64_t weight = XXH64(name.data(), name.size(), seed);
    // Equal weights go to the lesser name, the same for everyone.
    const bool wins = winner.empty() || weight > best ||
                      (weight == best && name < winner.value());
    if (!wins) continue;
    winner = host;
    best = weight;
  }
  return winner;
}

void HomeHistory::Accept(ControlVersion version, std::vector<HostId> hosts) {
  if (version <= m_version) return;
  m_version = version;
  if (!m_lists.empty() && m_lists.back().hosts == hosts) return;
  m_lists.push_back(List{version, std::move(hosts), {}});
}

void HomeHistory::NoteHeard(const HeardVersions& heard, TimePoint now) {
  if (heard.oldest != m_version || heard.newest != m_version) return;
  for (List& list : m_lists) {
    if (!list.released_at) list.released_at = now;
  }
}

HomeDuty HomeHistory::DutyFor(std::string_view key) const {
  HomeDuty duty;
  duty.since = m_start;
  // The oldest list of the unbroken run, up to now, that names this host.
  const List* first = nullptr;
  for (auto list = m_lists.rbegin(); list != m_lists.rend(); ++list) {
    if (HomeOf(key, list->hosts) != m_self) break;
    first = &*list;
  }
  if (first == nullptr) return duty;
  duty.mine = first->released_at.has_value();
  duty.awaiting_release = !duty.mine;
  if (duty.mine) duty.since = *first->released_at;
  return duty;
}

}  // namespace peridotshelf::attempts
