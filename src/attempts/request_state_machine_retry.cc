#include <algorithm>
#include <utility>

#include "peridotshelf/attempts/request_state_machine.h"

namespace peridotshelf::attempts {
namespace {

/// Whether another engine may fare better than the one that failed so.
bool MayFareBetterElsewhere(ErrorCode code) {
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

/// Whether the caller may do better by coming back later.
bool WorthComingBack(ErrorCode code) {
  return HttpStatus(code) == 503 || code == ErrorCode::kTeamLimit ||
         code == ErrorCode::kKeyInUse;
}

/// Whether the failure leaves open if the backend server did the work.
bool HidesOutcome(ErrorCode code) {
  return code == ErrorCode::kConnectionLost ||
         code == ErrorCode::kBackendFailed || code == ErrorCode::kCancelled;
}

}  // namespace

RequestStateMachine::Attempt* RequestStateMachine::Find(const AttemptId& id) {
  if (id.request != m_plan.request) return nullptr;
  const auto index = static_cast<size_t>(id.number);
  return index < m_attempts.size() ? &m_attempts[index] : nullptr;
}

AttemptId RequestStateMachine::IdOf(const Attempt& attempt) const {
  const auto index = &attempt - m_attempts.data();
  return AttemptId{m_plan.request, static_cast<int32_t>(index)};
}

bool RequestStateMachine::AnyLive() const {
  return std::any_of(
      m_attempts.begin(), m_attempts.end(),
      [](const Attempt& attempt) { return attempt.state != State::kEnded; });
}

bool RequestStateMachine::NotRunProved() const {
  return std::all_of(m_attempts.begin(), m_attempts.end(),
                     [](const Attempt& attempt) {
                       return !attempt.started || attempt.proved_not_run;
                     });
}

bool RequestStateMachine::RetryIsSafe() const {
  return m_next_offset == 0 && (m_plan.retryable || NotRunProved());
}

void RequestStateMachine::EndAttempt(Attempt& attempt, bool not_run) {
  attempt.state = State::kEnded;
  attempt.proved_not_run = not_run;
}

void RequestStateMachine::CancelAttempt(Attempt& attempt, ErrorCode code,
                                        TimePoint now, Commands& out) {
  Trace(now, TraceKind::kCancelled, &attempt, code);
  EndAttempt(attempt, false);
  out.emplace_back(Cancel{IdOf(attempt), attempt.candidate.host, code});
}

void RequestStateMachine::CancelLive(ErrorCode code, TimePoint now,
                                     Commands& out) {
  for (Attempt& attempt : m_attempts) {
    if (attempt.state != State::kEnded) {
      CancelAttempt(attempt, code, now, out);
    }
  }
}

std::optional<std::string_view> RequestStateMachine::WhyNoRetry(
    const Error& error) const {
  if (m_next_offset > 0) return "the caller has part of the answer";
  if (!RetryIsSafe()) return "it may have run and may not be repeated";
  if (!MayFareBetterElsewhere(error.code)) return "no engine would fare better";
  if (m_rounds >= m_options.max_rounds) return "too many rounds";
  return std::nullopt;
}

bool RequestStateMachine::AskNext(const Error& error, TimePoint now,
                                  Commands& out) {
  // A second choice of the same round draws on no budget: it bounds itself.
  if (m_fallbacks.empty() || !RetryIsSafe()) return false;
  if (!MayFareBetterElsewhere(error.code)) return false;
  const Candidate candidate = std::move(m_fallbacks.back());
  m_fallbacks.pop_back();
  Ask(candidate, now, out);
  return true;
}

void RequestStateMachine::RetryOrConclude(const Error& error, TimePoint now,
                                          Commands& out) {
  if (AskNext(error, now, out)) return;
  if (const auto why = WhyNoRetry(error)) {
    Trace(now, TraceKind::kRetryForbidden, nullptr, error.code,
          std::string(*why));
    Conclude(error, now, out);
    return;
  }
  const auto delay = DrawFullJitterDelay(
      m_options.backoff, m_rounds - 1, m_plan.budget.Remaining(now), m_random);
  // A host that leaves refuses everything; moving on adds no load to others
  // beyond what it had, so it does not draw on the budget.
  const bool free = error.code == ErrorCode::kLeaving;
  if (!delay || (!free && !m_retry_budget->TrySpend())) {
    Trace(now, TraceKind::kRetryForbidden, nullptr, error.code,
          delay ? "the retry budget is spent" : "too little time is left");
    Conclude(error, now, out);
    return;
  }
  m_retry_at = now + *delay;
  Trace(now, TraceKind::kRetryPlanned, nullptr, error.code,
        "in " + std::to_string(ToMilliseconds(*delay)) + " ms");
}

void RequestStateMachine::Conclude(Error error, TimePoint now, Commands& out) {
  CancelLive(error.code, now, out);
  error.not_run = NotRunProved();
  if (!error.not_run && !m_plan.retryable && HidesOutcome(error.code)) {
    error.detail = "the outcome is unknown: " + error.detail;
    error.code = ErrorCode::kOutcomeUnknown;
  }
  if (!error.retry_after && WorthComingBack(error.code)) {
    error.retry_after = m_options.default_retry_after;
  }
  m_answered = true;
  m_retry_at.reset();
  Trace(now, TraceKind::kAnswered, nullptr, error.code, error.detail);
  out.emplace_back(Answer{tl::unexpected<Error>(std::move(error))});
}

void RequestStateMachine::Trace(TimePoint now, TraceKind kind,
                                const Attempt* attempt,
                                std::optional<ErrorCode> code,
                                std::string detail) {
  TraceStep step{now - m_admitted_at, kind, -1, {}, code, std::move(detail)};
  if (attempt != nullptr) {
    step.attempt = IdOf(*attempt).number;
    step.engine = attempt->candidate.engine;
  }
  m_trace.steps.push_back(std::move(step));
}

void RequestStateMachine::AddTrace(TimePoint now, TraceStep step) {
  step.at = now - m_admitted_at;
  m_trace.steps.push_back(std::move(step));
}

}  // namespace peridotshelf::attempts
