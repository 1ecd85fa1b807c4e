/// Records of ended attempts, which must never start again.
#pragma once

#include <deque>
#include <optional>
#include <unordered_map>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/ids.h"

namespace peridotshelf::ledger {

/// Keeps a record of each ended attempt for a fixed time. The time must exceed
/// the longest timeout of a request, so that a frame delayed by a frozen
/// process still finds the record.
class Tombstones {
 public:
  explicit Tombstones(Duration lifetime) : m_lifetime(lifetime) {}

  /// Records that `attempt` ended; `started` tells whether its engine may have
  /// started it. The first record of an attempt is kept.
  void Add(const AttemptId& attempt, bool started, TimePoint now);
  /// Returns whether the attempt had started, or nothing if it has no record.
  std::optional<bool> HasStarted(const AttemptId& attempt) const;
  /// Removes records older than the lifetime.
  void Expire(TimePoint now);
  size_t size() const { return m_started.size(); }

 private:
  struct Expiry {
    TimePoint at;
    AttemptId attempt;
  };
  Duration m_lifetime;
  std::unordered_map<AttemptId, bool> m_started;
  std::deque<Expiry> m_expiries;
};

}  // namespace peridotshelf::ledger
