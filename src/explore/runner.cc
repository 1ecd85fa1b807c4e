#include "explore/runner.h"

#include <algorithm>
#include <set>

#include "explore/world.h"

namespace peridotshelf::explore {
namespace {

/// The default number of bypasses is too high for the few requests of a
/// schedule.
constexpr history::Limits kLimits{.max_bypasses = 2};

void CountEnd(const history::CallEnd& end, ScheduleResult& result) {
  switch (end.outcome) {
    case history::CallOutcome::kAnswered:
      ++result.answered;
      return;
    case history::CallOutcome::kRefused:
      ++(end.not_run ? result.refused_not_run : result.refused_unknown);
      return;
    case history::CallOutcome::kConnectionLost:
      ++result.connection_lost;
      return;
    case history::CallOutcome::kHungUp:
      ++result.hung_up;
      return;
  }
}

}  // namespace

bool ScheduleResult::Violates(history::Invariant invariant) const {
  return std::any_of(violations.begin(), violations.end(),
                     [invariant](const history::Violation& violation) {
                       return violation.invariant == invariant;
                     });
}

ScheduleResult RunSchedule(const Schedule& schedule,
                           const Mechanisms& without) {
  World world(schedule, without);
  world.Run();
  ScheduleResult result;
  result.violations = history::CheckAll(world.history(), kLimits);
  result.leaks = world.DescribeLeaks();
  const history::Index index(world.history());
  result.executions = static_cast<int64_t>(index.executions().size());
  for (const auto& [id, call] : index.calls()) {
    if (!call.ends.empty()) CountEnd(call.ends.front(), result);
  }
  return result;
}

void Totals::Add(const ScheduleResult& result) {
  ++schedules;
  answered += result.answered;
  refused_not_run += result.refused_not_run;
  refused_unknown += result.refused_unknown;
  connection_lost += result.connection_lost;
  hung_up += result.hung_up;
  executions += result.executions;
  if (!result.leaks.empty()) ++with_leaks;
  if (!result.IsClean()) ++failed;
  std::set<history::Invariant> invariants;
  for (const auto& violation : result.violations) {
    invariants.insert(violation.invariant);
  }
  for (const history::Invariant invariant : invariants) ++violations[invariant];
}

std::ostream& operator<<(std::ostream& out, const Totals& totals) {
  out << "schedules " << totals.schedules << ", failed " << totals.failed
      << "; calls answered " << totals.answered << ", refused not run "
      << totals.refused_not_run << ", refused otherwise "
      << totals.refused_unknown << ", connections lost "
      << totals.connection_lost << ", hung up " << totals.hung_up
      << "; executions " << totals.executions << "\n";
  for (const auto& [invariant, count] : totals.violations) {
    out << "  " << ToString(invariant) << " violated in " << count << "\n";
  }
  if (totals.with_leaks > 0) out << "  leaks in " << totals.with_leaks << "\n";
  return out;
}

}  // namespace peridotshelf::explore
