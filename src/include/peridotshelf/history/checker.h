/// Checks a recorded history against the invariants of the system.
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

/// The invariants. Each is checked by one rule.
enum class Invariant {
  kAnsweredInTime,      ///< Each call has one outcome by its deadline.
  kWholeAnswer,         ///< Answers are complete, to the right caller.
  kNotRunTrue,          ///< A request reported as not run never runs.
  kAtMostOnce,          ///< An unrepeatable request runs at most once.
  kNoMemoryHeld,        ///< Engines have released all memory at the end.
  kOrphansReleased,     ///< A dead entry's executions end within a bound.
  kLeavingTakesNoWork,  ///< A leaving backend server starts no new work.
  kNoAnswerLost,        ///< Only process failures lose an answer.
  kStopCutsNothing,     ///< No request fails due to a planned stop.
  kOneControlOrder,     ///< Versions are applied in one ascending order.
  kChangeInForce,       ///< Accepted changes take effect within a bound.
  kShortNotStarved,     ///< Few long requests overtake a queued short one.
  kGivenUpAtOnce,       ///< A request that is given up is refused at once.
};

/// Returns the stable name of the invariant, such as "answered_in_time".
std::string_view ToString(Invariant invariant);

/// A violation of an invariant, found by its rule.
struct Violation {
  Invariant invariant = Invariant::kAnsweredInTime;
  TimePoint time;
  /// The call, request, backend server or process that violates the invariant.
  std::string subject;
  /// A description for people.
  std::string detail;
};

/// Prints the violation without a line end.
std::ostream& operator<<(std::ostream& out, const Violation& violation);

/// The bounds that the rules use.
struct Limits {
  /// Time after the deadline for the outcome to reach the caller.
  Duration answer_grace = std::chrono::milliseconds(500);
  /// Time from a backend server's leave mark to the last execution it begins.
  Duration leave_bound = std::chrono::seconds(3);
  /// Time from the acceptance of a change until all processes apply it.
  Duration change_bound = std::chrono::seconds(3);
  /// Time from the death of an entry to the end of the executions it started.
  Duration orphan_bound = std::chrono::seconds(5);
  /// Time from giving a request up to the outcome at its caller.
  Duration give_up_bound = std::chrono::milliseconds(500);
  /// Number of long requests that may begin at a backend server while a short
  /// one is queued.
  int64_t max_bypasses = 8;
};

/// Returns `limits` with `slack` added to each time bound, for runs of real
/// processes on a host that is also used for other work.
Limits WithSlack(Limits limits, Duration slack);

/// A rule: checks one invariant and appends the violations to `found`.
template <class R>
concept Rule = requires(const Index& index, const Limits& limits,
                        std::vector<Violation>& found) {
  { R::kInvariant } -> std::convertible_to<Invariant>;
  R::Check(index, limits, found);
};

/// Applies the rules given as template arguments. `events` are ordered by time.
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
