/// Deadline of a request, on the local process's monotonic clock.
#pragma once

#include <algorithm>

#include "peridotshelf/base/clock.h"

namespace peridotshelf {

/// A deadline, stored as local monotonic time and sent as remaining duration.
class RequestDeadline {
 public:
  /// Returns the deadline that is `remaining` after `now`.
  static RequestDeadline FromRemaining(TimePoint now, Duration remaining) {
    return RequestDeadline(now + remaining);
  }

  /// Returns the remaining time at `now`; never negative.
  Duration Remaining(TimePoint now) const {
    return std::max(Duration::zero(), Duration{m_deadline - now});
  }
  /// Returns whether the deadline has passed at `now`.
  bool Expired(TimePoint now) const { return now >= m_deadline; }
  /// Returns the deadline as local monotonic time.
  TimePoint time_point() const { return m_deadline; }

 private:
  explicit RequestDeadline(TimePoint deadline) : m_deadline(deadline) {}
  TimePoint m_deadline;
};

}  // namespace peridotshelf
