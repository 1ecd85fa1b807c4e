/// Admission to one engine: who may start now, who waits, who is refused at
/// once, and what ends when its entry falls silent.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

#include "peridotshelf/backend/concepts.h"
#include "peridotshelf/control/configuration.h"
#include "peridotshelf/ledger/fair_queue.h"
#include "peridotshelf/ledger/ledger.h"
#include "peridotshelf/ledger/service_times.h"
#include "peridotshelf/ledger/tombstones.h"
#include "peridotshelf/policy/engine_load.h"

namespace peridotshelf::ledger {

/// The attempt may start at the engine until its lease ends.
struct Granted {
  AttemptId attempt;
  /// The entry process that asked.
  ProcessId owner;
  /// The side's incarnation; the start must repeat it.
  int64_t epoch = 0;
  Duration lease{};
};

/// The attempt waits; a Granted or Refused follows from Tick.
struct Queued {
  AttemptId attempt;
  Duration estimated_wait{};
};

/// The attempt will never start here. `error.not_run` says whether that is
/// proof that it did not run.
struct Refused {
  AttemptId attempt;
  ProcessId owner;
  Error error;
};

using Decision = std::variant<Granted, Queued, Refused>;

/// The engine must be told to cancel; Release follows its confirmation.
struct EngineCancellation {
  AttemptId attempt;
  ProcessId owner;
};

using Outcome = std::variant<Granted, Refused, EngineCancellation>;

/// What a cancel met.
enum class CancelResult {
  kNeverStarted,  ///< Proof that the attempt did not run and never will.
  kRunning,       ///< Cancel it at the engine, then call Release.
  kEnded,         ///< It had run and ended.
  kUnknown,       ///< No record; it can no longer start here.
};

/// The side's configuration of one engine's admission.
struct AdmissionOptions {
  Capacity capacity;
  EngineCosts costs;
  int64_t epoch = 0;
  /// A grant that is not started within this is taken back.
  Duration reservation_lease = std::chrono::seconds(2);
  /// Holds and waiting requests of an entry that is silent this long end.
  Duration entry_lease = std::chrono::seconds(4);
  /// A cancel that the engine has not confirmed is repeated.
  Duration cancel_retry = std::chrono::seconds(1);
  /// Longer than any request's budget.
  Duration tombstone_lifetime = std::chrono::minutes(30);
};

/// Decides for one engine. Thread-safe: one lock per engine.
class Admission {
 public:
  /// With `rebuilding`, refuses work until Rebuild was called.
  Admission(AdmissionOptions options, bool rebuilding);

  /// Takes limits and weights of a preset; ends nothing.
  void ApplyPreset(const control::Preset& preset,
                   std::span<const control::TeamConfig> teams);
  /// Changes the engine's capacity; ends nothing.
  void SetCapacity(Capacity capacity);
  /// Adopts what the engine reports after a restart of the side. What nobody
  /// claims within a lease is cancelled.
  void Rebuild(std::span<const backend::EngineStream> streams, TimePoint now);
  /// While leaving, new and waiting work is refused; running work goes on.
  std::vector<Outcome> SetLeaving(bool leaving, TimePoint now);

  /// Decides on a request. Repeating it is harmless.
  Decision Reserve(const ReserveRequest& request, TimePoint now);
  /// The attempt is about to start at the engine; an error means it must not.
  Result<void> Commit(const AttemptId& attempt, int64_t epoch, TimePoint now);
  /// The first token came.
  void EndPrefill(const AttemptId& attempt, TimePoint now);
  /// The engine holds nothing for the attempt any more.
  void Release(const AttemptId& attempt, TimePoint now);
  /// The attempt must not start any more.
  CancelResult Cancel(const AttemptId& attempt, TimePoint now);
  /// `owner` was heard from: its leases start anew.
  void Extend(const ProcessId& owner, TimePoint now);
  /// An entry resumes the attempt; false if nothing is held for it.
  bool Claim(const AttemptId& attempt, const ProcessId& owner, TimePoint now);

