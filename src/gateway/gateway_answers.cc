// Final answers of requests that reached an engine.
#include <utility>

#include "gateway_impl.h"
#include "peridotshelf/http/status.h"

namespace peridotshelf::gateway {
namespace {

/// Weight of the newest call in the moving average of a server's call duration.
constexpr double kCallTimeWeight = 0.2;

}  // namespace

void Gateway::Impl::Complete(const LiveRequestPtr& live) {
  const TimePoint now = SteadyClock().Now();
  Attempt& attempt = *live->attempt;
  EngineState& state = GetEngineState(attempt.engine_key);
  state.health.NoteSuccess(now);
  NoteCompleted(*live);
  const int status = attempt.head->status;
  if (live->is_head_sent) {
    EndAttempt(*live);
    live->responder->EndStream();
  } else if (live->possible_runs > 0 && PromisesNotRun(status)) {
    // It is true of this attempt, not of an earlier one.
    EndAttempt(*live);
    GiveUp(live, "refused_after_loss");
    return;
  } else {
    const double duration_ms = MillisBetween(attempt.sent_at, now);
    state.call_ms =
        state.call_ms == 0
            ? duration_ms
            : state.call_ms + kCallTimeWeight * (duration_ms - state.call_ms);
    AnswerHead head = std::move(*attempt.head);
    std::string body = std::move(attempt.body);
    EndAttempt(*live);
    live->responder->Reply(head.status, std::move(head.headers),
                           std::move(body));
  }
  Finish(live, status, http::IsSuccess(status) ? "served" : "engine_failure");
}

}  // namespace peridotshelf::gateway
