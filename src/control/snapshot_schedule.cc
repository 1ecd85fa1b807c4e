#include "peridotshelf/control/snapshot_schedule.h"

#include <xxhash.h>

#include <utility>

namespace peridotshelf::control {
namespace {

uint64_t HashMember(const HostId& member, int64_t snapshot_offset) {
  return XXH64(member.value().data(), member.value().size(),
               static_cast<uint64_t>(snapshot_offset));
}

}  // namespace

SnapshotSchedule::SnapshotSchedule(HostId self, SnapshotScheduleOptions options)
    : m_self(std::move(self)), m_options(options) {}

int64_t SnapshotSchedule::ComputeRank(std::span<const HostId> members) const {
  const uint64_t self_hash = HashMember(m_self, m_snapshot_offset);
  const bool is_listed =
      std::find(members.begin(), members.end(), m_self) != members.end();
  if (!is_listed) return static_cast<int64_t>(members.size());
  return std::count_if(
      members.begin(), members.end(), [&](const HostId& member) {
        return HashMember(member, m_snapshot_offset) < self_hash;
      });
}

bool SnapshotSchedule::IsDue(int64_t applied_offset, int64_t snapshot_offset,
                             std::span<const HostId> members, TimePoint now) {
  if (applied_offset == 0) return false;
  if (!m_snapshot_seen_at || snapshot_offset > m_snapshot_offset) {
    m_snapshot_offset = snapshot_offset;
    m_snapshot_seen_at = now;
    m_record_limit_at.reset();
    m_appended_at.reset();
  }
  if (!m_record_limit_at &&
      applied_offset - m_snapshot_offset >= m_options.max_records) {
    m_record_limit_at = now;
  }
  TimePoint due = *m_snapshot_seen_at + m_options.interval;
  if (m_record_limit_at) due = std::min(due, *m_record_limit_at);
  due += m_options.turn_length * ComputeRank(members);
  const auto turn_count = static_cast<int64_t>(members.size()) + 1;
  if (m_appended_at) due = *m_appended_at + m_options.turn_length * turn_count;
  if (now < due) return false;
  m_appended_at = now;
  return true;
}

}  // namespace peridotshelf::control
