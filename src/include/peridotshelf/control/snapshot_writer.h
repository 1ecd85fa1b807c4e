/// Appends the snapshots of one process to the log.
#pragma once

#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "peridotshelf/control/follower.h"
#include "peridotshelf/control/snapshot_schedule.h"

namespace peridotshelf::control {

namespace detail {

/// Creates the snapshot record that `author` appends.
std::string MakeSnapshotRecord(const LogState& state, const HostId& author);
/// Logs the success or failure of an append.
void LogSnapshotWritten(const LogState& state, const Result<int64_t>& result);

}  // namespace detail

/// Appends snapshots when the schedule requires it. Thread-safe. `log` and
/// `follower` must outlive it.
template <platform::LogClient Log>
class SnapshotWriter
    : public std::enable_shared_from_this<SnapshotWriter<Log>> {
 public:
  SnapshotWriter(io::IoThreads& threads, Log& log, Follower<Log>& follower,
                 HostId self, SnapshotScheduleOptions options = {})
      : m_threads(&threads),
        m_log(&log),
        m_follower(&follower),
        m_self(self),
        m_snapshot_schedule(std::move(self), options) {}

  /// Starts the periodic check. Call once.
  void Start() { Tick(); }

  /// Sets the processes that take turns in appending snapshots.
  void SetMembers(std::vector<HostId> members) {
    std::scoped_lock lock(m_mutex);
    m_members = std::move(members);
  }

 private:
  static constexpr Duration kTickInterval = std::chrono::seconds(1);

  void Tick() {
    if (m_follower->readiness() == Readiness::kReady &&
        !m_follower->has_gap()) {
      AppendIfDue();
    }
    std::weak_ptr<SnapshotWriter> weak = this->weak_from_this();
    m_threads->RunAfter(kTickInterval, [weak] {
      if (auto self = weak.lock()) self->Tick();
    });
  }

  void AppendIfDue() {
    const int64_t snapshot_offset = m_follower->snapshot_offset();
    const int64_t applied_offset = m_follower->applied_offset();
    {
      std::scoped_lock lock(m_mutex);
      if (!m_snapshot_schedule.IsDue(applied_offset, snapshot_offset, m_members,
                                     SteadyClock().Now())) {
        return;
      }
    }
    const LogState state = m_follower->state();
    m_log->Append(detail::MakeSnapshotRecord(state, m_self),
                  [state](const Result<int64_t>& result) {
                    detail::LogSnapshotWritten(state, result);
                  });
  }

  io::IoThreads* m_threads;
  Log* m_log;
  Follower<Log>* m_follower;
  HostId m_self;
  std::mutex m_mutex;
  SnapshotSchedule m_snapshot_schedule;
  std::vector<HostId> m_members;
};

}  // namespace peridotshelf::control
