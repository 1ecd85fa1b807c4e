#include "peridotshelf/policy/team_limiter.h"

#include <algorithm>

namespace peridotshelf::policy {

void TeamLimiter::SetEntryCount(int64_t entries) {
  std::scoped_lock lock(m_mutex);
  m_entry_count = std::max<int64_t>(1, entries);
}

bool TeamLimiter::TryAcquire(const TeamId& team, int64_t tokens,
                             int64_t limit) {
  std::scoped_lock lock(m_mutex);
  auto it = m_running.find(team);
  const int64_t running = it == m_running.end() ? 0 : it->second;
  const bool exceeds_limit =
      limit > 0 && running + tokens > limit / m_entry_count;
  if (exceeds_limit && running > 0) return false;
  m_running[team] = running + tokens;
  return true;
}

void TeamLimiter::Release(const TeamId& team, int64_t tokens) {
  std::scoped_lock lock(m_mutex);
  auto it = m_running.find(team);
  if (it == m_running.end()) return;
  it->second -= tokens;
  if (it->second <= 0) m_running.erase(it);
}

int64_t TeamLimiter::RunningTokens(const TeamId& team) const {
  std::scoped_lock lock(m_mutex);
  auto it = m_running.find(team);
  return it == m_running.end() ? 0 : it->second;
}

}  // namespace peridotshelf::policy
