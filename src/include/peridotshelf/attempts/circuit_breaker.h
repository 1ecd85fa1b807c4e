/// Stops requests to a failing engine and probes it periodically.
#pragma once

#include <cstdint>
#include <mutex>

#include "peridotshelf/base/clock.h"

namespace peridotshelf::attempts {

/// Failure threshold and intervals of a circuit breaker.
struct BreakerOptions {
  /// Consecutive failures that open the breaker.
  int32_t failures_to_open = 3;
  /// First open interval; doubles with each failed probe up to
  /// `max_open_interval`.
  Duration open_interval = std::chrono::milliseconds(500);
  Duration max_open_interval = std::chrono::seconds(8);
  /// A probe without a result after this time is treated as lost, and another
  /// one is allowed.
  Duration probe_timeout = std::chrono::seconds(5);
};

/// A circuit breaker for one engine. Thread-safe.
class CircuitBreaker {
 public:
  enum class State { kClosed, kOpen, kHalfOpen };

  explicit CircuitBreaker(BreakerOptions options = {}) : m_options(options) {}

  /// Returns whether the engine may be a candidate. Does not change the state.
  bool WouldAllow(TimePoint now) const;
  /// Returns whether an attempt may be sent to the engine now. After the open
  /// interval the first attempt is the probe; others are refused until its
  /// result.
  bool Allow(TimePoint now);
  /// Records that an attempt received a chunk or a complete answer.
  void NoteSuccess();
  /// Records that the engine failed an attempt. Refusals for overload are not
  /// failures.
  void NoteFailure(TimePoint now);
  /// Returns the state after the last call.
  State state() const;

 private:
  bool IsProbeDue(TimePoint now) const;

  const BreakerOptions m_options;
  mutable std::mutex m_mutex;
  State m_state = State::kClosed;
  int32_t m_failures = 0;
  Duration m_open_interval{};
  /// Open: end of the open interval. Half open: when the probe times out.
  TimePoint m_state_end{};
};

}  // namespace peridotshelf::attempts
