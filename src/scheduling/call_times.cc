#include "peridotshelf/scheduling/call_times.h"

#include <algorithm>

#include "call_age.h"

namespace peridotshelf::scheduling {

void CallTimes::NoteDuration(Millis duration, TimePoint now) {
  constexpr double kWeightOfMean = 0.8;
  const double weight =
      m_mean > 0 ? kWeightOfMean * detail::WeightAtAge(now - m_measured_at) : 0;
  m_mean = duration + weight * (m_mean - duration);
  m_measured_at = now;
  m_used_at = now;
}

Duration CallTimes::UnusedFor(TimePoint now) const {
  return m_mean > 0 ? std::max(now - m_used_at, Duration::zero())
                    : Duration::zero();
}

}  // namespace peridotshelf::scheduling
