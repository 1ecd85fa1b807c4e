// The part of Admission that predicts waits and moves requests out of its
// lanes. Callers hold the lock.
#include <algorithm>
#include <utility>

#include "peridotshelf/ledger/admission.h"

namespace peridotshelf::ledger {

using policy::IsLong;
using policy::SizeClass;

namespace {

/// Bounds of what a refused caller is told about coming back.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(200);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(30);
/// What adopted work is taken to need, since its request is not known.
constexpr Duration kAdoptedWorkTime = std::chrono::seconds(1);

}  // namespace

size_t Admission::LaneOf(SizeClass size_class) {
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
  Allocation hold;
  hold.attempt = request.attempt;
  hold.owner = request.owner;
  hold.team = request.team;
  hold.size_class = request.size_class;
  hold.tokens = request.tokens();
  hold.multi_engine_since = request.multi_engine_since;
  const Duration lease = request.multi_engine_since
                             ? m_options.entry_lease
                             : m_options.reservation_lease;
  hold.lease_end = now + lease;
  Progress progress;
  progress.prompt_tokens = request.prompt_tokens;
  progress.max_tokens = request.max_tokens;
  progress.started = now;
  m_progress[request.attempt] = progress;
  // Reserve cannot fail: the attempt was looked up before.
  (void)m_ledger.Reserve(std::move(hold));
  Unblock(request.attempt);
  for (Blocked& blocked : m_blocked) {
    blocked.bypassed_tokens += request.tokens();
  }
  return {request.attempt, request.owner, m_options.epoch, lease};
}

bool Admission::MayStart(const ReserveRequest& request) const {
  const Obstacle obstacle =
      m_ledger.FindObstacle(request.tokens(), request.size_class, m_limits);
  return obstacle == Obstacle::kNone && PassesBlocked(request);
}

bool Admission::PassesBlocked(const ReserveRequest& request) const {
  const Blocked& own = m_blocked.at(LaneOf(request.size_class));
  const bool is_blocked = own.attempt == request.attempt;
  const double bound =
      m_bypass_fraction * static_cast<double>(m_options.capacity.tokens);
  for (const Blocked& blocked : m_blocked) {
    if (blocked.attempt.request.empty()) continue;
    if (static_cast<double>(blocked.bypassed_tokens) < bound) continue;
    // Of two that are blocked, the one that waits longer goes first.
    if (is_blocked && own.since <= blocked.since) continue;
    return FitsShortReserve(request);
  }
  return true;
}

bool Admission::FitsShortReserve(const ReserveRequest& request) const {
  if (request.size_class != SizeClass::kShort) return false;
  const Capacity held = m_ledger.allocated_to_short();
  const Capacity total = m_options.capacity;
  const double tokens_limit =
      m_limits.short_reserve * static_cast<double>(total.tokens);
  return static_cast<double>(held.tokens + request.tokens()) <= tokens_limit &&
         held.slots < m_limits.short_reserve * total.slots;
}

void Admission::Unblock(const AttemptId& attempt) {
  for (Blocked& blocked : m_blocked) {
    if (blocked.attempt == attempt) blocked = {};
  }
}

bool Admission::YieldsToOlderMultiEngineRequest(
    const ReserveRequest& request) const {
  if (!request.multi_engine_since) return false;
  const auto& holds = m_ledger.holds();
  return std::any_of(holds.begin(), holds.end(), [&](const auto& item) {
    const Allocation& hold = item.second;
    return hold.state == AllocationState::kReserved &&
           hold.multi_engine_since &&
           *hold.multi_engine_since < *request.multi_engine_since;
  });
}

void Admission::StopWaiting(const AttemptId& attempt) {
  auto it = m_waiting.find(attempt);
  if (it == m_waiting.end()) return;
  m_lanes.at(it->second).Remove(attempt);
  m_waiting.erase(it);
  Unblock(attempt);
}

bool Admission::EngineHolds(const AttemptId& attempt) const {
  const Allocation* hold = m_ledger.Find(attempt);
  return hold != nullptr && hold->state != AllocationState::kReserved;
}

Duration Admission::ServiceTime(const ReserveRequest& request) const {
  return m_times.Prefill(request.prompt_tokens, request.size_class) +
         m_times.Decode(request.max_tokens);
}

Duration Admission::PredictedEnd(const Allocation& hold, TimePoint now) const {
  if (hold.state == AllocationState::kCancelling) return Duration::zero();
  auto it = m_progress.find(hold.attempt);
  if (it == m_progress.end() || it->second.max_tokens == 0) {
    return kAdoptedWorkTime;
  }
  const Progress& progress = it->second;
  const Duration decode = m_times.Decode(progress.max_tokens);
  if (!hold.prefilling) return progress.first_token + decode - now;
  return RemainingPrefill(hold, now) + decode;
}

Duration Admission::RemainingPrefill(const Allocation& hold,
                                     TimePoint now) const {
  auto it = m_progress.find(hold.attempt);
  if (!hold.prefilling || it == m_progress.end()) return Duration::zero();
  const Duration prefill =
      m_times.Prefill(it->second.prompt_tokens, hold.size_class);
  return std::max(Duration::zero(), it->second.started + prefill - now);
}

Duration Admission::PrefillBacklog(TimePoint now) const {
  Duration backlog{};
  for (const auto& [attempt, hold] : m_ledger.holds()) {
    backlog += RemainingPrefill(hold, now);
  }
  for (const FairQueue& lane : m_lanes) {
    lane.ForEach([&](const WaitingRequest& waiting) {
      const ReserveRequest& request = waiting.request;
      backlog += m_times.Prefill(request.prompt_tokens, request.size_class);
    });
  }
  return backlog;
}

Duration Admission::PredictWait(const ReserveRequest& request,
                                TimePoint now) const {
  Duration wait = MemoryWait(request, now);
  if (IsLong(request.size_class)) {
    wait = std::max(wait, PrefillLimitWait(request, now));
  }
  return m_waits.Correct(wait);
}

Duration Admission::MemoryWait(const ReserveRequest& request,
                               TimePoint now) const {
  const bool is_short = request.size_class == SizeClass::kShort;
  std::vector<PlannedWork> running;
  for (const auto& [attempt, hold] : m_ledger.holds()) {
    // Other classes wait for each other's memory only: the rest is reserved.
    if (!is_short && hold.size_class == SizeClass::kShort) continue;
    running.push_back({hold.tokens, PredictedEnd(hold, now)});
  }
  std::vector<PlannedWork> ahead;
  const FairQueue& lane = m_lanes.at(LaneOf(request.size_class));
  lane.ForEach([&](const WaitingRequest& waiting) {
    const ReserveRequest& other = waiting.request;
    if (other.priority < request.priority) return;
    const bool earlier = other.priority > request.priority ||
                         other.budget.deadline() <= request.budget.deadline();
    if (earlier) ahead.push_back({other.tokens(), ServiceTime(other)});
  });
  Capacity free = m_ledger.free();
  if (!is_short) {
    const double part = 1.0 - m_limits.short_reserve;
    const Capacity total = m_ledger.capacity();
    const Capacity held = m_ledger.allocated_to_others();
    free.tokens =
        static_cast<int64_t>(part * static_cast<double>(total.tokens)) -
        held.tokens;
    free.slots = static_cast<int32_t>(part * total.slots) - held.slots;
  }
  return EstimateWait(running, ahead, free.tokens, free.slots,
                      request.tokens());
}

Duration Admission::PrefillLimitWait(const ReserveRequest& request,
                                     TimePoint now) const {
  Duration work{};
  for (const auto& [attempt, hold] : m_ledger.holds()) {
    if (IsLong(hold.size_class)) work += RemainingPrefill(hold, now);
  }
  if (m_ledger.long_prefills() < m_limits.max_long_prefills) work = {};
  m_lanes.at(LaneOf(request.size_class))
      .ForEach([&](const WaitingRequest& waiting) {
        const ReserveRequest& other = waiting.request;
        if (other.budget.deadline() > request.budget.deadline()) return;
        work += m_times.Prefill(other.prompt_tokens, other.size_class);
      });
  return work / std::max(1, m_limits.max_long_prefills);
}

void Admission::GrantWaiting(TimePoint now, std::vector<Outcome>& outcomes) {
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
    const bool blocks = obstacle == Obstacle::kMemory &&
                        request.size_class != SizeClass::kShort;
    Blocked& blocked = m_blocked.at(LaneOf(request.size_class));
    // A head that overtook the blocked one inherits what passed.
    if (blocks && blocked.attempt.request.empty()) {
      blocked = {request.attempt, now, 0};
    } else if (blocks) {
      blocked.attempt = request.attempt;
    }
    return false;
  }
  const WaitingRequest taken = *lane.Pop();
  m_waiting.erase(taken.request.attempt);
  m_waits.Add(taken.predicted_wait, now - taken.queued_at);
  outcomes.emplace_back(Grant(taken.request, now));
  return true;
}

