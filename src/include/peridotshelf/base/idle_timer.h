/// Decides when a process that is stopping may end.
#pragma once

#include <cstddef>

#include "peridotshelf/base/clock.h"

namespace peridotshelf {

/// Tells when nothing has run for a while. What ended last may still be on its
/// way to its receiver, or a receiver whose connection was lost may come back
/// for it, so the first idle moment is not the end. Not thread-safe.
class IdleTimer {
 public:
  /// `linger`: how long nothing must have run.
  explicit IdleTimer(Duration linger) : m_linger(linger) {}

  /// Whether the process may end, given what runs at `now`.
  bool MayEnd(TimePoint now, size_t running) {
    const bool was_idle = m_idle;
    m_idle = running == 0;
    if (!m_idle) return false;
    if (!was_idle) m_idle_since = now;
    return now - m_idle_since >= m_linger;
  }

 private:
  Duration m_linger;
  TimePoint m_idle_since;
  bool m_idle = false;
};

}  // namespace peridotshelf
