/// One engine's admission, spoken to in frames.
#pragma once

#include <utility>
#include <vector>

#include "peridotshelf/control/configuration.h"
#include "peridotshelf/ledger/admission.h"
#include "wire/gen-cpp/peridotshelf_types.h"

namespace peridotshelf::side {

/// What a tick asks of the side.
struct AdmissionTick {
  /// Granted and Refused frames for attempts that had been queued or whose
  /// reservation lapsed.
  std::vector<std::pair<AttemptId, wire::Frame>> frames;
  /// To be cancelled at the engine, then released.
  std::vector<AttemptId> cancels;
};

/// Translates between frames and the ledger. Thread-safe.
class Admission {
 public:
  /// `entry_lease`: holds of an entry that is silent this long end. Refuses
  /// work until Rebuild was called.
  Admission(const control::EngineConfig& engine, int64_t epoch,
            Duration entry_lease);

  /// Takes the capacity, preset and teams in force.
  void ApplyState(const control::ControlState& state);
  /// See ledger::Admission.
  void Rebuild(std::span<const backend::EngineStream> streams, TimePoint now) {
    m_admission.Rebuild(streams, now);
  }
  /// The answer to a Reserve: a Granted, Queued or Refused frame.
  wire::Frame Reserve(const wire::Reserve& reserve, const ProcessId& owner,
                      TimePoint now);
  Result<void> Commit(const AttemptId& attempt, int64_t epoch, TimePoint now) {
    return m_admission.Commit(attempt, epoch, now);
  }
  void EndPrefill(const AttemptId& attempt, TimePoint now) {
    m_admission.EndPrefill(attempt, now);
  }
  void Release(const AttemptId& attempt, TimePoint now) {
    m_admission.Release(attempt, now);
  }
  ledger::CancelResult Cancel(const AttemptId& attempt, TimePoint now) {
    return m_admission.Cancel(attempt, now);
  }
  bool Claim(const AttemptId& attempt, const ProcessId& owner, TimePoint now) {
    return m_admission.Claim(attempt, owner, now);
  }
  void Extend(const ProcessId& owner, TimePoint now) {
    m_admission.Extend(owner, now);
  }
  AdmissionTick Tick(TimePoint now);
  AdmissionTick SetLeaving(bool leaving, TimePoint now);
  wire::EngineLoad Load() const;

 private:
  AdmissionTick ToTick(const std::vector<ledger::Outcome>& outcomes) const;
  wire::Frame ToFrame(const ledger::Granted& granted) const;
  wire::Frame ToFrame(const ledger::Queued& queued) const;
  wire::Frame ToFrame(const ledger::Refused& refused) const;

  const control::EngineConfig m_engine;
  ledger::Admission m_admission;
};

}  // namespace peridotshelf::side
