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
  } else if (live->possible_runs > 0 && PromisesNotRun(status)) {
    // It is true of this attempt, not of an earlier one.
    EndAttempts(*live);
    GiveUp(live, "refused_after_loss");
    return;
  } else {
    state.NoteCallTime(MillisBetween(attempt.sent_at, now));
    AnswerHead head = std::move(*attempt.head);
    std::string body = std::move(attempt.body);
    EndAttempts(*live);
    live->responder->Reply(head.status, std::move(head.headers),
                           std::move(body));
  }
  Finish(live, status, http::IsSuccess(status) ? "served" : "engine_failure");
}

}  // namespace peridotshelf::gateway
