#include "peridotshelf/attempts/request_state_machine.h"

#include <algorithm>
#include <utility>

namespace peridotshelf::attempts {
RequestStateMachine::RequestStateMachine(
    RequestParameters plan, RequestOptions options,
    std::shared_ptr<RetryBudget> retry_budget, TimePoint now)
    : m_plan(std::move(plan)),
      m_options(options),
      m_retry_budget(std::move(retry_budget)),
      m_random(m_plan.jitter_seed),
      m_admitted_at(now),
      m_trace{m_plan.request, m_plan.service, {}} {}

Commands RequestStateMachine::Begin(TimePoint) {
  m_retry_budget->NoteFirstAttempt();
  Commands out;
  PlaceAgain(out);
  return out;
}

void RequestStateMachine::PlaceAgain(Commands& out) {
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
    Trace(now, TraceKind::kNoCandidate, nullptr, event.error.code);
    Conclude(event.error, now, out);
    return out;
  }
  // The best is last, so that the next one is taken from the end.
  m_fallbacks.assign(event.candidates.rbegin(), event.candidates.rend());
  do {
    const Candidate candidate = std::move(m_fallbacks.back());
    m_fallbacks.pop_back();
    Ask(candidate, now, out);
  } while (m_plan.tied && m_plan.needs_reservation && !m_fallbacks.empty());
  return out;
}

void RequestStateMachine::Ask(const Candidate& candidate, TimePoint now,
                              Commands& out) {
  m_attempts.push_back(Attempt{candidate, {}, {}, {}, {}, {}, {}});
  Attempt& attempt = m_attempts.back();
  if (!m_plan.needs_reservation) {
    StartAttempt(attempt, 0, now, out);
    return;
  }
  Trace(now, TraceKind::kReserved, &attempt);
  out.emplace_back(
      Reserve{IdOf(attempt), attempt.candidate, m_plan.budget.Remaining(now)});
}

void RequestStateMachine::StartAttempt(Attempt& attempt, int64_t epoch,
                                       TimePoint now, Commands& out) {
  attempt.state = State::kRunning;
  attempt.started = true;
  m_running = static_cast<size_t>(&attempt - m_attempts.data());
  m_gap_reported = false;
  Trace(now, TraceKind::kStarted, &attempt);
  out.emplace_back(Start{IdOf(attempt), attempt.candidate, epoch,
                         m_plan.budget.Remaining(now)});
}

Commands RequestStateMachine::On(const Granted& event, TimePoint now) {
  Commands out;
  Attempt* attempt = Find(event.attempt);
  if (attempt == nullptr || attempt->started) return out;
  const bool wanted =
      !m_answered && attempt->state != State::kEnded &&
      (!m_running || m_attempts[*m_running].state == State::kEnded);
  if (!wanted) {
    CancelAttempt(*attempt, ErrorCode::kCancelled, now, out);
    return out;
  }
  Trace(now, TraceKind::kGranted, attempt);
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
  Trace(now, TraceKind::kQueued, attempt, {},
        "estimated start in " +
            std::to_string(ToMilliseconds(event.estimated_start)) + " ms");
  GiveUpIfHopeless(now, out);
  return out;
}

void RequestStateMachine::GiveUpIfHopeless(TimePoint now, Commands& out) {
  const Duration remaining = m_plan.budget.Remaining(now);
  std::optional<Duration> earliest;
  for (const Attempt& attempt : m_attempts) {
    if (attempt.state == State::kEnded) continue;
    if (attempt.state != State::kQueued) return;
    const Duration start = *attempt.estimated_start;
    earliest = earliest ? std::min(*earliest, start) : start;
  }
  if (!earliest || *earliest < remaining) return;
  Conclude(Error{ErrorCode::kOverloaded, "no start within the caller's time",
                 false, *earliest - remaining},
           now, out);
}

Commands RequestStateMachine::On(const Refused& event, TimePoint now) {
  return Ended(event.attempt, event.error, TraceKind::kRefused, now);
}

Commands RequestStateMachine::On(const Failed& event, TimePoint now) {
  return Ended(event.attempt, event.error, TraceKind::kFailed, now);
}

Commands RequestStateMachine::Ended(const AttemptId& id, const Error& error,
                                    TraceKind kind, TimePoint now) {
  Commands out;
  Attempt* attempt = Find(id);
  if (m_answered || attempt == nullptr) return out;
  // The side remembers the attempt no longer than the request's time.
  const bool not_run = error.not_run && !m_plan.budget.Expired(now);
  if (attempt->state == State::kEnded) {
    // Proof may come after the attempt was given up.
    attempt->proved_not_run |= not_run;
    return out;
  }
  Trace(now, kind, attempt, error.code, error.detail);
  AttemptLost(*attempt, error, not_run, now, out);
  return out;
}

