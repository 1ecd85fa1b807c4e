/// State machine of one request at its entry: reservations, the running
/// attempt, retries, resumption and the final answer. Takes events, returns
/// commands, and does no I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "peridotshelf/attempts/messages.h"
#include "peridotshelf/attempts/retry_budget.h"
#include "peridotshelf/attempts/trace.h"

namespace peridotshelf::attempts {

/// Limits on the attempts of one request.
struct RequestOptions {
  /// Maximum number of placements.
  int32_t max_rounds = 4;
  /// How long to wait for a lost connection to be restored before a retryable
  /// request, of which the caller has received nothing, is retried elsewhere.
  Duration reconnect_grace = std::chrono::milliseconds(500);
  /// The same for any other request; the side keeps the attempt for this long.
  Duration resume_window = std::chrono::seconds(10);
  BackoffOptions backoff;
  /// Retry-After for a refused caller if no side sent a value.
  Duration default_retry_after = std::chrono::seconds(1);
};

/// Parameters of a request, known at its admission.
struct RequestParameters {
  RequestId request;
  std::string service;
  RequestDeadline deadline;
  /// Whether the request is idempotent.
  bool retryable = true;
  /// Engines reserve memory first; calls to plain services start directly.
  bool needs_reservation = true;
  /// Whether reservations are requested from all candidates at once and the
  /// first grant wins. Otherwise the next candidate is tried after a refusal.
  bool tied = false;
  /// Seed for this request's retry delays.
  uint32_t jitter_seed = 1;
};

/// Number of chunks that were not delivered, by reason.
struct DroppedChunks {
  int64_t wrong_attempt = 0;  ///< Not from the running attempt.
  int64_t late = 0;           ///< After the final answer.
  int64_t duplicate = 0;      ///< Already delivered.
  int64_t gap = 0;            ///< Beyond the next offset; resumed.

  int64_t Total() const { return wrong_attempt + late + duplicate + gap; }
};

/// One request from admission to its final answer. At most one attempt runs
/// at a time. An unrepeatable request is started again only if every earlier
/// attempt is guaranteed not to have run. Not thread-safe.
class RequestStateMachine {
 public:
  /// `retry_budget` is shared by the requests of a service.
  RequestStateMachine(RequestParameters parameters, RequestOptions options,
                      std::shared_ptr<RetryBudget> retry_budget, TimePoint now);

  /// Starts the first round: returns the command to choose candidates.
  Commands Begin(TimePoint now);

  Commands On(const PlacementReply& event, TimePoint now);
  Commands On(const Granted& event, TimePoint now);
  Commands On(const Queued& event, TimePoint now);
  Commands On(const Refused& event, TimePoint now);
  Commands On(ChunkArrived event, TimePoint now);
  Commands On(const Finished& event, TimePoint now);
  Commands On(const Failed& event, TimePoint now);
  Commands On(const ConnectionLost& event, TimePoint now);
  Commands On(const ConnectionRestored& event, TimePoint now);
  Commands On(const CallerDisconnected& event, TimePoint now);
  Commands On(const Tick& event, TimePoint now);

  /// Returns when `Tick` is next due. Undefined once answered.
  TimePoint NextTickTime() const;
  /// Whether the final answer was returned.
  bool answered() const { return m_answered; }
  /// Number of chunks passed to the caller.
  int64_t delivered() const { return m_next_offset; }
  const DroppedChunks& dropped() const { return m_dropped; }
  /// Decisions made so far.
  const RequestTrace& trace() const { return m_trace; }
  /// Adds a step from outside, such as the reason why an engine was chosen.
  void AddTrace(TimePoint now, TraceStep step);

 private:
  enum class State { kReserving, kQueued, kRunning, kDisconnected, kEnded };
  struct Attempt {
    Candidate candidate;
    State state = State::kReserving;
    /// Whether Start was sent; the attempt cannot run before.
    bool started = false;
    bool known_not_run = false;
    /// Refused or failed, as opposed to cancelled because another candidate
    /// granted its reservation first.
    bool failed = false;
    std::optional<Duration> estimated_start;
    /// While disconnected: when the attempt is treated as lost.
    TimePoint give_up_at{};
  };

  Attempt* Find(const AttemptId& id);
  AttemptId ToAttemptId(const Attempt& attempt) const;
  bool HasLiveAttempt() const;
  bool IsKnownNotRun() const;
  bool IsRetrySafe() const;
  Commands HandleEnd(const AttemptId& id, const Error& error, TraceKind kind,
                     TimePoint now);
  void EndAttempt(Attempt& attempt, bool not_run);
  void StartAttempt(Attempt& attempt, int64_t epoch, TimePoint now,
                    Commands& out);
  void CancelAttempt(Attempt& attempt, ErrorCode code, TimePoint now,
                     Commands& out);
  void CancelLive(ErrorCode code, TimePoint now, Commands& out);
  void ResumeAttempt(Attempt& attempt, TimePoint now, Commands& out);
  void HandleAttemptFailure(Attempt& attempt, const Error& error, bool not_run,
                            TimePoint now, Commands& out);
  void RetryOrConclude(const Error& error, TimePoint now, Commands& out);
  std::optional<std::string_view> FindRetryObstacle(const Error& error) const;
  void StartRound(Commands& out);
  void TryCandidate(const Candidate& candidate, TimePoint now, Commands& out);
  bool TryNextCandidate(const Error& error, TimePoint now, Commands& out);
  void FailIfStartTooLate(TimePoint now, Commands& out);
  void ExpireConnections(TimePoint now, Commands& out);
  void AnswerWithError(Error error, TimePoint now, Commands& out);
  bool CountIfUndeliverable(const ChunkArrived& event);
  void RecordStep(TimePoint now, TraceKind kind, const Attempt* attempt,
                  std::optional<ErrorCode> code = {}, std::string detail = {});

  const RequestParameters m_parameters;
  const RequestOptions m_options;
  std::shared_ptr<RetryBudget> m_retry_budget;
  std::minstd_rand m_random;
  std::vector<Attempt> m_attempts;
  /// Candidates of this round that were not tried yet, best last.
  std::vector<Candidate> m_fallbacks;
  /// Index of the last started attempt.
  std::optional<size_t> m_last_started;
  int32_t m_rounds = 0;
  std::optional<TimePoint> m_retry_at;
  bool m_placing = false;
  bool m_answered = false;
  bool m_gap_reported = false;
  int64_t m_next_offset = 0;
  DroppedChunks m_dropped;
  TimePoint m_admitted_at;
  RequestTrace m_trace;
};

}  // namespace peridotshelf::attempts
