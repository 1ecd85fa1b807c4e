// Rules on the configuration and presets in force.
#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "peridotshelf/history/rules.h"

namespace peridotshelf::history {
namespace {

/// The presence of one process in a history.
struct Presence {
  TimePoint begin;
  std::optional<TimePoint> end;
  std::vector<std::pair<TimePoint, ControlInForce>> in_force;

  /// Whether the process acts under `version` or a newer one by `time`.
  bool Reached(ControlVersion version, TimePoint time) const {
    return std::any_of(in_force.begin(), in_force.end(), [&](const auto& step) {
      return step.first <= time && step.second.version >= version;
    });
  }
};

/// Collects the presence of each process that ever reported a version.
class PresenceFinder {
 public:
  void Take(const HistoryEvent& event) {
    std::visit([&](const auto& body) { On(event, body); }, event.body);
  }
  std::map<ProcessId, Presence> presences;

 private:
  void On(const HistoryEvent& event, const ControlInForce& body) {
    auto [entry, fresh] = presences.try_emplace(event.process);
    Presence& presence = entry->second;
    // A report after the end comes from the process's next start.
    if (fresh || presence.end) presence.begin = event.time;
    presence.end.reset();
    presence.in_force.emplace_back(event.time, body);
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
    const auto entry = presences.find(process);
    if (entry != presences.end()) entry->second.end = time;
  }
};

std::map<ProcessId, Presence> FindPresences(const Index& index) {
  PresenceFinder finder;
  for (const HistoryEvent& event : index.events()) finder.Take(event);
  return std::move(finder.presences);
}

/// When the log, if it is away at any time in [from, to], is back for good.
TimePoint DeferByOutage(const Index& index, TimePoint from, TimePoint to) {
  bool available = true;
  TimePoint deferred = from;
  ForEach<LogAvailability>(index.events(),
                           [&](const HistoryEvent& event, const auto& body) {
                             if (event.time > to) return;
                             available = body.available;
                             if (available && event.time > from) {
                               deferred = event.time;
                             }
                           });
  if (available) return deferred;
  TimePoint back = TimePoint::max();
  ForEach<LogAvailability>(index.events(),
                           [&](const HistoryEvent& event, const auto& body) {
                             if (event.time > to && body.available) {
                               back = std::min(back, event.time);
                             }
                           });
  return back;
}

void CheckProcessOrder(const ProcessId& process, const Presence& presence,
                       std::vector<Violation>& found) {
  ControlVersion newest = 0;
  for (const auto& [time, step] : presence.in_force) {
    if (step.version < newest) {
      found.push_back({OneControlOrder::kInvariant, time, process.value(),
                       "went back from version " + std::to_string(newest) +
                           " to " + std::to_string(step.version)});
    }
    newest = std::max(newest, step.version);
  }
}

/// When `presence` must have followed a change accepted at `accepted`.
std::optional<TimePoint> LatestInForce(const Index& index, const Limits& limits,
                                       const ProcessId& process,
                                       const Presence& presence,
                                       TimePoint accepted) {
  const TimePoint from = std::max(accepted, presence.begin);
  const TimePoint back = DeferByOutage(index, from, from + limits.change_bound);
  if (back == TimePoint::max()) return std::nullopt;
  const TimePoint latest = back + limits.change_bound;
  if (latest > index.end()) return std::nullopt;
  if (presence.end && *presence.end <= latest) return std::nullopt;
  if (index.Disturbed(process, from, latest)) return std::nullopt;
  return latest;
}

}  // namespace

void OneControlOrder::Check(const Index& index, const Limits&,
                            std::vector<Violation>& found) {
  std::map<ControlVersion, std::string> preset_of;
  ForEach<ChangeAccepted>(index.events(),
                          [&](const HistoryEvent&, const ChangeAccepted& body) {
                            preset_of[body.version] = body.preset;
                          });
  const bool know_accepted = !preset_of.empty();
  for (const auto& [process, presence] : FindPresences(index)) {
    CheckProcessOrder(process, presence, found);
    for (const auto& [time, step] : presence.in_force) {
      const auto [entry, fresh] =
          preset_of.try_emplace(step.version, step.preset);
      if (entry->second != step.preset) {
        found.push_back({kInvariant, time, process.value(),
                         "holds preset " + step.preset + " at version " +
                             std::to_string(step.version) + ", not " +
                             entry->second});
      }
      if (fresh && know_accepted && step.version != 0) {
        found.push_back({kInvariant, time, process.value(),
                         "acts under version " + std::to_string(step.version) +
                             ", which was never accepted"});
      }
    }
  }
}

void ChangeInForce::Check(const Index& index, const Limits& limits,
                          std::vector<Violation>& found) {
  const auto presences = FindPresences(index);
  ForEach<ChangeAccepted>(index.events(), [&](const HistoryEvent& event,
                                              const ChangeAccepted& change) {
    for (const auto& [process, presence] : presences) {
      const auto latest =
          LatestInForce(index, limits, process, presence, event.time);
      if (!latest || presence.Reached(change.version, *latest)) continue;
      found.push_back(
          {kInvariant, *latest, process.value(),
           "does not act under version " + std::to_string(change.version)});
    }
  });
}

}  // namespace peridotshelf::history
