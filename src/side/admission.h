/// Adapter between wire frames and the admission control of one engine.
#pragma once

#include <utility>
#include <vector>

#include "peridotshelf/control/configuration.h"
#include "peridotshelf/ledger/admission.h"
#include "wire/gen-cpp/peridotshelf_types.h"

namespace peridotshelf::side {

/// Actions that the side must take after a tick.
struct AdmissionTick {
  /// Granted, Refused and Failed frames for attempts that were queued or whose
  /// reservation expired.
  std::vector<std::pair<AttemptId, wire::Frame>> frames;
  /// Attempts to cancel at the engine; to be released once it has confirmed.
  std::vector<AttemptId> cancels;
};

/// Translates between wire frames and `ledger::Admission`. Thread-safe.
class Admission {
 public:
  /// `entry_lease`: the allocations of an entry that sends nothing for this
  /// long expire. Reserve refuses every request until Rebuild is called.
  Admission(const control::EngineConfig& engine, int64_t epoch,
            Duration entry_lease);

  /// Applies the capacity, preset and teams of `state`.
  void ApplyState(const control::ControlState& state);
  /// Adopts the streams that the engine reports; see ledger::Admission.
  void Rebuild(std::span<const backend::EngineStream> streams, TimePoint now) {
    m_admission.Rebuild(streams, now);
  }
  /// Returns the reply to a Reserve: a Granted, Queued, Refused or Failed
  /// frame.
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
