/// Follows a topic of keyed records across outages and lost history.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/error.h"
#include "peridotshelf/events/guard.h"
#include "peridotshelf/io/io_threads.h"

namespace peridotshelf::discovery {

/// The newest record of one key.
struct KeyedRecord {
  std::string key;
  /// nullopt if the key was removed.
  std::optional<std::string> value;
};

/// Consecutive records of a topic.
struct RecordPage {
  std::vector<KeyedRecord> records;
  /// Offset of the next read.
  int64_t next_offset = 0;
  /// The requested offset is not retained; the newest records must be read
  /// instead.
  bool history_lost = false;
  /// Changes when the topic is restored from an older copy. Offsets are given
  /// out again then, so they are only comparable within one epoch. nullopt if
  /// the topic does not state it.
  std::optional<int64_t> epoch;
};

/// A topic that retains the newest record of each key indefinitely.
template <class S>
concept KeyedTopic = requires(S& source, int64_t from, Duration wait,
                              std::function<void(Result<RecordPage>)> on_page) {
  // Reads the newest record of each key. `next_offset` is at most the end of
  // the topic at the start of the read, so that reading from there misses
  // nothing.
  source.ReadNewest(on_page);
  // Reads records from an offset; waits up to `wait` for one to arrive.
  source.ReadFrom(from, wait, on_page);
};

/// Timing of a follower's calls to its topic.
struct PollTiming {
  /// How long a call may wait at the topic for a new record.
  Duration wait{};
  /// Pause between the end of one call and the next. After a call that did not
  /// follow a full pause it is drawn uniformly from zero to this value, so that
  /// followers notified of the same change do not keep polling simultaneously.
  Duration pause{};
  /// Longest time without a read, by this follower or by another one that has
  /// reported it to `NoteFresh`; zero for no limit.
  Duration max_age{};
  /// Pause after a failed call; doubles up to `max_retry_pause`.
  Duration retry_pause = std::chrono::milliseconds(150);
  Duration max_retry_pause = std::chrono::milliseconds(600);
};

/// How a follower's call to its topic ended.
enum class ReadOutcome {
  kCompleted,
  kHistoryLost,
  kFailed,
  /// The answer came after another call had replaced this one, and was dropped.
  kReplaced,
};

/// One call that a follower made to its topic.
struct ReadReport {
  ReadOutcome outcome = ReadOutcome::kCompleted;
  /// Offset that was read from; nullopt for a read of the newest records.
  std::optional<int64_t> from;
  std::optional<int64_t> epoch;
  /// How long the call might wait at the topic.
  Duration wait{};
  /// Time from the call to its answer.
  Duration duration{};
  size_t record_count = 0;
};

/// Callbacks of a follower. All run on the thread of its `IoThreads`.
struct FollowCallbacks {
  /// Receives the newest records of all existing keys.
  std::function<void(const std::vector<KeyedRecord>&)> on_all;
  /// Receives the records added since the last callback.
  std::function<void(const std::vector<KeyedRecord>&)> on_changes;
  std::function<void(const Error&)> on_lost;
  std::function<void()> on_recovered;
  /// The topic was restored from an older copy and has the given epoch now.
  /// `on_all` follows with what it contains.
  std::function<void(int64_t)> on_restored = [](int64_t) {};
  /// Receives each call that was answered or failed, before its records.
  std::function<void(const ReadReport&)> on_read = [](const ReadReport&) {};
};

/// Follows one topic from `Start` until destroyed.
template <KeyedTopic Source>
class RecordFollower {
 public:
  RecordFollower(io::IoThreads& threads, Source source, PollTiming timing,
                 FollowCallbacks callbacks)
      : m_state(std::make_shared<State>(threads, std::move(source), timing,
                                        std::move(callbacks))) {}
  ~RecordFollower() { m_state->stopped = true; }
  RecordFollower(const RecordFollower&) = delete;
  RecordFollower& operator=(const RecordFollower&) = delete;

