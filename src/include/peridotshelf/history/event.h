/// What a run of the system records: one typed event a line, written by
/// callers, stand-ins and test drivers, and read by the checker.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/error.h"
#include "peridotshelf/base/ids.h"

namespace peridotshelf::history {

/// One call of a caller, from its sending to its one outcome.
using CallId = Id<struct CallTag>;
/// One engine or plain backend server.
using BackendId = Id<struct BackendTag>;

/// Whether a request belongs to the classes that must not be starved.
enum class RequestSize { kShort, kLong };

/// A caller sends a request.
struct Invocation {
  CallId call;
  /// The entry that the caller connects to.
  ProcessId entry;
  RequestSize size = RequestSize::kShort;
  /// The time the caller gives the request.
  Duration budget{};
  /// Whether the request may run at most once.
  bool unrepeatable = false;
  /// Empty if the caller gave none.
  std::string idempotency_key;
  /// The whole text that only this request's answer has.
  std::string expected_text;
};

/// The caller learns under which id the system knows its call.
struct Admission {
  CallId call;
  RequestId request;
};

/// What became of memory asked for at a backend server.
enum class ReservationState { kQueued, kGranted, kReleased };

/// A side decides over memory for an attempt.
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
  /// Empty if the backend server was given none.
  std::string idempotency_key;
};

/// How an execution ended at its backend server.
enum class ExecutionOutcome { kCompleted, kCancelled, kFailed };

/// A backend server ends an attempt.
struct ExecutionEnd {
  AttemptId attempt;
  BackendId backend;
  ExecutionOutcome outcome = ExecutionOutcome::kCompleted;
};

/// A backend server produces a part of an answer.
struct ChunkProduced {
  AttemptId attempt;
  BackendId backend;
  int64_t offset = 0;
  std::string text;
};

/// A caller receives a part of an answer.
struct ChunkReceived {
  CallId call;
  int64_t offset = 0;
  std::string text;
};

/// A caller sees the regular end of its answer.
struct Answer {
  CallId call;
};

/// A caller is told that it gets no answer.
struct Refusal {
  CallId call;
  ErrorCode code = ErrorCode::kInternal;
  bool not_run = false;
};

/// A caller's connection ends without an outcome.
struct CallerConnectionLost {
  CallId call;
};

/// A caller abandons its call.
struct HangUp {
  CallId call;
};

/// The system decides that a request cannot be answered any more.
struct GivenUp {
  RequestId request;
};

/// A change becomes part of the accepted order of versions.
struct ChangeAccepted {
  ControlVersion version = 0;
  /// The preset in force from this version on.
  std::string preset;
};

/// The recording process now acts under this version.
struct ControlInForce {
  ControlVersion version = 0;
  std::string preset;
};

/// Memory held at a backend server, by its own account.
struct MemoryHeld {
  BackendId backend;
  int64_t tokens = 0;
};

/// A backend server begins to leave.
struct LeaveMark {
  BackendId backend;
};

/// A process is asked to stop in an orderly way.
struct PlannedStop {
  ProcessId process;
  /// The backend servers that it serves.
  std::vector<BackendId> backends;
};

/// A process serves requests from now on.
struct ProcessStarted {
  ProcessId process;
};

/// A process ends in an orderly way.
struct ProcessEnded {
  ProcessId process;
};

/// A process is killed, or its host dies.
struct ProcessKilled {
  ProcessId process;
  /// The backend servers that die or lose their side with it.
  std::vector<BackendId> backends;
};

/// A process is stopped by SIGSTOP or cut off from its network.
struct ProcessFrozen {
  ProcessId process;
  std::vector<BackendId> backends;
};

/// A frozen process runs again.
struct ProcessThawed {
  ProcessId process;
};

/// The platform's log goes away or comes back.
struct LogAvailability {
  bool available = true;
};

/// Everything that can be recorded.
using EventBody =
    std::variant<Invocation, Admission, Reservation, ExecutionBegin,
                 ExecutionEnd, ChunkProduced, ChunkReceived, Answer, Refusal,
                 CallerConnectionLost, HangUp, GivenUp, ChangeAccepted,
                 ControlInForce, MemoryHeld, LeaveMark, PlannedStop,
                 ProcessStarted, ProcessEnded, ProcessKilled, ProcessFrozen,
                 ProcessThawed, LogAvailability>;

/// One recorded event.
struct HistoryEvent {
  /// On the machine's monotonic clock, which its processes share.
  TimePoint time;
  /// The process that recorded the event.
  ProcessId process;
  EventBody body;
};

}  // namespace peridotshelf::history
