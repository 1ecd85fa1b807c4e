// Rules on the executions and the memory of backend servers.
#include <algorithm>
#include <map>
#include <optional>

#include "peridotshelf/history/rules.h"

namespace peridotshelf::history {
namespace {

/// The begin times of the long executions at each backend server, ascending.
using LongBegins = std::map<BackendId, std::vector<TimePoint>>;

LongBegins FindLongBegins(const Index& index) {
  LongBegins begins;
  for (const Execution& execution : index.executions()) {
    auto& at_backend = begins[execution.backend];
    const Call* call = index.FindCall(execution.attempt.request);
    if (call != nullptr && call->invocation.size == RequestSize::kLong) {
      at_backend.push_back(execution.begin);
    }
  }
  return begins;
}

/// Returns how many of `begins` lie in (from, to).
int64_t CountWithin(const std::vector<TimePoint>& begins, TimePoint from,
                    TimePoint to) {
  const auto first = std::upper_bound(begins.begin(), begins.end(), from);
  const auto last = std::lower_bound(begins.begin(), begins.end(), to);
  return std::max<int64_t>(0, last - first);
}

/// Returns the number of long executions that began at the backend server of
/// `call` while the call was queued, or the fewest at any backend server if it
/// never ran.
int64_t CountBypasses(const Index& index, const Call& call,
                      const LongBegins& begins) {
  if (call.request) {
    const auto executions = index.FindExecutions(*call.request);
    if (!executions.empty()) {
      const Execution& first_execution = *executions.front();
      return CountWithin(begins.at(first_execution.backend), call.begin,
                         first_execution.begin);
    }
  }
  const TimePoint to = call.ends.empty() ? index.end() : call.ends[0].time;
  std::optional<int64_t> fewest;
  for (const auto& [backend, at_backend] : begins) {
    const int64_t count = CountWithin(at_backend, call.begin, to);
    fewest = std::min(fewest.value_or(count), count);
  }
  return fewest.value_or(0);
}

/// Returns whether a fault, a disconnect of the caller or the deadline explains
/// that `call` got no answer.
bool IsFailureExplained(const Index& index, const Call& call) {
  if (call.ends.empty()) return false;
  const CallEnd& end = call.ends.front();
  if (end.outcome == CallOutcome::kHungUp) return true;
  if (end.time >= call.deadline()) return true;
  if (index.HasFault(call.invocation.entry, call.begin, end.time)) return true;
  if (!call.request) return false;
  const auto executions = index.FindExecutions(*call.request);
  // Any process that failed may have lost the start message.
  if (executions.empty()) return index.HasAnyFault(call.begin, end.time);
  return std::any_of(
      executions.begin(), executions.end(), [&](const Execution* execution) {
        // A frozen server may begin it after the caller received the refusal.
        return index.HasFault(execution->backend, call.begin, end.time);
      });
}

/// Returns whether `stop.process` is serving `call` at `time`.
bool IsInFlight(const Index& index, const Call& call, const PlannedStop& stop,
                TimePoint time) {
  if (call.begin > time || call.HasEndedBy(time)) return false;
  if (call.invocation.entry == stop.process) return true;
  if (!call.request) return false;
  for (const Execution* execution : index.FindExecutions(*call.request)) {
    const bool is_running =
        execution->begin <= time && !(execution->end && *execution->end < time);
    const bool is_backend_stopping =
        std::find(stop.backends.begin(), stop.backends.end(),
                  execution->backend) != stop.backends.end();
    if (is_running && is_backend_stopping) return true;
  }
  return false;
}

}  // namespace

void NoMemoryHeld::Check(const Index& index, const Limits&,
                         std::vector<Violation>& found) {
  std::map<BackendId, std::pair<TimePoint, int64_t>> last_reports;
  ForEach<MemoryHeld>(index.events(),
                      [&](const HistoryEvent& event, const MemoryHeld& body) {
                        last_reports[body.backend] = {event.time, body.tokens};
                      });
  // A killed engine holds no memory. Its process id equals its backend id.
  ForEach<ProcessKilled>(index.events(), [&](const HistoryEvent& event,
                                             const auto& body) {
    const auto report = last_reports.find(BackendId(body.process.value()));
    if (report != last_reports.end() && report->second.first <= event.time) {
      last_reports.erase(report);
    }
  });
  for (const auto& [backend, report] : last_reports) {
    if (report.second == 0) continue;
    found.push_back(
        {kInvariant, report.first, backend.value(),
         std::to_string(report.second) + " tokens were not released"});
  }
}

void OrphansReleased::Check(const Index& index, const Limits& limits,
                            std::vector<Violation>& found) {
  ForEach<ProcessKilled>(index.events(), [&](const HistoryEvent& event,
                                             const ProcessKilled& body) {
    const TimePoint latest = event.time + limits.orphan_bound;
    if (index.end() <= latest) return;
    for (const Execution& execution : index.executions()) {
      const Call* call = index.FindCall(execution.attempt.request);
      const bool is_orphan = call != nullptr &&
                             call->invocation.entry == body.process &&
                             execution.begin <= event.time;
      const bool has_ended = execution.end && *execution.end <= latest;
      if (!is_orphan || has_ended ||
          index.HasFault(execution.backend, execution.begin, latest)) {
        continue;
      }
      found.push_back({kInvariant, latest, execution.attempt.ToString(),
                       "still runs after the death of its entry at " +
                           execution.backend.value()});
    }
  });
}

void LeavingTakesNoWork::Check(const Index& index, const Limits& limits,
                               std::vector<Violation>& found) {
  ForEach<LeaveMark>(index.events(), [&](const HistoryEvent& event,
                                         const LeaveMark& body) {
    for (const Execution& execution : index.executions()) {
      if (execution.backend != body.backend) continue;
      const TimePoint notified =
          index.FindLastThaw(body.backend, event.time, execution.begin);
      if (execution.begin <= notified + limits.leave_bound) continue;
      found.push_back(
          {kInvariant, execution.begin, body.backend.value(),
           "began " + execution.attempt.ToString() + " " +
               std::to_string(ToMilliseconds(execution.begin - event.time)) +
               " ms after its leave mark"});
    }
  });
}

void NoAnswerLost::Check(const Index& index, const Limits&,
                         std::vector<Violation>& found) {
  for (const auto& [id, call] : index.calls()) {
    if (call.ends.empty() || IsFailureExplained(index, call)) continue;
    const CallEnd& end = call.ends.front();
    if (end.outcome != CallOutcome::kRefused || end.not_run) continue;
    found.push_back({kInvariant, end.time, id.value(),
                     std::string(peridotshelf::ToString(end.code)) +
                         " although no process failed"});
  }
}

void StopCutsNothing::Check(const Index& index, const Limits&,
                            std::vector<Violation>& found) {
  for (const auto& [id, call] : index.calls()) {
    if (call.ends.empty() || IsFailureExplained(index, call)) continue;
    if (call.ends.front().outcome == CallOutcome::kConnectionLost) {
      found.push_back({kInvariant, call.ends.front().time, id.value(),
                       "lost its connection without a fault"});
    }
  }
  ForEach<PlannedStop>(
      index.events(), [&](const HistoryEvent& event, const PlannedStop& stop) {
        for (const auto& [id, call] : index.calls()) {
          if (call.ends.empty() || IsFailureExplained(index, call)) continue;
          const CallEnd& end = call.ends.front();
          if (end.outcome != CallOutcome::kRefused || end.not_run) continue;
          if (!IsInFlight(index, call, stop, event.time)) continue;
          found.push_back({kInvariant, end.time, id.value(),
                           "was refused during the planned stop of " +
                               stop.process.value()});
        }
      });
}

void ShortNotStarved::Check(const Index& index, const Limits& limits,
                            std::vector<Violation>& found) {
  const LongBegins begins = FindLongBegins(index);
  for (const auto& [id, call] : index.calls()) {
    if (call.invocation.size != RequestSize::kShort) continue;
    const int64_t bypasses = CountBypasses(index, call, begins);
    if (bypasses <= limits.max_bypasses) continue;
    found.push_back(
        {kInvariant, call.begin, id.value(),
         std::to_string(bypasses) + " long requests overtook it in the queue"});
  }
}

}  // namespace peridotshelf::history