  void Start() {
    m_state->threads.Post([state = m_state] { Poll(state); });
  }
  /// Reads at once because a new record is known to exist, replacing a call
  /// that waits for one. A read in progress is replaced only after
  /// `kReadTimeout`, since its response may be large and the link slow. Must be
  /// called on the thread of the `IoThreads`.
  void PollNow() {
    const TimePoint now = SteadyClock().Now();
    const Duration min_interval =
        m_state->is_reading ? kReadTimeout : kMinCallInterval;
    if (now - m_state->called_at < min_interval) return;
    m_state->follows_full_pause = false;
    Poll(m_state, Duration::zero());
  }
  /// Returns whether the last call failed.
  bool is_lost() const { return m_state->lost; }
  /// Reads at once if the last call failed and is at least `min_interval` old,
  /// because another follower has read its topic. Must be called on the thread
  /// of the `IoThreads`.
  void RetryNow(Duration min_interval) {
    if (!is_lost() || SteadyClock().Now() - m_state->called_at < min_interval) {
      return;
    }
    PollNow();
  }
  /// Records that another follower, which has the same records, read the topic
  /// at `at`. Must be called on the thread of the `IoThreads`.
  void NoteFresh(TimePoint at) {
    m_state->fresh_at = std::max(m_state->fresh_at, at);
  }
  /// Takes effect with the next call. Must be called on the thread of the
  /// `IoThreads`.
  void SetTiming(const PollTiming& timing) { m_state->timing = timing; }
  /// Offset of the next record to read; 0 before the first response.
  int64_t next_offset() const { return m_state->next_offset.value_or(0); }
  /// Epoch of the last response that stated one; 0 before.
  int64_t epoch() const { return m_state->epoch.value_or(0); }
  /// Time of the last successful read; only valid after the first one.
  TimePoint last_read_at() const { return m_state->last_read_at; }
  uint64_t call_count() const { return m_state->calls; }

 private:
  struct State {
    State(io::IoThreads& io, Source from, PollTiming poll_timing,
          FollowCallbacks follow_callbacks)
        : threads(io),
          source(std::move(from)),
          timing(poll_timing),
          callbacks(std::move(follow_callbacks)) {}
    io::IoThreads& threads;
    Source source;
    PollTiming timing;
    FollowCallbacks callbacks;
    std::optional<int64_t> next_offset;
    /// Epoch in which `next_offset` is valid.
    std::optional<int64_t> epoch;
    Duration retry_pause{};
    bool lost = false;
    bool stopped = false;
    TimePoint last_read_at{};
    /// Last read of the topic that found the records that this follower has.
    TimePoint fresh_at{};
    bool is_age_check_scheduled = false;
    TimePoint called_at{};
    /// The call in progress reads existing records without waiting for more.
    bool is_reading = false;
    /// Number of calls; responses to all but the newest are dropped.
    uint64_t calls = 0;
    /// The newest call followed a full pause. False for the first call, since
    /// the processes of a fleet start together.
    bool follows_full_pause = false;
    std::mt19937_64 random{std::random_device()()};

    Duration DrawPause() {
      if (std::exchange(follows_full_pause, true)) return timing.pause;
      std::uniform_int_distribution<Duration::rep> distribution(
          0, timing.pause.count());
      const Duration::rep ticks = distribution(random);
      return Duration{ticks};
    }
  };
  using StatePtr = std::shared_ptr<State>;
  /// Minimum time between a call and its replacement.
  static constexpr Duration kMinCallInterval = std::chrono::milliseconds(150);
  /// A read whose response takes longer is treated as lost.
  static constexpr Duration kReadTimeout = std::chrono::seconds(1);

  static void Poll(const StatePtr& state) {
    // During an outage calls do not wait for new records, so that the recovery
    // is detected at once.
    Poll(state, state->lost ? Duration::zero() : state->timing.wait);
  }