  /// Grants what fits, refuses what cannot be answered in time, ends what has
  /// lapsed. Call at least every kTickInterval and after Release.
  std::vector<Outcome> Tick(TimePoint now);
  static constexpr Duration kTickInterval = std::chrono::milliseconds(20);

  policy::EngineLoad Load(TimePoint now) const;
  /// Held memory and slots.
  Capacity Held() const;
  /// Predicted against actual waits, all classes together.
  WaitPredictionStats Waits() const;
  /// Whether held and free add up to the capacity.
  bool IsBalanced() const;

 private:
  /// What is known of an attempt that was granted.
  struct Progress {
    int64_t prompt_tokens = 0;
    int64_t max_tokens = 0;
    TimePoint started;
    TimePoint first_token;
    /// When the engine was last asked to cancel.
    TimePoint cancel_sent;
  };
  /// The head of a lane that waits for memory.
  struct Blocked {
    /// Empty if the lane's head does not wait for memory.
    AttemptId attempt;
    TimePoint since;
    /// What started past it.
    int64_t bypassed_tokens = 0;
  };
  /// Short, medium and long requests wait apart: none blocks another class.
  static constexpr size_t kLanes = 3;

  static size_t LaneOf(policy::SizeClass size_class);
  std::optional<Decision> Repeated(const ReserveRequest& request,
                                   TimePoint now);
  Decision GrantOrQueue(const ReserveRequest& request, TimePoint now);
  Refused Refuse(const ReserveRequest& request, ErrorCode code, TimePoint now);
  Granted Grant(const ReserveRequest& request, TimePoint now);
  bool MayStart(const ReserveRequest& request) const;
  bool PassesBlocked(const ReserveRequest& request) const;
  bool FitsShortReserve(const ReserveRequest& request) const;
  void Unblock(const AttemptId& attempt);
  /// Wait-die: a part of a gang does not wait for an older gang's hold.
  bool YieldsToOlderMultiEngineRequest(const ReserveRequest& request) const;
  void StopWaiting(const AttemptId& attempt);
  bool EngineHolds(const AttemptId& attempt) const;
  Duration ServiceTime(const ReserveRequest& request) const;
  Duration PredictWait(const ReserveRequest& request, TimePoint now) const;
  Duration MemoryWait(const ReserveRequest& request, TimePoint now) const;
  Duration PrefillLimitWait(const ReserveRequest& request, TimePoint now) const;
  Duration RemainingPrefill(const Allocation& hold, TimePoint now) const;
  Duration PrefillBacklog(TimePoint now) const;
  Duration PredictedEnd(const Allocation& hold, TimePoint now) const;
  void GrantWaiting(TimePoint now, std::vector<Outcome>& outcomes);
  bool GrantHead(FairQueue& lane, TimePoint now,
                 std::vector<Outcome>& outcomes);
  void RefuseWaiting(
      ErrorCode code, TimePoint now, std::vector<Outcome>& outcomes,
      const std::function<bool(const WaitingRequest&)>& condition);
  void EndExpired(TimePoint now, std::vector<Outcome>& outcomes);
  void RepeatCancels(TimePoint now, std::vector<Outcome>& outcomes);

  mutable std::mutex m_mutex;
  AdmissionOptions m_options;
  Ledger m_ledger;
  Tombstones m_tombstones;
  std::array<FairQueue, kLanes> m_lanes;
  ServiceTimeModel m_times;
  WaitPredictionStats m_waits;
  ClassLimits m_limits;
  /// Tokens that may start past a blocked request, by the preset's weights.
  double m_bypass_fraction = 1;
  std::map<TeamId, int32_t> m_priority_offsets;
  std::unordered_map<AttemptId, Progress> m_progress;
  std::unordered_map<ProcessId, TimePoint> m_entry_leases;
  /// The lane in which each waiting attempt is.
  std::unordered_map<AttemptId, size_t> m_waiting;
  /// By lane; the short lane has none.
  std::array<Blocked, kLanes> m_blocked;
  bool m_rebuilding;
  bool m_leaving = false;
};

}  // namespace peridotshelf::ledger
