/// Attempts that must never start again.
#pragma once

#include <deque>
#include <optional>
#include <unordered_map>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/ids.h"

namespace peridotshelf::ledger {

/// Remembers ended attempts for a fixed time. The time must exceed the longest
/// budget of a request, so that a frame delayed by a freeze still finds the
/// record.
class Tombstones {
 public:
  explicit Tombstones(Duration lifetime) : m_lifetime(lifetime) {}

  /// Records that `attempt` ended; `started` if its engine may have begun it.
  /// The first record of an attempt stays.
  void Add(const AttemptId& attempt, bool started, TimePoint now);
  /// Whether the attempt had started, if it is recorded.
  std::optional<bool> Started(const AttemptId& attempt) const;
  /// Forgets records older than the lifetime.
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
