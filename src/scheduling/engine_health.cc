#include "peridotshelf/scheduling/engine_health.h"

#include <algorithm>
#include <cmath>

namespace peridotshelf::scheduling {
namespace {

/// Weight of the newest outcome.
constexpr double kOutcomeWeight = 0.25;
constexpr double kPaceWeight = 0.3;
/// What is believed of a bad engine halves in this time.
constexpr double kHalfLifeSeconds = 2.5;
constexpr Duration kFirstPause = std::chrono::milliseconds(400);
constexpr Duration kLongestPause = std::chrono::seconds(4);
/// A ratio above this says no more about the speed.
constexpr double kMaxPace = 8;

double FadeFactor(TimePoint from, TimePoint to) {
  const double seconds = std::chrono::duration<double>(to - from).count();
  return std::exp2(-std::max(seconds, 0.0) / kHalfLifeSeconds);
}

}  // namespace

void EngineHealth::Decay(TimePoint now) {
  const double factor = FadeFactor(m_decayed_at, now);
  m_failure_share *= factor;
  m_slowdown_factor = 1 + (m_slowdown_factor - 1) * factor;
  m_decayed_at = now;
}

void EngineHealth::NoteSuccess(TimePoint now) {
  Decay(now);
  m_failure_share *= 1 - kOutcomeWeight;
  m_pause = Duration::zero();
  m_paused_until = TimePoint{};
}

void EngineHealth::NoteFailure(TimePoint now) {
  Decay(now);
  m_failure_share += (1 - m_failure_share) * kOutcomeWeight;
}

void EngineHealth::NoteUnreachable(TimePoint now) {
  NoteFailure(now);
  // Requests that were under way together fail together and count once.
  if (!IsAvailable(now)) return;
  m_pause = m_pause == Duration::zero() ? kFirstPause
                                        : std::min(m_pause * 2, kLongestPause);
  m_paused_until = now + m_pause;
}

void EngineHealth::NoteSlowdown(double actual_over_predicted, TimePoint now) {
  Decay(now);
  const double ratio = std::clamp(actual_over_predicted, 0.5, kMaxPace);
  m_slowdown_factor += (ratio - m_slowdown_factor) * kPaceWeight;
  m_slowdown_factor = std::max(m_slowdown_factor, 1.0);
}

double EngineHealth::SuccessRate(TimePoint now) const {
  return 1 - m_failure_share * FadeFactor(m_decayed_at, now);
}

double EngineHealth::SlowdownFactor(TimePoint now) const {
  return 1 + (m_slowdown_factor - 1) * FadeFactor(m_decayed_at, now);
}

}  // namespace peridotshelf::scheduling
