/// Follows a topic of records by key, through outages and lost history.
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
#include "peridotshelf/io/io_threads.h"

namespace peridotshelf::discovery {

/// The newest word on one key.
struct KeyedRecord {
  std::string key;
  /// None if the key was dropped.
  std::optional<std::string> value;
};

/// Part of a topic, in order.
struct RecordPage {
  std::vector<KeyedRecord> records;
  /// Where to read on.
  int64_t next_offset = 0;
  /// The wanted offset is no longer kept: the newest records have to be read.
  bool history_lost = false;
};

/// A topic that keeps the newest record of each key for good.
template <class S>
concept KeyedTopic = requires(S& source, int64_t from, Duration wait,
                              std::function<void(Result<RecordPage>)> on_page) {
  // The newest record of each key; `next_offset` is at most the end as it was
  // when the read began, so that nothing is missed by reading on from there.
  source.ReadNewest(on_page);
  // Records from an offset on; waits up to `wait` for one to come.
  source.ReadFrom(from, wait, on_page);
};

/// When a follower calls its topic.
struct PollTiming {
  /// How long a call may wait at the topic for something new.
  Duration wait{};
  /// Pause between the end of one call and the next. After a call out of turn
  /// it is drawn from nothing to this, so that followers that were told of the
  /// same change do not go on together.
  Duration pause{};
  /// Pause after a failed call; doubles up to `max_retry_pause`.
  Duration retry_pause = std::chrono::milliseconds(150);
  Duration max_retry_pause = std::chrono::milliseconds(600);
};

/// What a follower tells. All callbacks run on the thread of its `IoThreads`.
struct FollowCallbacks {
  /// All keys at once; others do not exist.
  std::function<void(const std::vector<KeyedRecord>&)> on_all;
  /// What came since.
  std::function<void(const std::vector<KeyedRecord>&)> on_changes;
  std::function<void(const Error&)> on_lost;
  std::function<void()> on_back;
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
    m_state->threads.Post([state = m_state] { Next(state); });
  }
  /// Something new is known to be there: reads at once, also in place of a call
  /// that waits. A read that is under way goes on: its answer may be long on a
  /// slow link. On the thread of the `IoThreads`.
  void PollNow() {
    const TimePoint now = SteadyClock().Now();
    const Duration least = m_state->is_reading ? kReadPatience : kHurryInterval;
    if (now - m_state->called_at < least) return;
    m_state->in_turn = false;
    Next(m_state, Duration::zero());
  }
  /// Takes effect with the next call. On the thread of the `IoThreads`.
  void SetTiming(const PollTiming& timing) { m_state->timing = timing; }
  /// Where the next record will be read; 0 before the first answer.
  int64_t next_offset() const { return m_state->next_offset.value_or(0); }
  /// When the topic was last read whole or found unchanged.
  TimePoint fresh_at() const { return m_state->fresh_at; }
  uint64_t call_count() const { return m_state->calls; }

 private:
  struct State {
    State(io::IoThreads& io, Source from, PollTiming when, FollowCallbacks tell)
        : threads(io),
          source(std::move(from)),
          timing(when),
          callbacks(std::move(tell)) {}
    io::IoThreads& threads;
    Source source;
    PollTiming timing;
    FollowCallbacks callbacks;
    std::optional<int64_t> next_offset;
    Duration retry_pause{};
    bool lost = false;
    bool stopped = false;
    TimePoint fresh_at{};
    TimePoint called_at{};
    /// The open call reads what is there and does not wait for more.
    bool is_reading = false;
    /// Counts calls; the answer to any but the newest is dropped.
    uint64_t calls = 0;
    /// The newest call came after a whole pause. The first one does not, as the
    /// processes of a fleet start together.
    bool in_turn = false;
    std::mt19937_64 random{std::random_device()()};

    Duration PauseAfterCall() {
      if (std::exchange(in_turn, true)) return timing.pause;
      std::uniform_int_distribution<Duration::rep> draw(0,
                                                        timing.pause.count());
      const Duration::rep drawn = draw(random);
      return Duration{drawn};
    }
  };
  using StatePtr = std::shared_ptr<State>;
  /// Least time between a call and one that replaces it.
  static constexpr Duration kHurryInterval = std::chrono::milliseconds(150);
  /// A read whose answer takes longer is taken as lost.
  static constexpr Duration kReadPatience = std::chrono::seconds(1);

  static void Next(const StatePtr& state) {
    // A topic that was lost is asked for a quick answer, so that its return is
    // seen at once.
    Next(state, state->lost ? Duration::zero() : state->timing.wait);
  }

  static void Next(const StatePtr& state, Duration wait) {
    if (state->stopped) return;
    const uint64_t call = ++state->calls;
    state->called_at = SteadyClock().Now();
    state->is_reading = !state->next_offset || wait <= Duration::zero();
    auto on_page = [state, call](Result<RecordPage> page) {
      state->threads.Post([state, call, page = std::move(page)] {
        if (!state->stopped && call == state->calls) Take(state, page);
      });
    };
    if (state->next_offset) {
      state->source.ReadFrom(*state->next_offset, wait, on_page);
    } else {
      state->source.ReadNewest(on_page);
    }
  }

  static void Take(const StatePtr& state, const Result<RecordPage>& page) {
    state->is_reading = false;
    const PollTiming& timing = state->timing;
    if (!page) {
      state->in_turn = false;
      if (!std::exchange(state->lost, true)) {
        state->callbacks.on_lost(page.error());
      }
      state->retry_pause = std::clamp(
          state->retry_pause * 2, timing.retry_pause, timing.max_retry_pause);
      NextAfter(state, state->retry_pause);
      return;
    }
    state->retry_pause = Duration::zero();
    if (std::exchange(state->lost, false)) state->callbacks.on_back();
    if (page->history_lost) {
      state->next_offset.reset();
      Next(state);
      return;
    }
    const bool whole = !state->next_offset.has_value();
    state->next_offset = page->next_offset;
    state->fresh_at = SteadyClock().Now();
    if (whole) {
      state->callbacks.on_all(page->records);
    } else {
      state->callbacks.on_changes(page->records);
    }
    NextAfter(state, state->PauseAfterCall());
  }

  static void NextAfter(const StatePtr& state, Duration pause) {
    if (pause <= Duration::zero()) {
      Next(state);
      return;
    }
    state->threads.RunAfter(pause, [state, call = state->calls] {
      // Another call may have gone out meanwhile.
      if (call == state->calls) Next(state);
    });
  }

  StatePtr m_state;
};

}  // namespace peridotshelf::discovery
