#include "peridotshelf/attempts/circuit_breaker.h"

#include <algorithm>

namespace peridotshelf::attempts {

bool CircuitBreaker::ProbeDue(TimePoint now) const { return now >= m_until; }

bool CircuitBreaker::WouldAllow(TimePoint now) const {
  std::scoped_lock lock(m_mutex);
  return m_state == State::kClosed || ProbeDue(now);
}

bool CircuitBreaker::Allow(TimePoint now) {
  std::scoped_lock lock(m_mutex);
  if (m_state == State::kClosed) return true;
  if (!ProbeDue(now)) return false;
  m_state = State::kHalfOpen;
  m_until = now + m_options.probe_timeout;
  return true;
}

void CircuitBreaker::NoteSuccess() {
  std::scoped_lock lock(m_mutex);
  m_state = State::kClosed;
  m_failures = 0;
  m_pause = Duration::zero();
}

void CircuitBreaker::NoteFailure(TimePoint now) {
  std::scoped_lock lock(m_mutex);
  // Failures of attempts that began before the breaker opened say nothing new.
  if (m_state == State::kOpen) return;
  ++m_failures;
  const bool probe_failed = m_state == State::kHalfOpen;
  if (!probe_failed && m_failures < m_options.failures_to_open) return;
  m_pause = probe_failed ? std::min(m_options.max_pause, m_pause * 2)
                         : m_options.pause;
  m_state = State::kOpen;
  m_until = now + m_pause;
}

CircuitBreaker::State CircuitBreaker::state() const {
  std::scoped_lock lock(m_mutex);
  return m_state;
}

}  // namespace peridotshelf::attempts
