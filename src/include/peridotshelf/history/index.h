/// A history arranged by call, execution and process, for the rules.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "peridotshelf/history/event.h"

namespace peridotshelf::history {

/// How a call ended, as its caller saw it.
enum class CallOutcome { kAnswered, kRefused, kConnectionLost, kHungUp };

/// One end of a call.
struct CallEnd {
  TimePoint time;
  CallOutcome outcome = CallOutcome::kAnswered;
  /// For kRefused.
  ErrorCode code = ErrorCode::kInternal;
  bool not_run = false;
};

/// Everything recorded of one call.
struct Call {
  TimePoint begin;
  Invocation invocation;
  /// Set once the caller learnt it.
  std::optional<RequestId> request;
  std::vector<ChunkReceived> chunks;
  /// More than one is a fault that a rule reports.
  std::vector<CallEnd> ends;

  /// The point in time at which the caller's time is over.
  TimePoint deadline() const { return begin + invocation.budget; }
  /// Whether the caller has its outcome at `time`.
  bool EndedBy(TimePoint time) const {
    return !ends.empty() && ends.front().time <= time;
  }
};

/// One run of an attempt at a backend server.
struct Execution {
  AttemptId attempt;
  BackendId backend;
  std::string idempotency_key;
  TimePoint begin;
  std::optional<TimePoint> end;
};

/// One kill or freeze, and how long its effect lasts.
struct Disturbance {
  TimePoint begin;
  /// Unset if it never ended.
  std::optional<TimePoint> end;
  ProcessId process;
  std::vector<BackendId> backends;
};

/// A history arranged for the rules. Keeps a view of the events.
class Index {
 public:
  /// `events` are ordered by time and outlive the index.
  explicit Index(std::span<const HistoryEvent> events);

  std::span<const HistoryEvent> events() const { return m_events; }
  const std::map<CallId, Call>& calls() const { return m_calls; }
  const std::vector<Execution>& executions() const { return m_executions; }
  const std::vector<Disturbance>& disturbances() const {
    return m_disturbances;
  }
  /// The time of the last event.
  TimePoint end() const;

  /// The call behind a request id, if its caller learnt the id.
  const Call* CallOf(const RequestId& request) const;
  /// All executions of a request, by begin.
  std::vector<const Execution*> ExecutionsOf(const RequestId& request) const;
  /// Whether a kill or freeze of `process` touches [from, to].
  bool Disturbed(const ProcessId& process, TimePoint from, TimePoint to) const;
  /// Whether a kill or freeze that concerns `backend` touches [from, to].
  bool Disturbed(const BackendId& backend, TimePoint from, TimePoint to) const;
  /// Whether any kill or freeze touches [from, to].
  bool AnyDisturbed(TimePoint from, TimePoint to) const;
  /// When the last disturbance of `backend` after `from` and before `to`
  /// ended; `from` if there was none.
  TimePoint ThawedBefore(const BackendId& backend, TimePoint from,
                         TimePoint to) const;

 private:
  struct Builder;

  /// Plain services see only the key; one that a single call bears tells whose
  /// execution it was.
  void LinkByKey();

  std::span<const HistoryEvent> m_events;
  std::map<CallId, Call> m_calls;
  std::map<RequestId, CallId> m_call_of_request;
  std::vector<Execution> m_executions;
  std::map<RequestId, std::vector<size_t>> m_executions_of_request;
  std::vector<Disturbance> m_disturbances;
};

/// Calls `visit(event, body)` for each event whose body is a `Body`.
template <class Body, class Visit>
void ForEach(std::span<const HistoryEvent> events, Visit&& visit) {
  for (const HistoryEvent& event : events) {
    if (const auto* body = std::get_if<Body>(&event.body)) visit(event, *body);
  }
}

}  // namespace peridotshelf::history
