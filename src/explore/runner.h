/// Runs schedules and checks their histories.
#pragma once

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "explore/schedule.h"
#include "peridotshelf/history/checker.h"

namespace peridotshelf::explore {

/// The result of one schedule.
struct ScheduleResult {
  std::vector<history::Violation> violations;
  /// Attempts and memory that sides still hold at the end; empty if none.
  std::string leaks;
  int64_t answered = 0;
  int64_t refused_not_run = 0;
  int64_t refused_unknown = 0;
  int64_t connection_lost = 0;
  int64_t hung_up = 0;
  int64_t executions = 0;

  bool IsClean() const { return violations.empty() && leaks.empty(); }
  bool Violates(history::Invariant invariant) const;
};

/// Runs one schedule with the mechanisms in `without` disabled.
ScheduleResult RunSchedule(const Schedule& schedule,
                           const Mechanisms& without = {});

/// Totals over schedules.
struct Totals {
  int64_t schedules = 0;
  int64_t failed = 0;
  int64_t answered = 0;
  int64_t refused_not_run = 0;
  int64_t refused_unknown = 0;
  int64_t connection_lost = 0;
  int64_t hung_up = 0;
  int64_t executions = 0;
  /// Number of schedules that violated each invariant.
  std::map<history::Invariant, int64_t> violations;
  /// Number of schedules with leaks.
  int64_t with_leaks = 0;

  void Add(const ScheduleResult& result);
};

std::ostream& operator<<(std::ostream& out, const Totals& totals);

}  // namespace peridotshelf::explore
