#include "peridotshelf/history/index.h"

#include <algorithm>
#include <utility>

namespace peridotshelf::history {

/// Visits the events in order and fills `index`.
struct Index::Builder {
  Index& index;
  /// The time of the current event.
  TimePoint time;
  /// Positions of the executions that have begun but not ended.
  std::multimap<std::pair<AttemptId, BackendId>, size_t> running;

  void operator()(const Invocation& body) {
    Call& call = index.m_calls[body.call];
    call.begin = time;
    call.invocation = body;
  }
  void operator()(const Admission& body) {
    index.m_calls[body.call].request = body.request;
    index.m_call_of_request[body.request] = body.call;
  }
  void operator()(const ChunkReceived& body) {
    index.m_calls[body.call].chunks.push_back(body);
  }
  void operator()(const Answer& body) {
    End(body.call, {time, CallOutcome::kAnswered});
  }
  void operator()(const Refusal& body) {
    End(body.call, {time, CallOutcome::kRefused, body.code, body.not_run});
  }
  void operator()(const CallerConnectionLost& body) {
    End(body.call, {time, CallOutcome::kConnectionLost});
  }
  void operator()(const HangUp& body) {
    End(body.call, {time, CallOutcome::kHungUp});
  }
  void operator()(const ExecutionBegin& body) {
    running.emplace(std::pair(body.attempt, body.backend),
                    index.m_executions.size());
    index.m_executions.push_back(
        {body.attempt, body.backend, body.idempotency_key, time, {}});
  }
  void operator()(const ExecutionEnd& body) {
    const auto [first, last] =
        running.equal_range(std::pair(body.attempt, body.backend));
    for (auto it = first; it != last; ++it) {
      index.m_executions[it->second].end = time;
    }
    running.erase(first, last);
  }
  void operator()(const ProcessKilled& body) {
    index.m_faults.push_back({time, {}, body.process, body.backends});
  }
  void operator()(const ProcessFrozen& body) {
    index.m_faults.push_back({time, {}, body.process, body.backends});
  }
  void operator()(const ProcessThawed& body) { EndFault(body.process); }
  void operator()(const ProcessStarted& body) { EndFault(body.process); }
  template <class Other>
  void operator()(const Other&) {}

 private:
  void End(const CallId& call, CallEnd end) {
    index.m_calls[call].ends.push_back(end);
  }
  void EndFault(const ProcessId& process) {
    for (ProcessFault& fault : index.m_faults) {
      if (fault.process == process && !fault.end) {
        fault.end = time;
      }
    }
  }
};

namespace {

bool Overlaps(const ProcessFault& fault, TimePoint from, TimePoint to) {
  return fault.begin <= to && (!fault.end || *fault.end >= from);
}

bool Affects(const ProcessFault& fault, const BackendId& backend) {
  const auto& backends = fault.backends;
  return std::find(backends.begin(), backends.end(), backend) != backends.end();
}

}  // namespace

Index::Index(std::span<const HistoryEvent> events) : m_events(events) {
  Builder builder{*this, {}, {}};
  for (const HistoryEvent& event : events) {
    builder.time = event.time;
    std::visit(builder, event.body);
  }
  LinkExecutionsByKey();
  for (size_t i = 0; i < m_executions.size(); ++i) {
    m_executions_of_request[m_executions[i].attempt.request].push_back(i);
  }
}

void Index::LinkExecutionsByKey() {
  std::map<std::string, std::vector<Call*>> calls_of_key;
  for (auto& [id, call] : m_calls) {
    calls_of_key[call.invocation.idempotency_key].push_back(&call);
  }
  for (Execution& execution : m_executions) {
    if (!execution.attempt.request.empty()) continue;
    const auto found = calls_of_key.find(execution.idempotency_key);
    if (execution.idempotency_key.empty() || found == calls_of_key.end() ||
        found->second.size() != 1) {
      continue;
    }
    Call& call = *found->second.front();
    if (!call.request) {
      call.request = RequestId("key " + execution.idempotency_key);
      m_call_of_request[*call.request] = call.invocation.call;
    }
    execution.attempt.request = *call.request;
  }
}

TimePoint Index::end() const {
  return m_events.empty() ? TimePoint{} : m_events.back().time;
}

const Call* Index::FindCall(const RequestId& request) const {
  const auto found = m_call_of_request.find(request);
  if (found == m_call_of_request.end()) return nullptr;
  return &m_calls.at(found->second);
}

std::vector<const Execution*> Index::FindExecutions(
    const RequestId& request) const {
  std::vector<const Execution*> executions;
  const auto found = m_executions_of_request.find(request);
  if (found == m_executions_of_request.end()) return executions;
  for (const size_t position : found->second) {
    executions.push_back(&m_executions[position]);
  }
  return executions;
}

bool Index::HasFault(const ProcessId& process, TimePoint from,
                     TimePoint to) const {
  return std::any_of(
      m_faults.begin(), m_faults.end(), [&](const ProcessFault& fault) {
        return fault.process == process && Overlaps(fault, from, to);
      });
}

bool Index::HasFault(const BackendId& backend, TimePoint from,
                     TimePoint to) const {
  return std::any_of(
      m_faults.begin(), m_faults.end(), [&](const ProcessFault& fault) {
        return Overlaps(fault, from, to) && Affects(fault, backend);
      });
}

bool Index::HasAnyFault(TimePoint from, TimePoint to) const {
  return std::any_of(
      m_faults.begin(), m_faults.end(),
      [&](const ProcessFault& fault) { return Overlaps(fault, from, to); });
}

TimePoint Index::FindLastThaw(const BackendId& backend, TimePoint from,
                              TimePoint to) const {
  TimePoint thawed = from;
  for (const ProcessFault& fault : m_faults) {
    if (!fault.end || !Affects(fault, backend)) continue;
    if (*fault.end <= to) thawed = std::max(thawed, *fault.end);
  }
  return thawed;
}

}  // namespace peridotshelf::history
