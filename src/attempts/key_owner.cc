#include "peridotshelf/attempts/key_owner.h"

#include <xxhash.h>

#include <utility>

namespace peridotshelf::attempts {

HostId FindKeyOwner(std::string_view key, std::span<const HostId> hosts) {
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

void KeyOwnerHistory::Accept(ControlVersion version,
                             std::vector<HostId> hosts) {
  if (version <= m_version) return;
  m_version = version;
  if (!m_lists.empty() && m_lists.back().hosts == hosts) return;
  m_lists.push_back(List{version, std::move(hosts), {}});
}

void KeyOwnerHistory::NoteReportedVersions(const ReportedVersions& heard,
                                           TimePoint now) {
  if (heard.oldest != m_version || heard.newest != m_version) return;
  for (List& list : m_lists) {
    if (!list.released_at) list.released_at = now;
  }
}

KeyOwnership KeyOwnerHistory::OwnershipOf(std::string_view key) const {
  KeyOwnership ownership;
  ownership.since = m_start;
  // The oldest list of the unbroken run, up to now, that names this host.
  const List* first = nullptr;
  for (auto list = m_lists.rbegin(); list != m_lists.rend(); ++list) {
    if (FindKeyOwner(key, list->hosts) != m_self) break;
    first = &*list;
  }
  if (first == nullptr) return ownership;
  ownership.is_owner = first->released_at.has_value();
  ownership.awaiting_release = !ownership.is_owner;
  if (ownership.is_owner) ownership.since = *first->released_at;
  return ownership;
}

}  // namespace peridotshelf::attempts
