/// Keeps requests away from an engine that fails, and probes it now and then.
#pragma once

#include <cstdint>
#include <mutex>

#include "peridotshelf/base/clock.h"

namespace peridotshelf::attempts {

/// When a breaker opens and for how long.
struct BreakerOptions {
  /// Failures in a row that open it.
  int32_t failures_to_open = 3;
  /// The first pause; it doubles with each failed probe up to `max_pause`.
  Duration pause = std::chrono::milliseconds(500);
  Duration max_pause = std::chrono::seconds(8);
  /// A probe without a result for this long counts as lost, so that another
  /// may go.
  Duration probe_timeout = std::chrono::seconds(5);
};

/// A circuit breaker for one engine. Thread-safe.
class CircuitBreaker {
 public:
  enum class State { kClosed, kOpen, kHalfOpen };

  explicit CircuitBreaker(BreakerOptions options = {}) : m_options(options) {}

  /// Whether the engine may be among the candidates. Has no effect.
  bool WouldAllow(TimePoint now) const;
  /// Whether an attempt may go there now. After the pause the first caller is
  /// the probe and others are refused until its result.
  bool Allow(TimePoint now);
  /// An attempt got a chunk or a whole answer.
  void NoteSuccess();
  /// An attempt failed by the engine's fault; refusals for load are not that.
  void NoteFailure(TimePoint now);
  /// The state at the last call.
  State state() const;

 private:
  bool ProbeDue(TimePoint now) const;

  const BreakerOptions m_options;
  mutable std::mutex m_mutex;
  State m_state = State::kClosed;
  int32_t m_failures = 0;
  Duration m_pause{};
  /// Open: the end of the pause. Half open: when the probe counts as lost.
  TimePoint m_until{};
};

}  // namespace peridotshelf::attempts
