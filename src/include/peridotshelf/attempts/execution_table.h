/// What a side knows of the attempts at its backend servers: which were
/// started, what they answered and who receives it. Pure: no I/O, no clock.
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

/// One connection from an entry; a new one gets a new number.
using ConnectionId = uint64_t;

/// How long things are kept.
struct ExecutionOptions {
  /// How long an attempt goes on while no connection receives it.
  Duration lease = std::chrono::seconds(10);
  /// The longest window of any request: how long the cancellation of an
  /// attempt that was never heard of is remembered.
  Duration longest_window = std::chrono::minutes(10);
  /// How long a whole answer is kept for an entry that asks for it again.
  Duration answer_linger = std::chrono::seconds(10);
};

/// What becomes of a Start.
enum class StartDecision {
  kRun,       ///< Run it now.
  kDuplicate  ///< It was started before; nothing is to be done.
};

/// What a Resume is answered with.
struct ResumeReply {
  /// The first chunk's offset.
  int64_t from_offset = 0;
  std::vector<std::string> chunks;
  /// How the attempt ended, if it has.
  std::optional<Result<Completion>> outcome;
  /// The attempt ran under an earlier process; ask the engine for its chunks
  /// from `from_offset` on.
  bool ask_engine = false;
  /// The attempt had not started and never will: free what it holds.
  bool release_allocation = false;
};

/// What a Cancel requires of the side.
struct CancelReply {
  /// The backend server may be at work on it.
  bool cancel_at_backend = false;
  /// A reservation or a place in the queue is to be released.
  bool release_allocation = false;
  /// What the entry is told; `not_run` if it never was started.
  Error error{ErrorCode::kCancelled, {}, false, {}};
};

/// An attempt that no entry has claimed within the lease.
struct ExpiredAttempt {
  AttemptId attempt;
  bool cancel_at_backend = false;
};

/// The attempts at one side. An attempt starts at most once; after Cancel or
/// a lapse it never starts. Not thread-safe.
class ExecutionTable {
 public:
  /// `epoch` numbers this incarnation of the side; it grows at each restart.
  explicit ExecutionTable(int64_t epoch, ExecutionOptions options = {})
      : m_epoch(epoch), m_options(options) {}

  /// A Reserve came from a request with `remaining` time. Fails if the attempt
  /// was cancelled before, or is known. The attempt is remembered until the
  /// request's end; an entry trusts no proof of not-run after that.
  Result<void> Admit(const AttemptId& attempt, ConnectionId connection,
                     Duration remaining, TimePoint now);
  /// A Start came. Only an admitted attempt of this incarnation runs.
  Result<StartDecision> Start(const AttemptId& attempt, int64_t epoch);
  /// A call without reservation came: admitted and started in one step.
  Result<StartDecision> AdmitAndStart(const AttemptId& attempt,
                                      ConnectionId connection,
                                      Duration remaining, TimePoint now);
  /// The backend server sent the chunk at `offset`. Yields the connection to
  /// send it to; nothing if none receives it or it came before.
  std::optional<ConnectionId> Append(const AttemptId& attempt, int64_t offset,
                                     std::string data);
  /// The attempt ended. Yields the connection to tell; nothing if none
  /// receives it, or it had ended before.
  std::optional<ConnectionId> Finish(const AttemptId& attempt,
                                     Result<Completion> outcome, TimePoint now);
  /// An entry asks for the chunks from an offset on. `same_incarnation`: its
  /// Start was sent to this process.
  ResumeReply Resume(const AttemptId& attempt, int64_t from_offset,
                     ConnectionId connection, bool same_incarnation,
                     TimePoint now);
  /// Ends an attempt; also one not heard of yet, which then never starts.
  /// Without `same_incarnation` its Start may have gone to an earlier process,
  /// so that for an unknown one there is no proof.
  CancelReply Cancel(const AttemptId& attempt, ErrorCode code, TimePoint now,
                     bool same_incarnation = true);
  /// The connection that receives the attempt, if any.
  std::optional<ConnectionId> FindConnection(const AttemptId& attempt) const;
  /// The connection ended: its attempts' leases begin to run.
  void Detach(ConnectionId connection, TimePoint now);
  /// After a restart: attempts that the engine still runs. They await their
  /// entries for one lease.
  void Recover(std::span<const AttemptId> running, TimePoint now);
  /// Ends attempts whose lease has lapsed and forgets what is too old.
  std::vector<ExpiredAttempt> Tick(TimePoint now);

  int64_t epoch() const { return m_epoch; }
  /// Attempts admitted or running.
  size_t live() const { return m_live; }
  /// Bytes of answers kept.
  size_t buffered_bytes() const { return m_buffered_bytes; }
  /// All attempts remembered, ended ones included.
  size_t size() const { return m_records.size(); }

 private:
  enum class State { kAdmitted, kRunning, kEnded };
  struct Record {
    State state = State::kAdmitted;
    bool started = false;
    std::optional<ConnectionId> connection;
    /// Without a connection: when the lease ends.
    TimePoint lease_end{};
    /// When it is forgotten, if it has ended by then.
    TimePoint request_end{};
    /// The offset of the first chunk kept.
    int64_t first_offset = 0;
    std::vector<std::string> chunks;
    bool from_earlier_incarnation = false;
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
  void ForgetOld(TimePoint now);

  const int64_t m_epoch;
  const ExecutionOptions m_options;
  std::unordered_map<AttemptId, Record> m_records;
  /// Live attempts without a connection.
  std::unordered_set<AttemptId> m_detached;
  /// Ended attempts by the time their answer goes.
  std::deque<Expiry> m_answer_expiries;
  /// Ended attempts by the time they are forgotten.
  std::multimap<TimePoint, AttemptId> m_record_expiries;
  size_t m_live = 0;
  size_t m_buffered_bytes = 0;
};

}  // namespace peridotshelf::attempts
