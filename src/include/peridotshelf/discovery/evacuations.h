/// Failure domains that the operator evacuates: no further requests are sent to
/// their engines.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/ids.h"
#include "peridotshelf/discovery/topic_position.h"

namespace peridotshelf::discovery {

/// One record of an evacuation, read from the operator's topic.
struct EvacuationRecord {
  FailureDomain domain;
  /// The record was removed.
  bool is_removed = false;
};

/// What an entry learned of an evacuation from.
enum class EvacuationSource {
  kStore,
  kPeer,
  /// The store came back from an older copy.
  kRestored,
};

/// Returns the name of the source in logs.
std::string_view ToString(EvacuationSource source);

/// An evacuation that started or ended.
struct EvacuationChange {
  FailureDomain domain;
  bool has_started = false;
  EvacuationSource source = EvacuationSource::kStore;
  /// Time for which this entry has known the evacuation.
  Duration age{};
  /// Position of the operator's topic that the change was learned at.
  TopicPosition position;

  friend bool operator==(const EvacuationChange&,
                         const EvacuationChange&) = default;
};

/// An evacuation as entries report it to each other.
struct ReportedEvacuation {
  FailureDomain domain;
  /// Zero if the evacuation has a record; else the time until it ends.
  Duration hold_left{};
};

/// All evacuations that an entry knows of at a position.
struct EvacuationReport {
  TopicPosition position;
  std::vector<ReportedEvacuation> evacuations;
};

/// The evacuations that an entry knows of, from the operator's topic and from
/// its peers. What is known at the newest position of the topic wins, so an
/// older read or report neither ends nor revives an evacuation.
///
/// A restored copy of the topic may lack an evacuation that is in force. It is
/// held for `hold_time` after the restore was seen, in which operators write it
/// again. Entries see a restore at different times; a hold is extended to the
/// end that a peer reports, but an evacuation that has ended is not held again
/// in the same epoch.
///
/// Answers the load of a domain that operators take out of service, which has
/// to move within seconds, and with the store away: it does no calls and keeps
/// what it knows. Not thread-safe.
class Evacuations {
 public:
  explicit Evacuations(Duration hold_time) : m_hold_time(hold_time) {}

  /// All methods that return changes return those in the set of evacuated
  /// domains.
  using Changes = std::vector<EvacuationChange>;

  /// Handles the newest records of all keys: `domains` are those that have a
  /// record. The topic must be read on from `position`.
  Changes ApplyFullRead(const TopicPosition& position,
                        std::span<const FailureDomain> domains, TimePoint now);
  /// Handles the records up to `position` since the last read, in their order.
  Changes ApplyChanges(const TopicPosition& position,
                       std::span<const EvacuationRecord> records,
                       TimePoint now);
  /// The topic was restored and has `epoch` now. Evacuations stay as they are
  /// until what the copy contains is read or reported.
  void NoteRestored(int64_t epoch, TimePoint now);
  /// Handles what a peer has reported with `MakeReport`.
  Changes ApplyReport(const EvacuationReport& report, TimePoint now);
  /// Ends the evacuations whose hold is over at `now`.
  Changes EndHolds(TimePoint now);

  /// Returns when the next hold is over.
  std::optional<TimePoint> NextHoldEnd() const;
  bool IsEvacuated(const FailureDomain& domain, TimePoint now) const;
  /// Returns the evacuated domains, sorted.
  std::vector<FailureDomain> FindEvacuated(TimePoint now) const;
  /// Returns what to report to peers; nullopt before the first read or report.
  std::optional<EvacuationReport> MakeReport(TimePoint now) const;
  /// Returns the position that the evacuations are known at; nullopt before the
  /// first read or report.
  const std::optional<TopicPosition>& position() const { return m_position; }

 private:
  struct Evacuation {
    TimePoint known_since{};
    /// Set while no record is known: when it ends.
    std::optional<TimePoint> held_until;
  };

  /// Makes the evacuations those of `recorded`; holds those that a new epoch
  /// lacks.
  void SetRecorded(const TopicPosition& position,
                   const std::set<FailureDomain>& recorded,
                   EvacuationSource source, TimePoint now, Changes& changes);
  /// Enters the epoch of `position`; returns whether it is a new one.
  bool Advance(const TopicPosition& position, TimePoint now);
  void Start(const FailureDomain& domain, EvacuationSource source,
             TimePoint now, Changes& changes);
  void End(const FailureDomain& domain, EvacuationSource source, TimePoint now,
           Changes& changes);
  /// Applies a hold that a peer reports.
  void ExtendHold(const ReportedEvacuation& reported, TimePoint now,
                  Changes& changes);

  struct Restore {
    int64_t epoch = 0;
    TimePoint seen_at{};
  };

  Duration m_hold_time;
  std::optional<TopicPosition> m_position;
  std::map<FailureDomain, Evacuation> m_evacuations;
  /// Domains whose evacuation ended in the current epoch.
  std::set<FailureDomain> m_ended;
  /// The last restore that was seen.
  std::optional<Restore> m_restore;
  /// When this entry learned of the current epoch.
  TimePoint m_epoch_seen_at{};
};

}  // namespace peridotshelf::discovery
