#include "peridotshelf/attempts/key_owner.h"

#include <xxhash.h>

#include <utility>

namespace peridotshelf::attempts {

HostId FindKeyOwner(std::string_view key, std::span<const HostId> hosts) {
  const uint64_t seed = XXH64(key.data(), key.size(), 0);
  HostId winner;
  uint64_t best_weight = 0;
  for (const HostId& host : hosts) {
    const std::string& name = host.value();
    const uint64_t weight = XXH64(name.data(), name.size(), seed);
    // Breaks ties by name, so that all hosts choose the same owner.
    const bool is_better = winner.empty() || weight > best_weight ||
                           (weight == best_weight && name < winner.value());
    if (!is_better) continue;
    winner = host;
    best_weight = weight;
  }
  return winner;
}

void KeyOwnerHistory::Accept(ControlVersion version,
                             std::vector<HostId> hosts) {
  if (version <= m_version) return;
  m_version = version;
  if (!m_lists.empty() && m_lists.back().hosts == hosts) return;
  m_lists.push_back(HostList{version, std::move(hosts), {}});
}

void KeyOwnerHistory::NoteReportedVersions(const ReportedVersions& reported,
                                           TimePoint now) {
  if (reported.oldest != m_version || reported.newest != m_version) return;
  for (HostList& list : m_lists) {
    if (!list.released_at) list.released_at = now;
  }
}

KeyOwnership KeyOwnerHistory::OwnershipOf(std::string_view key) const {
  KeyOwnership ownership;
  ownership.since = m_start;
  // The first list of the period in which this host has owned the key without
  // interruption.
  const HostList* oldest_list = nullptr;
  for (auto list = m_lists.rbegin(); list != m_lists.rend(); ++list) {
    if (FindKeyOwner(key, list->hosts) != m_self) break;
    oldest_list = &*list;
  }
  if (oldest_list == nullptr) return ownership;
  ownership.is_owner = oldest_list->released_at.has_value();
  ownership.awaiting_release = !ownership.is_owner;
  if (ownership.is_owner) ownership.since = *oldest_list->released_at;
  return ownership;
}

}  // namespace peridotshelf::attempts
