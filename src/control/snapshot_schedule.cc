#include "peridotshelf/control/snapshot_schedule.h"

#include <xxhash.h>

#include <utility>

namespace peridotshelf::control {
namespace {

uint64_t HashOf(const HostId& member, int64_t snapshot_offset) {
  return XXH64(member.value().data(), member.value().size(),
               static_cast<uint64_t>(snapshot_offset));
}

}  // namespace

SnapshotSchedule::SnapshotSchedule(HostId self, SnapshotScheduleOptions options)
    : m_self(std::move(self)), m_options(options) {}

int64_t SnapshotSchedule::Rank(std::span<const HostId> members) const {
  const uint64_t own = HashOf(m_self, m_snapshot_offset);
  const bool listed =
      std::find(members.begin(), members.end(), m_self) != members.end();
  if (!listed) return static_cast<int64_t>(members.size());
  return std::count_if(members.begin(), members.end(),
                       [&](const HostId& member) {
                         return HashOf(member, m_snapshot_offset) < own;
                       });
}

bool SnapshotSchedule::IsDue(int64_t applied_offset, int64_t snapshot_offset,
                             std::span<const HostId> members, TimePoint now) {
  if (applied_offset == 0) return false;
  if (!m_seen_at || snapshot_offset > m_snapshot_offset) {
    m_snapshot_offset = snapshot_offset;
    m_seen_at = now;
    m_full_at.reset();
    m_appended_at.reset();
  }
  if (!m_full_at &&
      applied_offset - m_snapshot_offset >= m_options.max_records) {
    m_full_at = now;
  }
  TimePoint due = *m_seen_at + m_options.interval;
  if (m_full_at) due = std::min(due, *m_full_at);
  due += m_options.step * Rank(members);
  const auto rounds = static_cast<int64_t>(members.size()) + 1;
  if (m_appended_at) due = *m_appended_at + m_options.step * rounds;
  if (now < due) return false;
  m_appended_at = now;
  return true;
}

}  // namespace peridotshelf::control