void Admission::RefuseWaiting(
    ErrorCode code, TimePoint now, std::vector<Outcome>& outcomes,
    const std::function<bool(const WaitingRequest&)>& condition) {
  for (FairQueue& lane : m_lanes) {
    for (const WaitingRequest& waiting : lane.RemoveIf(condition)) {
      const AttemptId& attempt = waiting.request.attempt;
      m_waiting.erase(attempt);
      Unblock(attempt);
      outcomes.emplace_back(Refuse(waiting.request, code, now));
    }
  }
}

void Admission::EndExpired(TimePoint now, std::vector<Outcome>& outcomes) {
  for (const Allocation& hold : m_ledger.ExpiredAllocations(now)) {
    if (hold.state == AllocationState::kReserved) {
      m_ledger.Release(hold.attempt);
      m_progress.erase(hold.attempt);
      m_tombstones.Add(hold.attempt, false, now);
      outcomes.emplace_back(Refused{hold.attempt, hold.owner,
                                    Error{ErrorCode::kDeadlineExceeded,
                                          hold.attempt.ToString(),
                                          true,
                                          {}}});
    } else {
      m_ledger.BeginCancel(hold.attempt);
      m_progress[hold.attempt].cancel_sent = now;
      outcomes.emplace_back(EngineCancellation{hold.attempt, hold.owner});
    }
  }
  RefuseWaiting(ErrorCode::kConnectionLost, now, outcomes,
                [&](const WaitingRequest& waiting) {
                  auto lease = m_entry_leases.find(waiting.request.owner);
                  return lease == m_entry_leases.end() || lease->second <= now;
                });
  std::erase_if(m_entry_leases,
                [now](const auto& lease) { return lease.second <= now; });
}

void Admission::RepeatCancels(TimePoint now, std::vector<Outcome>& outcomes) {
  for (const auto& [attempt, hold] : m_ledger.holds()) {
    if (hold.state != AllocationState::kCancelling) continue;
    Progress& progress = m_progress[attempt];
    if (now - progress.cancel_sent < m_options.cancel_retry) continue;
    progress.cancel_sent = now;
    outcomes.emplace_back(EngineCancellation{attempt, hold.owner});
  }
}

}  // namespace peridotshelf::ledger
