/// Limits the retries sent to engines.
#pragma once

#include <cstdint>
#include <deque>

#include "peridotshelf/base/clock.h"

namespace peridotshelf::scheduling {

/// Limit on the retries of all entries together.
struct RetryLimits {
  /// Retries allowed per request in the window.
  double ratio = 0.2;
  /// Additional retries allowed in the window, shared by all entries.
  double slack = 0;
  Duration window = std::chrono::seconds(10);

  friend bool operator==(const RetryLimits&, const RetryLimits&) = default;
};

/// Keeps the retries of one entry within its share, so that all entries
/// together stay within the limit without coordination. Not thread-safe.
class SlidingWindowRetryBudget {
 public:
  explicit SlidingWindowRetryBudget(const RetryLimits& limits)
      : m_limits(limits) {}

  void SetLimits(const RetryLimits& limits) { m_limits = limits; }
  void NoteRequest(TimePoint now);
  /// Spends one retry; returns false if the share is used up. `entries` entries
  /// share the slack.
  bool TrySpend(TimePoint now, size_t entries);
  /// Returns the number of retries that remain at `now`.
  double Remaining(TimePoint now, size_t entries);
  /// Returns the share of the allowed retries that remains at `now`; 0 if none
  /// are allowed.
  double RemainingShare(TimePoint now, size_t entries);

 private:
  double Allowed(size_t entries) const;
  void Expire(TimePoint now);

  RetryLimits m_limits;
  std::deque<TimePoint> m_requests;
  std::deque<TimePoint> m_retries;
};

}  // namespace peridotshelf::scheduling
