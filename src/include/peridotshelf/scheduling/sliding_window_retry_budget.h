/// Limits what is sent to engines more than once.
#pragma once

#include <cstdint>
#include <deque>

#include "peridotshelf/base/clock.h"

namespace peridotshelf::scheduling {

/// The limit that all entries keep together.
struct RetryLimits {
  /// Repeats allowed for each request of the window.
  double ratio = 0.2;
  /// Repeats allowed on top, for all entries together.
  double slack = 0;
  Duration window = std::chrono::seconds(10);

  friend bool operator==(const RetryLimits&, const RetryLimits&) = default;
};

/// Keeps one entry's repeats within its share, so that all entries together
/// keep the limit without asking each other. Not thread-safe.
class SlidingWindowRetryBudget {
 public:
  explicit SlidingWindowRetryBudget(const RetryLimits& limits)
      : m_limits(limits) {}

  void SetLimits(const RetryLimits& limits) { m_limits = limits; }
  void NoteRequest(TimePoint now);
  /// Takes one repeat; false if the share is spent. `entries` share the slack.
  bool TrySpend(TimePoint now, size_t entries);
  /// Repeats left at `now`.
  double Left(TimePoint now, size_t entries);

 private:
  void Expire(TimePoint now);

  RetryLimits m_limits;
  std::deque<TimePoint> m_requests;
  std::deque<TimePoint> m_retries;
};

}  // namespace peridotshelf::scheduling
