/// Virtual time in which actions run in the order of their times.
#pragma once

#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "peridotshelf/base/clock.h"

namespace peridotshelf::explore {

/// The virtual clock and the pending actions of one schedule. Actions with the
/// same time run in the order in which they were added.
class Timeline {
 public:
  TimePoint Now() const { return m_now; }
  void RunAt(TimePoint at, std::function<void()> action) {
    m_actions.push({std::max(at, m_now), m_next_order++, std::move(action)});
  }
  void RunAfter(Duration delay, std::function<void()> action) {
    RunAt(m_now + delay, std::move(action));
  }
  /// Runs all actions up to `end` and sets the clock to `end`.
  void RunUntil(TimePoint end) {
    while (!m_actions.empty() && m_actions.top().at <= end) {
      const Action next = m_actions.top();
      m_actions.pop();
      m_now = next.at;
      next.run();
    }
    m_now = end;
  }

 private:
  struct Action {
    TimePoint at;
    uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Action& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  TimePoint m_now{std::chrono::hours(1)};
  uint64_t m_next_order = 0;
  std::priority_queue<Action> m_actions;
};

}  // namespace peridotshelf::explore
