/// The time a request has left, on this process's monotonic clock.
#pragma once

#include <algorithm>

#include "peridotshelf/base/clock.h"

namespace peridotshelf {

/// A deadline kept as local monotonic time and sent as remaining duration.
class RequestDeadline {
 public:
  /// A budget of `remaining` from `now` on.
  static RequestDeadline FromRemaining(TimePoint now, Duration remaining) {
    return RequestDeadline(now + remaining);
  }

  /// Time left at `now`; never negative.
  Duration Remaining(TimePoint now) const {
    return std::max(Duration::zero(), Duration{m_deadline - now});
  }
  /// Whether nothing is left at `now`.
  bool Expired(TimePoint now) const { return now >= m_deadline; }
  /// The local point in time at which the budget ends.
  TimePoint deadline() const { return m_deadline; }

 private:
  explicit RequestDeadline(TimePoint deadline) : m_deadline(deadline) {}
  TimePoint m_deadline;
};

}  // namespace peridotshelf
