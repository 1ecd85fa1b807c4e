// The part of Admission that predicts waits and removes requests from its
// lanes. Callers hold m_mutex.
#include <algorithm>
#include <utility>

#include "peridotshelf/ledger/admission.h"

namespace peridotshelf::ledger {

using policy::IsLong;
using policy::SizeClass;

namespace {

/// Bounds of the retry_after sent with a refusal.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(200);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(30);
/// Assumed remaining time of an adopted stream, whose request is unknown.
constexpr Duration kAdoptedRequestTime = std::chrono::seconds(1);

}  // namespace

size_t Admission::LaneIndex(SizeClass size_class) {
  if (size_class == SizeClass::kShort) return 0;
  return size_class == SizeClass::kMedium ? 1 : 2;
}

Refused Admission::Refuse(const ReserveRequest& request, ErrorCode code,
                          TimePoint now) {
  m_tombstones.Add(request.attempt, false, now);
  Refused refused{request.attempt, request.owner,
                  Error{code, request.attempt.ToString(), true, {}}};
  if (code == ErrorCode::kOverloaded) {
    refused.error.retry_after =
        std::clamp(PredictWait(request, now), kMinRetryAfter, kMaxRetryAfter);
  }
  return refused;
}

Granted Admission::Grant(const ReserveRequest& request, TimePoint now) {
  Allocation allocation;
  allocation.attempt = request.attempt;
  allocation.owner = request.owner;
  allocation.team = request.team;
  allocation.size_class = request.size_class;
  allocation.tokens = request.tokens();
  allocation.multi_engine_since = request.multi_engine_since;
  const Duration lease = request.multi_engine_since
                             ? m_options.entry_lease
                             : m_options.reservation_lease;
  allocation.lease_end = now + lease;
  AttemptProgress progress;
  progress.prompt_tokens = request.prompt_tokens;
  progress.max_tokens = request.max_tokens;
  progress.started_at = now;
  m_progress[request.attempt] = progress;
  // Reserve cannot fail: the caller has checked that the attempt is new.
  (void)m_ledger.Reserve(std::move(allocation));
  Unblock(request.attempt);
  for (BlockedHead& blocked : m_blocked_heads) {
    blocked.bypassed_tokens += request.tokens();
  }
  return {request.attempt, request.owner, m_options.epoch, lease};
}

bool Admission::MayStart(const ReserveRequest& request) const {
  const Obstacle obstacle =
      m_ledger.FindObstacle(request.tokens(), request.size_class, m_limits);
  return obstacle == Obstacle::kNone && MayBypassBlocked(request);
}

bool Admission::MayBypassBlocked(const ReserveRequest& request) const {
  const BlockedHead& lane_head =
      m_blocked_heads.at(LaneIndex(request.size_class));
  const bool is_blocked = lane_head.attempt == request.attempt;
  const double bypass_limit =
      m_bypass_fraction * static_cast<double>(m_options.capacity.tokens);
  for (const BlockedHead& blocked : m_blocked_heads) {
    if (blocked.attempt.request.empty()) continue;
    if (static_cast<double>(blocked.bypassed_tokens) < bypass_limit) continue;
    // A blocked request may bypass a request that was blocked later.
    if (is_blocked && lane_head.since <= blocked.since) continue;
    return FitsShortReserve(request);
  }
  return true;
}

bool Admission::FitsShortReserve(const ReserveRequest& request) const {
  if (request.size_class != SizeClass::kShort) return false;
  const Capacity allocated = m_ledger.allocated_to_short();
  const Capacity total = m_options.capacity;
  const double tokens_limit =
      m_limits.short_reserve * static_cast<double>(total.tokens);
  return static_cast<double>(allocated.tokens + request.tokens()) <=
             tokens_limit &&
         allocated.slots < m_limits.short_reserve * total.slots;
}

void Admission::Unblock(const AttemptId& attempt) {
  for (BlockedHead& blocked : m_blocked_heads) {
    if (blocked.attempt == attempt) blocked = {};
  }
}

bool Admission::YieldsToOlderMultiEngineRequest(
    const ReserveRequest& request) const {
  if (!request.multi_engine_since) return false;
  const auto& allocations = m_ledger.allocations();
  return std::any_of(
      allocations.begin(), allocations.end(), [&](const auto& item) {
        const Allocation& allocation = item.second;
        return allocation.state == AllocationState::kReserved &&
               allocation.multi_engine_since &&
               *allocation.multi_engine_since < *request.multi_engine_since;
      });
}

void Admission::RemoveFromQueue(const AttemptId& attempt) {
  auto it = m_lane_indexes.find(attempt);
  if (it == m_lane_indexes.end()) return;
  m_lanes.at(it->second).Remove(attempt);
  m_lane_indexes.erase(it);
  Unblock(attempt);
}

bool Admission::IsAtEngine(const AttemptId& attempt) const {
  const Allocation* allocation = m_ledger.Find(attempt);
  return allocation != nullptr &&
         allocation->state != AllocationState::kReserved;
}

Duration Admission::PredictServiceTime(const ReserveRequest& request) const {
  return m_service_times.PredictPrefill(request.prompt_tokens,
                                        request.size_class) +
         m_service_times.PredictDecode(request.max_tokens);
}

Duration Admission::PredictRemainingTime(const Allocation& allocation,
                                         TimePoint now) const {
  if (allocation.state == AllocationState::kCancelling) return Duration::zero();
  auto it = m_progress.find(allocation.attempt);
  if (it == m_progress.end() || it->second.max_tokens == 0) {
    return kAdoptedRequestTime;
  }
  const AttemptProgress& progress = it->second;
  const Duration decode = m_service_times.PredictDecode(progress.max_tokens);
  if (!allocation.is_prefilling) return progress.first_token_at + decode - now;
  return PredictRemainingPrefill(allocation, now) + decode;
}

Duration Admission::PredictRemainingPrefill(const Allocation& allocation,
                                            TimePoint now) const {
  auto it = m_progress.find(allocation.attempt);
  if (!allocation.is_prefilling || it == m_progress.end())
    return Duration::zero();
  const Duration prefill = m_service_times.PredictPrefill(
      it->second.prompt_tokens, allocation.size_class);
  return std::max(Duration::zero(), it->second.started_at + prefill - now);
}

Duration Admission::PredictPrefillBacklog(TimePoint now) const {
  Duration backlog{};
  for (const auto& [attempt, allocation] : m_ledger.allocations()) {
    backlog += PredictRemainingPrefill(allocation, now);
  }
  for (const FairQueue& lane : m_lanes) {
    lane.ForEach([&](const WaitingRequest& waiting) {
      const ReserveRequest& request = waiting.request;
      backlog += m_service_times.PredictPrefill(request.prompt_tokens,
                                                request.size_class);
    });
  }
  return backlog;
}

Duration Admission::PredictWait(const ReserveRequest& request,
                                TimePoint now) const {
  Duration wait = PredictMemoryWait(request, now);
  if (IsLong(request.size_class)) {
    wait = std::max(wait, PredictPrefillLimitWait(request, now));
  }
  return m_wait_predictions.ApplyCorrection(wait);
}

Duration Admission::PredictMemoryWait(const ReserveRequest& request,
                                      TimePoint now) const {
  const bool is_short = request.size_class == SizeClass::kShort;
  std::vector<PlannedRequest> running;
  for (const auto& [attempt, allocation] : m_ledger.allocations()) {
    // Memory freed by short requests stays in their reserve and is not
    // available to medium and long requests.
    if (!is_short && allocation.size_class == SizeClass::kShort) continue;
    running.push_back(
        {allocation.tokens, PredictRemainingTime(allocation, now)});
  }
  std::vector<PlannedRequest> ahead;
  const FairQueue& lane = m_lanes.at(LaneIndex(request.size_class));
  lane.ForEach([&](const WaitingRequest& waiting) {
    const ReserveRequest& other = waiting.request;
    if (other.priority < request.priority) return;
    const bool is_ahead =
        other.priority > request.priority ||
        other.deadline.time_point() <= request.deadline.time_point();
    if (is_ahead) ahead.push_back({other.tokens(), PredictServiceTime(other)});
  });
  Capacity free = m_ledger.free();
  if (!is_short) {
    const double unreserved_fraction = 1.0 - m_limits.short_reserve;
    const Capacity total = m_ledger.capacity();
    const Capacity allocated = m_ledger.allocated_to_others();
    free.tokens = static_cast<int64_t>(unreserved_fraction *
                                       static_cast<double>(total.tokens)) -
                  allocated.tokens;
    free.slots = static_cast<int32_t>(unreserved_fraction * total.slots) -
                 allocated.slots;
  }
  return EstimateWait(running, ahead, free.tokens, free.slots,
                      request.tokens());
}

Duration Admission::PredictPrefillLimitWait(const ReserveRequest& request,
                                            TimePoint now) const {
  Duration prefill_time{};
  for (const auto& [attempt, allocation] : m_ledger.allocations()) {
    if (IsLong(allocation.size_class))
      prefill_time += PredictRemainingPrefill(allocation, now);
  }
  if (m_ledger.long_prefills() < m_limits.max_long_prefills) prefill_time = {};
  m_lanes.at(LaneIndex(request.size_class))
      .ForEach([&](const WaitingRequest& waiting) {
        const ReserveRequest& other = waiting.request;
        if (other.deadline.time_point() > request.deadline.time_point()) return;
        prefill_time += m_service_times.PredictPrefill(other.prompt_tokens,
                                                       other.size_class);
      });
  return prefill_time / std::max(1, m_limits.max_long_prefills);
}

void Admission::GrantQueuedRequests(TimePoint now,
                                    std::vector<Outcome>& outcomes) {
  for (FairQueue& lane : m_lanes) {
    while (GrantHead(lane, now, outcomes)) {
    }
  }
}

bool Admission::GrantHead(FairQueue& lane, TimePoint now,
                          std::vector<Outcome>& outcomes) {
  const WaitingRequest* head = lane.Peek();
  if (head == nullptr) return false;
  const ReserveRequest& request = head->request;
  if (!MayStart(request)) {
    const Obstacle obstacle =
        m_ledger.FindObstacle(request.tokens(), request.size_class, m_limits);
    const bool is_blocking = obstacle == Obstacle::kMemory &&
                             request.size_class != SizeClass::kShort;
    BlockedHead& blocked = m_blocked_heads.at(LaneIndex(request.size_class));
    // Another request that has become the head inherits the start time and the
    // bypass count of the blocked request.
    if (is_blocking && blocked.attempt.request.empty()) {
      blocked = {request.attempt, now, 0};
    } else if (is_blocking) {
      blocked.attempt = request.attempt;
    }
    return false;
  }
  const WaitingRequest granted = *lane.Pop();
  m_lane_indexes.erase(granted.request.attempt);
  m_wait_predictions.Add(granted.predicted_wait, now - granted.queued_at);
  outcomes.emplace_back(Grant(granted.request, now));
  return true;
}

void Admission::RefuseQueuedRequests(
    ErrorCode code, TimePoint now, std::vector<Outcome>& outcomes,
    const std::function<bool(const WaitingRequest&)>& condition) {
  for (FairQueue& lane : m_lanes) {
    for (const WaitingRequest& waiting : lane.RemoveIf(condition)) {
      const AttemptId& attempt = waiting.request.attempt;
      m_lane_indexes.erase(attempt);
      Unblock(attempt);
      outcomes.emplace_back(Refuse(waiting.request, code, now));
    }
  }
}

void Admission::EndExpired(TimePoint now, std::vector<Outcome>& outcomes) {
  for (const Allocation& allocation : m_ledger.ExpiredAllocations(now)) {
    if (allocation.state == AllocationState::kReserved) {
      m_ledger.Release(allocation.attempt);
      m_progress.erase(allocation.attempt);
      m_tombstones.Add(allocation.attempt, false, now);
      outcomes.emplace_back(Refused{allocation.attempt, allocation.owner,
                                    Error{ErrorCode::kDeadlineExceeded,
                                          allocation.attempt.ToString(),
                                          true,
                                          {}}});
    } else {
      m_ledger.BeginCancel(allocation.attempt);
      m_progress[allocation.attempt].cancel_sent_at = now;
      outcomes.emplace_back(
          EngineCancellation{allocation.attempt, allocation.owner});
    }
  }
  RefuseQueuedRequests(
      ErrorCode::kConnectionLost, now, outcomes,
      [&](const WaitingRequest& waiting) {
        auto lease = m_entry_leases.find(waiting.request.owner);
        return lease == m_entry_leases.end() || lease->second <= now;
      });
  std::erase_if(m_entry_leases,
                [now](const auto& lease) { return lease.second <= now; });
}

void Admission::RetryCancels(TimePoint now, std::vector<Outcome>& outcomes) {
  for (const auto& [attempt, allocation] : m_ledger.allocations()) {
    if (allocation.state != AllocationState::kCancelling) continue;
    AttemptProgress& progress = m_progress[attempt];
    if (now - progress.cancel_sent_at < m_options.cancel_retry) continue;
    progress.cancel_sent_at = now;
    outcomes.emplace_back(EngineCancellation{attempt, allocation.owner});
  }
}

}  // namespace peridotshelf::ledger
