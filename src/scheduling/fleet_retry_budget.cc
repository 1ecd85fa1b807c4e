#include "peridotshelf/scheduling/fleet_retry_budget.h"

#include <algorithm>

namespace peridotshelf::scheduling {
namespace {

/// Fraction of the limit that is used. Requests and retries are counted here a
/// little later and earlier than where they are judged.
constexpr double kUsableShare = 0.9;
/// Fraction of the limit that the buckets hold; the rest is added to them in a
/// window.
constexpr double kHeldFraction = 0.5;

}  // namespace

FleetRetryBudget::SlackPart FleetRetryBudget::DivideSlack(double part) const {
  const double slack = kUsableShare * m_limits.slack * part;
  SlackPart divided;
  // A bucket that holds less than one retry allows none.
  divided.held = std::max(kHeldFraction * slack, std::min(slack, 1.0));
  divided.per_window = slack - divided.held;
  return divided;
}

double FleetRetryBudget::Capacity(double part) const {
  return DivideSlack(part).held + kHeldFraction * kUsableShare *
                                      m_limits.ratio *
                                      static_cast<double>(m_requests.size());
}

void FleetRetryBudget::Advance(TimePoint now, double part) {
  const TimePoint oldest = now - m_limits.window;
  while (!m_requests.empty() && m_requests.front() <= oldest) {
    m_requests.pop_front();
  }
  const double windows = std::chrono::duration<double>(now - m_updated_at) /
                         std::chrono::duration<double>(m_limits.window);
  m_tokens += DivideSlack(part).per_window * std::max(windows, 0.0);
  m_updated_at = std::max(m_updated_at, now);
  Shrink(part);
  NoteRoom(now, part);
}

void FleetRetryBudget::NoteRoom(TimePoint now, double part) {
  const double room = Capacity(part) - m_tokens - static_cast<double>(m_claims);
  while (!m_rooms.empty() && m_rooms.back().room_and_lent >= room + m_lent) {
    m_rooms.pop_back();
  }
  m_rooms.push_back({now, room + m_lent});
  while (m_rooms.front().at <= now - m_limits.window) m_rooms.pop_front();
}

double FleetRetryBudget::Lendable() const {
  return std::max(m_rooms.front().room_and_lent - m_lent, 0.0);
}

void FleetRetryBudget::Shrink(double part) {
  const double capacity = Capacity(part);
  const auto held_claims = static_cast<size_t>(capacity);
  if (m_claims > held_claims) {
    m_lapsed = std::max(m_lapsed, m_claims - held_claims);
  }
  const double left =
      capacity - static_cast<double>(m_claims - std::min(m_claims, m_lapsed));
  m_tokens = std::clamp(m_tokens, 0.0, std::max(left, 0.0));
}

void FleetRetryBudget::NoteRequest(TimePoint now, double part) {
  Advance(now, part);
  m_requests.push_back(now);
  m_tokens += (1 - kHeldFraction) * kUsableShare * m_limits.ratio;
  Shrink(part);
  NoteRoom(now, part);
}

bool FleetRetryBudget::TryClaim(TimePoint now, double part) {
  Advance(now, part);
  if (m_tokens >= 1) {
    m_tokens -= 1;
  } else if (Lendable() >= 1) {
    m_lent += 1;
  } else {
    return false;
  }
  ++m_claims;
  return true;
}

bool FleetRetryBudget::TrySend(TimePoint now, double part) {
  Advance(now, part);
  --m_claims;
  if (m_lapsed == 0) return true;
  --m_lapsed;
  return false;
}

void FleetRetryBudget::Release() {
  --m_claims;
  if (m_lapsed > 0) {
    --m_lapsed;
  } else {
    m_tokens += 1;
  }
}

void FleetRetryBudget::Return(TimePoint now, double part) {
  Advance(now, part);
  m_tokens += 1;
  Shrink(part);
}

double FleetRetryBudget::Remaining(TimePoint now, double part) {
  Advance(now, part);
  return m_tokens + Lendable();
}

double FleetRetryBudget::RemainingShare(TimePoint now, double part) {
  Advance(now, part);
  const double capacity = Capacity(part);
  return capacity > 0 ? m_tokens / capacity : 0;
}

}  // namespace peridotshelf::scheduling
