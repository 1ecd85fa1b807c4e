#include <algorithm>
#include <utility>

#include "peridotshelf/attempts/request_state_machine.h"

namespace peridotshelf::attempts {
namespace {

/// Returns whether a retry at another engine may succeed after this error.
bool MaySucceedElsewhere(ErrorCode code) {
  switch (code) {
    case ErrorCode::kOverloaded:
    case ErrorCode::kNoBackend:
    case ErrorCode::kLeaving:
    case ErrorCode::kNotReady:
    case ErrorCode::kBackendFailed:
    case ErrorCode::kConnectionLost:
    case ErrorCode::kCancelled:
    case ErrorCode::kInternal:
      return true;
    default:
      return false;
  }
}

/// Returns whether the caller may succeed by retrying later.
bool IsWorthRetryingLater(ErrorCode code) {
  return ToHttpStatus(code) == 503 || code == ErrorCode::kTeamLimit ||
         code == ErrorCode::kKeyInUse;
}

/// Returns whether this error leaves it unknown whether the backend server ran
/// the request.
bool LeavesOutcomeUnknown(ErrorCode code) {
  return code == ErrorCode::kConnectionLost ||
         code == ErrorCode::kBackendFailed || code == ErrorCode::kCancelled;
}

}  // namespace

RequestStateMachine::Attempt* RequestStateMachine::Find(const AttemptId& id) {
  if (id.request != m_parameters.request) return nullptr;
  const auto index = static_cast<size_t>(id.number);
  return index < m_attempts.size() ? &m_attempts[index] : nullptr;
}

AttemptId RequestStateMachine::ToAttemptId(const Attempt& attempt) const {
  const auto index = &attempt - m_attempts.data();
  return AttemptId{m_parameters.request, static_cast<int32_t>(index)};
}

bool RequestStateMachine::HasLiveAttempt() const {
  return std::any_of(
      m_attempts.begin(), m_attempts.end(),
      [](const Attempt& attempt) { return attempt.state != State::kEnded; });
}

bool RequestStateMachine::IsKnownNotRun() const {
  return std::all_of(m_attempts.begin(), m_attempts.end(),
                     [](const Attempt& attempt) {
                       return !attempt.started || attempt.known_not_run;
                     });
}

bool RequestStateMachine::IsRetrySafe() const {
  return m_next_offset == 0 && (m_parameters.retryable || IsKnownNotRun());
}

void RequestStateMachine::EndAttempt(Attempt& attempt, bool not_run) {
  attempt.state = State::kEnded;
  attempt.known_not_run = not_run;
}

void RequestStateMachine::CancelAttempt(Attempt& attempt, ErrorCode code,
                                        TimePoint now, Commands& out) {
  RecordStep(now, TraceKind::kCancelled, &attempt, code);
  EndAttempt(attempt, false);
  out.emplace_back(Cancel{ToAttemptId(attempt), attempt.candidate.host, code});
}

void RequestStateMachine::CancelLive(ErrorCode code, TimePoint now,
                                     Commands& out) {
  for (Attempt& attempt : m_attempts) {
    if (attempt.state != State::kEnded) {
      CancelAttempt(attempt, code, now, out);
    }
  }
}

std::optional<std::string_view> RequestStateMachine::FindRetryObstacle(
    const Error& error) const {
  if (m_next_offset > 0) return "the caller has received part of the answer";
  if (!IsRetrySafe()) return "the request may have run and is unrepeatable";
  if (!MaySucceedElsewhere(error.code)) return "another engine cannot help";
  if (m_rounds >= m_options.max_rounds) return "too many placements";
  return std::nullopt;
}

bool RequestStateMachine::TryNextCandidate(const Error& error, TimePoint now,
                                           Commands& out) {
  // Trying the next candidate of a round does not use the retry budget: the
  // number of candidates is limited.
  if (m_fallbacks.empty() || !IsRetrySafe()) return false;
  if (!MaySucceedElsewhere(error.code)) return false;
  const Candidate candidate = std::move(m_fallbacks.back());
  m_fallbacks.pop_back();
  TryCandidate(candidate, now, out);
  return true;
}

void RequestStateMachine::RetryOrConclude(const Error& error, TimePoint now,
                                          Commands& out) {
  if (TryNextCandidate(error, now, out)) return;
  if (const auto obstacle = FindRetryObstacle(error)) {
    RecordStep(now, TraceKind::kRetryForbidden, nullptr, error.code,
               std::string(*obstacle));
    AnswerWithError(error, now, out);
    return;
  }
  const auto delay =
      DrawFullJitterDelay(m_options.backoff, m_rounds - 1,
                          m_parameters.deadline.Remaining(now), m_random);
  // A leaving host refuses every request. Retrying elsewhere only moves its
  // load to other hosts, so this does not use the retry budget.
  const bool is_exempt = error.code == ErrorCode::kLeaving;
  if (!delay || (!is_exempt && !m_retry_budget->TrySpend())) {
    RecordStep(now, TraceKind::kRetryForbidden, nullptr, error.code,
               delay ? "the retry budget is exhausted"
                     : "too little time until the deadline");
    AnswerWithError(error, now, out);
    return;
  }
  m_retry_at = now + *delay;
  RecordStep(now, TraceKind::kRetryPlanned, nullptr, error.code,
             "in " + std::to_string(ToMilliseconds(*delay)) + " ms");
}

void RequestStateMachine::AnswerWithError(Error error, TimePoint now,
                                          Commands& out) {
  CancelLive(error.code, now, out);
  error.not_run = IsKnownNotRun();
  if (!error.not_run && !m_parameters.retryable &&
      LeavesOutcomeUnknown(error.code)) {
    error.detail = "the outcome is unknown: " + error.detail;
    error.code = ErrorCode::kOutcomeUnknown;
  }
  if (!error.retry_after && IsWorthRetryingLater(error.code)) {
    error.retry_after = m_options.default_retry_after;
  }
  m_answered = true;
  m_retry_at.reset();
  RecordStep(now, TraceKind::kAnswered, nullptr, error.code, error.detail);
  out.emplace_back(Answer{tl::unexpected<Error>(std::move(error))});
}

void RequestStateMachine::RecordStep(TimePoint now, TraceKind kind,
                                     const Attempt* attempt,
                                     std::optional<ErrorCode> code,
                                     std::string detail) {
  TraceStep step{now - m_admitted_at, kind, -1, {}, code, std::move(detail)};
  if (attempt != nullptr) {
    step.attempt = ToAttemptId(*attempt).number;
    step.engine = attempt->candidate.engine;
  }
  m_trace.steps.push_back(std::move(step));
}

void RequestStateMachine::AddTrace(TimePoint now, TraceStep step) {
  step.at = now - m_admitted_at;
  m_trace.steps.push_back(std::move(step));
}

}  // namespace peridotshelf::attempts
