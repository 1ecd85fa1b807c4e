#include "peridotshelf/ledger/ledger.h"

#include <cmath>
#include <utility>

namespace peridotshelf::ledger {

using policy::IsLong;
using policy::SizeClass;

Obstacle Ledger::FindObstacle(int64_t tokens, SizeClass size_class,
                              const ClassLimits& limits) const {
  const Capacity available = free();
  if (tokens > available.tokens || available.slots < 1)
    return Obstacle::kMemory;
  if (size_class == SizeClass::kShort) return Obstacle::kNone;
  if (IsLong(size_class) && m_long_prefills >= limits.max_long_prefills) {
    return Obstacle::kPrefillLimit;
  }
  // A request larger than the unreserved part could never run beside others,
  // so it may run while no other medium or long request has an allocation.
  if (m_allocated_to_others.slots == 0) return Obstacle::kNone;
  const double unreserved_fraction = 1.0 - limits.short_reserve;
  const auto tokens_limit = static_cast<int64_t>(
      std::floor(unreserved_fraction * static_cast<double>(m_capacity.tokens)));
  const auto slots_limit =
      static_cast<int32_t>(std::floor(unreserved_fraction * m_capacity.slots));
  const bool fits = m_allocated_to_others.tokens + tokens <= tokens_limit &&
                    m_allocated_to_others.slots < slots_limit;
  return fits ? Obstacle::kNone : Obstacle::kMemory;
}

void Ledger::UpdateTotals(const Allocation& allocation, int sign) {
  m_allocated.tokens += sign * allocation.tokens;
  m_allocated.slots += sign;
  if (allocation.size_class != SizeClass::kShort) {
    m_allocated_to_others.tokens += sign * allocation.tokens;
    m_allocated_to_others.slots += sign;
  }
  if (IsLong(allocation.size_class) && allocation.is_prefilling)
    m_long_prefills += sign;
}

Result<void> Ledger::Reserve(Allocation allocation) {
  allocation.state = AllocationState::kReserved;
  auto [it, added] = m_allocations.try_emplace(allocation.attempt, allocation);
  if (!added) return Fail(ErrorCode::kKeyInUse, allocation.attempt.ToString());
  UpdateTotals(it->second, 1);
  return {};
}

void Ledger::Adopt(Allocation allocation) {
  allocation.state = AllocationState::kOrphaned;
  auto [it, added] = m_allocations.try_emplace(allocation.attempt, allocation);
  if (added) UpdateTotals(it->second, 1);
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
  UpdateTotals(it->second, -1);
  it->second.is_prefilling = false;
  UpdateTotals(it->second, 1);
}

void Ledger::Extend(const ProcessId& owner, TimePoint lease_end) {
  for (auto& [attempt, allocation] : m_allocations) {
    const bool is_reserved_shard =
        allocation.state == AllocationState::kReserved &&
        allocation.multi_engine_since.has_value();
    const bool is_renewed =
        allocation.state == AllocationState::kRunning || is_reserved_shard;
    if (is_renewed && allocation.owner == owner)
      allocation.lease_end = lease_end;
  }
}

bool Ledger::Claim(const AttemptId& attempt, const ProcessId& owner,
                   TimePoint lease_end) {
  auto it = m_allocations.find(attempt);
  if (it == m_allocations.end()) return false;
  Allocation& allocation = it->second;
  if (allocation.state == AllocationState::kCancelling) return false;
  if (allocation.state == AllocationState::kOrphaned)
    allocation.state = AllocationState::kRunning;
  allocation.owner = owner;
  allocation.lease_end = lease_end;
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
  Allocation allocation = std::move(it->second);
  m_allocations.erase(it);
  UpdateTotals(allocation, -1);
  return allocation;
}

std::vector<Allocation> Ledger::ExpiredAllocations(TimePoint now) const {
  std::vector<Allocation> expired;
  for (const auto& [attempt, allocation] : m_allocations) {
    if (allocation.state == AllocationState::kCancelling) continue;
    if (allocation.lease_end <= now) expired.push_back(allocation);
  }
  return expired;
}

const Allocation* Ledger::Find(const AttemptId& attempt) const {
  auto it = m_allocations.find(attempt);
  return it == m_allocations.end() ? nullptr : &it->second;
}

Capacity Ledger::free() const {
  return {m_capacity.tokens - m_allocated.tokens,
          m_capacity.slots - m_allocated.slots};
}

Capacity Ledger::allocated_to_short() const {
  return {m_allocated.tokens - m_allocated_to_others.tokens,
          m_allocated.slots - m_allocated_to_others.slots};
}

bool Ledger::IsBalanced() const {
  Ledger recount(m_capacity);
  for (const auto& [attempt, allocation] : m_allocations)
    recount.UpdateTotals(allocation, 1);
  return recount.m_allocated == m_allocated &&
         recount.m_allocated_to_others == m_allocated_to_others &&
         recount.m_long_prefills == m_long_prefills;
}

}  // namespace peridotshelf::ledger
