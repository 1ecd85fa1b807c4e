#include "peridotshelf/attempts/retry_budget.h"

namespace peridotshelf::attempts {

RetryBudget::RetryBudget(double fraction, double burst)
    : m_fraction(fraction), m_burst(burst), m_tokens(burst) {}

void RetryBudget::NoteFirstAttempt() {
  std::scoped_lock lock(m_mutex);
  m_tokens = std::min(m_burst, m_tokens + m_fraction);
}

bool RetryBudget::TrySpend() {
  std::scoped_lock lock(m_mutex);
  if (m_tokens < 1.0) return false;
  m_tokens -= 1.0;
  return true;
}

double RetryBudget::tokens() const {
  std::scoped_lock lock(m_mutex);
  return m_tokens;
}

}  // namespace peridotshelf::attempts
