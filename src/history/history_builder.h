// Builds histories for tests.
#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "peridotshelf/history/checker.h"

namespace peridotshelf::history {

/// Builds a history event by event. Times are in milliseconds and must ascend.
class HistoryBuilder {
 public:
  HistoryBuilder& At(int64_t milliseconds) {
    m_time = TimePoint(std::chrono::milliseconds(milliseconds));
    return *this;
  }
  HistoryBuilder& By(const std::string& process) {
    m_process = ProcessId(process);
    return *this;
  }
  HistoryBuilder& Add(EventBody body) {
    m_events.push_back({m_time, m_process, std::move(body)});
    return *this;
  }
  /// Adds the call `name` and its admission as request "r-" + `name`. The
  /// defaults are entry "e1" and a timeout of ten seconds.
  HistoryBuilder& Call(const std::string& name, Invocation invocation = {}) {
    invocation.call = CallId(name);
    if (invocation.entry.empty()) invocation.entry = ProcessId("e1");
    if (invocation.budget == Duration{}) {
      invocation.budget = std::chrono::seconds(10);
    }
    Add(invocation);
    return Add(Admission{CallId(name), RequestId("r-" + name)});
  }
  HistoryBuilder& Begin(const std::string& name, const std::string& backend,
                        int32_t number = 1, const std::string& key = {}) {
    return Add(ExecutionBegin{Attempt(name, number), BackendId(backend), key});
  }
  HistoryBuilder& End(const std::string& name, const std::string& backend,
                      int32_t number = 1) {
    return Add(ExecutionEnd{Attempt(name, number), BackendId(backend),
                            ExecutionOutcome::kCompleted});
  }

  /// Returns the violations that the rule `R` finds.
  template <Rule R>
  std::vector<Violation> Check(const Limits& limits = {}) const {
    return CheckRules<R>(m_events, limits);
  }
  const std::vector<HistoryEvent>& events() const { return m_events; }

 private:
  static AttemptId Attempt(const std::string& name, int32_t number) {
    return AttemptId{RequestId("r-" + name), number};
  }

  TimePoint m_time{};
  ProcessId m_process{"bench"};
  std::vector<HistoryEvent> m_events;
};

}  // namespace peridotshelf::history
