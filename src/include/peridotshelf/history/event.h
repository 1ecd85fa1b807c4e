/// The typed events that are recorded during a run of the system by callers,
/// simulated engines and services, and test drivers, and read by the checker.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/error.h"
#include "peridotshelf/base/ids.h"

namespace peridotshelf::history {

/// Identifies one call of a caller, from its request to its outcome.
using CallId = Id<struct CallTag>;
/// Identifies an engine or another backend server.
using BackendId = Id<struct BackendTag>;

/// Size class of a request. Short requests must not be starved by long ones.
enum class RequestSize { kShort, kLong };

/// A caller sends a request.
struct Invocation {
  CallId call;
  /// The entry that the caller connects to.
  ProcessId entry;
  RequestSize size = RequestSize::kShort;
  /// The timeout that the caller sets for the request.
  Duration budget{};
  /// Whether the request must run at most once.
  bool unrepeatable = false;
  /// Empty if the caller sent none.
  std::string idempotency_key;
  /// The complete text of the answer, unique to this request.
  std::string expected_text;
};

/// A caller learns the request id that the system assigned to its call.
struct Admission {
  CallId call;
  RequestId request;
};

/// State of a memory reservation at a backend server.
enum class ReservationState { kQueued, kGranted, kReleased };

/// A side queues, grants or releases the memory reservation of an attempt.
struct Reservation {
  AttemptId attempt;
  BackendId backend;
  ReservationState state = ReservationState::kQueued;
  int64_t memory_tokens = 0;
};

/// A backend server begins to run an attempt.
struct ExecutionBegin {
  AttemptId attempt;
  BackendId backend;
  /// Empty if the backend server received none.
  std::string idempotency_key;
};

/// How an execution ended at its backend server.
enum class ExecutionOutcome { kCompleted, kCancelled, kFailed };

/// The execution of an attempt at a backend server ends.
struct ExecutionEnd {
  AttemptId attempt;
  BackendId backend;
  ExecutionOutcome outcome = ExecutionOutcome::kCompleted;
};

/// A backend server produces a chunk of an answer.
struct ChunkProduced {
  AttemptId attempt;
  BackendId backend;
  int64_t offset = 0;
  std::string text;
};

/// A caller receives a chunk of an answer.
struct ChunkReceived {
  CallId call;
  int64_t offset = 0;
  std::string text;
};

/// A caller receives the regular end of its answer.
struct Answer {
  CallId call;
};

/// A caller receives an error instead of an answer.
struct Refusal {
  CallId call;
  ErrorCode code = ErrorCode::kInternal;
  bool not_run = false;
};

/// A caller's connection ends without an outcome.
struct CallerConnectionLost {
  CallId call;
};

/// A caller disconnects and abandons its call.
struct HangUp {
  CallId call;
};

/// The system decides that a request can no longer be answered.
struct GivenUp {
  RequestId request;
};

/// A configuration change is accepted under a version.
struct ChangeAccepted {
  ControlVersion version = 0;
  /// The active preset from this version on.
  std::string preset;
};

/// The recording process has applied this configuration version.
struct ControlInForce {
  ControlVersion version = 0;
  std::string preset;
};

/// A backend server reports how much KV-cache memory is in use.
struct MemoryHeld {
  BackendId backend;
  int64_t tokens = 0;
};

/// A backend server is marked as leaving.
struct LeaveMark {
  BackendId backend;
};

/// A process is asked to stop gracefully.
struct PlannedStop {
  ProcessId process;
  /// The backend servers that it serves.
  std::vector<BackendId> backends;
};

/// A process starts to serve requests.
struct ProcessStarted {
  ProcessId process;
};

/// A process ends regularly.
struct ProcessEnded {
  ProcessId process;
};

/// A process is killed, or its host dies.
struct ProcessKilled {
  ProcessId process;
  /// The backend servers that die with the process or lose their side.
  std::vector<BackendId> backends;
};

/// A process is stopped by SIGSTOP or loses its network.
struct ProcessFrozen {
  ProcessId process;
  std::vector<BackendId> backends;
};

/// A frozen process runs again.
struct ProcessThawed {
  ProcessId process;
};

/// The platform's log becomes unavailable or available again.
struct LogAvailability {
  bool available = true;
};

/// The kinds of events.
using EventBody =
    std::variant<Invocation, Admission, Reservation, ExecutionBegin,
                 ExecutionEnd, ChunkProduced, ChunkReceived, Answer, Refusal,
                 CallerConnectionLost, HangUp, GivenUp, ChangeAccepted,
                 ControlInForce, MemoryHeld, LeaveMark, PlannedStop,
                 ProcessStarted, ProcessEnded, ProcessKilled, ProcessFrozen,
                 ProcessThawed, LogAvailability>;

/// One recorded event.
struct HistoryEvent {
  /// On the monotonic clock of the host, which its processes share.
  TimePoint time;
  /// The process that recorded the event.
  ProcessId process;
  EventBody body;
};

}  // namespace peridotshelf::history
