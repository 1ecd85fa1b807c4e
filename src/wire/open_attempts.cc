#include "wire/open_attempts.h"

namespace peridotshelf::wire {
namespace {

std::string FormatAttempt(const Attempt& attempt) {
  return attempt.request + "." + std::to_string(attempt.number);
}

}  // namespace

std::optional<AttemptChange> FindAttemptChange(const Frame& frame) {
  constexpr bool kOpens = true;
  if (frame.__isset.reserve) {
    return AttemptChange{FormatAttempt(frame.reserve.attempt), kOpens};
  }
  if (frame.__isset.start) {
    return AttemptChange{FormatAttempt(frame.start.attempt), kOpens};
  }
  if (frame.__isset.service_call) {
    return AttemptChange{FormatAttempt(frame.service_call.attempt), kOpens};
  }
  if (frame.__isset.resume) {
    return AttemptChange{FormatAttempt(frame.resume.attempt), kOpens};
  }
  if (frame.__isset.refused) {
    return AttemptChange{FormatAttempt(frame.refused.attempt), !kOpens};
  }
  if (frame.__isset.finished) {
    return AttemptChange{FormatAttempt(frame.finished.attempt), !kOpens};
  }
  if (frame.__isset.failed) {
    return AttemptChange{FormatAttempt(frame.failed.attempt), !kOpens};
  }
  return std::nullopt;
}

bool OpenAttempts::Apply(const AttemptChange& change) {
  if (!change.opens) {
    m_open.erase(change.attempt);
    return false;
  }
  const bool was_idle = m_open.empty();
  m_open.insert(change.attempt);
  return was_idle;
}

}  // namespace peridotshelf::wire
