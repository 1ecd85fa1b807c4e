#include "peridotshelf/ledger/tombstones.h"

namespace peridotshelf::ledger {

void Tombstones::Add(const AttemptId& attempt, bool started, TimePoint now) {
  const bool added = m_started.emplace(attempt, started).second;
  if (added) m_expiries.push_back({now + m_lifetime, attempt});
}

std::optional<bool> Tombstones::HasStarted(const AttemptId& attempt) const {
  auto it = m_started.find(attempt);
  if (it == m_started.end()) return std::nullopt;
  return it->second;
}

void Tombstones::Expire(TimePoint now) {
  while (!m_expiries.empty() && m_expiries.front().at <= now) {
    m_started.erase(m_expiries.front().attempt);
    m_expiries.pop_front();
  }
}

}  // namespace peridotshelf::ledger
