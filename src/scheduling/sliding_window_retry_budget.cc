#include "peridotshelf/scheduling/sliding_window_retry_budget.h"

#include <algorithm>

namespace peridotshelf::scheduling {
namespace {

/// Fraction of the limit that is used, because the windows of the entries are
/// not aligned.
constexpr double kUsableShare = 0.8;

}  // namespace

void SlidingWindowRetryBudget::Expire(TimePoint now) {
  const TimePoint oldest = now - m_limits.window;
  while (!m_requests.empty() && m_requests.front() < oldest) {
    m_requests.pop_front();
  }
  while (!m_retries.empty() && m_retries.front() < oldest) {
    m_retries.pop_front();
  }
}

void SlidingWindowRetryBudget::NoteRequest(TimePoint now) {
  Expire(now);
  m_requests.push_back(now);
}

double SlidingWindowRetryBudget::Allowed(size_t entries) const {
  return kUsableShare *
         (m_limits.ratio * static_cast<double>(m_requests.size()) +
          m_limits.slack / static_cast<double>(std::max<size_t>(entries, 1)));
}

double SlidingWindowRetryBudget::Remaining(TimePoint now, size_t entries) {
  Expire(now);
  return Allowed(entries) - static_cast<double>(m_retries.size());
}

double SlidingWindowRetryBudget::RemainingShare(TimePoint now, size_t entries) {
  const double remaining = Remaining(now, entries);
  const double allowed = Allowed(entries);
  return allowed > 0 ? std::max(remaining, 0.0) / allowed : 0;
}

bool SlidingWindowRetryBudget::TrySpend(TimePoint now, size_t entries) {
  if (Remaining(now, entries) < 1) return false;
  m_retries.push_back(now);
  return true;
}

}  // namespace peridotshelf::scheduling
