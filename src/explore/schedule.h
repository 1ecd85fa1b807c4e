/// What one schedule does: its calls come from the seed, its faults are listed
/// so that a failing one can be shrunk.
#pragma once

#include <array>
#include <cstdint>
#include <ostream>
#include <set>
#include <string_view>
#include <vector>

namespace peridotshelf::explore {

/// What goes wrong at one moment.
enum class FaultKind {
  kCutLink,       ///< One connection breaks; frames under way are lost.
  kSilenceLink,   ///< One connection passes on nothing more, but stays open.
  kKillEntry,     ///< An entry dies and is started again.
  kKillSide,      ///< A side dies and is started again; its engine goes on.
  kKillEngine,    ///< An engine drops all it runs.
  kFreezeEntry,   ///< An entry does nothing for a while.
  kFreezeSide,    ///< A side does nothing for a while.
  kHangUp,        ///< A caller goes away.
  kReplaceEntry,  ///< An entry is stopped in an orderly way and replaced.
  kReplaceSide,   ///< The same with a host of engines.
};
inline constexpr std::array kAllFaultKinds = {
    FaultKind::kCutLink,     FaultKind::kSilenceLink, FaultKind::kKillEntry,
    FaultKind::kKillSide,    FaultKind::kKillEngine,  FaultKind::kFreezeEntry,
    FaultKind::kFreezeSide,  FaultKind::kHangUp,      FaultKind::kReplaceEntry,
    FaultKind::kReplaceSide,
};

/// The kind's name, such as "kill_side".
std::string_view ToString(FaultKind kind);

/// One fault of a schedule.
struct Fault {
  FaultKind kind = FaultKind::kCutLink;
  int64_t at_ms = 0;
  /// Chooses what is hit, modulo the number of such things.
  uint32_t target = 0;
  int64_t length_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const Fault& fault);

/// One run: everything random in it follows from the seed.
struct Schedule {
  uint32_t seed = 0;
  std::vector<Fault> faults;
};

/// A schedule with up to eight faults.
Schedule MakeSchedule(uint32_t seed);

/// Parts of the system that can be left out, to see that a rule notices.
enum class Mechanism {
  kChunkChecks,       ///< The entry checks attempt and offset of each chunk.
  kNotRunProof,       ///< The side says "not run" only if that is proved.
  kProofBeforeRetry,  ///< Unrepeatable requests are run again only on proof.
  kRequestTimer,      ///< The entry answers when the caller's time passes.
  kOwnerLease,        ///< The side ends what its entry no longer renews.
  kRebuild,           ///< A restarted side adopts what its engine runs.
  kResume,            ///< Streams are taken up again on a new connection.
  kLeaveRefusal,      ///< A leaving side refuses new work.
  kGracefulStop,      ///< A stopping process waits for what it runs.
  kStopLinger,        ///< An idle side stays for entries that resume.
  kSizeClasses,       ///< The side admits by size classes.
  kPromptRefusal,     ///< The entry passes on a final refusal at once.
};
inline constexpr std::array kAllMechanisms = {
    Mechanism::kChunkChecks,      Mechanism::kNotRunProof,
    Mechanism::kProofBeforeRetry, Mechanism::kRequestTimer,
    Mechanism::kOwnerLease,       Mechanism::kRebuild,
    Mechanism::kResume,           Mechanism::kLeaveRefusal,
    Mechanism::kGracefulStop,     Mechanism::kStopLinger,
    Mechanism::kSizeClasses,      Mechanism::kPromptRefusal,
};

/// The mechanism's name, such as "owner_lease".
std::string_view ToString(Mechanism mechanism);

using Mechanisms = std::set<Mechanism>;

}  // namespace peridotshelf::explore
