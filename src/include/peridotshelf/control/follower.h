/// Keeps the control state of a process up to date: tails the log, applies its
/// records and publishes the resulting state.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <utility>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/control/log_tracker.h"
#include "peridotshelf/io/io_threads.h"
#include "peridotshelf/platform/concepts.h"

namespace peridotshelf::control {

/// Timing of the reads.
struct FollowerOptions {
  /// Maximum wait of a read for new records.
  Duration read_wait = std::chrono::seconds(2);
  /// The delay after a failed read is random between half of a bound and the
  /// bound. The bound doubles from the initial to the maximum backoff.
  Duration initial_backoff = std::chrono::milliseconds(100);
  Duration max_backoff = std::chrono::seconds(1);
  /// Seed of the random delays.
  uint64_t seed = std::random_device{}();
};

/// Notifications to the owner, called one at a time on any thread. The
/// callbacks must not destroy the follower.
struct FollowerCallbacks {
  /// Called when a newer state is active.
  std::function<void(const ControlStatePtr&)> on_change;
  /// Called for each record applied while the state was already ready.
  std::function<void(const RecordResult&)> on_record;
};

namespace detail {

/// Emits the events of a tracker update.
void LogUpdate(const TrackerUpdate& update, const LogTracker& tracker);
/// Emits the event of a failed read.
void LogReadFailure(const Error& error);
/// Emits the event of an adopted peer state.
void LogPeerStateAdopted(const LogState& state);

/// Returns the delay before the next read, after `failures` earlier failures in
/// a row.
Duration DrawBackoff(const FollowerOptions& options, int failures,
                     std::mt19937_64& random);

/// The part of a follower that pending reads refer to through weak pointers.
template <platform::LogClient Log>
class FollowerCore : public std::enable_shared_from_this<FollowerCore<Log>> {
 public:
  FollowerCore(io::IoThreads& threads, Log& log, FollowerOptions options,
               FollowerCallbacks callbacks)
      : m_threads(&threads),
        m_log(&log),
        m_options(options),
        m_callbacks(std::move(callbacks)),
        m_random(options.seed) {}

  void Read() {
    int64_t from = 0;
    {
      std::scoped_lock lock(m_mutex);
      if (m_stopped) return;
      from = m_tracker.next_offset();
    }
    std::weak_ptr<FollowerCore> weak = this->weak_from_this();
    m_log->Read(from, m_options.read_wait,
                [weak, from](const Result<platform::LogPage>& page) {
                  if (auto self = weak.lock()) self->HandleRead(from, page);
                });
  }

  bool AdoptSnapshot(LogState state) {
    std::scoped_lock update_lock(m_update_mutex);
    {
      std::scoped_lock lock(m_mutex);
      if (m_stopped || !m_tracker.AdoptSnapshot(std::move(state))) return false;
      LogPeerStateAdopted(m_tracker.state());
    }
    Publish();
    return true;
  }

  void Stop() {
    std::scoped_lock update_lock(m_update_mutex);
    std::scoped_lock lock(m_mutex);
    m_stopped = true;
  }

  ControlStatePtr Current() const { return m_current.load(); }

  template <class Visitor>
  auto Visit(Visitor visit) const {
    std::scoped_lock lock(m_mutex);
    return visit(m_tracker);
  }

 private:
  void HandleRead(int64_t from, const Result<platform::LogPage>& page) {
    if (!page) {
      LogReadFailure(page.error());
      return ScheduleRead();
    }
    m_failures = 0;
    ApplyPage(from, *page);
    Read();
  }

  void ScheduleRead() {
    const Duration delay = DrawBackoff(m_options, m_failures++, m_random);
    std::weak_ptr<FollowerCore> weak = this->weak_from_this();
    m_threads->RunAfter(delay, [weak] {
      if (auto self = weak.lock()) self->Read();
    });
  }

  void ApplyPage(int64_t from, const platform::LogPage& page) {
    std::scoped_lock update_lock(m_update_mutex);
    TrackerUpdate update;
    bool was_ready = false;
    {
      std::scoped_lock lock(m_mutex);
      if (m_stopped) return;
      was_ready = m_tracker.readiness() == Readiness::kReady;
      update = m_tracker.ApplyPage(from, page);
      if (was_ready) LogUpdate(update, m_tracker);
    }
    Publish();
    if (!was_ready || !m_callbacks.on_record) return;
    for (const RecordResult& result : update.results) {
      m_callbacks.on_record(result);
    }
  }

  void Publish() {
    ControlStatePtr state;
    {
      std::scoped_lock lock(m_mutex);
      if (m_tracker.readiness() != Readiness::kReady) return;
      const ControlStatePtr current = m_current.load();
      const ControlState& latest = m_tracker.state().control;
      if (current && current->version == latest.version) return;
      state = std::make_shared<const ControlState>(latest);
      m_current.store(state);
    }
    if (m_callbacks.on_change) m_callbacks.on_change(state);
  }

  io::IoThreads* m_threads;
  Log* m_log;
  FollowerOptions m_options;
  FollowerCallbacks m_callbacks;
  /// Held during an update and its callbacks; locked before `m_mutex`.
  std::mutex m_update_mutex;
  mutable std::mutex m_mutex;
  LogTracker m_tracker;
  bool m_stopped = false;
  std::atomic<ControlStatePtr> m_current;
  /// At most one read is pending at a time, so these need no lock.
  int m_failures = 0;
  std::mt19937_64 m_random;
};

}  // namespace detail

/// Follows a log until destroyed. Thread-safe. `threads` and `log` must outlive
/// the follower.
template <platform::LogClient Log>
class Follower {
 public:
  Follower(io::IoThreads& threads, Log& log, FollowerOptions options = {},
           FollowerCallbacks callbacks = {})
      : m_core(std::make_shared<detail::FollowerCore<Log>>(
            threads, log, options, std::move(callbacks))) {}
  /// No callback runs after destruction.
  ~Follower() { m_core->Stop(); }
  Follower(const Follower&) = delete;
  Follower& operator=(const Follower&) = delete;

  /// Starts reading the log. Call once.
  void Start() { m_core->Read(); }

  /// The active state; null until the follower is ready.
  ControlStatePtr Current() const { return m_core->Current(); }
  /// The active version; 0 until the follower is ready.
  ControlVersion version() const {
    const ControlStatePtr state = Current();
    return state ? state->version : 0;
  }
  /// Whether the process can serve with this state, or why not.
  Readiness readiness() const {
    return m_core->Visit(
        [](const LogTracker& tracker) { return tracker.readiness(); });
  }
  /// Whether records expired before this process read them.
  bool has_gap() const {
    return m_core->Visit(
        [](const LogTracker& tracker) { return tracker.has_gap(); });
  }
  /// Returns a copy of the log state, for snapshots and peers.
  LogState state() const {
    return m_core->Visit(
        [](const LogTracker& tracker) { return tracker.state(); });
  }
  /// All records up to this offset are applied.
  int64_t applied_offset() const {
    return m_core->Visit([](const LogTracker& tracker) {
      return tracker.state().applied_offset;
    });
  }
  /// The offset of the newest snapshot in the log; 0 if none was seen.
  int64_t snapshot_offset() const {
    return m_core->Visit(
        [](const LogTracker& tracker) { return tracker.snapshot_offset(); });
  }
  /// Adopts a peer's state if it is newer. Returns whether it was adopted.
  bool AdoptSnapshot(LogState state) {
    return m_core->AdoptSnapshot(std::move(state));
  }

 private:
  std::shared_ptr<detail::FollowerCore<Log>> m_core;
};

}  // namespace peridotshelf::control
