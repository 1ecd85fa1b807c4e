#include <algorithm>
#include <utility>

#include "gateway_impl.h"
#include "peridotshelf/events/log.h"
#include "peridotshelf/http/status.h"

namespace peridotshelf::gateway {
namespace {

using events::EventId;
using scheduling::ActiveRequest;

/// Time to connect to an engine: a few round trips between failure domains.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(350);
/// A stream that had events goes on at another engine after this share of the
/// time at which its caller gives up, if it may. A long reading at its engine
/// can cause that as well as the engine's end.
constexpr double kSilenceShare = 0.8;
constexpr Duration kMaxSilence = std::chrono::seconds(3);
/// The same before the first event, beyond the time predicted.
constexpr Duration kFirstEventSilence = std::chrono::milliseconds(1200);
constexpr double kFirstEventOverrun = 2.5;
/// Part of the time left that a repeatable call may take at its first server.
constexpr double kFirstTryShare = 0.45;
/// Sends beyond the engines that may run a request; each needs a proof that the
/// one before it has not run.
constexpr int32_t kExtraSends = 2;
/// Weight of the newest call in a server's mean time.
constexpr double kCallTimeWeight = 0.2;

/// How long a stream may be without events; its first one is predicted after
/// `first_ms`.
Duration SilenceLimit(const LiveRequest& live, double first_ms) {
  if (!live.attempt->got_event) {
    return kFirstEventSilence + FromMillis(kFirstEventOverrun * first_ms);
  }
  const double millis =
      kSilenceShare * scheduling::ToMillis(live.route->caller_timeout);
  return std::min(kMaxSilence, FromMillis(millis));
}

}  // namespace

void Gateway::Impl::StartAttempt(const LiveRequestPtr& live,
                                 const discovery::EngineRecord& engine) {
  Attempt attempt;
  attempt.number = next_number++;
  attempt.engine_key = engine.Key();
  attempt.engine_id = engine.id;
  attempt.address = engine.address;
  live->tried.push_back(attempt.engine_key);
  live->attempt = std::move(attempt);
}

void Gateway::Impl::Send(const LiveRequestPtr& live) {
  const TimePoint now = SteadyClock().Now();
  Attempt& attempt = *live->attempt;
  attempt.sent_at = now;
  attempt.last_progress = now;
  if (live->sends++ > 0) repeats_sent.Only().Add();
  EngineCall call;
  call.address = attempt.address;
  call.engine_id = attempt.engine_id;
  call.team = live->team;
  call.time_left = live->deadline - now;
  call.resume_after = live->last_event;
  call.helpers = attempt.helpers;
  http::ClientRequest request = codec.write_call(live->request, call);
  request.fresh_connection = true;
  request.exact_headers = true;
  request.connect_timeout = kConnectTimeout;
  // Callbacks come on the client's thread; each goes to the gateway's own.
  const auto post = [self = shared_from_this(), weak = std::weak_ptr(live),
                     number = attempt.number](auto act) {
    self->threads.Post([self, weak, number, act = std::move(act)] {
      const auto held = weak.lock();
      if (!held || !held->attempt || held->attempt->number != number) return;
      act(*self, held);
    });
  };
  http::ClientCallbacks callbacks;
  callbacks.on_head = [post](const http::ClientResponseHead& head) {
    post([head](Impl& self, const LiveRequestPtr& held) {
      self.OnHead(held, head);
    });
  };
  callbacks.on_data = [post](std::string_view data) {
    post([bytes = std::string(data)](Impl& self, const LiveRequestPtr& held) {
      self.OnData(held, bytes);
    });
  };
  callbacks.on_done = [post](const Result<int>& outcome) {
    post([outcome](Impl& self, const LiveRequestPtr& held) {
      self.OnDone(held, outcome);
    });
  };
  attempt.call = client.Start(std::move(request), std::move(callbacks));
}

void Gateway::Impl::OnHead(const LiveRequestPtr& live,
                           const http::ClientResponseHead& raw) {
  AnswerHead head = codec.read_answer(raw, live->request);
  live->attempt->last_progress = SteadyClock().Now();
  if (head.is_other_engine) {
    Fail(live, FailureCause::kOtherEngine, "another engine has the address");
    return;
  }
  if (head.is_not_run) {
    Fail(live, FailureCause::kNotRun, "status " + std::to_string(head.status));
    return;
  }
  if (!head.names_request || !head.is_signed || head.is_encoded) {
    Fail(live, FailureCause::kBroken, "not an answer to this request");
    return;
  }
  live->attempt->head = std::move(head);
}

void Gateway::Impl::OnData(const LiveRequestPtr& live,
                           const std::string& data) {
  Attempt& attempt = *live->attempt;
  if (!attempt.head) return;
  attempt.last_progress = SteadyClock().Now();
  if (!live->IsStream() || !http::IsSuccess(attempt.head->status)) {
    attempt.body += data;
    return;
  }
  const uint64_t number = attempt.number;
  // An event may end the try, and its splitter with it.
  for (const std::string& event : attempt.events.Feed(data)) {
    if (!live->attempt || live->attempt->number != number) return;
    OnEvent(live, event);
  }
}

void Gateway::Impl::NoteFirstEvent(LiveRequest& live, TimePoint now) {
  Attempt& attempt = *live.attempt;
  attempt.got_event = true;
  attempt.last_event_at = now;
  if (!live.first_event_ms) {
    live.first_event_ms = MillisBetween(live.arrived, now);
    live.predicted_first_ms = attempt.predicted_first_ms;
  }
  const double actual = MillisBetween(attempt.sent_at, now);
  if (attempt.predicted_first_ms > 0) {
    const double ratio = actual / attempt.predicted_first_ms;
    StateOf(attempt.engine_key).health.NoteSlowdown(ratio, now);
    first_event_error.Only().Observe(ratio);
  }
  first_event_seconds.With(live.route->name)
      .Observe(MillisBetween(live.arrived, now) / 1000);
  if (ActiveRequest* work =
          active_request_table.Find(attempt.engine_key, attempt.number)) {
    work->is_prefilling = false;
    work->end = now + FromMillis(attempt.predicted_write_ms);
    peers.NoteChange(attempt.engine_key);
  }
  // Reserved parts keep their memory until the end.
  if (attempt.reservation.empty()) RemoveParts(attempt);
}

void Gateway::Impl::RemoveParts(const Attempt& attempt) {
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
  ActiveRequest* work =
      active_request_table.Find(attempt.engine_key, attempt.number);
  if (work == nullptr || std::exchange(work->missed_objective, true)) return;
  const auto load =
      active_request_table.ComputeLoad(attempt.engine_key, now - pause);
  events::Log(EventId::kStreamPaused,
              {{"request", live.request.id.value()},
               {"engine", attempt.engine_key},
               {"pause_ms", ToMilliseconds(pause)},
               {"known_reading_ms", std::lround(load.backlog_ms)},
               {"running", load.running}});
}

void Gateway::Impl::OnEvent(const LiveRequestPtr& live,
                            std::string_view event) {
  const TimePoint now = SteadyClock().Now();
  Attempt& attempt = *live->attempt;
  const auto number = EventNumber(event);
  if (number && live->last_event) {
    if (*number <= *live->last_event) return;
    if (*number != *live->last_event + 1) {
      Fail(live, FailureCause::kBroken, "an event is missing");
      return;
    }
  }
  if (!attempt.got_event) {
    NoteFirstEvent(*live, now);
  } else {
    NotePause(*live, now);
  }
  if (number) live->last_event = number;
  if (!std::exchange(live->head_sent, true)) {
    live->responder->BeginStream(attempt.head->status, attempt.head->headers);
  }
  live->responder->Write(std::string(event));
}

void Gateway::Impl::OnDone(const LiveRequestPtr& live,
                           const Result<int>& outcome) {
  Attempt& attempt = *live->attempt;
  attempt.call.reset();
  if (!outcome) {
    const Error& error = outcome.error();
    Fail(live,
         error.not_run ? FailureCause::kUnreachable : FailureCause::kBroken,
         error.detail);
    return;
  }
  if (!attempt.head) {
    Fail(live, FailureCause::kBroken, "no answer");
    return;
  }
  const int status = attempt.head->status;
  if (status >= http::kServerError) {
    live->engine_failure = attempt.head;
    live->engine_failure_body = std::move(attempt.body);
    Fail(live, FailureCause::kEngineFailure,
         "status " + std::to_string(status));
    return;
  }
  const bool is_event_stream = live->IsStream() && http::IsSuccess(status);
  if (is_event_stream && (attempt.events.HasRest() || !attempt.got_event)) {
    Fail(live, FailureCause::kBroken, "the stream ended within an event");
    return;
  }
  Complete(live);
}

void Gateway::Impl::Complete(const LiveRequestPtr& live) {
  const TimePoint now = SteadyClock().Now();
  Attempt& attempt = *live->attempt;
  EngineState& state = StateOf(attempt.engine_key);
  state.health.NoteSuccess(now);
  const int status = attempt.head->status;
  if (live->head_sent) {
    EndAttempt(*live);
    live->responder->EndStream();
  } else {
    const double took = MillisBetween(attempt.sent_at, now);
    state.call_ms =
        state.call_ms == 0
            ? took
            : state.call_ms + kCallTimeWeight * (took - state.call_ms);
    AnswerHead head = std::move(*attempt.head);
    std::string body = std::move(attempt.body);
    EndAttempt(*live);
    live->responder->Reply(head.status, std::move(head.headers),
                           std::move(body));
  }
  Finish(live, status, http::IsSuccess(status) ? "served" : "engine_failure");
}

void Gateway::Impl::EndAttempt(LiveRequest& live) {
  if (!live.attempt) return;
  Attempt& attempt = *live.attempt;
  if (attempt.call) client.Cancel(*attempt.call);
  active_request_table.Remove(attempt.engine_key, attempt.number);
  peers.NoteChange(attempt.engine_key);
  RemoveParts(attempt);
  if (!attempt.reservation.empty()) reservations.Release(attempt.reservation);
  live.attempt.reset();
}

void Gateway::Impl::Fail(const LiveRequestPtr& live, FailureCause cause,
                         std::string_view detail) {
  const TimePoint now = SteadyClock().Now();
  const Attempt& attempt = *live->attempt;
  scheduling::EngineHealth& health = StateOf(attempt.engine_key).health;
  switch (cause) {
    case FailureCause::kUnreachable:
    case FailureCause::kOtherEngine:
      health.NoteUnreachable(now);
      break;
    case FailureCause::kSilent:
    case FailureCause::kBroken:
    case FailureCause::kNotRun:
    case FailureCause::kEngineFailure:
      health.NoteFailure(now);
      break;
    case FailureCause::kNoMemory:
      break;
  }
  failed_attempts.With(ToString(cause)).Add();
  const bool not_run = ProvesNotRun(cause);
  events::Log(EventId::kAttemptFailed,
              {{"request", live->request.id.value()},
               {"engine", attempt.engine_key},
               {"cause", std::string(ToString(cause))},
               {"detail", std::string(detail)},
               {"had_event", attempt.got_event},
               {"predicted_ms", std::lround(attempt.predicted_first_ms)},
               {"try_ms", ToMilliseconds(now - attempt.sent_at)},
               {"not_run", not_run},
               {"sends", live->sends},
               {"after_ms", ToMilliseconds(now - live->arrived)}});
  if (!not_run) ++live->runs;
  EndAttempt(*live);
  const bool may_run_again = live->runs == 0 || live->route->IsRetryable();
  const bool engines_left =
      live->runs < live->route->max_attempts &&
      live->sends < live->route->max_attempts + kExtraSends;
  if (!may_run_again || !engines_left || now >= live->deadline) {
    GiveUp(live, ToString(cause));
    return;
  }
  const bool was_sent = cause != FailureCause::kNoMemory;
  auto& budget = budgets.at(live->service);
  if (was_sent && !budget.TrySpend(now, peers.LiveEntries())) {
    GiveUp(live, "repeat_budget");
    return;
  }
  Begin(live);
  DrainQueue();
}

bool Gateway::Impl::MayRepeat(const LiveRequest& live, TimePoint now) {
  if (!live.route->IsRetryable()) return false;
  if (live.runs + 1 >= live.route->max_attempts) return false;
  if (engines.FindReadyEngines(live.service).size() < 2) return false;
  return budgets.at(live.service).Remaining(now, peers.LiveEntries()) >= 1;
}

bool Gateway::Impl::IsSilent(const LiveRequest& live, TimePoint now) {
  const Attempt& attempt = *live.attempt;
  if (!attempt.call) return false;
  // Silence alone ends nothing: the engine may still be at work.
  if (!MayRepeat(live, now)) return false;
  const Duration silent = now - attempt.last_progress;
  if (!live.IsStream()) {
    const double given =
        kFirstTryShare * MillisBetween(attempt.sent_at, live.deadline);
    return MillisBetween(attempt.sent_at, now) > given;
  }
  return silent > SilenceLimit(live, attempt.predicted_first_ms);
}

bool Gateway::Impl::HoldsMemoryInVain(const LiveRequest& live, TimePoint now) {
  const Attempt& attempt = *live.attempt;
  if (!attempt.call || attempt.reservation.empty()) return false;
  return now - attempt.last_progress >
         SilenceLimit(live, attempt.undisturbed_first_ms);
}

}  // namespace peridotshelf::gateway
