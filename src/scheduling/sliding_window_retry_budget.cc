#include "peridotshelf/scheduling/repeat_budget.h"

#include <algorithm>

namespace peridotshelf::scheduling {
namespace {

/// Part of the limit that is used: entries see different windows.
constexpr double kUsableShare = 0.8;

}  // namespace

void RepeatBudget::Expire(TimePoint now) {
  const TimePoint oldest = now - m_limits.window;
  while (!m_requests.empty() && m_requests.front() < oldest) {
    m_requests.pop_front();
  }
  while (!m_repeats.empty() && m_repeats.front() < oldest) {
    m_repeats.pop_front();
  }
}

void RepeatBudget::NoteRequest(TimePoint now) {
  Expire(now);
  m_requests.push_back(now);
}

double RepeatBudget::Left(TimePoint now, size_t entries) {
  Expire(now);
  const double allowed =
      kUsableShare *
      (m_limits.ratio * static_cast<double>(m_requests.size()) +
       m_limits.slack / static_cast<double>(std::max<size_t>(entries, 1)));
  return allowed - static_cast<double>(m_repeats.size());
}

bool RepeatBudget::TrySpend(TimePoint now, size_t entries) {
  if (Left(now, entries) < 1) return false;
  m_repeats.push_back(now);
  return true;
}

}  // namespace peridotshelf::scheduling
