/// Admission control of one engine: grants, queues or refuses requests, and
/// releases the allocations of entries that stop reporting.
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
  /// The entry process that sent the request.
  ProcessId owner;
  /// The side's incarnation. Commit must pass the same value.
  int64_t epoch = 0;
  Duration lease{};
};

/// The attempt is queued; a later Tick returns its Granted or Refused.
struct Queued {
  AttemptId attempt;
  Duration estimated_wait{};
};

/// The attempt will never start here. `error.not_run` is set if it is
/// guaranteed that the attempt did not run.
struct Refused {
  AttemptId attempt;
  ProcessId owner;
  Error error;
};

using Decision = std::variant<Granted, Queued, Refused>;

/// The caller must cancel the attempt at the engine, and call Release once the
/// engine has confirmed.
struct EngineCancellation {
  AttemptId attempt;
  ProcessId owner;
};

using Outcome = std::variant<Granted, Refused, EngineCancellation>;

/// The state in which Cancel found the attempt.
enum class CancelResult {
  kNeverStarted,  ///< The attempt did not run and never will.
  kRunning,       ///< The caller must cancel it at the engine, then Release.
  kEnded,         ///< The attempt had started and has ended.
  kUnknown,       ///< No record of the attempt; it can no longer start here.
};

/// Configuration of one engine's admission control.
struct AdmissionOptions {
  Capacity capacity;
  EngineCosts costs;
  int64_t epoch = 0;
  /// A grant expires if Commit does not follow within this time.
  Duration reservation_lease = std::chrono::seconds(2);
  /// An entry that sends nothing for this long loses its allocations and queued
  /// requests.
  Duration entry_lease = std::chrono::seconds(4);
  /// Interval at which a cancel that the engine has not confirmed is resent.
  Duration cancel_retry = std::chrono::seconds(1);
  /// Must exceed the timeout of every request.
  Duration tombstone_lifetime = std::chrono::minutes(30);
};

/// Admission control of one engine. Thread-safe: one lock per engine.
class Admission {
 public:
  /// With `rebuilding`, Reserve refuses every request until Rebuild is called.
  Admission(AdmissionOptions options, bool rebuilding);

  /// Applies the limits and weights of a preset. Requests that run or are
  /// queued are not ended.
  void ApplyPreset(const control::Preset& preset,
                   std::span<const control::TeamConfig> teams);
  /// Changes the engine's capacity. Requests that run or are queued are not
  /// ended.
  void SetCapacity(Capacity capacity);
  /// Adopts the streams that the engine reports after a restart of the side.
  /// Streams that no entry claims within the entry lease are cancelled.
  void Rebuild(std::span<const backend::EngineStream> streams, TimePoint now);
  /// While `leaving` is set, new and queued requests are refused; running
  /// requests continue. Returns the refusals of queued requests.
  std::vector<Outcome> SetLeaving(bool leaving, TimePoint now);

  /// Grants, queues or refuses a request. Idempotent per attempt.
  Decision Reserve(const ReserveRequest& request, TimePoint now);
  /// Marks the attempt as running; must be called before it is sent to the
  /// engine. After an error the attempt must not start.
  Result<void> Commit(const AttemptId& attempt, int64_t epoch, TimePoint now);
  /// Records that the engine sent the attempt's first token.
  void EndPrefill(const AttemptId& attempt, TimePoint now);
  /// Frees the attempt's allocation after it has ended at the engine.
  void Release(const AttemptId& attempt, TimePoint now);
  /// Prevents the attempt from starting, or begins its cancellation if it has
  /// started.
  CancelResult Cancel(const AttemptId& attempt, TimePoint now);
  /// Renews the leases of `owner` after a message from it.
  void Extend(const ProcessId& owner, TimePoint now);
  /// Assigns the attempt to `owner`, which resumes it. Returns false if the
  /// attempt has no allocation or is being cancelled.
  bool Claim(const AttemptId& attempt, const ProcessId& owner, TimePoint now);

  /// Ends expired allocations and leases, refuses queued requests that can no
  /// longer meet their deadline and grants queued requests that fit. Must be
  /// called at least every kTickInterval and after Release.
  std::vector<Outcome> Tick(TimePoint now);
  static constexpr Duration kTickInterval = std::chrono::milliseconds(20);

