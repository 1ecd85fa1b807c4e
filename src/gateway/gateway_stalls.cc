// Attempts that make no progress.
#include <algorithm>

#include "gateway_impl.h"

namespace peridotshelf::gateway {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
/// A tick that is later than this shows that this process did not run.
constexpr Duration kMaxTickDelay = std::chrono::milliseconds(300);
/// A stream that has sent events and may be retried moves to another engine
/// after a gap of this fraction of the caller timeout. The gap can be caused by
/// a long prefill at the engine as well as by its failure.
constexpr double kStallTimeoutShare = 0.8;
constexpr Duration kMaxStallTimeout = std::chrono::seconds(3);
/// Stall timeout before the first event: a fixed time plus a multiple of the
/// predicted time to first token.
constexpr Duration kFirstEventStallTimeout = std::chrono::milliseconds(1200);
constexpr double kFirstEventOverrun = 2.5;
/// Fraction of the remaining time that the first attempt of a retryable call
/// may take.
constexpr double kFirstAttemptShare = 0.45;

/// Returns how long a stream may go without events, given the predicted time to
/// first token.
Duration ComputeStallTimeout(const LiveRequest& live, const Attempt& attempt,
                             double predicted_ms) {
  if (!attempt.has_event) {
    return kFirstEventStallTimeout +
           FromMillis(kFirstEventOverrun * predicted_ms);
  }
  const double millis =
      kStallTimeoutShare * scheduling::ToMillis(live.route->caller_timeout);
  return std::min(kMaxStallTimeout, FromMillis(millis));
}

/// Returns whether the attempt has made no progress for its stall timeout.
bool IsSilent(const LiveRequest& live, const Attempt& attempt, TimePoint now) {
  if (!attempt.call) return false;
  if (!live.IsStream()) {
    const double timeout_ms =
        kFirstAttemptShare * MillisBetween(attempt.sent_at, live.deadline);
    return MillisBetween(attempt.sent_at, now - attempt.own_pause) > timeout_ms;
  }
  return now - attempt.last_progress >
         ComputeStallTimeout(live, attempt, attempt.predicted_first_event_ms);
}

}  // namespace

bool Gateway::Impl::CanRetry(const LiveRequest& live, TimePoint now) {
  if (!live.route->IsRetryable()) return false;
  const int32_t running = live.other_attempt ? 2 : 1;
  if (live.possible_runs + running >= live.route->max_attempts) return false;
  // The engine of the attempt is not counted if its domain is evacuated.
  const size_t needed_engines =
      engines.IsEvacuated(live.attempt->engine_key) ? 1 : 2;
  if (FindReadyEngines(live).size() < needed_engines) return false;
  return GetRetryBudget(live.service).Remaining(now, peers.LimitPart()) >= 1;
}

bool Gateway::Impl::IsStalled(const LiveRequest& live, TimePoint now) {
  if (!live.attempt->call) return false;
  // A lack of data alone does not end an attempt, because the engine may still
  // be working.
  if (!CanRetry(live, now)) return false;
  if (!IsSilent(live, *live.attempt, now)) return false;
  return !live.other_attempt || IsSilent(live, *live.other_attempt, now);
}

void Gateway::Impl::ExcludeOwnPause(Duration pause) {
  const TimePoint now = SteadyClock().Now();
  const auto exclude = [pause, now](std::optional<Attempt>& attempt) {
    if (!attempt) return;
    const Duration idle_time = now - attempt->last_progress;
    attempt->last_progress += std::min(pause, idle_time);
    attempt->own_pause += std::min(pause, now - attempt->sent_at);
  };
  for (const auto& [number, live] : live_requests) {
    exclude(live->attempt);
    exclude(live->other_attempt);
  }
}

bool Gateway::Impl::HoldsStaleReservation(const LiveRequest& live,
                                          TimePoint now) {
  const Attempt& attempt = *live.attempt;
  if (!attempt.call || attempt.reservation.empty()) return false;
  return now - attempt.last_progress >
         ComputeStallTimeout(live, attempt, attempt.uncontended_first_event_ms);
}

void Gateway::Impl::ScheduleTick() {
  if (std::exchange(is_tick_scheduled, true)) return;
  tick_due = SteadyClock().Now() + kTickInterval;
  threads.RunAfter(kTickInterval, [self = shared_from_this()] {
    if (events::RunGuarded("tick", [&] { self->Tick(); })) {
      return;
    }
    self->ScheduleTick();
  });
}

void Gateway::Impl::Tick() {
  is_tick_scheduled = false;
  const TimePoint now = SteadyClock().Now();
  if (now - tick_due > kMaxTickDelay) {
    ExcludeOwnPause(now - tick_due);
    ScheduleTick();
    return;
  }
  std::vector<LiveRequestPtr> stalled;
  for (const auto& [number, live] : live_requests) {
    if (!live->attempt) continue;
    if (IsStalled(*live, now) || HoldsStaleReservation(*live, now)) {
      stalled.push_back(live);
    }
  }
  for (const LiveRequestPtr& live : stalled) {
    // An earlier request in this loop may have used the last free slot or the
    // last retry in the budget.
    if (!live->attempt) continue;
    if (HoldsStaleReservation(*live, now) ||
        (IsStalled(*live, now) && CanMoveToAnotherEngine(*live))) {
      RunFor(live, [&] {
        Fail(live, FailureCause::kSilent,
             "no data received within the stall timeout");
      });
    }
  }
  KeepQueryConnections(now);
  DrainQueue();
  if (!live_requests.empty()) ScheduleTick();
}

}  // namespace peridotshelf::gateway
