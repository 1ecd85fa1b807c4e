#include "explore/schedule.h"

#include <random>

namespace peridotshelf::explore {
namespace {

constexpr uint32_t kMaxFaults = 8;
constexpr int64_t kLastFaultMs = 15'000;
constexpr int64_t kMaxFaultMs = 8'000;

}  // namespace

std::string_view ToString(FaultKind kind) {
  switch (kind) {
    case FaultKind::kCutLink:
      return "cut_link";
    case FaultKind::kSilenceLink:
      return "silence_link";
    case FaultKind::kKillEntry:
      return "kill_entry";
    case FaultKind::kKillSide:
      return "kill_side";
    case FaultKind::kKillEngine:
      return "kill_engine";
    case FaultKind::kFreezeEntry:
      return "freeze_entry";
    case FaultKind::kFreezeSide:
      return "freeze_side";
    case FaultKind::kHangUp:
      return "hang_up";
    case FaultKind::kReplaceEntry:
      return "replace_entry";
    case FaultKind::kReplaceSide:
      return "replace_side";
  }
  return "unknown";
}

std::ostream& operator<<(std::ostream& out, const Fault& fault) {
  return out << ToString(fault.kind) << " of " << fault.target << " at "
             << fault.at_ms << " ms for " << fault.length_ms << " ms";
}

Schedule MakeSchedule(uint32_t seed) {
  std::mt19937 random(seed);
  const auto draw = [&random](int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random);
  };
  Schedule schedule{seed, {}};
  const int64_t faults = draw(0, kMaxFaults);
  for (int64_t i = 0; i < faults; ++i) {
    Fault fault;
    fault.kind = kAllFaultKinds[static_cast<size_t>(
        draw(0, static_cast<int64_t>(kAllFaultKinds.size()) - 1))];
    fault.at_ms = draw(0, kLastFaultMs);
    fault.target = static_cast<uint32_t>(draw(0, 1'000));
    fault.length_ms = draw(1, kMaxFaultMs);
    schedule.faults.push_back(fault);
  }
  return schedule;
}

std::string_view ToString(Mechanism mechanism) {
  switch (mechanism) {
    case Mechanism::kChunkChecks:
      return "chunk_checks";
    case Mechanism::kNotRunProof:
      return "not_run_proof";
    case Mechanism::kProofBeforeRetry:
      return "proof_before_retry";
    case Mechanism::kRequestTimer:
      return "request_timer";
    case Mechanism::kOwnerLease:
      return "owner_lease";
    case Mechanism::kRebuild:
      return "rebuild";
    case Mechanism::kResume:
      return "resume";
    case Mechanism::kLeaveRefusal:
      return "leave_refusal";
    case Mechanism::kGracefulStop:
      return "graceful_stop";
    case Mechanism::kStopLinger:
      return "stop_linger";
    case Mechanism::kSizeClasses:
      return "size_classes";
    case Mechanism::kPromptRefusal:
      return "prompt_refusal";
  }
  return "unknown";
}

}  // namespace peridotshelf::explore
