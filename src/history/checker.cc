#include "peridotshelf/history/checker.h"

#include "peridotshelf/history/rules.h"

namespace peridotshelf::history {

std::string_view ToString(Invariant invariant) {
  switch (invariant) {
    case Invariant::kAnsweredInTime:
      return "answered_in_time";
    case Invariant::kWholeAnswer:
      return "whole_answer";
    case Invariant::kNotRunTrue:
      return "not_run_true";
    case Invariant::kAtMostOnce:
      return "at_most_once";
    case Invariant::kNoMemoryHeld:
      return "no_memory_held";
    case Invariant::kOrphansReleased:
      return "orphans_released";
    case Invariant::kLeavingTakesNoWork:
      return "leaving_takes_no_work";
    case Invariant::kNoAnswerLost:
      return "no_answer_lost";
    case Invariant::kStopCutsNothing:
      return "stop_cuts_nothing";
    case Invariant::kOneControlOrder:
      return "one_control_order";
    case Invariant::kChangeInForce:
      return "change_in_force";
    case Invariant::kShortNotStarved:
      return "short_not_starved";
    case Invariant::kGivenUpAtOnce:
      return "given_up_at_once";
  }
  return "unknown";
}

Limits WithSlack(Limits limits, Duration slack) {
  limits.answer_grace += slack;
  limits.leave_bound += slack;
  limits.change_bound += slack;
  limits.orphan_bound += slack;
  limits.give_up_bound += slack;
  return limits;
}

std::ostream& operator<<(std::ostream& out, const Violation& violation) {
  return out << ToString(violation.invariant) << " at "
             << ToMilliseconds(violation.time.time_since_epoch())
             << " ms: " << violation.subject << ": " << violation.detail;
}

std::vector<Violation> CheckAll(std::span<const HistoryEvent> events,
                                const Limits& limits) {
  return CheckRules<AnsweredInTime, WholeAnswer, NotRunTrue, AtMostOnce,
                    NoMemoryHeld, OrphansReleased, LeavingTakesNoWork,
                    NoAnswerLost, StopCutsNothing, OneControlOrder,
                    ChangeInForce, ShortNotStarved, GivenUpAtOnce>(events,
                                                                   limits);
}

}  // namespace peridotshelf::history
