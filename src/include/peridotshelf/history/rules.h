/// The rules, one for each invariant.
#pragma once

#include <vector>

#include "peridotshelf/history/checker.h"

namespace peridotshelf::history {

/// Each call has exactly one outcome, by its deadline. A call without an
/// outcome at the end of the history is checked only if its deadline has
/// passed.
struct AnsweredInTime {
  static constexpr Invariant kInvariant = Invariant::kAnsweredInTime;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// A caller receives the chunks of the answer to its request in order, each
/// exactly once, and all of them before the regular end.
struct WholeAnswer {
  static constexpr Invariant kInvariant = Invariant::kWholeAnswer;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// No request that was refused as "not run" ever begins at a backend server.
struct NotRunTrue {
  static constexpr Invariant kInvariant = Invariant::kNotRunTrue;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// An unrepeatable request begins at most one execution. All calls with the
/// same idempotency key count as one request.
struct AtMostOnce {
  static constexpr Invariant kInvariant = Invariant::kAtMostOnce;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// The last memory report of each backend server is zero, unless the server was
/// killed after it.
struct NoMemoryHeld {
  static constexpr Invariant kInvariant = Invariant::kNoMemoryHeld;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// Executions started by an entry that was killed end within a bound.
struct OrphansReleased {
  static constexpr Invariant kInvariant = Invariant::kOrphansReleased;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// No execution begins at a backend server later than a bound after its leave
/// mark. A frozen side cannot receive the mark, so the bound then counts from
/// the thaw.
struct LeavingTakesNoWork {
  static constexpr Invariant kInvariant = Invariant::kLeavingTakesNoWork;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// A request that may have run fails only if its caller abandons it, its
/// deadline passes, or a process that served it is killed or frozen. A
/// connection that breaks or stops passing frames does not justify a failure.
struct NoAnswerLost {
  static constexpr Invariant kInvariant = Invariant::kNoAnswerLost;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// Requests in flight at a planned stop are answered, and no caller loses its
/// connection, unless a fault, the caller or the deadline explains it.
struct StopCutsNothing {
  static constexpr Invariant kInvariant = Invariant::kStopCutsNothing;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// A process applies accepted versions in ascending order, and a version has
/// the same preset in all processes.
struct OneControlOrder {
  static constexpr Invariant kInvariant = Invariant::kOneControlOrder;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// Each process that is not killed, frozen or stopped applies an accepted
/// version within a bound. During an outage of the log the bound counts from
/// the end of the outage.
struct ChangeInForce {
  static constexpr Invariant kInvariant = Invariant::kChangeInForce;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// While a short request is queued, at most a bounded number of long ones begin
/// at the backend server that later runs it. For a request that never runs, a
/// violation needs more than that number at every backend server.
struct ShortNotStarved {
  static constexpr Invariant kInvariant = Invariant::kShortNotStarved;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// A request that is given up has its outcome within a bound, and so has a
/// request that can be refused at its arrival.
struct GivenUpAtOnce {
  static constexpr Invariant kInvariant = Invariant::kGivenUpAtOnce;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

}  // namespace peridotshelf::history
