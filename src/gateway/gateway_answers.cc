// Final answers of requests that reached an engine.
#include <utility>

#include "gateway_impl.h"
#include "peridotshelf/http/status.h"

namespace peridotshelf::gateway {

void Gateway::Impl::Complete(const LiveRequestPtr& live) {
  const TimePoint now = SteadyClock().Now();
  if (!live->attempt->has_event) SettleHedge(*live);
  Attempt& attempt = *live->attempt;
  EngineState& state = GetEngineState(attempt.engine_key);
  state.health.NoteSuccess(now);
  NoteCompleted(*live);
  const int status = attempt.head->status;
  if (live->is_head_sent) {
    EndAttempts(*live);
    live->responder->EndStream();
  } else if (PromisesNotRun(status) &&
             (live->possible_runs > 0 || !live->route->IsRetryable())) {
    // It may be true of this attempt, not of an earlier one, and an engine that
    // does not state "not run" may have run the request.
    ++live->possible_runs;
    EndAttempts(*live);
    GiveUp(live, "refused_without_proof");
    return;
  } else {
    state.calls.NoteDuration(MillisBetween(attempt.sent_at, now), now);
    AnswerHead head = std::move(*attempt.head);
    std::string body = std::move(attempt.body);
    EndAttempts(*live);
    live->responder->Reply(head.status, std::move(head.headers),
                           std::move(body));
  }
  Finish(live, status, http::IsSuccess(status) ? "served" : "engine_failure");
}

}  // namespace peridotshelf::gateway
