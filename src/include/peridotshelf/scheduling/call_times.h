/// Keeps how long the calls of one server took.
#pragma once

#include "peridotshelf/base/clock.h"
#include "peridotshelf/scheduling/engine_model.h"

namespace peridotshelf::scheduling {

/// Moving average of the durations of the calls at one server. The older the
/// average, the less it counts beside a new call. Not thread-safe.
class CallTimes {
 public:
  void NoteStart(TimePoint now) { m_used_at = now; }
  void NoteDuration(Millis duration, TimePoint now);
  /// Mean duration of recent calls; 0 if none has ended.
  Millis mean() const { return m_mean; }
  /// Returns for how long no call has begun or ended; zero if none has ended.
  Duration UnusedFor(TimePoint now) const;

 private:
  Millis m_mean = 0;
  TimePoint m_measured_at{};
  TimePoint m_used_at{};
};

}  // namespace peridotshelf::scheduling
