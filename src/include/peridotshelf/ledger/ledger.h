/// Accounting of one engine's KV-cache memory and batch slots by its side.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "peridotshelf/base/error.h"
#include "peridotshelf/base/ids.h"
#include "peridotshelf/policy/size_class.h"

namespace peridotshelf::ledger {

/// An amount of an engine's KV-cache memory, in tokens, and of batch slots.
struct Capacity {
  int64_t tokens = 0;
  int32_t slots = 0;

  friend bool operator==(const Capacity&, const Capacity&) = default;
};

/// The state of an allocation.
enum class AllocationState {
  kReserved,    ///< Granted; not yet sent to the engine.
  kRunning,     ///< The engine may have started the attempt.
  kOrphaned,    ///< Found at the engine after a restart; not claimed yet.
  kCancelling,  ///< Cancelled; the engine has not confirmed yet.
};

/// The memory and slot of one attempt at the engine.
struct Allocation {
  AttemptId attempt;
  /// The entry process that must renew the lease.
  ProcessId owner;
  TeamId team;
  policy::SizeClass size_class = policy::SizeClass::kShort;
  int64_t tokens = 0;
  AllocationState state = AllocationState::kReserved;
  /// For a shard of a multi-engine request: when that request was admitted.
  std::optional<TimePoint> multi_engine_since;
  /// True until the first token.
  bool is_prefilling = true;
  /// When the allocation expires, on the side's clock.
  TimePoint lease_end;
};

/// Limits on the allocations of medium and long requests.
struct ClassLimits {
  /// Fraction of memory and slots reserved for short requests.
  double short_reserve = 0.2;
  /// Maximum number of concurrent long prefills.
  int32_t max_long_prefills = 1;
};

/// Why a request cannot be allocated now.
enum class Obstacle {
  kNone,
  kMemory,       ///< Not enough free memory or slots.
  kPrefillLimit  ///< The maximum number of long prefills is running.
};

/// Allocations by attempt. Allocated and free amounts always add up to the
/// capacity; the free amount is negative only while allocations exceed the
/// configured capacity, as adopted streams can. Not thread-safe.
class Ledger {
 public:
  explicit Ledger(Capacity capacity) : m_capacity(capacity) {}

  /// Returns why `tokens` for the size class cannot be allocated within
  /// `limits`, or kNone.
  Obstacle FindObstacle(int64_t tokens, policy::SizeClass size_class,
                        const ClassLimits& limits) const;
  /// Adds an allocation in state kReserved. Fails with kKeyInUse if the attempt
  /// already has an allocation.
  Result<void> Reserve(Allocation allocation);
  /// Adds an allocation for a stream found at the engine, even if it exceeds
  /// the free capacity.
  void Adopt(Allocation allocation);
  /// Changes kReserved to kRunning. Fails with kDeadlineExceeded if the attempt
  /// has no reservation.
  Result<void> Commit(const AttemptId& attempt, TimePoint lease_end);
  /// Marks the attempt's prefill as finished.
  void EndPrefill(const AttemptId& attempt);
  /// Renews the leases of `owner`'s running allocations and of its reserved
  /// shards of multi-engine requests.
  void Extend(const ProcessId& owner, TimePoint lease_end);
  /// Assigns the attempt's allocation to `owner`; an orphaned allocation
  /// becomes running. Returns false if the attempt has no allocation or is
  /// being cancelled.
  bool Claim(const AttemptId& attempt, const ProcessId& owner,
             TimePoint lease_end);
  /// Changes the state to kCancelling. The memory stays allocated until
  /// Release.
  void BeginCancel(const AttemptId& attempt);
  /// Removes the attempt's allocation and returns it, if there was one.
  std::optional<Allocation> Release(const AttemptId& attempt);
  /// Returns the allocations whose lease has ended at `now`, without those that
  /// are being cancelled.
  std::vector<Allocation> ExpiredAllocations(TimePoint now) const;

  /// Returns the allocation of an attempt, or null.
  const Allocation* Find(const AttemptId& attempt) const;
  const std::unordered_map<AttemptId, Allocation>& allocations() const {
    return m_allocations;
  }
  /// Changes the capacity; existing allocations stay.
  void SetCapacity(Capacity capacity) { m_capacity = capacity; }
  Capacity capacity() const { return m_capacity; }
  Capacity allocated() const { return m_allocated; }
  Capacity free() const;
  /// Amount allocated to short requests.
  Capacity allocated_to_short() const;
  /// Amount allocated to all other size classes.
  Capacity allocated_to_others() const { return m_allocated_to_others; }
  /// Number of running long prefills.
  int32_t long_prefills() const { return m_long_prefills; }
  /// Whether the running totals agree with the allocations.
  bool IsBalanced() const;

 private:
  void UpdateTotals(const Allocation& allocation, int sign);

  Capacity m_capacity;
  Capacity m_allocated;
  Capacity m_allocated_to_others;
  int32_t m_long_prefills = 0;
  std::unordered_map<AttemptId, Allocation> m_allocations;
};

}  // namespace peridotshelf::ledger
