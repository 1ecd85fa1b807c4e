/// The keys that a home side answers for: each unrepeatable call runs at most
/// once, however often and through whichever entry its caller repeats it.
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

/// How long keys are remembered and how far clocks may differ.
struct IdempotencyOptions {
  /// How long after its issue a key may be repeated.
  Duration retry_window = std::chrono::minutes(10);
  /// The most by which a caller's wall clock and this host's may differ.
  Duration clock_skew = std::chrono::seconds(2);
  size_t max_keys = 200'000;
  /// Larger answers are not kept for repeats.
  size_t max_answer_bytes = size_t{256} << 10;
};

/// One call as its home judges it.
struct IdempotentCall {
  /// Unique over services and teams.
  std::string key;
  /// Hash of what is to be done; a key names one call only.
  uint64_t fingerprint = 0;
  /// By the caller's wall clock; the same in each repeat.
  std::optional<int64_t> issued_at_ms;
  AttemptId attempt;
};

/// A finished answer, kept for repeats.
struct StoredAnswer {
  Completion completion;
  std::vector<std::string> chunks;
};
using StoredAnswerPtr = std::shared_ptr<const StoredAnswer>;

/// What becomes of a call: run it (null), or repeat this answer. Errors:
/// kKeyInUse, kOutcomeUnknown, kKeyExpired; kBadField for a key that names
/// another call or comes from the future; kOverloaded when the table is full.
/// `not_run` speaks of this call alone.
using ClaimResult = Result<StoredAnswerPtr>;

/// Remembers keys from their claim until they can no longer be repeated. A
/// table knows nothing from before its own start, so it refuses keys that may
/// have been used then. Not thread-safe.
class IdempotencyTable {
 public:
  /// `start_wall_ms`: the wall clock at `start`, read once; later steps of the
  /// wall clock have no effect.
  IdempotencyTable(IdempotencyOptions options, TimePoint start,
                   int64_t start_wall_ms)
      : m_options(options), m_start(start), m_start_wall_ms(start_wall_ms) {}

  /// Judges a call; `since` is from when on this side answers for the key.
  ClaimResult Claim(const IdempotentCall& call, TimePoint since, TimePoint now);
  /// The claimed call was answered.
  void Finish(const std::string& key, StoredAnswer answer);
  /// The claimed call may have run; repeats are told so.
  void MarkUnknown(const std::string& key);
  /// The claimed call is proved not to have run: the key is free again.
  void Release(const std::string& key, const AttemptId& attempt);
  /// Forgets keys that can no longer be repeated.
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

  void ExpireAt(Record& record, const std::string& key, TimePoint at);
  int64_t WallAt(TimePoint time) const;
  ClaimResult JudgeKnown(const Record& record,
                         const IdempotentCall& call) const;
  std::optional<Error> WhyNotNew(const IdempotentCall& call, TimePoint since,
                                 TimePoint now) const;

  const IdempotencyOptions m_options;
  const TimePoint m_start;
  const int64_t m_start_wall_ms;
  std::unordered_map<std::string, Record> m_records;
  std::multimap<TimePoint, std::string> m_expiries;
};

}  // namespace peridotshelf::attempts
