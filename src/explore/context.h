/// What all parts of one schedule share: time, chance and the history.
#pragma once

#include <random>
#include <string>
#include <utility>
#include <vector>

#include "explore/schedule.h"
#include "explore/timeline.h"
#include "peridotshelf/history/event.h"

namespace peridotshelf::explore {

/// Time, chance and the history of one schedule.
class Context {
 public:
  Context(uint32_t seed, Mechanisms without)
      : m_random(seed), m_without(std::move(without)) {}

  Timeline& timeline() { return m_timeline; }
  TimePoint Now() const { return m_timeline.Now(); }
  /// A number from `low` to `high`, both included.
  int64_t Draw(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(m_random);
  }
  bool Percent(int64_t chance) { return Draw(1, 100) <= chance; }
  /// Whether the mechanism is in place.
  bool Has(Mechanism mechanism) const { return !m_without.contains(mechanism); }

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

/// A process as the schedule sees it: it may be frozen, dead or leaving.
struct Process {
  ProcessId id;
  /// Grows at each start; what was meant for an earlier one is lost.
  int64_t incarnation = 1;
  bool alive = true;
  bool leaving = false;
  TimePoint leaving_since{};
  /// Of a leaving process: when it was last seen at work.
  TimePoint idle_since{};
  TimePoint frozen_until{};

  bool FrozenAt(TimePoint now) const { return now < frozen_until; }
  bool Serves(TimePoint now) const { return alive && !FrozenAt(now); }
  /// The name of this start of the process.
  ProcessId Incarnation() const {
    return ProcessId(id.value() + "#" + std::to_string(incarnation));
  }
};

/// Runs `action` in `process` now, or once it is thawed; never in a later
/// incarnation. `process` outlives the schedule.
inline void RunIn(Context& context, Process& process,
                  std::function<void()> action) {
  if (!process.alive) return;
  if (!process.FrozenAt(context.Now())) return action();
  const int64_t incarnation = process.incarnation;
  context.timeline().At(process.frozen_until, [&context, &process, incarnation,
                                               action = std::move(action)] {
    if (process.incarnation == incarnation) {
      RunIn(context, process, action);
    }
  });
}

}  // namespace peridotshelf::explore
