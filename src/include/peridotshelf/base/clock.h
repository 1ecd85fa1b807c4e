/// Monotonic clocks, as a concept so that decision logic can use virtual time.
#pragma once

#include <chrono>
#include <concepts>

namespace peridotshelf {

/// A time span with nanosecond resolution.
using Duration = std::chrono::nanoseconds;

/// A point on the local process's monotonic clock. Never sent to another
/// process: messages carry remaining durations instead.
using TimePoint = std::chrono::steady_clock::time_point;

/// A source of monotonic time.
template <class C>
concept MonotonicClock = requires(const C& clock) {
  { clock.Now() } -> std::same_as<TimePoint>;
};

/// The operating system's monotonic clock.
class SteadyClock {
 public:
  /// Returns the current time.
  TimePoint Now() const { return std::chrono::steady_clock::now(); }
};

/// A clock that advances only in `Advance`. `ManualClockRef` refers to it.
class ManualClock {
 public:
  /// Returns the time set by the last `Advance`.
  TimePoint Now() const { return m_now; }
  /// Moves time forward by `step`.
  void Advance(Duration step) { m_now += step; }

 private:
  TimePoint m_now{std::chrono::hours(1)};
};

/// A copyable handle to a `ManualClock` owned by a test or simulation.
class ManualClockRef {
 public:
  explicit ManualClockRef(const ManualClock& clock) : m_clock(&clock) {}
  /// Returns the current time of the referenced clock.
  TimePoint Now() const { return m_clock->Now(); }

 private:
  const ManualClock* m_clock;
};

/// Returns the whole milliseconds in `span`, rounded toward zero.
constexpr int64_t ToMilliseconds(Duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

}  // namespace peridotshelf
