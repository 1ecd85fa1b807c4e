/// A history indexed by call, execution and process, for the rules.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "peridotshelf/history/event.h"

namespace peridotshelf::history {

/// How a call ended from the caller's point of view.
enum class CallOutcome { kAnswered, kRefused, kConnectionLost, kHungUp };

/// An outcome of a call.
struct CallEnd {
  TimePoint time;
  CallOutcome outcome = CallOutcome::kAnswered;
  /// The error of a refusal; set, like `not_run`, only for kRefused.
  ErrorCode code = ErrorCode::kInternal;
  bool not_run = false;
};

/// The recorded events of one call.
struct Call {
  TimePoint begin;
  Invocation invocation;
  /// Unset if the caller never learned the id.
  std::optional<RequestId> request;
  std::vector<ChunkReceived> chunks;
  /// More than one end is a violation, which `AnsweredInTime` reports.
  std::vector<CallEnd> ends;

  TimePoint deadline() const { return begin + invocation.budget; }
  /// Returns whether the caller has its outcome by `time`.
  bool HasEndedBy(TimePoint time) const {
    return !ends.empty() && ends.front().time <= time;
  }
};

/// One execution of an attempt at a backend server.
struct Execution {
  AttemptId attempt;
  BackendId backend;
  std::string idempotency_key;
  TimePoint begin;
  std::optional<TimePoint> end;
};

/// A kill or freeze of a process, and how long it lasts.
struct ProcessFault {
  TimePoint begin;
  /// When the process was thawed or started again; unset if it never was.
  std::optional<TimePoint> end;
  ProcessId process;
  std::vector<BackendId> backends;
};

/// A history indexed for the rules. Keeps a view of the events.
class Index {
 public:
  /// `events` are ordered by time and must outlive the index.
  explicit Index(std::span<const HistoryEvent> events);

  std::span<const HistoryEvent> events() const { return m_events; }
  const std::map<CallId, Call>& calls() const { return m_calls; }
  const std::vector<Execution>& executions() const { return m_executions; }
  const std::vector<ProcessFault>& faults() const { return m_faults; }
  /// The time of the last event; the epoch of the clock if there is none.
  TimePoint end() const;

  /// Returns the call with the request id, or nullptr if no caller learned the
  /// id.
  const Call* FindCall(const RequestId& request) const;
  /// Returns the executions of a request, ordered by begin.
  std::vector<const Execution*> FindExecutions(const RequestId& request) const;
  /// Returns whether a kill or freeze of `process` overlaps [from, to].
  bool HasFault(const ProcessId& process, TimePoint from, TimePoint to) const;
  /// Returns whether a kill or freeze that affects `backend` overlaps
  /// [from, to].
  bool HasFault(const BackendId& backend, TimePoint from, TimePoint to) const;
  /// Returns whether any kill or freeze overlaps [from, to].
  bool HasAnyFault(TimePoint from, TimePoint to) const;
  /// Returns when the last fault of `backend` between `from` and `to`
  /// ended, or `from` if there was none.
  TimePoint FindLastThaw(const BackendId& backend, TimePoint from,
                         TimePoint to) const;

 private:
  struct Builder;

  /// Sets the missing request ids of executions. Services other than engines
  /// see only the idempotency key, which identifies the request if a single
  /// call uses it.
  void LinkExecutionsByKey();

  std::span<const HistoryEvent> m_events;
  std::map<CallId, Call> m_calls;
  std::map<RequestId, CallId> m_call_of_request;
  std::vector<Execution> m_executions;
  std::map<RequestId, std::vector<size_t>> m_executions_of_request;
  std::vector<ProcessFault> m_faults;
};

/// Calls `visit(event, body)` for each event whose body is a `Body`.
template <class Body, class Visit>
void ForEach(std::span<const HistoryEvent> events, Visit&& visit) {
  for (const HistoryEvent& event : events) {
    if (const auto* body = std::get_if<Body>(&event.body)) visit(event, *body);
  }
}

}  // namespace peridotshelf::history
