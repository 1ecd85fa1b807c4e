/// Limits of teams over a fleet of entries, without a central counter.
#pragma once

#include <cstdint>
#include <mutex>
#include <unordered_map>

#include "peridotshelf/base/ids.h"

namespace peridotshelf::policy {

/// One entry's part of each team's limit. With N entries, each admits a team
/// up to its limit divided by N, and one request at least. When n of the
/// entries still believe that there are M < N, the fleet can run up to
/// (N - n) / N + n / M times the limit, plus one request for each entry whose
/// part is smaller than a request. Thread-safe.
class TeamLimiter {
 public:
  /// The number of live entries, as this entry knows it; at least 1.
  void SetEntryCount(int64_t entries);
  /// Counts `tokens` of `team` as running if its part of `limit` allows;
  /// `limit` 0 means no limit.
  bool TryAcquire(const TeamId& team, int64_t tokens, int64_t limit);
  /// What was acquired has ended.
  void Release(const TeamId& team, int64_t tokens);
  /// Tokens of the team running through this entry.
  int64_t Running(const TeamId& team) const;

 private:
  mutable std::mutex m_mutex;
  int64_t m_entries = 1;
  std::unordered_map<TeamId, int64_t> m_running;
};

}  // namespace peridotshelf::policy
