#include <algorithm>
#include <utility>

#include "gateway_impl.h"
#include "peridotshelf/events/log.h"

namespace peridotshelf::gateway {
namespace {

using events::EventId;

/// Minimum time between two attempts to place the queued requests, because
/// peers report changes often.
constexpr Duration kDrainInterval = std::chrono::milliseconds(20);
/// If this many queued requests cannot be placed, the others cannot either and
/// are not tried.
constexpr int kMaxDrainFailures = 6;
/// Part of the time left after which a caller whose prompt the engines cannot
/// read in time tries again, when their load may be another one. With the
/// random increase it is at most a third, since callers wait no longer.
constexpr double kRetryAfterFraction = 0.22;

}  // namespace

void Gateway::Impl::QueueOrRefuse(const LiveRequestPtr& live,
                                  const scheduling::EngineModel& model) {
  const TimePoint now = SteadyClock().Now();
  const auto usable = FindUsableEngines(*live);
  const auto unlimited = RemoveLimited(usable);
  const double optimistic_first_event_ms =
      model.PrefillDuration(live->prompt_tokens) / 2 +
      model.IterationDuration(1, 0);
  TimePoint latest_useful_start = live->deadline;
  if (live->route->caller_timeout > Duration::zero()) {
    latest_useful_start = std::min(latest_useful_start,
                                   live->arrived + live->route->caller_timeout);
  }
  latest_useful_start -= FromMillis(optimistic_first_event_ms);
  const size_t ahead = queue.CountAhead(live->priority);
  scheduling::QueueDecision decision;
  if (unlimited.empty()) {
    decision.predicted_slot_wait = PredictLimitWait(usable, ahead);
    decision.should_queue =
        now + decision.predicted_slot_wait <= latest_useful_start;
  } else {
    decision =
        scheduling::DecideQueueing(MakeCandidates(unlimited, model), ahead,
                                   latest_useful_start - now, now);
  }
  if (!decision.should_queue) {
    Duration retry_after = decision.predicted_slot_wait;
    // A slot is free, but the engines are too busy for this prompt.
    if (latest_useful_start < now) {
      retry_after = std::max(retry_after,
                             std::chrono::duration_cast<Duration>(
                                 (live->deadline - now) * kRetryAfterFraction));
    }
    Refuse(live, retry_after, unlimited.empty() ? "engine_limit" : "no_place");
    return;
  }
  scheduling::QueuedRequest queued;
  queued.id = live->number;
  queued.priority = live->priority;
  queued.value_density = live->value / optimistic_first_event_ms;
  queued.arrived = live->arrived;
  queued.latest_on_time_start = live->arrived + live->route->latency_objective -
                                FromMillis(optimistic_first_event_ms);
  queued.latest_useful_start = latest_useful_start;
  queue.Add(queued);
  events::Log(EventId::kRequestWaits,
              {{"request", live->request.id.value()},
               {"place_in_ms", ToMilliseconds(decision.predicted_slot_wait)},
               {"ahead", static_cast<int64_t>(queue.size() - 1)}});
}

void Gateway::Impl::DrainQueue() {
  if (queue.empty() || std::exchange(is_draining_queue, true)) return;
  // An exception outside of a request leaves the others to the next drain.
  (void)events::RunGuarded("queue", [this] { DrainOnce(); });
  is_draining_queue = false;
}

void Gateway::Impl::DrainOnce() {
  const TimePoint now = SteadyClock().Now();
  for (const uint64_t id : queue.TakeExpired(now)) {
    const auto found = live_requests.find(id);
    if (found == live_requests.end()) continue;
    const LiveRequestPtr live = found->second;
    RunFor(live, [&] { Refuse(live, Duration::zero(), "waited_too_long"); });
  }
  RefuseExcluded();
  int failures = 0;
  for (const uint64_t id : queue.SchedulingOrder(now)) {
    if (failures == kMaxDrainFailures) break;
    const auto found = live_requests.find(id);
    if (found == live_requests.end()) {
      queue.Remove(id);
      continue;
    }
    const LiveRequestPtr live = found->second;
    RunFor(live, [&] { failures += IsLeftInQueue(live) ? 1 : 0; });
  }
}

bool Gateway::Impl::IsLeftInQueue(const LiveRequestPtr& live) {
  if (RefuseIfAllPaused(live)) return false;
  const scheduling::EngineModel* model = FindModel(*live);
  if (model == nullptr || !TryStartStream(live, *model)) return true;
  queue.Remove(live->number);
  return false;
}

void Gateway::Impl::ScheduleQueueDrain() {
  if (queue.empty() || std::exchange(is_drain_scheduled, true)) return;
  threads.RunAfter(kDrainInterval, [self = shared_from_this()] {
    self->is_drain_scheduled = false;
    self->DrainQueue();
  });
}

}  // namespace peridotshelf::gateway
