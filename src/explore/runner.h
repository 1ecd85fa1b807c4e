/// Runs schedules and judges their histories.
#pragma once

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "explore/schedule.h"
#include "peridotshelf/history/checker.h"

namespace peridotshelf::explore {

/// What one schedule showed.
struct ScheduleResult {
  std::vector<history::Violation> violations;
  /// What sides hold without a reason; empty if nothing.
  std::string held;
  int64_t answered = 0;
  int64_t refused_not_run = 0;
  int64_t refused_unknown = 0;
  int64_t connection_lost = 0;
  int64_t hung_up = 0;
  int64_t executions = 0;

  bool Clean() const { return violations.empty() && held.empty(); }
  bool Breaks(history::Invariant invariant) const;
};

/// Runs one schedule, without the given mechanisms.
ScheduleResult RunSchedule(const Schedule& schedule,
                           const Mechanisms& without = {});

/// Sums over schedules.
struct Totals {
  int64_t schedules = 0;
  int64_t broken = 0;
  int64_t answered = 0;
  int64_t refused_not_run = 0;
  int64_t refused_unknown = 0;
  int64_t connection_lost = 0;
  int64_t hung_up = 0;
  int64_t executions = 0;
  /// Schedules that broke each rule.
  std::map<history::Invariant, int64_t> broken_by_rule;
  int64_t held = 0;

  void Add(const ScheduleResult& result);
};

std::ostream& operator<<(std::ostream& out, const Totals& totals);

}  // namespace peridotshelf::explore
