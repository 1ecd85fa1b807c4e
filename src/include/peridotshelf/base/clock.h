/// Monotonic time, as a concept so that decision logic runs on virtual time.
#pragma once

#include <chrono>
#include <concepts>

namespace peridotshelf {

/// A span of time; nanosecond resolution.
using Duration = std::chrono::nanoseconds;

/// A point on a process's own monotonic clock. Never sent to another process:
/// hops exchange remaining durations.
using TimePoint = std::chrono::steady_clock::time_point;

/// A source of monotonic time.
template <class C>
concept MonotonicClock = requires(const C& clock) {
  { clock.Now() } -> std::same_as<TimePoint>;
};

/// The operating system's monotonic clock.
class SteadyClock {
 public:
  /// The current time.
  TimePoint Now() const { return std::chrono::steady_clock::now(); }
};

/// A clock that moves only when told to. Copies of `ManualClockRef` share it.
class ManualClock {
 public:
  /// The time last set.
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
  /// The owner's current time.
  TimePoint Now() const { return m_clock->Now(); }

 private:
  const ManualClock* m_clock;
};

/// Whole milliseconds in `span`, rounded down.
constexpr int64_t ToMilliseconds(Duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

}  // namespace peridotshelf
