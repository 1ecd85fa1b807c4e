/// One engine's memory and batch slots, as its side accounts for them.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "peridotshelf/base/error.h"
#include "peridotshelf/base/ids.h"
#include "peridotshelf/policy/size_class.h"

namespace peridotshelf::ledger {

/// An amount of an engine: KV cache memory in tokens, and batch slots.
struct Capacity {
  int64_t tokens = 0;
  int32_t slots = 0;

  friend bool operator==(const Capacity&, const Capacity&) = default;
};

/// The life of a hold.
enum class AllocationState {
  kReserved,    ///< Granted; the engine has not been told.
  kRunning,     ///< The engine may have begun.
  kOrphaned,    ///< Found at the engine after a restart; nobody claimed it.
  kCancelling,  ///< The lease ended; the engine has not confirmed the cancel.
};

/// What one attempt holds at the engine.
struct Allocation {
  AttemptId attempt;
  /// The entry process that must renew the lease.
  ProcessId owner;
  TeamId team;
  policy::SizeClass size_class = policy::SizeClass::kShort;
  int64_t tokens = 0;
  AllocationState state = AllocationState::kReserved;
  /// For a part of a gang: when its request was admitted.
  std::optional<TimePoint> multi_engine_since;
  /// Whether the first token is still to come.
  bool prefilling = true;
  /// When the side ends the hold, on its own clock.
  TimePoint lease_end;
};

/// Limits on what classes other than short may hold.
struct ClassLimits {
  /// Fraction of memory and slots that only short requests may use.
  double short_reserve = 0.2;
  /// Long prefills at once.
  int32_t max_long_prefills = 1;
};

/// Why a request cannot be held now.
enum class Obstacle {
  kNone,
  kMemory,       ///< Memory or slots are taken.
  kPrefillLimit  ///< Enough long prefills run.
};

/// Holds by attempt. Held and free always add up to the capacity; free is
/// negative only when adopted work exceeds the configured capacity. Not
/// thread-safe.
class Ledger {
 public:
  explicit Ledger(Capacity capacity) : m_capacity(capacity) {}

  /// What keeps `tokens` of the class from being held within `limits`.
  Obstacle FindObstacle(int64_t tokens, policy::SizeClass size_class,
                        const ClassLimits& limits) const;
  /// Adds a hold in state kReserved; kKeyInUse if the attempt has one.
  Result<void> Reserve(Allocation hold);
  /// Adds a hold for work found at the engine, whatever is free.
  void Adopt(Allocation hold);
  /// kReserved to kRunning; kOutOfTime if no reservation is left.
  Result<void> Commit(const AttemptId& attempt, TimePoint lease_end);
  /// The first token came.
  void EndPrefill(const AttemptId& attempt);
  /// Moves the lease end of all of `owner`'s holds that run or are parts of a
  /// gang that still gathers.
  void Extend(const ProcessId& owner, TimePoint lease_end);
  /// Gives an orphaned or running hold to `owner`; false if there is none.
  bool Claim(const AttemptId& attempt, const ProcessId& owner,
             TimePoint lease_end);
  /// To kCancelling: the memory stays held until Release.
  void BeginCancel(const AttemptId& attempt);
  /// Frees the hold and returns it, if there was one.
  std::optional<Allocation> Release(const AttemptId& attempt);
  /// Holds whose lease has ended at `now` and which are not being cancelled.
  std::vector<Allocation> ExpiredAllocations(TimePoint now) const;

  /// The hold of an attempt, or null.
  const Allocation* Find(const AttemptId& attempt) const;
  const std::unordered_map<AttemptId, Allocation>& holds() const {
    return m_allocations;
  }
  /// Changes the capacity; what is held stays held.
  void SetCapacity(Capacity capacity) { m_capacity = capacity; }
  Capacity capacity() const { return m_capacity; }
  Capacity held() const { return m_held; }
  Capacity free() const;
  /// The part of what is held that short requests hold.
  Capacity allocated_to_short() const;
  /// The part that all other classes hold.
  Capacity allocated_to_others() const { return m_allocated_to_others; }
  /// Long prefills under way.
  int32_t long_prefills() const { return m_long_prefills; }
  /// Whether the running sums agree with the holds.
  bool IsBalanced() const;

 private:
  void Count(const Allocation& hold, int sign);

  Capacity m_capacity;
  Capacity m_held;
  Capacity m_allocated_to_others;
  int32_t m_long_prefills = 0;
  std::unordered_map<AttemptId, Allocation> m_allocations;
};

}  // namespace peridotshelf::ledger
