/// Finds out which requests crash engines, and keeps them from the engines.
///
/// A suspect is quarantined when engines crashed under it at several separate
/// moments, no request with it ran to its end since the first of them, and the
/// engines are not failing for another reason. Entries exchange their records,
/// so that crashes count wherever they were seen. Answers the load of callers
/// who send requests that end engine after engine; sound requests that such a
/// crash ends, or any other outage, are not to be taken for its cause.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/quarantine/suspect_record.h"

namespace peridotshelf::quarantine {

struct QuarantineOptions {
  /// Moments at which engines crashed under a suspect before it is quarantined.
  size_t crashes_of_prompt_part = 5;
  /// The same for whole requests, which are alike by chance more rarely.
  size_t crashes_of_request = 3;
  /// Length while it is not clear that the suspect is to blame, so that a sound
  /// one is soon cleared.
  Duration contested_quarantine = std::chrono::seconds(5);
  /// Length of the first quarantine otherwise; doubled each time that the
  /// request which is sent after it crashes an engine as well.
  Duration first_quarantine = std::chrono::seconds(60);
  Duration longest_quarantine = std::chrono::hours(1);
};

/// A request that was at an engine when it crashed and had not begun to answer.
struct CrashedRequest {
  /// Hash of the request's id.
  uint64_t request = 0;
  TimePoint sent_at{};
  std::span<const Suspect> suspects;
};

struct EngineCrash {
  uint64_t engine = 0;
  uint64_t service = 0;
  TimePoint crashed_at{};
  std::span<const CrashedRequest> requests;
};

/// Position of this entry among the live entries, by which they take turns.
struct EntryTurn {
  size_t rank = 0;
  size_t entries = 1;
};

/// Whether a request may be sent to an engine.
struct Admission {
  bool is_admitted = true;
  /// Until the quarantine ends, if the request is not admitted.
  Duration time_left{};
  SuspectId suspect = 0;
};

/// Not thread-safe.
class CrashQuarantine {
 public:
  explicit CrashQuarantine(const QuarantineOptions& options)
      : m_options(options) {}

  /// Records the crash of an engine, for the next `Review`.
  void NoteCrash(const EngineCrash& crash, TimePoint now);
  /// Records that a request ran to its end at an engine of `service`. Returns
  /// the suspects whose quarantine this ends.
  std::vector<SuspectId> NoteCompleted(uint64_t service,
                                       std::span<const Suspect> suspects,
                                       TimePoint now);
  /// Decides whether a request may be sent. After a quarantine, admits one
  /// request at a time, at the entry whose turn it is.
  Admission Admit(uint64_t request, std::span<const Suspect> suspects,
                  const EntryTurn& turn, TimePoint now);
  /// Returns whether one more crash may quarantine the request as a whole, so
  /// that it should not be repeated after a failure that may be a crash.
  bool IsNearQuarantine(std::span<const Suspect> suspects) const;
  /// Ends the trial of a request that neither crashed an engine nor completed.
  void EndTrial(uint64_t request);

  /// Merges what another entry knows. Returns the suspects that this
  /// quarantines.
  std::vector<SuspectId> Apply(std::span<const SuspectRecord> records,
                               TimePoint now);
  /// Decides on the suspects of recent crashes, once other entries have had the
  /// time to report what they ran at the same engines. To be called about ten
  /// times a second while `HasToReview`. Returns the suspects that are
  /// quarantined from now on.
  std::vector<SuspectId> Review(TimePoint now);
  bool HasToReview() const { return !m_to_review.empty(); }
  /// Returns the records that changed here since the last call, which other
  /// entries should get at once.
  std::vector<SuspectRecord> TakeChanged();
  /// Returns up to `count` records; repeated calls return all of them in turn.
  std::vector<SuspectRecord> NextToRepeat(size_t count, TimePoint now);
  /// Returns up to `count` records of quarantined suspects.
  std::vector<SuspectRecord> Quarantined(size_t count) const;

  const SuspectRecord* Find(SuspectId id) const;
  /// Number of crashes that count against the suspect.
  size_t CountCrashes(SuspectId id) const;
  size_t CountQuarantined() const { return m_quarantined.size(); }
  size_t size() const { return m_records.size(); }

 private:
  SuspectRecord& FindOrAdd(const Suspect& suspect, uint64_t service);
  size_t CrashesToQuarantine(SuspectKind kind) const;
  /// Removes a record to bound their number: the one with the fewest and oldest
  /// crashes.
  void MakeRoom();
  void Expire(TimePoint now);
  /// How sure it is that a suspect is to blame.
  enum class Blame {
    kNone,
    /// Another suspect was at nearly the same crashes, or the engines run
    /// nothing to its end.
    kContested,
    kClear,
  };
  /// Quarantined suspects by the engines that crashed under them.
  using Culprits =
      std::unordered_map<uint64_t, std::vector<const SuspectRecord*>>;
  /// What a decision is made by.
  struct Evidence {
    /// Later crashes are left out.
    TimePoint as_of{};
    Culprits culprits;
  };
  Culprits FindCulprits() const;
  Blame Judge(const SuspectRecord& record, const Evidence& evidence) const;
  /// Returns the record without the crashes that are too late and those that
  /// quarantined suspects of other requests explain.
  static SuspectRecord WithoutExplained(const SuspectRecord& record,
                                        const Evidence& evidence);
  /// Returns whether quarantined suspects of the same requests leave enough
  /// crashes unexplained.
  static bool HasCrashesOfItsOwn(const SuspectRecord& unexplained,
                                 const Evidence& evidence);
  /// Returns whether a suspect of other requests was at some of the same
  /// crashes and at `min_crashes` or more in all.
  bool HasRival(const SuspectRecord& unexplained, size_t min_crashes,
                const Evidence& evidence) const;
  /// Returns whether a suspect that fewer requests share, of the same requests,
  /// may be to blame instead.
  bool HasDeeperCandidate(const SuspectRecord& unexplained, size_t moments,
                          const Evidence& evidence) const;
  /// Returns the share of the crashes of the service, since the first one under
  /// the suspect, that were under it.
  double ShareOfCrashes(const SuspectRecord& unexplained,
                        const Evidence& evidence) const;
  void Extend(SuspectRecord& record, const CrashSighting& sighting);
  Duration LengthOf(int32_t level) const;

  QuarantineOptions m_options;
  std::unordered_map<SuspectId, SuspectRecord> m_records;
  std::unordered_set<SuspectId> m_quarantined;
  std::unordered_set<SuspectId> m_changed;
  std::unordered_set<SuspectId> m_to_review;
  struct Trial {
    uint64_t request = 0;
    TimePoint started_at{};
  };
  std::unordered_map<SuspectId, Trial> m_trials;
  TimePoint m_expired_at{};
  SuspectId m_last_repeated = 0;
};

}  // namespace peridotshelf::quarantine
