/// Enforces limits of teams over a fleet of entries without a central counter.
#pragma once

#include <cstdint>
#include <mutex>
#include <unordered_map>

#include "peridotshelf/base/ids.h"

namespace peridotshelf::policy {

/// Enforces one entry's portion of each team's limit. With N entries, each
/// admits up to the team's limit divided by N, but at least one request. While
/// n of the entries still assume M < N entries, the fleet can run up to
/// (N - n) / N + n / M times the limit, plus one request for each entry whose
/// portion is smaller than a request. Thread-safe.
class TeamLimiter {
 public:
  /// Sets the number of live entries known to this entry; at least 1.
  void SetEntryCount(int64_t entries);
  /// Adds `tokens` to the running tokens of `team` and returns true if this
  /// entry's portion of `limit` allows it; a `limit` of 0 means no limit.
  bool TryAcquire(const TeamId& team, int64_t tokens, int64_t limit);
  /// Subtracts `tokens` of a request that ended.
  void Release(const TeamId& team, int64_t tokens);
  /// Returns the team's running tokens at this entry.
  int64_t RunningTokens(const TeamId& team) const;

 private:
  mutable std::mutex m_mutex;
  int64_t m_entry_count = 1;
  std::unordered_map<TeamId, int64_t> m_running;
};

}  // namespace peridotshelf::policy
