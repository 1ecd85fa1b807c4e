/// Decides which process appends the next snapshot to the log, and when,
/// without I/O. Two concurrent snapshots are harmless: a follower with an
/// up-to-date state ignores both, and a new process adopts the first that
/// covers its gap.
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
  /// Time between snapshots; must be well below the log's retention period.
  Duration interval = std::chrono::minutes(10);
  /// Number of records after which a snapshot is due before the interval ends.
  int64_t max_records = 256;
  /// Delay between the turns of consecutive members.
  Duration turn_length = std::chrono::seconds(5);
};

/// The schedule of one process. The members are ordered by a hash of their name
/// and the last snapshot's offset, and each member's turn starts one turn
/// length after that of the member before it. Not thread-safe.
class SnapshotSchedule {
 public:
  explicit SnapshotSchedule(HostId self, SnapshotScheduleOptions options = {});

  /// Whether to append a snapshot now. `snapshot_offset` is the offset of the
  /// newest snapshot in the log. After returning true, returns true again only
  /// after a full round of turns without a new snapshot.
  bool IsDue(int64_t applied_offset, int64_t snapshot_offset,
             std::span<const HostId> members, TimePoint now);

 private:
  /// Returns the number of members before this process; all of them if it is
  /// not a member.
  int64_t ComputeRank(std::span<const HostId> members) const;

  HostId m_self;
  SnapshotScheduleOptions m_options;
  int64_t m_snapshot_offset = 0;
  /// When the newest snapshot was first seen.
  std::optional<TimePoint> m_snapshot_seen_at;
  /// When the number of records since that snapshot reached `max_records`.
  std::optional<TimePoint> m_record_limit_at;
  std::optional<TimePoint> m_appended_at;
};

}  // namespace peridotshelf::control