  static void Poll(const StatePtr& state, Duration wait) {
    if (state->stopped) return;
    const uint64_t call = ++state->calls;
    state->called_at = SteadyClock().Now();
    state->is_reading = !state->next_offset || wait <= Duration::zero();
    ReadReport report;
    report.from = state->next_offset;
    report.wait = wait;
    auto on_page = [state, call, report,
                    called_at = state->called_at](Result<RecordPage> page) {
      state->threads.Post([state, call, report, called_at,
                           page = std::move(page)]() mutable {
        if (state->stopped) return;
        const bool is_replaced = call != state->calls;
        report.duration = SteadyClock().Now() - called_at;
        report.outcome = is_replaced ? ReadOutcome::kReplaced : Outcome(page);
        if (page) {
          report.record_count = page->records.size();
          report.epoch = page->epoch;
        }
        state->callbacks.on_read(report);
        if (!is_replaced) HandlePage(state, page);
      });
    };
    if (state->next_offset) {
      state->source.ReadFrom(*state->next_offset, wait, on_page);
    } else {
      state->source.ReadNewest(on_page);
    }
  }

  static ReadOutcome Outcome(const Result<RecordPage>& page) {
    if (!page) return ReadOutcome::kFailed;
    return page->history_lost ? ReadOutcome::kHistoryLost
                              : ReadOutcome::kCompleted;
  }

  static void HandlePage(const StatePtr& state,
                         const Result<RecordPage>& page) {
    state->is_reading = false;
    const PollTiming& timing = state->timing;
    if (!page) {
      state->follows_full_pause = false;
      if (!std::exchange(state->lost, true)) {
        state->callbacks.on_lost(page.error());
      }
      state->retry_pause = std::clamp(
          state->retry_pause * 2, timing.retry_pause, timing.max_retry_pause);
      PollAfter(state, state->retry_pause);
      return;
    }
    state->retry_pause = Duration::zero();
    if (std::exchange(state->lost, false)) state->callbacks.on_recovered();
    if (page->history_lost) {
      state->next_offset.reset();
      Poll(state);
      return;
    }
    const bool is_full_read = !state->next_offset.has_value();
    if (NoteEpoch(state, page->epoch)) {
      state->callbacks.on_restored(*page->epoch);
      if (!is_full_read) {
        // Other records may have been written below the offset meanwhile.
        state->next_offset.reset();
        Poll(state);
        return;
      }
    }
    state->next_offset = page->next_offset;
    state->last_read_at = SteadyClock().Now();
    state->fresh_at = state->last_read_at;
    ScheduleAgeCheck(state);
    const bool is_applied = events::RunGuarded("records", [&] {
      if (is_full_read) {
        state->callbacks.on_all(page->records);
      } else {
        state->callbacks.on_changes(page->records);
      }
    });
    if (!is_applied) {
      // Some of the records were applied, so all are read and applied again.
      state->next_offset.reset();
      PollAfter(state, timing.max_retry_pause);
      return;
    }
    PollAfter(state, state->DrawPause());
  }

  /// Returns whether the topic was restored since the last response.
  static bool NoteEpoch(const StatePtr& state, std::optional<int64_t> epoch) {
    if (!epoch) return false;
    const auto previous = std::exchange(state->epoch, epoch);
    return previous && *previous != *epoch;
  }

  static void ScheduleAgeCheck(const StatePtr& state) {
    if (state->timing.max_age <= Duration::zero() ||
        std::exchange(state->is_age_check_scheduled, true)) {
      return;
    }
    const Duration age = SteadyClock().Now() - state->fresh_at;
    state->threads.RunAfter(
        std::max(state->timing.max_age - age, Duration::zero()), [state] {
          state->is_age_check_scheduled = false;
          CheckAge(state);
        });
  }

  static void CheckAge(const StatePtr& state) {
    // The next successful read schedules another check.
    if (state->stopped || state->lost || state->is_reading) return;
    if (SteadyClock().Now() - state->fresh_at < state->timing.max_age) {
      ScheduleAgeCheck(state);
      return;
    }
    state->follows_full_pause = false;
    Poll(state, Duration::zero());
  }

  static void PollAfter(const StatePtr& state, Duration pause) {
    if (pause <= Duration::zero()) {
      Poll(state);
      return;
    }
    state->threads.RunAfter(pause, [state, call = state->calls] {
      // Another call may have been made in the meantime.
      if (call == state->calls) Poll(state);
    });
  }

  StatePtr m_state;
};

}  // namespace peridotshelf::discovery
