/// The rules, one for each invariant.
#pragma once

#include <vector>

#include "peridotshelf/history/checker.h"

namespace peridotshelf::history {

/// Each call has exactly one outcome, within its time. A call in flight at
/// the history's end is judged only if its time is over.
struct AnsweredInTime {
  static constexpr Invariant kInvariant = Invariant::kAnsweredInTime;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// A caller receives the chunks of its own answer, in order, each once, and
/// all of them before the regular end.
struct WholeAnswer {
  static constexpr Invariant kInvariant = Invariant::kWholeAnswer;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// No request whose refusal said "not run" ever begins at a backend server.
struct NotRunTrue {
  static constexpr Invariant kInvariant = Invariant::kNotRunTrue;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// An unrepeatable request, or all calls with its idempotency key together,
/// begin at most one execution.
struct AtMostOnce {
  static constexpr Invariant kInvariant = Invariant::kAtMostOnce;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// The last report of each backend server that ran anything is zero.
struct NoMemoryHeld {
  static constexpr Invariant kInvariant = Invariant::kNoMemoryHeld;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// Executions that a killed entry started end within a bound.
struct OrphansReleased {
  static constexpr Invariant kInvariant = Invariant::kOrphansReleased;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// After its leave mark and a bound, nothing begins at a backend server. While
/// its side is frozen it cannot be told, so the bound counts from the thaw.
struct LeavingTakesNoWork {
  static constexpr Invariant kInvariant = Invariant::kLeavingTakesNoWork;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// A request that may have run ends without its answer only by its caller, by
/// its time, or by a kill or freeze of a process that served it. A connection
/// that breaks or falls silent is no excuse.
struct NoAnswerLost {
  static constexpr Invariant kInvariant = Invariant::kNoAnswerLost;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// Requests in flight at a planned stop are answered, and no caller loses
/// its connection, unless a fault or the caller's own time explains it.
struct StopCutsNothing {
  static constexpr Invariant kInvariant = Invariant::kStopCutsNothing;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// A process moves only forward through accepted versions, and a version
/// means the same preset everywhere.
struct OneControlOrder {
  static constexpr Invariant kInvariant = Invariant::kOneControlOrder;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// Each process that runs undisturbed reaches an accepted version within a
/// bound; an outage of the log defers the bound to its end.
struct ChangeInForce {
  static constexpr Invariant kInvariant = Invariant::kChangeInForce;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// While a short request waits, at most a bounded number of long ones begin
/// at the backend server that runs it, or, if none does, at each of them.
struct ShortNotStarved {
  static constexpr Invariant kInvariant = Invariant::kShortNotStarved;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

/// A request given up has its outcome within a bound, and so has one that
/// its first look shows to be impossible.
struct GivenUpAtOnce {
  static constexpr Invariant kInvariant = Invariant::kGivenUpAtOnce;
  static void Check(const Index& index, const Limits& limits,
                    std::vector<Violation>& found);
};

}  // namespace peridotshelf::history
