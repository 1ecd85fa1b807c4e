/// Decides when a process that is stopping may exit.
#pragma once

#include <cstddef>

#include "peridotshelf/base/clock.h"

namespace peridotshelf {

/// Reports when nothing has run for a given period. A process waits that long
/// before it exits, because the last result may still be in transit, or a
/// receiver that lost its connection may reconnect for it. Not thread-safe.
class IdleTimer {
 public:
  /// `idle_period`: time without work after which the process may exit.
  explicit IdleTimer(Duration idle_period) : m_idle_period(idle_period) {}

  /// Returns whether the process may exit at `now`, with `running` active
  /// tasks.
  bool HasElapsed(TimePoint now, size_t running) {
    const bool was_idle = m_idle;
    m_idle = running == 0;
    if (!m_idle) return false;
    if (!was_idle) m_idle_since = now;
    return now - m_idle_since >= m_idle_period;
  }

 private:
  Duration m_idle_period;
  TimePoint m_idle_since;
  bool m_idle = false;
};

}  // namespace peridotshelf
