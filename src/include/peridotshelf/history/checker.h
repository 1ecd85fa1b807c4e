/// Judges a history by one rule for each invariant.
#pragma once

#include <array>
#include <concepts>
#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "peridotshelf/history/index.h"

namespace peridotshelf::history {

/// The invariants, one for each rule.
enum class Invariant {
  kAnsweredInTime,      ///< Each call has one outcome within its time.
  kWholeAnswer,         ///< Each answer is whole and its own caller's.
  kNotRunTrue,          ///< A request said not to have run never runs.
  kAtMostOnce,          ///< An unrepeatable request runs at most once.
  kNoMemoryHeld,        ///< Engines end with no memory held.
  kOrphansReleased,     ///< A dead entry's executions end within a bound.
  kLeavingTakesNoWork,  ///< A leaving backend server is given no new work.
  kNoAnswerLost,        ///< Only faults of processes lose an answer.
  kStopCutsNothing,     ///< A planned stop ends no request.
  kOneControlOrder,     ///< All follow one order of versions, forwards only.
  kChangeInForce,       ///< Accepted changes are in force within a bound.
  kShortNotStarved,     ///< Few long requests overtake a waiting short one.
  kGivenUpAtOnce,       ///< A request given up is answered at once.
};

/// The invariant's stable name, such as "answered_in_time".
std::string_view ToString(Invariant invariant);

/// A fault that a rule found.
struct Violation {
  Invariant invariant = Invariant::kAnsweredInTime;
  TimePoint time;
  /// The call, request, backend server or process concerned.
  std::string subject;
  /// For people.
  std::string detail;
};

/// Prints one line.
std::ostream& operator<<(std::ostream& out, const Violation& violation);

/// The bounds that the rules apply.
struct Limits {
  /// Beyond the caller's time, for the outcome's way to the caller.
  Duration answer_grace = std::chrono::milliseconds(500);
  /// From a backend server's leave mark to its last new execution.
  Duration leave_bound = std::chrono::seconds(3);
  /// From a change's acceptance to its being in force everywhere.
  Duration change_bound = std::chrono::seconds(3);
  /// From an entry's death to the end of the executions it started.
  Duration orphan_bound = std::chrono::seconds(5);
  /// From giving up to the caller's outcome.
  Duration give_up_bound = std::chrono::milliseconds(500);
  /// Long requests that may begin at a backend server while a short one waits.
  int64_t max_bypasses = 8;
};

/// `limits` with `slack` added to each bound on time, for runs of processes on
/// a machine that has other work.
Limits WithSlack(Limits limits, Duration slack);

/// One rule: reports what it finds wrong in a history.
template <class R>
concept Rule = requires(const Index& index, const Limits& limits,
                        std::vector<Violation>& found) {
  { R::kInvariant } -> std::convertible_to<Invariant>;
  R::Check(index, limits, found);
};

/// Applies the rules given as template arguments.
template <Rule... Rules>
std::vector<Violation> CheckRules(std::span<const HistoryEvent> events,
                                  const Limits& limits = {}) {
  const Index index(events);
  std::vector<Violation> found;
  (Rules::Check(index, limits, found), ...);
  return found;
}

/// Applies all rules. `events` are ordered by time.
std::vector<Violation> CheckAll(std::span<const HistoryEvent> events,
                                const Limits& limits = {});

}  // namespace peridotshelf::history
