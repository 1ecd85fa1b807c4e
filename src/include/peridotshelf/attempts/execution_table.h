/// A side's record of the attempts at its backend servers: which were started,
/// their answers, and the connection that receives each answer. Does no I/O
/// and reads no clock.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "peridotshelf/attempts/messages.h"

namespace peridotshelf::attempts {

/// Identifies a connection from an entry. Numbers are not reused.
using ConnectionId = uint64_t;

/// Retention periods of the execution table.
struct ExecutionOptions {
  /// How long an attempt continues without a connection that receives it.
  Duration lease = std::chrono::seconds(10);
  /// Upper bound on the timeout of any request. The cancellation of an unknown
  /// attempt is remembered for this long.
  Duration max_request_timeout = std::chrono::minutes(10);
  /// How long a complete answer is kept for an entry that resumes the stream.
  Duration answer_retention = std::chrono::seconds(10);
};

/// Decision on a Start.
enum class StartDecision {
  kRun,       ///< Run the attempt now.
  kDuplicate  ///< The attempt was started before; ignore the Start.
};

/// Reply to a Resume.
struct ResumeReply {
  /// Offset of the first chunk in `chunks`.
  int64_t from_offset = 0;
  std::vector<std::string> chunks;
  /// Set once the attempt has ended.
  std::optional<Result<Completion>> outcome;
  /// The attempt was started by an earlier incarnation of the side: fetch its
  /// chunks from the engine, beginning at `from_offset`.
  bool ask_engine = false;
  /// The attempt was not started and never will be: release its allocation.
  bool release_allocation = false;
};

/// Actions that a Cancel requires from the side.
struct CancelReply {
  /// The backend server may be running the attempt.
  bool cancel_at_backend = false;
  /// The attempt's reservation or queue entry must be released.
  bool release_allocation = false;
  /// Error for the entry; `not_run` is set if the attempt was never started.
  Error error{ErrorCode::kCancelled, {}, false, {}};
};

/// An attempt whose lease expired without a connection from an entry.
struct ExpiredAttempt {
  AttemptId attempt;
  bool cancel_at_backend = false;
};

/// The attempts at one side. An attempt starts at most once, and never after
/// it was cancelled or its lease expired. Not thread-safe.
class ExecutionTable {
 public:
  /// `epoch` identifies this incarnation of the side and increases with each
  /// restart.
  explicit ExecutionTable(int64_t epoch, ExecutionOptions options = {})
      : m_epoch(epoch), m_options(options) {}

  /// Records an attempt on receipt of a Reserve from a request with
  /// `remaining` time to its deadline. Fails if the attempt is already known or
  /// was cancelled. The attempt is remembered until the request's deadline;
  /// after that, entries do not rely on `not_run`.
  Result<void> Admit(const AttemptId& attempt, ConnectionId connection,
                     Duration remaining, TimePoint now);
  /// Handles a Start. Runs only an attempt that this incarnation admitted.
  Result<StartDecision> Start(const AttemptId& attempt, int64_t epoch);
  /// Admits and starts an attempt that needs no reservation.
  Result<StartDecision> AdmitAndStart(const AttemptId& attempt,
                                      ConnectionId connection,
                                      Duration remaining, TimePoint now);
  /// Stores the chunk that the backend server sent at `offset`. Returns the
  /// connection to forward it to, or nothing if no connection receives the
  /// attempt or the chunk is not the next one.
  std::optional<ConnectionId> Append(const AttemptId& attempt, int64_t offset,
                                     std::string data);
  /// Stores the attempt's outcome. Returns the connection to notify, or nothing
  /// if no connection receives the attempt or it had already ended.
  std::optional<ConnectionId> Finish(const AttemptId& attempt,
                                     Result<Completion> outcome, TimePoint now);
  /// Returns the chunks from `from_offset` on and forwards later ones to
  /// `connection`. `same_incarnation`: the Start was sent to this process.
  ResumeReply Resume(const AttemptId& attempt, int64_t from_offset,
                     ConnectionId connection, bool same_incarnation,
                     TimePoint now);
  /// Ends an attempt. An unknown attempt is recorded too, so that it never
  /// starts. Without `same_incarnation` the Start may have reached an earlier
  /// process, so `not_run` is not set for an unknown attempt.
  CancelReply Cancel(const AttemptId& attempt, ErrorCode code, TimePoint now,
                     bool same_incarnation = true);
  /// Returns the connection that receives the attempt, if any.
  std::optional<ConnectionId> FindConnection(const AttemptId& attempt) const;
  /// Removes a closed connection and starts the leases of its attempts.
  void Detach(ConnectionId connection, TimePoint now);
  /// Adds the attempts that the engine still runs after a restart of the side.
  /// Each expires after one lease unless its entry resumes it.
  void Recover(std::span<const AttemptId> running, TimePoint now);
  /// Cancels attempts whose lease has expired, and removes old answers and
  /// records.
  std::vector<ExpiredAttempt> Tick(TimePoint now);

  int64_t epoch() const { return m_epoch; }
  /// Number of attempts admitted or running.
  size_t live() const { return m_live; }
  /// Bytes of buffered answers.
  size_t buffered_bytes() const { return m_buffered_bytes; }
  /// Number of attempts remembered, including ended ones.
  size_t size() const { return m_records.size(); }

 private:
  enum class State { kAdmitted, kRunning, kEnded };
  struct Record {
    State state = State::kAdmitted;
    bool started = false;
    std::optional<ConnectionId> connection;
    /// End of the lease, while there is no connection.
    TimePoint lease_end{};
    /// The record is removed at this time if the attempt has ended.
    TimePoint request_end{};
    /// Offset of the first buffered chunk.
    int64_t first_offset = 0;
    std::vector<std::string> chunks;
    bool is_from_earlier_incarnation = false;
    std::optional<Result<Completion>> outcome;
  };
  struct Expiry {
    TimePoint at;
    AttemptId attempt;
  };

  void End(const AttemptId& attempt, Record& record, Result<Completion> outcome,
           TimePoint now);
  void DropChunks(Record& record);
  ResumeReply ResumeUnknown(const AttemptId& attempt, bool same_incarnation,
                            TimePoint now);
  void RemoveExpired(TimePoint now);

  const int64_t m_epoch;
  const ExecutionOptions m_options;
  std::unordered_map<AttemptId, Record> m_records;
  /// Live attempts without a connection.
  std::unordered_set<AttemptId> m_detached;
  /// Ended attempts by the time their answer is removed.
  std::deque<Expiry> m_answer_expiries;
  /// Ended attempts by the time their record is removed.
  std::multimap<TimePoint, AttemptId> m_record_expiries;
  size_t m_live = 0;
  size_t m_buffered_bytes = 0;
};

}  // namespace peridotshelf::attempts
