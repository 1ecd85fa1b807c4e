#include "peridotshelf/attempts/idempotency_table.h"

#include <algorithm>
#include <utility>

namespace peridotshelf::attempts {
namespace {

constexpr Duration kRetryAfter = std::chrono::seconds(1);

tl::unexpected<Error> Refuse(ErrorCode code, std::string detail,
                             std::optional<Duration> retry_after = {}) {
  return tl::unexpected<Error>(
      Error{code, std::move(detail), false, retry_after});
}

}  // namespace

int64_t IdempotencyTable::ToWallMs(TimePoint time) const {
  return m_start_wall_ms + ToMilliseconds(time - m_start);
}

ClaimResult IdempotencyTable::Claim(const IdempotentCall& call, TimePoint since,
                                    TimePoint now) {
  auto existing = m_records.find(call.key);
  if (existing != m_records.end()) return CheckKnownKey(existing->second, call);
  if (std::optional<Error> error = FindNewKeyError(call, since, now)) {
    return tl::unexpected<Error>(std::move(*error));
  }
  if (m_records.size() >= m_options.max_keys) {
    return tl::unexpected<Error>(
        Error{ErrorCode::kOverloaded, "too many keys", true, kRetryAfter});
  }
  Record record;
  record.fingerprint = call.fingerprint;
  record.issued_at_ms = call.issued_at_ms;
  record.attempt = call.attempt;
  // Without a record, a retried call would run again until its issue time plus
  // the retry window. With the maximum clock skew in both directions, that is
  // this long after now.
  const TimePoint expires =
      now + m_options.retry_window + 2 * m_options.clock_skew;
  SetExpiry(m_records.emplace(call.key, std::move(record)).first->second,
            call.key, expires);
  return StoredAnswerPtr();
}

void IdempotencyTable::SetExpiry(Record& record, const std::string& key,
                                 TimePoint at) {
  record.expires = at;
  m_expiries.emplace(at, key);
}

ClaimResult IdempotencyTable::CheckKnownKey(const Record& record,
                                            const IdempotentCall& call) const {
  if (record.fingerprint != call.fingerprint ||
      record.issued_at_ms != call.issued_at_ms) {
    return tl::unexpected<Error>(
        Error{ErrorCode::kInvalidField,
              "Idempotency-Key was already used for another call",
              true,
              {}});
  }
  switch (record.state) {
    case State::kRunning:
      return Refuse(ErrorCode::kKeyInUse,
                    "the first call with this key is still running",
                    kRetryAfter);
    case State::kUnknown:
      return Refuse(ErrorCode::kOutcomeUnknown,
                    "it is unknown whether the first call with this key ran");
    case State::kFinished:
      break;
  }
  if (record.answer == nullptr) {
    return Refuse(
        ErrorCode::kOutcomeUnknown,
        "the first call with this key ran, but its answer was not kept");
  }
  return record.answer;
}

std::optional<Error> IdempotencyTable::FindNewKeyError(
    const IdempotentCall& call, TimePoint since, TimePoint now) const {
  if (!call.issued_at_ms) {
    if (now - since >= m_options.retry_window) return std::nullopt;
    return Error{ErrorCode::kOutcomeUnknown,
                 "a key without Peridotshelf-Issued-At may have been used "
                 "before this side started to record keys",
                 false,
                 {}};
  }
  const int64_t issued = *call.issued_at_ms;
  const int64_t skew = ToMilliseconds(m_options.clock_skew);
  if (issued > ToWallMs(now) + skew) {
    return Error{ErrorCode::kInvalidField,
                 "Peridotshelf-Issued-At is in the future",
                 true,
                 {}};
  }
  if (issued + ToMilliseconds(m_options.retry_window) <= ToWallMs(now) - skew) {
    return Error{ErrorCode::kKeyExpired, "the key has expired", false, {}};
  }
  if (issued <= ToWallMs(since) + skew) {
    return Error{ErrorCode::kOutcomeUnknown,
                 "the key may have been used before this side started to "
                 "record keys",
                 false,
                 {}};
  }
  return std::nullopt;
}

void IdempotencyTable::Finish(const std::string& key, StoredAnswer answer) {
  auto it = m_records.find(key);
  if (it == m_records.end()) return;
  it->second.state = State::kFinished;
  size_t bytes = 0;
  for (const std::string& chunk : answer.chunks) bytes += chunk.size();
  if (bytes > m_options.max_answer_bytes) return;
  it->second.answer = std::make_shared<StoredAnswer>(std::move(answer));
}

void IdempotencyTable::MarkUnknown(const std::string& key) {
  auto it = m_records.find(key);
  if (it == m_records.end() || it->second.state != State::kRunning) return;
  it->second.state = State::kUnknown;
}

void IdempotencyTable::Release(const std::string& key,
                               const AttemptId& attempt) {
  auto it = m_records.find(key);
  if (it == m_records.end() || it->second.state != State::kRunning) return;
  if (it->second.attempt == attempt) m_records.erase(it);
}

void IdempotencyTable::Tick(TimePoint now) {
  while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
    const std::string key = std::move(m_expiries.begin()->second);
    m_expiries.erase(m_expiries.begin());
    auto it = m_records.find(key);
    // A key that was released and claimed again has a later expiry.
    if (it == m_records.end() || it->second.expires > now) continue;
    if (it->second.state == State::kRunning) {
      // The call has no outcome yet, and a retried call must not run
      // concurrently.
      SetExpiry(it->second, key, now + m_options.retry_window);
      continue;
    }
    m_records.erase(it);
  }
}

}  // namespace peridotshelf::attempts
