/// The idempotency keys that a side owns. Each unrepeatable call runs at most
/// once, however often its caller retries it and through any entry.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "peridotshelf/attempts/messages.h"

namespace peridotshelf::attempts {

/// Retention, clock and size limits of an idempotency table.
struct IdempotencyOptions {
  /// How long after its issue a key may be retried.
  Duration retry_window = std::chrono::minutes(10);
  /// Maximum difference between a caller's wall clock and this host's.
  Duration clock_skew = std::chrono::seconds(2);
  size_t max_keys = 200'000;
  /// Larger answers are not kept for retried calls.
  size_t max_answer_bytes = size_t{256} << 10;
};

/// A call as the key owner sees it.
struct IdempotentCall {
  /// Unique across services and teams.
  std::string key;
  /// Hash of the call's content; a key must not be used for another call.
  uint64_t fingerprint = 0;
  /// Caller's wall clock; the same in each retried call.
  std::optional<int64_t> issued_at_ms;
  AttemptId attempt;
};

/// A complete answer, kept for retried calls.
struct StoredAnswer {
  Completion completion;
  std::vector<std::string> chunks;
};
using StoredAnswerPtr = std::shared_ptr<const StoredAnswer>;

/// Result of a claim: null to run the call, or the stored answer to return.
/// Errors: kKeyInUse, kOutcomeUnknown, kKeyExpired; kInvalidField if the key
/// was used for another call or its issue time is in the future; kOverloaded
/// if the table is full. `not_run` applies to this call only, not to earlier
/// ones with the same key.
using ClaimResult = Result<StoredAnswerPtr>;

/// Remembers keys from their claim until they can no longer be retried. The
/// table has no record of keys used before it was created, so it refuses keys
/// that may have been used then. Not thread-safe.
class IdempotencyTable {
 public:
  /// `start_wall_ms` is the wall clock at `start`. It is read only here, so
  /// later adjustments of the wall clock have no effect.
  IdempotencyTable(IdempotencyOptions options, TimePoint start,
                   int64_t start_wall_ms)
      : m_options(options), m_start(start), m_start_wall_ms(start_wall_ms) {}

  /// Claims the call's key. `since`: when this side became the key's owner.
  ClaimResult Claim(const IdempotentCall& call, TimePoint since, TimePoint now);
  /// Stores the answer of the claimed call.
  void Finish(const std::string& key, StoredAnswer answer);
  /// Records that the claimed call may have run; retried calls fail with
  /// kOutcomeUnknown.
  void MarkUnknown(const std::string& key);
  /// Frees the key of a claimed call that is guaranteed not to have run.
  void Release(const std::string& key, const AttemptId& attempt);
  /// Removes keys that can no longer be retried.
  void Tick(TimePoint now);

  size_t size() const { return m_records.size(); }

 private:
  enum class State { kRunning, kFinished, kUnknown };
  struct Record {
    State state = State::kRunning;
    uint64_t fingerprint = 0;
    std::optional<int64_t> issued_at_ms;
    AttemptId attempt;
    /// Null if the answer was too large to keep.
    StoredAnswerPtr answer;
    TimePoint expires{};
  };

  void SetExpiry(Record& record, const std::string& key, TimePoint at);
  int64_t ToWallMs(TimePoint time) const;
  ClaimResult CheckKnownKey(const Record& record,
                            const IdempotentCall& call) const;
  std::optional<Error> FindNewKeyError(const IdempotentCall& call,
                                       TimePoint since, TimePoint now) const;

  const IdempotencyOptions m_options;
  const TimePoint m_start;
  const int64_t m_start_wall_ms;
  std::unordered_map<std::string, Record> m_records;
  std::multimap<TimePoint, std::string> m_expiries;
};

}  // namespace peridotshelf::attempts
