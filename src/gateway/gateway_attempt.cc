#include <algorithm>
#include <utility>

#include "gateway_impl.h"
#include "peridotshelf/events/log.h"
#include "peridotshelf/http/status.h"
#include "resumption.h"

namespace peridotshelf::gateway {
namespace {

using events::EventId;

/// Connect timeout: a few round trips between failure domains.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(350);
/// Attempts allowed beyond `max_attempts` if earlier attempts are guaranteed
/// not to have run the request.
constexpr int32_t kExtraAttempts = 2;

/// Returns the key of the attempt's helper engine at `address`, if it has one.
std::optional<std::string> FindHelper(const Attempt& attempt,
                                      std::string_view address) {
  for (size_t i = 0; i < attempt.helpers.size(); ++i) {
    if (attempt.helpers[i].address == address) return attempt.helper_keys[i];
  }
  return std::nullopt;
}

/// Returns the size of the largest body that a valid response can have.
size_t MaxBodyBytes(const LiveRequest& live, const GatewayOptions& options) {
  if (!live.IsStream() || !live.request.prompt) {
    return options.max_response_bytes;
  }
  const auto tokens = static_cast<size_t>(
      std::max<int64_t>(live.request.prompt->max_output_tokens, 1));
  return options.max_event_bytes + tokens * options.max_stream_bytes_per_token;
}

}  // namespace

void Gateway::Impl::StartAttempt(const LiveRequestPtr& live,
                                 const discovery::EngineRecord& engine) {
  Attempt attempt;
  attempt.number = next_number++;
  attempt.engine_key = engine.Key();
  attempt.engine_id = engine.id;
  attempt.engine_started_unix_ms = engine.started_unix_ms;
  attempt.address = engine.address;
  attempt.body_lease = http::HeldBytesLease(options.held_bytes);
  live->tried_engines.push_back(attempt.engine_key);
  live->attempt = std::move(attempt);
}

void Gateway::Impl::Send(const LiveRequestPtr& live) {
  if (HasToAskFirst(*live)) {
    AskThenSend(live);
  } else {
    SendNow(live);
  }
}

void Gateway::Impl::SendNow(const LiveRequestPtr& live) {
  const TimePoint now = SteadyClock().Now();
  Attempt& attempt = *live->attempt;
  if (std::exchange(live->has_retry_claim, false)) {
    attempt.is_retry =
        GetRetryBudget(live->service).TrySend(now, peers.LimitPart());
    if (!attempt.is_retry) {
      DropLapsedRetry(live);
      return;
    }
  }
  attempt.sent_at = now;
  attempt.last_progress = now;
  attempt.own_pause = {};
  attempt.resumed_after = live->last_event_number;
  if (live->sent_attempts++ > 0) {
    retries_sent.WithoutLabel().Add();
    LogRetry(*live, now);
  } else if (hedging.IsEnabled()) {
    hedging.NoteRequest(live->service, now);
  }
  EngineCall call;
  call.address = attempt.address;
  call.engine_id = attempt.engine_id;
  call.team = live->team;
  call.time_left = live->deadline - now;
  call.resume_after = live->last_event_number;
  call.helpers = attempt.helpers;
  http::ClientRequest request = codec.write_call(live->request, call);
  request.fresh_connection = true;
  request.exact_headers = true;
  request.connect_timeout = kConnectTimeout;
  request.max_body_bytes = MaxBodyBytes(*live, options);
  request.max_unread_bytes = options.max_unread_bytes;
  // The callbacks run on the client's thread and are posted to the gateway's
  // thread.
  const auto post = [self = shared_from_this(), weak = std::weak_ptr(live),
                     number = attempt.number](auto action) {
    self->threads.Post([self, weak, number, action = std::move(action)] {
      const auto held = weak.lock();
      if (!held || !held->Select(number)) return;
      self->RunFor(held, [&] { action(*self, held); });
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
      const std::optional<http::Client::CallId> source = held->attempt->call;
      self.OnData(held, bytes);
      // An attempt that has ended has cancelled its call.
      if (source) self.client.Consume(*source, bytes.size());
    });
  };
  callbacks.on_done = [post](const Result<int>& outcome) {
    post([outcome](Impl& self, const LiveRequestPtr& held) {
      self.OnDone(held, outcome);
    });
  };
  attempt.call = client.Start(std::move(request), std::move(callbacks));
  ScheduleHedge(live);
}

void Gateway::Impl::OnHead(const LiveRequestPtr& live,
                           const http::ClientResponseHead& response_head) {
  AnswerHead head = codec.read_answer(response_head, live->request);
  live->attempt->last_progress = SteadyClock().Now();
  if (head.names_another_request) {
    Fail(live, FailureCause::kBroken, "the response has another request's id");
    return;
  }
  const bool is_refusal = head.is_not_run || head.is_other_engine;
  const bool is_proved_not_run = ProvesNotRun(head, live->request);
  if (is_refusal && !is_proved_not_run && !head.matches_request) {
    Fail(live, FailureCause::kBroken, "a refusal without the request's id");
    return;
  }
  // A different engine at the address speaks of itself.
  if (!head.is_other_engine) NoteState(live->attempt->engine_key, head);
  const auto helper = FindHelper(*live->attempt, head.failed_address);
  if (helper && is_proved_not_run) {
    // The primary engine may be chosen again.
    live->tried_engines.pop_back();
    Fail(live, FailureCause::kHelperFailed,
         "status " + std::to_string(head.status) + " because of " + *helper,
         *helper);
    return;
  }
  if (head.is_other_engine) {
    Fail(live, FailureCause::kOtherEngine,
         "a different engine uses the address");
    return;
  }
  NoteLimit(*live->attempt, head);
  if (is_proved_not_run) {
    Fail(live, FailureCause::kNotRun, "status " + std::to_string(head.status));
    return;
  }
  if (!head.matches_request || !head.is_signed || head.is_encoded ||
      head.has_invalid_framing) {
    Fail(live, FailureCause::kBroken,
         "the response has the wrong request id, no signature, an encoded "
         "body or contradicting lengths");
    return;
  }
  NoteFraming(*live, head);
  live->attempt->head = std::move(head);
  NoteStreamHead(*live, response_head);
  if (!CanContinueStream(*live)) {
    Fail(live, FailureCause::kBroken,
         "the response is of another kind than the stream to be continued");
  }
}

void Gateway::Impl::OnData(const LiveRequestPtr& live,
                           const std::string& data) {
  Attempt& attempt = *live->attempt;
  if (!attempt.head) return;
  if (!live->HasEvents(attempt.head->status)) {
    attempt.last_progress = SteadyClock().Now();
    attempt.body += data;
    attempt.body_lease.Add(data.size());
    return;
  }
  const uint64_t number = attempt.number;
  const auto events = attempt.events.Feed(data);
  // An event may end the attempt and destroy its splitter.
  for (const std::string& event : events) {
    if (!live->attempt || live->attempt->number != number) return;
    OnEvent(live, event);
  }
  if (!live->attempt || live->attempt->number != number) return;
  if (attempt.events.incomplete_bytes() > options.max_event_bytes) {
    Fail(live, FailureCause::kOversized, "an event has no end");
  }
}

void Gateway::Impl::OnEvent(const LiveRequestPtr& live,
                            std::string_view event) {
  const TimePoint now = SteadyClock().Now();
  Attempt& attempt = *live->attempt;
  const auto number = ParseEventNumber(event);
  if (const auto fault = FindEventFault(*live, number, event)) {
    Fail(live, FailureCause::kBroken, *fault);
    return;
  }
  if (live->last_event_number && *number <= *live->last_event_number) return;
  // Neither bytes that complete no event nor repeated events are progress.
  attempt.last_progress = now;
  if (!attempt.has_event) {
    SettleHedge(*live);
    NoteFirstEvent(*live, now);
  } else {
    NotePause(*live, now);
  }
  live->last_event_number = number;
  live->is_event_missing = false;
  if (!std::exchange(live->is_head_sent, true)) {
    live->stream_status = attempt.head->status;
    live->stream_content_type = attempt.content_type;
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
    FailureCause cause = FailureCause::kBroken;
    if (error.not_run) cause = FailureCause::kUnreachable;
    if (error.code == ErrorCode::kProtocol) cause = FailureCause::kOversized;
    if (cause == FailureCause::kBroken) ProbeAfterBreak(*live);
    Fail(live, cause, error.detail);
    return;
  }
  if (!attempt.head) {
    ProbeAfterBreak(*live);
    Fail(live, FailureCause::kBroken,
         "the connection ended without a response");
    return;
  }
  const bool is_event_stream = live->HasEvents(attempt.head->status);
  if (is_event_stream && (attempt.events.HasIncompleteEvent() ||
                          (!attempt.has_event && !MayHaveNoEvent(*live)))) {
    ProbeAfterBreak(*live);
    Fail(live, FailureCause::kBroken,
         "the stream ended without an event or inside one");
    return;
  }
  if (attempt.head->ends_with_connection) {
    CheckAnswerEnd(live);
  } else {
    FinishAnswer(live);
  }
}

void Gateway::Impl::FinishAnswer(const LiveRequestPtr& live) {
  Attempt& attempt = *live->attempt;
  const int status = attempt.head->status;
  // An error answer cannot continue a stream whose caller has events already.
  const bool is_stream_rejected =
      live->is_head_sent && !http::IsSuccess(status);
  if (status >= http::kServerError || is_stream_rejected) {
    live->engine_failure = attempt.head;
    live->engine_failure_body = std::move(attempt.body);
    Fail(live, FailureCause::kEngineFailure,
         "status " + std::to_string(status));
    return;
  }
  Complete(live);
}

void Gateway::Impl::Release(const LiveRequest& live, const Attempt& attempt) {
  if (attempt.call) client.Cancel(*attempt.call);
  active_request_table.Remove(attempt.engine_key, attempt.number);
  peers.NoteChange(attempt.engine_key);
  RemovePrefillShards(attempt);
  if (!attempt.reservation.empty()) reservations.Release(attempt.reservation);
  NoteEngineTime(live, attempt);
}

void Gateway::Impl::EndAttempt(LiveRequest& live) {
  if (!live.attempt) return;
  Release(live, *live.attempt);
  live.attempt = std::exchange(live.other_attempt, std::nullopt);
  if (live.attempt) SetLastEngine(live, live.attempt->engine_key);
}

void Gateway::Impl::EndAttempts(LiveRequest& live) {
  while (live.attempt) EndAttempt(live);
  EndHedge(live, "cancelled");
}

void Gateway::Impl::Fail(const LiveRequestPtr& live, FailureCause cause,
                         std::string_view detail,
                         std::string_view failed_engine) {
  const TimePoint now = SteadyClock().Now();
  const Attempt& attempt = *live->attempt;
  scheduling::EngineHealth& health =
      GetEngineState(failed_engine.empty() ? attempt.engine_key
                                           : std::string(failed_engine))
          .health;
  switch (cause) {
    case FailureCause::kUnreachable:
    case FailureCause::kOtherEngine:
    case FailureCause::kHelperFailed:
      health.NoteUnreachable(now);
      break;
    case FailureCause::kSilent:
    case FailureCause::kBroken:
    case FailureCause::kOversized:
    case FailureCause::kNotRun:
    case FailureCause::kEngineFailure:
      health.NoteFailure(now);
      break;
    case FailureCause::kNoMemory:
    case FailureCause::kEngineLeft:
      break;
  }
  failed_attempts.With(ToString(cause)).Add();
  live->last_failure = cause;
  live->failed_at = now;
  const bool not_run = GuaranteesNotRun(cause);
  events::Log(EventId::kAttemptFailed,
              {{"request", live->request.id.value()},
               {"engine", attempt.engine_key},
               {"cause", std::string(ToString(cause))},
               {"detail", std::string(detail)},
               {"had_event", attempt.has_event},
               {"predicted_ms", std::lround(attempt.predicted_first_event_ms)},
               {"try_ms", ToMilliseconds(now - attempt.sent_at)},
               {"not_run", not_run},
               {"sends", live->sent_attempts},
               {"after_ms", ToMilliseconds(now - live->arrived)}});
  if (!not_run) ++live->possible_runs;
  if (IsEngineMissing(cause) && HasUntriedAvailableEngine(*live)) {
    ++live->misdirected_attempts;
  }
  if (live->hedge && live->hedge->number == attempt.number) {
    EndHedge(*live, "failed");
  }
  NoteStreamBreak(*live);
  const bool has_arrived = MayHaveArrived(cause);
  const bool was_retry = attempt.is_retry;
  if (was_retry && !has_arrived) {
    GetRetryBudget(live->service).Return(now, peers.LimitPart());
  }
  EndAttempt(*live);
  if (live->attempt) {
    // The other attempt of a hedged request goes on; it may still answer.
    ScheduleQueueDrain();
    return;
  }
  const bool can_run_again =
      live->possible_runs == 0 || live->route->IsRetryable();
  const bool has_attempts_left =
      live->possible_runs < live->route->max_attempts &&
      live->sent_attempts - live->misdirected_attempts <
          live->route->max_attempts + kExtraAttempts;
  const bool may_crash_next =
      cause == FailureCause::kBroken &&
      crash_quarantine->IsNearQuarantine(live->suspects);
  if (!can_run_again || !has_attempts_left || may_crash_next ||
      now >= live->deadline) {
    GiveUp(live, ToString(cause));
    return;
  }
  if ((has_arrived || was_retry) && !ClaimRetry(*live)) {
    DenyRetry(live);
    return;
  }
  PlaceOrQueue(live);
  DrainQueue();
}

}  // namespace peridotshelf::gateway
