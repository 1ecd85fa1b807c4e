#include "peridotshelf/attempts/request_state_machine.h"

#include <algorithm>
#include <utility>

namespace peridotshelf::attempts {
RequestStateMachine::RequestStateMachine(
    RequestParameters parameters, RequestOptions options,
    std::shared_ptr<RetryBudget> retry_budget, TimePoint now)
    : m_parameters(std::move(parameters)),
      m_options(options),
      m_retry_budget(std::move(retry_budget)),
      m_random(m_parameters.jitter_seed),
      m_admitted_at(now),
      m_trace{m_parameters.request, m_parameters.service, {}} {}

Commands RequestStateMachine::Begin(TimePoint) {
  m_retry_budget->NoteFirstAttempt();
  Commands out;
  StartRound(out);
  return out;
}

void RequestStateMachine::StartRound(Commands& out) {
  m_placing = true;
  m_retry_at.reset();
  ++m_rounds;
  Place place;
  for (const Attempt& attempt : m_attempts) {
    if (attempt.failed) place.avoid.push_back(attempt.candidate.engine);
  }
  out.emplace_back(std::move(place));
}

Commands RequestStateMachine::On(const PlacementReply& event, TimePoint now) {
  Commands out;
  if (m_answered || !m_placing) return out;
  m_placing = false;
  if (event.candidates.empty()) {
    RecordStep(now, TraceKind::kNoCandidate, nullptr, event.error.code);
    AnswerWithError(event.error, now, out);
    return out;
  }
  // Reversed, so that the best remaining candidate is taken from the end.
  m_fallbacks.assign(event.candidates.rbegin(), event.candidates.rend());
  do {
    const Candidate candidate = std::move(m_fallbacks.back());
    m_fallbacks.pop_back();
    TryCandidate(candidate, now, out);
  } while (m_parameters.tied && m_parameters.needs_reservation &&
           !m_fallbacks.empty());
  return out;
}

void RequestStateMachine::TryCandidate(const Candidate& candidate,
                                       TimePoint now, Commands& out) {
  m_attempts.push_back(Attempt{candidate, {}, {}, {}, {}, {}, {}});
  Attempt& attempt = m_attempts.back();
  if (!m_parameters.needs_reservation) {
    StartAttempt(attempt, 0, now, out);
    return;
  }
  RecordStep(now, TraceKind::kReserved, &attempt);
  out.emplace_back(Reserve{ToAttemptId(attempt), attempt.candidate,
                           m_parameters.deadline.Remaining(now)});
}

void RequestStateMachine::StartAttempt(Attempt& attempt, int64_t epoch,
                                       TimePoint now, Commands& out) {
  attempt.state = State::kRunning;
  attempt.started = true;
  m_last_started = static_cast<size_t>(&attempt - m_attempts.data());
  m_gap_reported = false;
  RecordStep(now, TraceKind::kStarted, &attempt);
  out.emplace_back(Start{ToAttemptId(attempt), attempt.candidate, epoch,
                         m_parameters.deadline.Remaining(now)});
}

Commands RequestStateMachine::On(const Granted& event, TimePoint now) {
  Commands out;
  Attempt* attempt = Find(event.attempt);
  if (attempt == nullptr || attempt->started) return out;
  const bool should_start =
      !m_answered && attempt->state != State::kEnded &&
      (!m_last_started || m_attempts[*m_last_started].state == State::kEnded);
  if (!should_start) {
    CancelAttempt(*attempt, ErrorCode::kCancelled, now, out);
    return out;
  }
  RecordStep(now, TraceKind::kGranted, attempt);
  for (Attempt& other : m_attempts) {
    if (&other == attempt || other.state == State::kEnded) continue;
    CancelAttempt(other, ErrorCode::kCancelled, now, out);
  }
  StartAttempt(*attempt, event.epoch, now, out);
  return out;
}

Commands RequestStateMachine::On(const Queued& event, TimePoint now) {
  Commands out;
  Attempt* attempt = Find(event.attempt);
  if (m_answered || attempt == nullptr || attempt->started ||
      attempt->state == State::kEnded) {
    return out;
  }
  attempt->state = State::kQueued;
  attempt->estimated_start = event.estimated_start;
  RecordStep(now, TraceKind::kQueued, attempt, {},
             "estimated start in " +
                 std::to_string(ToMilliseconds(event.estimated_start)) + " ms");
  FailIfStartTooLate(now, out);
  return out;
}

void RequestStateMachine::FailIfStartTooLate(TimePoint now, Commands& out) {
  const Duration remaining = m_parameters.deadline.Remaining(now);
  std::optional<Duration> earliest;
  for (const Attempt& attempt : m_attempts) {
    if (attempt.state == State::kEnded) continue;
    if (attempt.state != State::kQueued) return;
    const Duration start = *attempt.estimated_start;
    earliest = earliest ? std::min(*earliest, start) : start;
  }
  if (!earliest || *earliest < remaining) return;
  AnswerWithError(
      Error{ErrorCode::kOverloaded, "cannot start before the caller's deadline",
            false, *earliest - remaining},
      now, out);
}

Commands RequestStateMachine::On(const Refused& event, TimePoint now) {
  return HandleEnd(event.attempt, event.error, TraceKind::kRefused, now);
}

Commands RequestStateMachine::On(const Failed& event, TimePoint now) {
  return HandleEnd(event.attempt, event.error, TraceKind::kFailed, now);
}

Commands RequestStateMachine::HandleEnd(const AttemptId& id, const Error& error,
                                        TraceKind kind, TimePoint now) {
  Commands out;
  Attempt* attempt = Find(id);
  if (m_answered || attempt == nullptr) return out;
  // The side remembers the attempt only until the request's deadline.
  const bool not_run = error.not_run && !m_parameters.deadline.Expired(now);
  if (attempt->state == State::kEnded) {
    // The guarantee may arrive after the attempt was treated as lost.
    attempt->known_not_run |= not_run;
    return out;
  }
  RecordStep(now, kind, attempt, error.code, error.detail);
  HandleAttemptFailure(*attempt, error, not_run, now, out);
  return out;
}

void RequestStateMachine::HandleAttemptFailure(Attempt& attempt,
                                               const Error& error, bool not_run,
                                               TimePoint now, Commands& out) {
  EndAttempt(attempt, not_run);
  attempt.failed = true;
  if (!HasLiveAttempt()) RetryOrConclude(error, now, out);
}

bool RequestStateMachine::CountIfUndeliverable(const ChunkArrived& event) {
  if (m_answered) {
    ++m_dropped.late;
    return true;
  }
  Attempt* attempt = Find(event.attempt);
  const bool is_current = attempt != nullptr && m_last_started &&
                          attempt == &m_attempts[*m_last_started] &&
                          attempt->state != State::kEnded;
  if (!is_current) {
    ++m_dropped.wrong_attempt;
    return true;
  }
  if (event.offset < m_next_offset) {
    ++m_dropped.duplicate;
    return true;
  }
  return false;
}

Commands RequestStateMachine::On(ChunkArrived event, TimePoint now) {
  Commands out;
  if (CountIfUndeliverable(event)) return out;
  Attempt& attempt = m_attempts[*m_last_started];
  if (event.offset > m_next_offset) {
    ++m_dropped.gap;
    if (m_gap_reported || attempt.state != State::kRunning) return out;
    m_gap_reported = true;
    ResumeAttempt(attempt, now, out);
    return out;
  }
  m_gap_reported = false;
  ++m_next_offset;
  out.emplace_back(DeliverChunk{std::move(event.data)});
  return out;
}

Commands RequestStateMachine::On(const Finished& event, TimePoint now) {
  Commands out;
  Attempt* attempt = Find(event.attempt);
  if (m_answered || attempt == nullptr || !m_last_started ||
      attempt != &m_attempts[*m_last_started] ||
      attempt->state == State::kEnded) {
    return out;
  }
  if (event.completion.chunks > m_next_offset) {
    if (attempt->state == State::kRunning) ResumeAttempt(*attempt, now, out);
    return out;
  }
  if (event.completion.chunks < m_next_offset) {
    HandleAttemptFailure(
        *attempt,
        Error{ErrorCode::kProtocol,
              "completion reports fewer chunks than were received",
              false,
              {}},
        false, now, out);
    return out;
  }
  EndAttempt(*attempt, false);
  m_answered = true;
  RecordStep(now, TraceKind::kAnswered, attempt);
  out.emplace_back(Answer{event.completion});
  return out;
}

Commands RequestStateMachine::On(const ConnectionLost& event, TimePoint now) {
  Commands out;
  if (m_answered) return out;
  bool has_ended_any = false;
  for (Attempt& attempt : m_attempts) {
    if (attempt.candidate.host != event.host) continue;
    if (attempt.state == State::kEnded) continue;
    if (attempt.state == State::kDisconnected) continue;
    RecordStep(now, TraceKind::kDisconnected, &attempt);
    if (!attempt.started) {
      // If the side granted a reservation, its lease releases it.
      EndAttempt(attempt, true);
      attempt.failed = true;
      has_ended_any = true;
      continue;
    }
    const bool can_retry_elsewhere =
        m_parameters.retryable && m_next_offset == 0;
    attempt.state = State::kDisconnected;
    attempt.give_up_at = now + (can_retry_elsewhere ? m_options.reconnect_grace
                                                    : m_options.resume_window);
  }
  if (has_ended_any && !HasLiveAttempt()) {
    RetryOrConclude(Error{ErrorCode::kConnectionLost,
                          "connection to " + event.host.value() + " lost",
                          false,
                          {}},
                    now, out);
  }
  return out;
}

Commands RequestStateMachine::On(const ConnectionRestored& event,
                                 TimePoint now) {
  Commands out;
  if (m_answered) return out;
  for (Attempt& attempt : m_attempts) {
    if (attempt.candidate.host != event.host) continue;
    if (attempt.state != State::kDisconnected) continue;
    attempt.state = State::kRunning;
    ResumeAttempt(attempt, now, out);
  }
  return out;
}

void RequestStateMachine::ResumeAttempt(Attempt& attempt, TimePoint now,
                                        Commands& out) {
  RecordStep(now, TraceKind::kResumed, &attempt, {},
             "from offset " + std::to_string(m_next_offset));
  out.emplace_back(
      Resume{ToAttemptId(attempt), attempt.candidate.host, m_next_offset});
}

Commands RequestStateMachine::On(const CallerDisconnected&, TimePoint now) {
  Commands out;
  if (m_answered) return out;
  AnswerWithError(
      Error{ErrorCode::kCancelled, "the caller disconnected", false, {}}, now,
      out);
  return out;
}

Commands RequestStateMachine::On(const Tick&, TimePoint now) {
  Commands out;
  if (m_answered) return out;
  if (m_parameters.deadline.Expired(now)) {
    AnswerWithError(Error{ErrorCode::kDeadlineExceeded,
                          "the caller's deadline passed",
                          false,
                          {}},
                    now, out);
    return out;
  }
  if (m_retry_at && now >= *m_retry_at) StartRound(out);
  ExpireConnections(now, out);
  return out;
}

void RequestStateMachine::ExpireConnections(TimePoint now, Commands& out) {
  for (Attempt& attempt : m_attempts) {
    if (attempt.state != State::kDisconnected) continue;
    if (now < attempt.give_up_at) continue;
    CancelAttempt(attempt, ErrorCode::kConnectionLost, now, out);
    HandleAttemptFailure(
        attempt,
        Error{ErrorCode::kConnectionLost,
              "no connection to " + attempt.candidate.host.value(),
              false,
              {}},
        false, now, out);
    return;
  }
}

TimePoint RequestStateMachine::NextTickTime() const {
  TimePoint next_tick = m_parameters.deadline.time_point();
  if (m_retry_at) next_tick = std::min(next_tick, *m_retry_at);
  for (const Attempt& attempt : m_attempts) {
    if (attempt.state == State::kDisconnected) {
      next_tick = std::min(next_tick, attempt.give_up_at);
    }
  }
  return next_tick;
}

}  // namespace peridotshelf::attempts
