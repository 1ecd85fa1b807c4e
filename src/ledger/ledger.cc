#include "peridotshelf/ledger/ledger.h"

#include <cmath>
#include <utility>

namespace peridotshelf::ledger {

using policy::IsLong;
using policy::SizeClass;

Obstacle Ledger::FindObstacle(int64_t tokens, SizeClass size_class,
                              const ClassLimits& limits) const {
  const Capacity left = free();
  if (tokens > left.tokens || left.slots < 1) return Obstacle::kMemory;
  if (size_class == SizeClass::kShort) return Obstacle::kNone;
  if (IsLong(size_class) && m_long_prefills >= limits.max_long_prefills) {
    return Obstacle::kPrefillLimit;
  }
  // A request larger than the unreserved part could never run beside others,
  // so it may run when no other of its kind does.
  if (m_allocated_to_others.slots == 0) return Obstacle::kNone;
  const double part = 1.0 - limits.short_reserve;
  const auto tokens_limit = static_cast<int64_t>(
      std::floor(part * static_cast<double>(m_capacity.tokens)));
  const auto slots_limit =
      static_cast<int32_t>(std::floor(part * m_capacity.slots));
  const bool fits = m_allocated_to_others.tokens + tokens <= tokens_limit &&
                    m_allocated_to_others.slots < slots_limit;
  return fits ? Obstacle::kNone : Obstacle::kMemory;
}

void Ledger::Count(const Allocation& hold, int sign) {
  m_held.tokens += sign * hold.tokens;
  m_held.slots += sign;
  if (hold.size_class != SizeClass::kShort) {
    m_allocated_to_others.tokens += sign * hold.tokens;
    m_allocated_to_others.slots += sign;
  }
  if (IsLong(hold.size_class) && hold.prefilling) m_long_prefills += sign;
}

Result<void> Ledger::Reserve(Allocation hold) {
  hold.state = AllocationState::kReserved;
  auto [it, added] = m_allocations.try_emplace(hold.attempt, hold);
  if (!added) return Fail(ErrorCode::kKeyInUse, hold.attempt.ToString());
  Count(it->second, 1);
  return {};
}

void Ledger::Adopt(Allocation hold) {
  hold.state = AllocationState::kOrphaned;
  auto [it, added] = m_allocations.try_emplace(hold.attempt, hold);
  if (added) Count(it->second, 1);
}

Result<void> Ledger::Commit(const AttemptId& attempt, TimePoint lease_end) {
  auto it = m_allocations.find(attempt);
  if (it == m_allocations.end() ||
      it->second.state != AllocationState::kReserved) {
    return Fail(ErrorCode::kDeadlineExceeded, attempt.ToString());
  }
  it->second.state = AllocationState::kRunning;
  it->second.lease_end = lease_end;
  return {};
}

void Ledger::EndPrefill(const AttemptId& attempt) {
  auto it = m_allocations.find(attempt);
  if (it == m_allocations.end()) return;
  Count(it->second, -1);
  it->second.prefilling = false;
  Count(it->second, 1);
}

void Ledger::Extend(const ProcessId& owner, TimePoint lease_end) {
  for (auto& [attempt, hold] : m_allocations) {
    const bool gathering = hold.state == AllocationState::kReserved &&
                           hold.multi_engine_since.has_value();
    const bool renewed = hold.state == AllocationState::kRunning || gathering;
    if (renewed && hold.owner == owner) hold.lease_end = lease_end;
  }
}

bool Ledger::Claim(const AttemptId& attempt, const ProcessId& owner,
                   TimePoint lease_end) {
  auto it = m_allocations.find(attempt);
  if (it == m_allocations.end()) return false;
  Allocation& hold = it->second;
  if (hold.state == AllocationState::kCancelling) return false;
  if (hold.state == AllocationState::kOrphaned)
    hold.state = AllocationState::kRunning;
  hold.owner = owner;
  hold.lease_end = lease_end;
  return true;
}

void Ledger::BeginCancel(const AttemptId& attempt) {
  auto it = m_allocations.find(attempt);
  if (it != m_allocations.end())
    it->second.state = AllocationState::kCancelling;
}

std::optional<Allocation> Ledger::Release(const AttemptId& attempt) {
  auto it = m_allocations.find(attempt);
  if (it == m_allocations.end()) return std::nullopt;
  Allocation hold = std::move(it->second);
  m_allocations.erase(it);
  Count(hold, -1);
  return hold;
}

std::vector<Allocation> Ledger::ExpiredAllocations(TimePoint now) const {
  std::vector<Allocation> lapsed;
  for (const auto& [attempt, hold] : m_allocations) {
    if (hold.state == AllocationState::kCancelling) continue;
    if (hold.lease_end <= now) lapsed.push_back(hold);
  }
  return lapsed;
}

const Allocation* Ledger::Find(const AttemptId& attempt) const {
  auto it = m_allocations.find(attempt);
  return it == m_allocations.end() ? nullptr : &it->second;
}

Capacity Ledger::free() const {
  return {m_capacity.tokens - m_held.tokens, m_capacity.slots - m_held.slots};
}

Capacity Ledger::allocated_to_short() const {
  return {m_held.tokens - m_allocated_to_others.tokens,
          m_held.slots - m_allocated_to_others.slots};
}

bool Ledger::IsBalanced() const {
  Ledger recount(m_capacity);
  for (const auto& [attempt, hold] : m_allocations) recount.Count(hold, 1);
  return recount.m_held == m_held &&
         recount.m_allocated_to_others == m_allocated_to_others &&
         recount.m_long_prefills == m_long_prefills;
}

}  // namespace peridotshelf::ledger
