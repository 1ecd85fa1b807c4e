#include "peridotshelf/scheduling/engine_health.h"

#include <algorithm>
#include <cmath>

namespace peridotshelf::scheduling {
namespace {

/// Weight of the newest outcome in the moving average.
constexpr double kOutcomeWeight = 0.25;
constexpr double kSlowdownWeight = 0.3;
/// Failure rate and slowdown halve in this time.
constexpr double kHalfLifeSeconds = 2.5;
constexpr Duration kInitialBackoff = std::chrono::milliseconds(400);
constexpr Duration kMaxBackoff = std::chrono::seconds(4);
/// Cap on the ratio; a higher ratio says no more about the engine's speed.
constexpr double kMaxSlowdown = 8;

double DecayFactor(TimePoint from, TimePoint to) {
  const double seconds = std::chrono::duration<double>(to - from).count();
  return std::exp2(-std::max(seconds, 0.0) / kHalfLifeSeconds);
}

}  // namespace

void EngineHealth::Decay(TimePoint now) {
  const double factor = DecayFactor(m_decayed_at, now);
  m_failure_rate *= factor;
  m_slowdown_factor = 1 + (m_slowdown_factor - 1) * factor;
  m_decayed_at = now;
}

void EngineHealth::NoteSuccess(TimePoint now) {
  Decay(now);
  m_failure_rate *= 1 - kOutcomeWeight;
  m_backoff = Duration::zero();
  m_unavailable_until = TimePoint{};
}

void EngineHealth::NoteFailure(TimePoint now) {
  Decay(now);
  m_failure_rate += (1 - m_failure_rate) * kOutcomeWeight;
}

void EngineHealth::NoteUnreachable(TimePoint now) {
  NoteFailure(now);
  // Failures of concurrent requests count as one.
  if (!IsAvailable(now)) return;
  m_backoff = m_backoff == Duration::zero()
                  ? kInitialBackoff
                  : std::min(m_backoff * 2, kMaxBackoff);
  m_unavailable_until = now + m_backoff;
}

void EngineHealth::NoteSlowdown(double actual_over_predicted, TimePoint now) {
  Decay(now);
  const double ratio = std::clamp(actual_over_predicted, 0.5, kMaxSlowdown);
  m_slowdown_factor += (ratio - m_slowdown_factor) * kSlowdownWeight;
  m_slowdown_factor = std::max(m_slowdown_factor, 1.0);
}

double EngineHealth::SuccessRate(TimePoint now) const {
  return 1 - m_failure_rate * DecayFactor(m_decayed_at, now);
}

double EngineHealth::SlowdownFactor(TimePoint now) const {
  return 1 + (m_slowdown_factor - 1) * DecayFactor(m_decayed_at, now);
}

}  // namespace peridotshelf::scheduling
