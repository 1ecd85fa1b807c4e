#include "peridotshelf/ledger/ledger.h"

#include <cmath>
#include <utility>

namespace peridotshelf::ledger {

using policy::IsLong;
using policy::SizeClass;

Obstacle Ledger::WhyNot(int64_t tokens, SizeClass size_class,
                        const ClassLimits& limits) const {
  const Capacity left = free();
  if (tokens > left.tokens || left.slots < 1) return Obstacle::kMemory;
  if (size_class == SizeClass::kShort) return Obstacle::kNone;
  if (IsLong(size_class) && m_long_prefills >= limits.max_long_prefills) {
    return Obstacle::kPrefillLimit;
  }
  // A request larger than the unreserved part could never run beside others,
  // so it may run when no other of its kind does.
  if (m_held_by_others.slots == 0) return Obstacle::kNone;
  const double part = 1.0 - limits.short_reserve;
  const auto tokens_limit = static_cast<int64_t>(
      std::floor(part * static_cast<double>(m_capacity.tokens)));
  const auto slots_limit =
      static_cast<int32_t>(std::floor(part * m_capacity.slots));
  const bool fits = m_held_by_others.tokens + tokens <= tokens_limit &&
                    m_held_by_others.slots < slots_limit;
  return fits ? Obstacle::kNone : Obstacle::kMemory;
}

void Ledger::Count(const Hold& hold, int sign) {
  m_held.tokens += sign * hold.tokens;
  m_held.slots += sign;
  if (hold.size_class != SizeClass::kShort) {
    m_held_by_others.tokens += sign * hold.tokens;
    m_held_by_others.slots += sign;
  }
  if (IsLong(hold.size_class) && hold.prefilling) m_long_prefills += sign;
}

Result<void> Ledger::Reserve(Hold hold) {
  hold.state = HoldState::kReserved;
  auto [it, added] = m_holds.try_emplace(hold.attempt, hold);
  if (!added) return Fail(ErrorCode::kKeyInUse, hold.attempt.ToString());
  Count(it->second, 1);
  return {};
}

void Ledger::Adopt(Hold hold) {
  hold.state = HoldState::kOrphaned;
  auto [it, added] = m_holds.try_emplace(hold.attempt, hold);
  if (added) Count(it->second, 1);
}

Result<void> Ledger::Commit(const AttemptId& attempt, TimePoint lease_end) {
  auto it = m_holds.find(attempt);
  if (it == m_holds.end() || it->second.state != HoldState::kReserved) {
    return Fail(ErrorCode::kOutOfTime, attempt.ToString());
  }
  it->second.state = HoldState::kRunning;
  it->second.lease_end = lease_end;
  return {};
}

void Ledger::EndPrefill(const AttemptId& attempt) {
  auto it = m_holds.find(attempt);
  if (it == m_holds.end()) return;
  Count(it->second, -1);
  it->second.prefilling = false;
  Count(it->second, 1);
}

void Ledger::Extend(const ProcessId& owner, TimePoint lease_end) {
  for (auto& [attempt, hold] : m_holds) {
    const bool gathering =
        hold.state == HoldState::kReserved && hold.gang_since.has_value();
    const bool renewed = hold.state == HoldState::kRunning || gathering;
    if (renewed && hold.owner == owner) hold.lease_end = lease_end;
  }
}

bool Ledger::Claim(const AttemptId& attempt, const ProcessId& owner,
                   TimePoint lease_end) {
  auto it = m_holds.find(attempt);
  if (it == m_holds.end()) return false;
  Hold& hold = it->second;
  if (hold.state == HoldState::kCancelling) return false;
  if (hold.state == HoldState::kOrphaned) hold.state = HoldState::kRunning;
  hold.owner = owner;
  hold.lease_end = lease_end;
  return true;
}

void Ledger::BeginCancel(const AttemptId& attempt) {
  auto it = m_holds.find(attempt);
  if (it != m_holds.end()) it->second.state = HoldState::kCancelling;
}

std::optional<Hold> Ledger::Release(const AttemptId& attempt) {
  auto it = m_holds.find(attempt);
  if (it == m_holds.end()) return std::nullopt;
  Hold hold = std::move(it->second);
  m_holds.erase(it);
  Count(hold, -1);
  return hold;
}

std::vector<Hold> Ledger::Lapsed(TimePoint now) const {
  std::vector<Hold> lapsed;
  for (const auto& [attempt, hold] : m_holds) {
    if (hold.state == HoldState::kCancelling) continue;
    if (hold.lease_end <= now) lapsed.push_back(hold);
  }
  return lapsed;
}

const Hold* Ledger::Find(const AttemptId& attempt) const {
  auto it = m_holds.find(attempt);
  return it == m_holds.end() ? nullptr : &it->second;
}

Capacity Ledger::free() const {
  return {m_capacity.tokens - m_held.tokens, m_capacity.slots - m_held.slots};
}

Capacity Ledger::held_by_short() const {
  return {m_held.tokens - m_held_by_others.tokens,
          m_held.slots - m_held_by_others.slots};
}

bool Ledger::Balanced() const {
  Ledger recount(m_capacity);
  for (const auto& [attempt, hold] : m_holds) recount.Count(hold, 1);
  return recount.m_held == m_held &&
         recount.m_held_by_others == m_held_by_others &&
         recount.m_long_prefills == m_long_prefills;
}

}  // namespace peridotshelf::ledger
