/// Decides which process appends the next snapshot to the log, and when. No
/// I/O. Two that append at once do no harm: a follower that has the state
/// passes over both, and a newcomer takes the first that reaches.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/ids.h"

namespace peridotshelf::control {

/// How often snapshots are due and how processes take turns.
struct SnapshotScheduleOptions {
  /// Time between snapshots; well under the log's retention.
  Duration interval = std::chrono::minutes(10);
  /// Records after which a snapshot is due earlier.
  int64_t max_records = 256;
  /// Each member gives those before it this long.
  Duration step = std::chrono::seconds(5);
};

/// The duty as one process sees it: the members are ordered by a hash of their
/// name and the last snapshot's offset, and each waits one step longer than
/// the one before it. Not thread-safe.
class SnapshotSchedule {
 public:
  explicit SnapshotSchedule(HostId self, SnapshotScheduleOptions options = {});

  /// Whether to append now. `snapshot_offset` is that of the newest snapshot
  /// seen on the log. A process that says yes is asked again after its turn
  /// has come round once more, unless a snapshot appears.
  bool IsDue(int64_t applied_offset, int64_t snapshot_offset,
             std::span<const HostId> members, TimePoint now);

 private:
  /// Members before this process; one that is not listed comes last.
  int64_t Rank(std::span<const HostId> members) const;

  HostId m_self;
  SnapshotScheduleOptions m_options;
  int64_t m_snapshot_offset = 0;
  /// When the newest snapshot was first seen.
  std::optional<TimePoint> m_seen_at;
  /// When too many records had come since.
  std::optional<TimePoint> m_full_at;
  std::optional<TimePoint> m_appended_at;
};

}  // namespace peridotshelf::control
