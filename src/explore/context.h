/// The state shared by all parts of one schedule: virtual time, random numbers
/// and the history.
#pragma once

#include <random>
#include <string>
#include <utility>
#include <vector>

#include "explore/schedule.h"
#include "explore/timeline.h"
#include "peridotshelf/history/event.h"

namespace peridotshelf::explore {

/// The virtual time, the random numbers and the history of one schedule.
class Context {
 public:
  Context(uint32_t seed, Mechanisms without)
      : m_random(seed), m_without(std::move(without)) {}

  Timeline& timeline() { return m_timeline; }
  TimePoint Now() const { return m_timeline.Now(); }
  /// Returns a random number in [low, high].
  int64_t Draw(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(m_random);
  }
  /// Returns true with a probability of `percent`.
  bool DrawBool(int64_t percent) { return Draw(1, 100) <= percent; }
  /// Returns whether the mechanism is enabled.
  bool IsEnabled(Mechanism mechanism) const {
    return !m_without.contains(mechanism);
  }

  void Record(const ProcessId& by, history::EventBody body) {
    m_history.push_back({Now(), by, std::move(body)});
  }
  const std::vector<history::HistoryEvent>& history() const {
    return m_history;
  }

 private:
  Timeline m_timeline;
  std::mt19937 m_random;
  Mechanisms m_without;
  std::vector<history::HistoryEvent> m_history;
};

/// The state of a process in a schedule.
struct Process {
  ProcessId id;
  /// Incremented at each start. Actions for an earlier incarnation are dropped.
  int64_t incarnation = 1;
  bool alive = true;
  bool leaving = false;
  TimePoint leaving_since{};
  /// When a leaving process was last observed busy.
  TimePoint idle_since{};
  TimePoint frozen_until{};

  bool IsFrozen(TimePoint now) const { return now < frozen_until; }
  bool IsServing(TimePoint now) const { return alive && !IsFrozen(now); }
  /// Returns the id of this incarnation of the process.
  ProcessId IncarnationId() const {
    return ProcessId(id.value() + "#" + std::to_string(incarnation));
  }
};

/// Runs `action` in `process` now, or when a frozen process is thawed. Drops
/// the action if the process is dead or has started again by then. `process`
/// must outlive the schedule.
inline void RunInProcess(Context& context, Process& process,
                         std::function<void()> action) {
  if (!process.alive) return;
  if (!process.IsFrozen(context.Now())) return action();
  const int64_t incarnation = process.incarnation;
  context.timeline().RunAt(
      process.frozen_until,
      [&context, &process, incarnation, action = std::move(action)] {
        if (process.incarnation == incarnation) {
          RunInProcess(context, process, action);
        }
      });
}

}  // namespace peridotshelf::explore