void RequestStateMachine::AttemptLost(Attempt& attempt, const Error& error,
                                      bool not_run, TimePoint now,
                                      Commands& out) {
  EndAttempt(attempt, not_run);
  attempt.failed = true;
  if (!AnyLive()) RetryOrConclude(error, now, out);
}

bool RequestStateMachine::CountUndeliverable(const ChunkArrived& event) {
  if (m_answered) {
    ++m_dropped.late;
    return true;
  }
  Attempt* attempt = Find(event.attempt);
  const bool current = attempt != nullptr && m_running &&
                       attempt == &m_attempts[*m_running] &&
                       attempt->state != State::kEnded;
  if (!current) {
    ++m_dropped.crossed;
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
  if (CountUndeliverable(event)) return out;
  Attempt& attempt = m_attempts[*m_running];
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
  if (m_answered || attempt == nullptr || !m_running ||
      attempt != &m_attempts[*m_running] || attempt->state == State::kEnded) {
    return out;
  }
  if (event.completion.chunks > m_next_offset) {
    if (attempt->state == State::kRunning) ResumeAttempt(*attempt, now, out);
    return out;
  }
  if (event.completion.chunks < m_next_offset) {
    AttemptLost(
        *attempt,
        Error{ErrorCode::kProtocol, "fewer chunks than came", false, {}}, false,
        now, out);
    return out;
  }
  EndAttempt(*attempt, false);
  m_answered = true;
  Trace(now, TraceKind::kAnswered, attempt);
  out.emplace_back(Answer{event.completion});
  return out;
}

Commands RequestStateMachine::On(const ConnectionLost& event, TimePoint now) {
  Commands out;
  if (m_answered) return out;
  bool ended_any = false;
  for (Attempt& attempt : m_attempts) {
    if (attempt.candidate.host != event.host) continue;
    if (attempt.state == State::kEnded) continue;
    if (attempt.state == State::kDisconnected) continue;
    Trace(now, TraceKind::kDisconnected, &attempt);
    if (!attempt.started) {
      // The side's own lease frees what it may have granted.
      EndAttempt(attempt, true);
      attempt.failed = true;
      ended_any = true;
      continue;
    }
    const bool may_go_elsewhere = m_plan.retryable && m_next_offset == 0;
    attempt.state = State::kDisconnected;
    attempt.give_up_at = now + (may_go_elsewhere ? m_options.reconnect_grace
                                                 : m_options.resume_window);
  }
  if (ended_any && !AnyLive()) {
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
  Trace(now, TraceKind::kResumed, &attempt, {},
        "from offset " + std::to_string(m_next_offset));
  out.emplace_back(
      Resume{IdOf(attempt), attempt.candidate.host, m_next_offset});
}

Commands RequestStateMachine::On(const CallerDisconnected&, TimePoint now) {
  Commands out;
  if (m_answered) return out;
  Conclude(Error{ErrorCode::kCancelled, "caller hung up", false, {}}, now, out);
  return out;
}

Commands RequestStateMachine::On(const Tick&, TimePoint now) {
  Commands out;
  if (m_answered) return out;
  if (m_plan.budget.Expired(now)) {
    Conclude(Error{ErrorCode::kDeadlineExceeded,
                   "the caller's time passed",
                   false,
                   {}},
             now, out);
    return out;
  }
  if (m_retry_at && now >= *m_retry_at) PlaceAgain(out);
  ExpireConnections(now, out);
  return out;
}

void RequestStateMachine::ExpireConnections(TimePoint now, Commands& out) {
  for (Attempt& attempt : m_attempts) {
    if (attempt.state != State::kDisconnected) continue;
    if (now < attempt.give_up_at) continue;
    CancelAttempt(attempt, ErrorCode::kConnectionLost, now, out);
    AttemptLost(attempt,
                Error{ErrorCode::kConnectionLost,
                      "no connection to " + attempt.candidate.host.value(),
                      false,
                      {}},
                false, now, out);
    return;
  }
}

TimePoint RequestStateMachine::NextTickTime() const {
  TimePoint wake = m_plan.budget.deadline();
  if (m_retry_at) wake = std::min(wake, *m_retry_at);
  for (const Attempt& attempt : m_attempts) {
    if (attempt.state == State::kDisconnected) {
      wake = std::min(wake, attempt.give_up_at);
    }
  }
  return wake;
}

}  // namespace peridotshelf::attempts
