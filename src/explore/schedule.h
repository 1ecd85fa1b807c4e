/// Schedules of calls and faults. The calls follow from the seed. The faults
/// are a list, so that a failing schedule can be shrunk.
#pragma once

#include <array>
#include <cstdint>
#include <ostream>
#include <set>
#include <string_view>
#include <vector>

namespace peridotshelf::explore {

/// The kinds of faults.
enum class FaultKind {
  kCutLink,       ///< A connection breaks; frames in transit are lost.
  kSilenceLink,   ///< A connection stays open but passes no frames.
  kKillEntry,     ///< An entry dies and is restarted.
  kKillSide,      ///< A side dies and is restarted; its engine runs on.
  kKillEngine,    ///< An engine drops all its attempts.
  kFreezeEntry,   ///< An entry is suspended for a while.
  kFreezeSide,    ///< A side is suspended for a while.
  kHangUp,        ///< A caller disconnects.
  kReplaceEntry,  ///< An entry is stopped gracefully and replaced.
  kReplaceSide,   ///< A side and its engine are stopped gracefully and
                  ///< replaced.
};
inline constexpr std::array kAllFaultKinds = {
    FaultKind::kCutLink,     FaultKind::kSilenceLink, FaultKind::kKillEntry,
    FaultKind::kKillSide,    FaultKind::kKillEngine,  FaultKind::kFreezeEntry,
    FaultKind::kFreezeSide,  FaultKind::kHangUp,      FaultKind::kReplaceEntry,
    FaultKind::kReplaceSide,
};

/// Returns the name of the kind, such as "kill_side".
std::string_view ToString(FaultKind kind);

/// One fault of a schedule.
struct Fault {
  FaultKind kind = FaultKind::kCutLink;
  int64_t at_ms = 0;
  /// Selects the entry, side or call, modulo their number.
  uint32_t target = 0;
  int64_t length_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const Fault& fault);

/// One run. All random choices in it follow from the seed.
struct Schedule {
  uint32_t seed = 0;
  std::vector<Fault> faults;
};

/// Returns a random schedule with up to eight faults.
Schedule MakeSchedule(uint32_t seed);

/// Mechanisms of the system that can be disabled, to test that a rule detects
/// their absence.
enum class Mechanism {
  kChunkChecks,       ///< The entry checks attempt and offset of each chunk.
  kNotRunProof,       ///< The side reports "not run" only if guaranteed.
  kProofBeforeRetry,  ///< Unrepeatable requests are retried only if
                      ///< guaranteed not to have run.
  kRequestTimer,      ///< The entry answers when the deadline passes.
  kOwnerLease,        ///< The side ends attempts whose lease expired.
  kRebuild,           ///< A restarted side recovers its engine's attempts.
  kResume,            ///< Streams are resumed on a new connection.
  kLeaveRefusal,      ///< A leaving side refuses new work.
  kGracefulStop,      ///< A stopping process waits for its requests.
  kStopLinger,        ///< An idle side still serves entries that resume.
  kSizeClasses,       ///< The side admits requests by size class.
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

/// Returns the name of the mechanism, such as "owner_lease".
std::string_view ToString(Mechanism mechanism);

using Mechanisms = std::set<Mechanism>;

}  // namespace peridotshelf::explore