  policy::EngineLoad Load(TimePoint now) const;
  /// Allocated memory and slots.
  Capacity Allocated() const;
  /// Statistics of predicted and actual waits over all size classes.
  WaitPredictionStats WaitPredictions() const;
  /// Whether the running totals agree with the allocations.
  bool IsBalanced() const;

 private:
  /// Timing of a granted attempt.
  struct AttemptProgress {
    int64_t prompt_tokens = 0;
    int64_t max_tokens = 0;
    TimePoint started_at;
    TimePoint first_token_at;
    /// When the last cancel was sent to the engine.
    TimePoint cancel_sent_at;
  };
  /// The request at the head of a lane while it waits for memory.
  struct BlockedHead {
    /// Empty if the lane's head does not wait for memory.
    AttemptId attempt;
    TimePoint since;
    /// Tokens of requests that were granted since, ahead of this one.
    int64_t bypassed_tokens = 0;
  };
  /// Short, medium and long requests have separate queues (lanes), to avoid
  /// head-of-line blocking between classes.
  static constexpr size_t kLanes = 3;

  static size_t LaneIndex(policy::SizeClass size_class);
  std::optional<Decision> FindEarlierDecision(const ReserveRequest& request,
                                              TimePoint now);
  Decision GrantOrQueue(const ReserveRequest& request, TimePoint now);
  Refused Refuse(const ReserveRequest& request, ErrorCode code, TimePoint now);
  Granted Grant(const ReserveRequest& request, TimePoint now);
  bool MayStart(const ReserveRequest& request) const;
  bool MayBypassBlocked(const ReserveRequest& request) const;
  bool FitsShortReserve(const ReserveRequest& request) const;
  void Unblock(const AttemptId& attempt);
  /// Wait-die: a shard does not queue behind a reservation of an older
  /// multi-engine request.
  bool YieldsToOlderMultiEngineRequest(const ReserveRequest& request) const;
  void RemoveFromQueue(const AttemptId& attempt);
  bool IsAtEngine(const AttemptId& attempt) const;
  Duration PredictServiceTime(const ReserveRequest& request) const;
  Duration PredictWait(const ReserveRequest& request, TimePoint now) const;
  Duration PredictMemoryWait(const ReserveRequest& request,
                             TimePoint now) const;
  Duration PredictPrefillLimitWait(const ReserveRequest& request,
                                   TimePoint now) const;
  Duration PredictRemainingPrefill(const Allocation& allocation,
                                   TimePoint now) const;
  Duration PredictPrefillBacklog(TimePoint now) const;
  Duration PredictRemainingTime(const Allocation& allocation,
                                TimePoint now) const;
  void GrantQueuedRequests(TimePoint now, std::vector<Outcome>& outcomes);
  bool GrantHead(FairQueue& lane, TimePoint now,
                 std::vector<Outcome>& outcomes);
  void RefuseQueuedRequests(
      ErrorCode code, TimePoint now, std::vector<Outcome>& outcomes,
      const std::function<bool(const WaitingRequest&)>& condition);
  void EndExpired(TimePoint now, std::vector<Outcome>& outcomes);
  void RetryCancels(TimePoint now, std::vector<Outcome>& outcomes);

  mutable std::mutex m_mutex;
  AdmissionOptions m_options;
  Ledger m_ledger;
  Tombstones m_tombstones;
  std::array<FairQueue, kLanes> m_lanes;
  ServiceTimeModel m_service_times;
  WaitPredictionStats m_wait_predictions;
  ClassLimits m_limits;
  /// Tokens that may be granted ahead of a blocked request, as a fraction of
  /// the engine's memory; set by the preset's weights.
  double m_bypass_fraction = 1;
  std::map<TeamId, int32_t> m_priority_offsets;
  std::unordered_map<AttemptId, AttemptProgress> m_progress;
  std::unordered_map<ProcessId, TimePoint> m_entry_leases;
  /// Index of the lane in which each queued attempt waits.
  std::unordered_map<AttemptId, size_t> m_lane_indexes;
  /// By lane; the short lane's element stays empty.
  std::array<BlockedHead, kLanes> m_blocked_heads;
  bool m_rebuilding;
  bool m_leaving = false;
};

}  // namespace peridotshelf::ledger
