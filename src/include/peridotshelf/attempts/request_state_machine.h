/// The life of one request at its entry: reservations, the running attempt,
/// retries, resumption and the final answer. Pure: events in, commands out.
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

/// Limits of one request's life.
struct RequestOptions {
  /// Times that candidates are chosen.
  int32_t max_rounds = 4;
  /// How long a lost connection may take to come back before a request that
  /// may be repeated, and of which the caller has nothing, goes elsewhere.
  Duration reconnect_grace = std::chrono::milliseconds(500);
  /// The same for any other request; the side keeps the attempt as long.
  Duration resume_window = std::chrono::seconds(10);
  BackoffOptions backoff;
  /// What a refused caller is told when no side named a time.
  Duration default_retry_after = std::chrono::seconds(1);
};

/// What is known of a request at its admission.
struct RequestParameters {
  RequestId request;
  std::string service;
  RequestDeadline budget;
  /// Whether running it twice does no harm.
  bool retryable = true;
  /// Engines grant memory first; plain services are started at once.
  bool needs_reservation = true;
  /// Whether all candidates are asked at once, and the first grant wins;
  /// otherwise the next one is asked when one refuses.
  bool tied = false;
  /// Seeds the delays of this request.
  uint32_t jitter_seed = 1;
};

/// Chunks that were not delivered, by reason.
struct DroppedChunks {
  int64_t crossed = 0;    ///< Not of the running attempt.
  int64_t late = 0;       ///< After the final answer.
  int64_t duplicate = 0;  ///< Delivered before.
  int64_t gap = 0;        ///< Beyond the next one; asked for again.

  int64_t Total() const { return crossed + late + duplicate + gap; }
};

/// One request from admission to its final answer. At most one attempt runs
/// at a time; an unrepeatable request is started again only when every
/// earlier start is proved not to have run. Not thread-safe.
class RequestStateMachine {
 public:
  /// `retry_budget` is the service's.
  RequestStateMachine(RequestParameters plan, RequestOptions options,
                      std::shared_ptr<RetryBudget> retry_budget, TimePoint now);

  /// The first command: choose candidates.
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

  /// When `Tick` is next due; meaningless once answered.
  TimePoint NextTickTime() const;
  /// Whether the final answer was given.
  bool answered() const { return m_answered; }
  /// Chunks passed to the caller.
  int64_t delivered() const { return m_next_offset; }
  const DroppedChunks& dropped() const { return m_dropped; }
  /// What was decided so far.
  const RequestTrace& trace() const { return m_trace; }
  /// Lets the process around add why an engine was chosen.
  void AddTrace(TimePoint now, TraceStep step);

 private:
  enum class State { kReserving, kQueued, kRunning, kDisconnected, kEnded };
  struct Attempt {
    Candidate candidate;
    State state = State::kReserving;
    /// Start was sent; without it the attempt cannot run.
    bool started = false;
    bool proved_not_run = false;
    /// It was refused or failed, as opposed to being cancelled as a loser.
    bool failed = false;
    std::optional<Duration> estimated_start;
    /// When a lost connection is given up.
    TimePoint give_up_at{};
  };

  Attempt* Find(const AttemptId& id);
  AttemptId IdOf(const Attempt& attempt) const;
  bool AnyLive() const;
  bool NotRunProved() const;
  bool RetryIsSafe() const;
  Commands Ended(const AttemptId& id, const Error& error, TraceKind kind,
                 TimePoint now);
  void EndAttempt(Attempt& attempt, bool not_run);
  void StartAttempt(Attempt& attempt, int64_t epoch, TimePoint now,
                    Commands& out);
  void CancelAttempt(Attempt& attempt, ErrorCode code, TimePoint now,
                     Commands& out);
  void CancelLive(ErrorCode code, TimePoint now, Commands& out);
  void ResumeAttempt(Attempt& attempt, TimePoint now, Commands& out);
  void AttemptLost(Attempt& attempt, const Error& error, bool not_run,
                   TimePoint now, Commands& out);
  void RetryOrConclude(const Error& error, TimePoint now, Commands& out);
  std::optional<std::string_view> WhyNoRetry(const Error& error) const;
  void PlaceAgain(Commands& out);
  void Ask(const Candidate& candidate, TimePoint now, Commands& out);
  bool AskNext(const Error& error, TimePoint now, Commands& out);
  void GiveUpIfHopeless(TimePoint now, Commands& out);
  void ExpireConnections(TimePoint now, Commands& out);
  void Conclude(Error error, TimePoint now, Commands& out);
  bool CountUndeliverable(const ChunkArrived& event);
  void Trace(TimePoint now, TraceKind kind, const Attempt* attempt,
             std::optional<ErrorCode> code = {}, std::string detail = {});

  const RequestParameters m_plan;
  const RequestOptions m_options;
  std::shared_ptr<RetryBudget> m_retry_budget;
  std::minstd_rand m_random;
  std::vector<Attempt> m_attempts;
  /// Candidates of this round that were not asked, best last.
  std::vector<Candidate> m_fallbacks;
  /// Index of the attempt that was started last.
  std::optional<size_t> m_running;
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
