/// Keeps a process's control state up to date: tails the log, folds it and
/// publishes the result.
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
  /// How long the log may hold a read back.
  Duration read_wait = std::chrono::seconds(2);
  /// The delay after a failed read is drawn between half of a bound and the
  /// bound, which doubles from the first to the longest one.
  Duration first_backoff = std::chrono::milliseconds(100);
  Duration longest_backoff = std::chrono::seconds(1);
  /// Seed of the delays' randomness.
  uint64_t seed = std::random_device{}();
};

/// What the owner is told, one call at a time, on any thread. The callbacks
/// must not destroy the follower.
struct FollowerCallbacks {
  /// A newer state is in force here.
  std::function<void(const ControlStatePtr&)> on_change;
  /// A record was folded after the state had been ready once.
  std::function<void(const RecordResult&)> on_record;
};

namespace detail {

/// Writes the events that follow from one step to the log.
void LogStep(const TrackerUpdate& step, const LogTracker& tracker);
/// Writes the event of a failed read.
void LogReadFailed(const Error& error);
/// Writes the event of a peer's state that replaced the own one.
void LogPeerState(const LogState& state);

/// The delay before read number `failures` after a success.
Duration DrawBackoff(const FollowerOptions& options, int failures,
                     std::mt19937_64& random);

/// What outlives the follower while reads are on their way.
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
    std::scoped_lock update(m_update_mutex);
    {
      std::scoped_lock lock(m_mutex);
      if (m_stopped || !m_tracker.AdoptSnapshot(std::move(state))) return false;
      LogPeerState(m_tracker.state());
    }
    Publish();
    return true;
  }

  void Stop() {
    std::scoped_lock update(m_update_mutex);
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
      LogReadFailed(page.error());
      return ReadLater();
    }
    m_failures = 0;
    ApplyPage(from, *page);
    Read();
  }

  void ReadLater() {
    const Duration delay = DrawBackoff(m_options, m_failures++, m_random);
    std::weak_ptr<FollowerCore> weak = this->weak_from_this();
    m_threads->RunAfter(delay, [weak] {
      if (auto self = weak.lock()) self->Read();
    });
  }

  void ApplyPage(int64_t from, const platform::LogPage& page) {
    std::scoped_lock update(m_update_mutex);
    TrackerUpdate step;
    bool was_ready = false;
    {
      std::scoped_lock lock(m_mutex);
      if (m_stopped) return;
      was_ready = m_tracker.readiness() == Readiness::kReady;
      step = m_tracker.ApplyPage(from, page);
      if (was_ready) LogStep(step, m_tracker);
    }
    Publish();
    if (!was_ready || !m_callbacks.on_record) return;
    for (const RecordResult& result : step.results) {
      m_callbacks.on_record(result);
    }
  }

  void Publish() {
    ControlStatePtr state;
    {
      std::scoped_lock lock(m_mutex);
      if (m_tracker.readiness() != Readiness::kReady) return;
      const ControlStatePtr current = m_current.load();
      const ControlState& folded = m_tracker.state().control;
      if (current && current->version == folded.version) return;
      state = std::make_shared<const ControlState>(folded);
      m_current.store(state);
    }
    if (m_callbacks.on_change) m_callbacks.on_change(state);
  }

  io::IoThreads* m_threads;
  Log* m_log;
  FollowerOptions m_options;
  FollowerCallbacks m_callbacks;
  /// Held during an update and its callbacks; taken before `m_mutex`.
  std::mutex m_update_mutex;
  mutable std::mutex m_mutex;
  LogTracker m_tracker;
  bool m_stopped = false;
  std::atomic<ControlStatePtr> m_current;
  /// Only one read is on its way at a time, so these need no lock.
  int m_failures = 0;
  std::mt19937_64 m_random;
};

}  // namespace detail

/// Follows one log until destroyed. Thread-safe. `threads` and `log` outlive
/// it.
template <platform::LogClient Log>
class Follower {
 public:
  Follower(io::IoThreads& threads, Log& log, FollowerOptions options = {},
           FollowerCallbacks callbacks = {})
      : m_core(std::make_shared<detail::FollowerCore<Log>>(
            threads, log, options, std::move(callbacks))) {}
  /// No callback runs afterwards.
  ~Follower() { m_core->Stop(); }
  Follower(const Follower&) = delete;
  Follower& operator=(const Follower&) = delete;

  /// Begins to read. Call once.
  void Start() { m_core->Read(); }

  /// The state in force; null until the follower is ready.
  ControlStatePtr Current() const { return m_core->Current(); }
  /// The version in force; 0 until the follower is ready.
  ControlVersion version() const {
    const ControlStatePtr state = Current();
    return state ? state->version : 0;
  }
  /// Whether the state may be served by, or why not.
  Readiness readiness() const {
    return m_core->Visit(
        [](const LogTracker& tracker) { return tracker.readiness(); });
  }
  /// Whether records expired that this process has not read.
  bool has_gap() const {
    return m_core->Visit(
        [](const LogTracker& tracker) { return tracker.has_gap(); });
  }
  /// A copy of all that was folded, for snapshots and peers.
  LogState state() const {
    return m_core->Visit(
        [](const LogTracker& tracker) { return tracker.state(); });
  }
  /// All records up to this offset are folded.
  int64_t applied_offset() const {
    return m_core->Visit([](const LogTracker& tracker) {
      return tracker.state().applied_offset;
    });
  }
  /// The offset of the newest snapshot seen on the log; 0 if none.
  int64_t snapshot_offset() const {
    return m_core->Visit(
        [](const LogTracker& tracker) { return tracker.snapshot_offset(); });
  }
  /// Adopts a peer's state if it is newer; says whether it was.
  bool AdoptSnapshot(LogState state) {
    return m_core->AdoptSnapshot(std::move(state));
  }

 private:
  std::shared_ptr<detail::FollowerCore<Log>> m_core;
};

}  // namespace peridotshelf::control
