/// How well one engine has served lately.
#pragma once

#include "peridotshelf/base/clock.h"

namespace peridotshelf::scheduling {

/// Follows an engine's successes, failures and speed. What it believes of a bad
/// engine fades with time, so that the engine is tried again. Not thread-safe.
class EngineHealth {
 public:
  void NoteSuccess(TimePoint now);
  /// A failure by the engine's fault.
  void NoteFailure(TimePoint now);
  /// The engine could not be reached or fell silent: no request goes there for
  /// a pause that doubles each time.
  void NoteUnreachable(TimePoint now);
  /// A first event came after `actual` of predicted time.
  void NoteSlowdown(double actual_over_predicted, TimePoint now);

  /// From 0 to 1.
  double SuccessRate(TimePoint now) const;
  /// At least 1.
  double SlowdownFactor(TimePoint now) const;
  /// Whether the pause after the engine was unreachable is over.
  bool IsAvailable(TimePoint now) const { return now >= m_paused_until; }

 private:
  void Decay(TimePoint now);

  double m_failure_share = 0;
  double m_slowdown_factor = 1;
  Duration m_pause{};
  TimePoint m_paused_until{};
  TimePoint m_decayed_at{};
};

}  // namespace peridotshelf::scheduling
