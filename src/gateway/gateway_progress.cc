// What the events of a stream tell of its engine.
#include <algorithm>
#include <cmath>
#include <utility>

#include "gateway_impl.h"
#include "peridotshelf/events/log.h"

namespace peridotshelf::gateway {
namespace {

using events::EventId;
using scheduling::ActiveRequest;

}  // namespace

void Gateway::Impl::NoteFirstEvent(LiveRequest& live, TimePoint now) {
  Attempt& attempt = *live.attempt;
  attempt.has_event = true;
  attempt.first_event_at = now;
  attempt.last_event_at = now;
  if (!live.first_event_ms) {
    live.first_event_ms = MillisBetween(live.arrived, now);
    live.predicted_first_event_ms = attempt.predicted_first_event_ms;
  }
  const double actual = MillisBetween(attempt.sent_at, now);
  if (attempt.predicted_first_event_ms > 0) {
    const double ratio = actual / attempt.predicted_first_event_ms;
    GetEngineState(attempt.engine_key).health.NoteSlowdown(ratio, now);
    first_event_ratio.WithoutLabel().Observe(ratio);
  }
  first_event_seconds.With(live.route->name)
      .Observe(MillisBetween(live.arrived, now) / 1000);
  if (ActiveRequest* active_request =
          active_request_table.Find(attempt.engine_key, attempt.number)) {
    active_request->is_prefilling = false;
    active_request->end = now + FromMillis(attempt.predicted_decode_ms);
    peers.NoteChange(attempt.engine_key);
  }
  // Prefill shards with reserved memory keep it until the end.
  if (attempt.reservation.empty()) RemovePrefillShards(attempt);
}

void Gateway::Impl::RemovePrefillShards(const Attempt& attempt) {
  for (const std::string& helper : attempt.helper_keys) {
    active_request_table.Remove(helper, attempt.number);
    peers.NoteChange(helper);
  }
}

void Gateway::Impl::NotePause(LiveRequest& live, TimePoint now) {
  Attempt& attempt = *live.attempt;
  const Duration pause = now - attempt.last_event_at;
  attempt.last_event_at = now;
  live.longest_pause_ms =
      std::max(live.longest_pause_ms, scheduling::ToMillis(pause));
  if (live.route->max_pause <= Duration::zero() ||
      pause <= live.route->max_pause) {
    return;
  }
  ActiveRequest* active_request =
      active_request_table.Find(attempt.engine_key, attempt.number);
  if (active_request == nullptr ||
      std::exchange(active_request->missed_objective, true))
    return;
  const auto load =
      active_request_table.ComputeLoad(attempt.engine_key, now - pause);
  events::Log(EventId::kStreamPaused,
              {{"request", live.request.id.value()},
               {"engine", attempt.engine_key},
               {"pause_ms", ToMilliseconds(pause)},
               {"known_reading_ms", std::lround(load.backlog_ms)},
               {"running", load.running}});
}

}  // namespace peridotshelf::gateway
