// Rules on the configuration versions and presets that processes apply.
#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "peridotshelf/history/rules.h"

namespace peridotshelf::history {
namespace {

/// The versions that one process applied, and when it began and ended.
struct ProcessRun {
  TimePoint begin;
  std::optional<TimePoint> end;
  std::vector<std::pair<TimePoint, ControlInForce>> reports;

  /// Returns whether the process has applied `version` or a newer one by
  /// `time`.
  bool HasReached(ControlVersion version, TimePoint time) const {
    return std::any_of(reports.begin(), reports.end(), [&](const auto& report) {
      return report.first <= time && report.second.version >= version;
    });
  }
};

/// Collects the runs of the processes that reported a version.
class ProcessRunCollector {
 public:
  void Collect(const HistoryEvent& event) {
    std::visit([&](const auto& body) { On(event, body); }, event.body);
  }
  std::map<ProcessId, ProcessRun> runs;

 private:
  void On(const HistoryEvent& event, const ControlInForce& body) {
    auto [entry, inserted] = runs.try_emplace(event.process);
    ProcessRun& run = entry->second;
    // A report after the end means that the process was started again.
    if (inserted || run.end) run.begin = event.time;
    run.end.reset();
    run.reports.emplace_back(event.time, body);
  }
  void On(const HistoryEvent& event, const PlannedStop& body) {
    End(body.process, event.time);
  }
  void On(const HistoryEvent& event, const ProcessEnded& body) {
    End(body.process, event.time);
  }
  void On(const HistoryEvent& event, const ProcessKilled& body) {
    End(body.process, event.time);
  }
  template <class Other>
  void On(const HistoryEvent&, const Other&) {}

  void End(const ProcessId& process, TimePoint time) {
    const auto entry = runs.find(process);
    if (entry != runs.end()) entry->second.end = time;
  }
};

std::map<ProcessId, ProcessRun> CollectProcessRuns(const Index& index) {
  ProcessRunCollector collector;
  for (const HistoryEvent& event : index.events()) collector.Collect(event);
  return std::move(collector.runs);
}

/// Returns when the last outage of the log in [from, to] ended, `from` if there
/// was none, or the maximum time if the outage never ended.
TimePoint FindOutageEnd(const Index& index, TimePoint from, TimePoint to) {
  bool available = true;
  TimePoint outage_end = from;
  ForEach<LogAvailability>(index.events(),
                           [&](const HistoryEvent& event, const auto& body) {
                             if (event.time > to) return;
                             available = body.available;
                             if (available && event.time > from) {
                               outage_end = event.time;
                             }
                           });
  if (available) return outage_end;
  TimePoint available_again = TimePoint::max();
  ForEach<LogAvailability>(
      index.events(), [&](const HistoryEvent& event, const auto& body) {
        if (event.time > to && body.available) {
          available_again = std::min(available_again, event.time);
        }
      });
  return available_again;
}

void CheckProcessOrder(const ProcessId& process, const ProcessRun& run,
                       std::vector<Violation>& found) {
  ControlVersion newest = 0;
  for (const auto& [time, report] : run.reports) {
    if (report.version < newest) {
      found.push_back({OneControlOrder::kInvariant, time, process.value(),
                       "went back from version " + std::to_string(newest) +
                           " to " + std::to_string(report.version)});
    }
    newest = std::max(newest, report.version);
  }
}

/// Returns when the process must have applied a change accepted at `accepted`,
/// or nothing if it is exempt.
std::optional<TimePoint> FindApplyDeadline(const Index& index,
                                           const Limits& limits,
                                           const ProcessId& process,
                                           const ProcessRun& run,
                                           TimePoint accepted) {
  const TimePoint from = std::max(accepted, run.begin);
  const TimePoint available_again =
      FindOutageEnd(index, from, from + limits.change_bound);
  if (available_again == TimePoint::max()) return std::nullopt;
  const TimePoint deadline = available_again + limits.change_bound;
  if (deadline > index.end()) return std::nullopt;
  if (run.end && *run.end <= deadline) return std::nullopt;
  if (index.HasFault(process, from, deadline)) return std::nullopt;
  return deadline;
}

}  // namespace

void OneControlOrder::Check(const Index& index, const Limits&,
                            std::vector<Violation>& found) {
  std::map<ControlVersion, std::string> preset_of;
  ForEach<ChangeAccepted>(index.events(),
                          [&](const HistoryEvent&, const ChangeAccepted& body) {
                            preset_of[body.version] = body.preset;
                          });
  const bool has_accepted_versions = !preset_of.empty();
  for (const auto& [process, run] : CollectProcessRuns(index)) {
    CheckProcessOrder(process, run, found);
    for (const auto& [time, report] : run.reports) {
      const auto [entry, inserted] =
          preset_of.try_emplace(report.version, report.preset);
      if (entry->second != report.preset) {
        found.push_back({kInvariant, time, process.value(),
                         "applies preset " + report.preset + " at version " +
                             std::to_string(report.version) + ", not " +
                             entry->second});
      }
      if (inserted && has_accepted_versions && report.version != 0) {
        found.push_back({kInvariant, time, process.value(),
                         "applies version " + std::to_string(report.version) +
                             ", which was never accepted"});
      }
    }
  }
}

void ChangeInForce::Check(const Index& index, const Limits& limits,
                          std::vector<Violation>& found) {
  const auto runs = CollectProcessRuns(index);
  ForEach<ChangeAccepted>(index.events(), [&](const HistoryEvent& event,
                                              const ChangeAccepted& change) {
    for (const auto& [process, run] : runs) {
      const auto deadline =
          FindApplyDeadline(index, limits, process, run, event.time);
      if (!deadline || run.HasReached(change.version, *deadline)) continue;
      found.push_back(
          {kInvariant, *deadline, process.value(),
           "has not applied version " + std::to_string(change.version)});
    }
  });
}

}  // namespace peridotshelf::history
