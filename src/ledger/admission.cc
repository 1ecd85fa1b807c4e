#include "peridotshelf/ledger/admission.h"

#include <algorithm>
#include <utility>

namespace peridotshelf::ledger {

namespace {

/// Bounds of the tokens that may be granted ahead of a blocked request, as
/// multiples of the engine's memory.
constexpr double kMinBypassFraction = 0.25;
constexpr double kMaxBypassFraction = 4;

Error MakeNotRunError(ErrorCode code, const AttemptId& attempt) {
  return Error{code, attempt.ToString(), true, {}};
}

}  // namespace

Admission::Admission(AdmissionOptions options, bool rebuilding)
    : m_options(options),
      m_ledger(options.capacity),
      m_tombstones(options.tombstone_lifetime),
      m_service_times(options.costs),
      m_rebuilding(rebuilding) {}

void Admission::ApplyPreset(const control::Preset& preset,
                            std::span<const control::TeamConfig> teams) {
  std::scoped_lock lock(m_mutex);
  m_limits = {preset.short_reserve, preset.max_long_prefills};
  m_bypass_fraction = std::clamp(preset.short_weight / preset.long_weight,
                                 kMinBypassFraction, kMaxBypassFraction);
  m_priority_offsets = preset.priority_offsets;
  for (FairQueue& lane : m_lanes) {
    for (const control::TeamConfig& team : teams) {
      lane.SetShare(team.id, team.share);
    }
  }
}

void Admission::SetCapacity(Capacity capacity) {
  std::scoped_lock lock(m_mutex);
  m_options.capacity = capacity;
  m_ledger.SetCapacity(capacity);
}

void Admission::Rebuild(std::span<const backend::EngineStream> streams,
                        TimePoint now) {
  std::scoped_lock lock(m_mutex);
  for (const backend::EngineStream& stream : streams) {
    if (stream.finished) continue;
    Allocation allocation;
    allocation.attempt = stream.attempt;
    allocation.tokens = stream.memory_tokens;
    allocation.size_class = policy::ClassifySize(stream.memory_tokens, 0,
                                                 m_options.capacity.tokens);
    allocation.is_prefilling = stream.chunks == 0;
    allocation.lease_end = now + m_options.entry_lease;
    m_ledger.Adopt(std::move(allocation));
    AttemptProgress progress;
    progress.prompt_tokens = stream.memory_tokens;
    progress.started_at = now;
    m_progress.try_emplace(stream.attempt, progress);
  }
  m_rebuilding = false;
}

std::vector<Outcome> Admission::SetLeaving(bool leaving, TimePoint now) {
  std::scoped_lock lock(m_mutex);
  m_leaving = leaving;
  std::vector<Outcome> outcomes;
  if (!leaving) return outcomes;
  RefuseQueuedRequests(ErrorCode::kLeaving, now, outcomes,
                       [](const WaitingRequest&) { return true; });
  return outcomes;
}

std::optional<Decision> Admission::FindEarlierDecision(
    const ReserveRequest& request, TimePoint now) {
  const AttemptId& attempt = request.attempt;
  if (const auto started = m_tombstones.HasStarted(attempt)) {
    Refused refused{attempt, request.owner,
                    MakeNotRunError(ErrorCode::kCancelled, attempt)};
    refused.error.not_run = !*started;
    return refused;
  }
  if (const Allocation* allocation = m_ledger.Find(attempt)) {
    if (allocation->state == AllocationState::kReserved) {
      return Granted{attempt, allocation->owner, m_options.epoch,
                     allocation->lease_end - now};
    }
    return Refused{attempt, request.owner,
                   Error{ErrorCode::kKeyInUse, attempt.ToString(), false, {}}};
  }
  if (m_lane_indexes.contains(attempt)) {
    return Queued{attempt, PredictWait(request, now)};
  }
  return std::nullopt;
}

Decision Admission::Reserve(const ReserveRequest& request, TimePoint now) {
  std::scoped_lock lock(m_mutex);
  m_tombstones.Expire(now);
  m_entry_leases[request.owner] = now + m_options.entry_lease;
  if (m_rebuilding) return Refuse(request, ErrorCode::kNotReady, now);
  if (auto decision = FindEarlierDecision(request, now)) return *decision;
  if (m_leaving) return Refuse(request, ErrorCode::kLeaving, now);
  if (request.tokens() > m_options.capacity.tokens) {
    return Refuse(request, ErrorCode::kTooLarge, now);
  }
  ReserveRequest adjusted_request = request;
  auto offset = m_priority_offsets.find(request.team);
  if (offset != m_priority_offsets.end())
    adjusted_request.priority += offset->second;
  return GrantOrQueue(adjusted_request, now);
}

Decision Admission::GrantOrQueue(const ReserveRequest& request, TimePoint now) {
  const Duration service = PredictServiceTime(request);
  const Duration remaining = request.deadline.Remaining(now);
  if (service > remaining)
    return Refuse(request, ErrorCode::kDeadlineExceeded, now);
  const size_t lane_index = LaneIndex(request.size_class);
  FairQueue& lane = m_lanes.at(lane_index);
  const bool is_first =
      lane.size() == 0 || lane.Peek()->request.priority < request.priority;
  if (is_first && MayStart(request)) return Grant(request, now);
  const Duration wait = PredictWait(request, now);
  if (wait + service > remaining || YieldsToOlderMultiEngineRequest(request)) {
    return Refuse(request, ErrorCode::kOverloaded, now);
  }
  const TimePoint latest_start = request.deadline.time_point() - service;
  lane.Push({request, now, wait, latest_start});
  m_lane_indexes.emplace(request.attempt, lane_index);
  return Queued{request.attempt, wait};
}

Result<void> Admission::Commit(const AttemptId& attempt, int64_t epoch,
                               TimePoint now) {
  std::scoped_lock lock(m_mutex);
  if (epoch != m_options.epoch) {
    return Fail(ErrorCode::kConnectionLost,
                "epoch mismatch for " + attempt.ToString());
  }
  const Allocation* allocation = m_ledger.Find(attempt);
  if (allocation == nullptr) {
    Error error = MakeNotRunError(ErrorCode::kDeadlineExceeded, attempt);
    error.not_run = m_tombstones.HasStarted(attempt) == false;
    return tl::unexpected(error);
  }
  if (allocation->state != AllocationState::kReserved) {
    return Fail(ErrorCode::kKeyInUse, attempt.ToString());
  }
  if (allocation->lease_end <= now) {
    m_ledger.Release(attempt);
    m_progress.erase(attempt);
    m_tombstones.Add(attempt, false, now);
    return tl::unexpected(
        MakeNotRunError(ErrorCode::kDeadlineExceeded, attempt));
  }
  m_progress[attempt].started_at = now;
  m_entry_leases[allocation->owner] = now + m_options.entry_lease;
  return m_ledger.Commit(attempt, now + m_options.entry_lease);
}

void Admission::EndPrefill(const AttemptId& attempt, TimePoint now) {
  std::scoped_lock lock(m_mutex);
  const Allocation* allocation = m_ledger.Find(attempt);
  if (allocation == nullptr || !allocation->is_prefilling) return;
  AttemptProgress& progress = m_progress[attempt];
  progress.first_token_at = now;
  if (allocation->state == AllocationState::kRunning &&
      progress.max_tokens > 0) {
    m_service_times.ObservePrefill(progress.prompt_tokens,
                                   allocation->size_class,
                                   now - progress.started_at);
  }
  m_ledger.EndPrefill(attempt);
}

void Admission::Release(const AttemptId& attempt, TimePoint now) {
  std::scoped_lock lock(m_mutex);
  const std::optional<Allocation> allocation = m_ledger.Release(attempt);
  if (!allocation) return;
  const AttemptProgress progress = m_progress[attempt];
  m_progress.erase(attempt);
  m_tombstones.Add(attempt, allocation->state != AllocationState::kReserved,
                   now);
  const bool is_completed = allocation->state == AllocationState::kRunning &&
                            !allocation->is_prefilling;
  if (is_completed && progress.max_tokens > 0) {
    m_service_times.ObserveDecode(progress.max_tokens,
                                  now - progress.first_token_at);
  }
}

CancelResult Admission::Cancel(const AttemptId& attempt, TimePoint now) {
  std::scoped_lock lock(m_mutex);
  if (const auto started = m_tombstones.HasStarted(attempt)) {
    return *started ? CancelResult::kEnded : CancelResult::kNeverStarted;
  }
  if (IsAtEngine(attempt)) {
    m_ledger.BeginCancel(attempt);
    m_progress[attempt].cancel_sent_at = now;
    return CancelResult::kRunning;
  }
  const bool was_known =
      m_lane_indexes.contains(attempt) || m_ledger.Find(attempt) != nullptr;
  RemoveFromQueue(attempt);
  m_ledger.Release(attempt);
  m_progress.erase(attempt);
  m_tombstones.Add(attempt, false, now);
  return was_known ? CancelResult::kNeverStarted : CancelResult::kUnknown;
}

void Admission::Extend(const ProcessId& owner, TimePoint now) {
  std::scoped_lock lock(m_mutex);
  auto lease = m_entry_leases.find(owner);
  // An expired lease is not renewed, even if Tick has not processed it yet.
  if (lease == m_entry_leases.end() || lease->second <= now) return;
  lease->second = now + m_options.entry_lease;
  m_ledger.Extend(owner, now + m_options.entry_lease);
}

bool Admission::Claim(const AttemptId& attempt, const ProcessId& owner,
                      TimePoint now) {
  std::scoped_lock lock(m_mutex);
  const TimePoint lease_end = now + m_options.entry_lease;
  if (!m_ledger.Claim(attempt, owner, lease_end)) return false;
  m_entry_leases[owner] = lease_end;
  return true;
}

std::vector<Outcome> Admission::Tick(TimePoint now) {
  std::scoped_lock lock(m_mutex);
  std::vector<Outcome> outcomes;
  EndExpired(now, outcomes);
  RetryCancels(now, outcomes);
  RefuseQueuedRequests(ErrorCode::kOverloaded, now, outcomes,
                       [now](const WaitingRequest& waiting) {
                         return waiting.latest_start <= now;
                       });
  GrantQueuedRequests(now, outcomes);
  return outcomes;
}

policy::EngineLoad Admission::Load(TimePoint now) const {
  std::scoped_lock lock(m_mutex);
  const Capacity free = m_ledger.free();
  policy::EngineLoad load;
  load.free_tokens = free.tokens;
  load.free_slots = free.slots;
  for (const FairQueue& lane : m_lanes) {
    load.queued += static_cast<int32_t>(lane.size());
    load.queued_tokens += lane.tokens();
  }
  load.running_long = m_ledger.long_prefills();
  load.leaving = m_leaving;
  load.prefill_backlog = PredictPrefillBacklog(now);
  return load;
}

Capacity Admission::Allocated() const {
  std::scoped_lock lock(m_mutex);
  return m_ledger.allocated();
}

WaitPredictionStats Admission::WaitPredictions() const {
  std::scoped_lock lock(m_mutex);
  return m_wait_predictions;
}

bool Admission::IsBalanced() const {
  std::scoped_lock lock(m_mutex);
  return m_ledger.IsBalanced();
}

}  // namespace peridotshelf::ledger
