/// Tracks the recent success rate, speed and availability of one engine.
#pragma once

#include "peridotshelf/base/clock.h"

namespace peridotshelf::scheduling {

/// Tracks the successes, failures and speed of an engine. Bad results decay
/// over time, so that the engine is tried again. Not thread-safe.
class EngineHealth {
 public:
  void NoteSuccess(TimePoint now);
  /// Records a failure that the engine caused.
  void NoteFailure(TimePoint now);
  /// Records that the engine could not be reached. It receives no requests for
  /// a backoff time, which doubles with each call.
  void NoteUnreachable(TimePoint now);
  /// Records the ratio of the actual to the predicted time to first token.
  void NoteSlowdown(double actual_over_predicted, TimePoint now);

  /// Returns a value from 0 to 1.
  double SuccessRate(TimePoint now) const;
  /// Returns the ratio of actual to predicted time, at least 1.
  double SlowdownFactor(TimePoint now) const;
  /// Returns whether no backoff is in effect.
  bool IsAvailable(TimePoint now) const { return now >= m_unavailable_until; }

 private:
  void Decay(TimePoint now);

  double m_failure_rate = 0;
  double m_slowdown_factor = 1;
  Duration m_backoff{};
  TimePoint m_unavailable_until{};
  TimePoint m_decayed_at{};
};

}  // namespace peridotshelf::scheduling
