#include "peridotshelf/attempts/circuit_breaker.h"

#include <algorithm>

namespace peridotshelf::attempts {

bool CircuitBreaker::IsProbeDue(TimePoint now) const {
  return now >= m_state_end;
}

bool CircuitBreaker::WouldAllow(TimePoint now) const {
  std::scoped_lock lock(m_mutex);
  return m_state == State::kClosed || IsProbeDue(now);
}

bool CircuitBreaker::Allow(TimePoint now) {
  std::scoped_lock lock(m_mutex);
  if (m_state == State::kClosed) return true;
  if (!IsProbeDue(now)) return false;
  m_state = State::kHalfOpen;
  m_state_end = now + m_options.probe_timeout;
  return true;
}

void CircuitBreaker::NoteSuccess() {
  std::scoped_lock lock(m_mutex);
  m_state = State::kClosed;
  m_failures = 0;
  m_open_interval = Duration::zero();
}

void CircuitBreaker::NoteFailure(TimePoint now) {
  std::scoped_lock lock(m_mutex);
  // Ignores failures of attempts that started before the breaker opened.
  if (m_state == State::kOpen) return;
  ++m_failures;
  const bool probe_failed = m_state == State::kHalfOpen;
  if (!probe_failed && m_failures < m_options.failures_to_open) return;
  m_open_interval =
      probe_failed ? std::min(m_options.max_open_interval, m_open_interval * 2)
                   : m_options.open_interval;
  m_state = State::kOpen;
  m_state_end = now + m_open_interval;
}

CircuitBreaker::State CircuitBreaker::state() const {
  std::scoped_lock lock(m_mutex);
  return m_state;
}

}  // namespace peridotshelf::attempts
