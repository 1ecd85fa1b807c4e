/// Sends requests in a closed loop (each answer is followed by the next
/// request) or an open loop (arrivals at a rate, whatever the answers do), and
/// measures the answers.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <string_view>
#include <thread>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/load/prompt_pool.h"
#include "peridotshelf/load/stats.h"
#include "peridotshelf/load/targets.h"

namespace peridotshelf::load {

/// Whether requests wait for answers.
enum class LoopMode { kClosed, kOpen };

/// How many requests are sent, and when.
struct LoadPlan {
  LoopMode mode = LoopMode::kClosed;
  /// Closed loop: requests open at once.
  int64_t connections = 8;
  /// Open loop: mean arrivals a second, with exponential gaps.
  double rate = 100;
  /// The run ends when either is reached; zero is no limit.
  int64_t requests = 1000;
  Duration duration{};
  uint64_t seed = 1;
  int64_t max_tokens = 16;
  /// Whether answers are compared with what the stand-in engine gives.
  bool check_answers = true;
};

namespace detail {

/// One request while it runs. Its callbacks come one at a time.
class Exchange {
 public:
  Exchange(const Prompt& prompt, const LoadPlan& plan, TimePoint due,
           LoadStats& stats)
      : m_prompt(prompt), m_plan(plan), m_due(due), m_stats(stats) {}

  /// A piece of the answer came.
  void OnText(std::string_view text);
  /// The answer ended.
  void OnDone(const Result<void>& outcome);

 private:
  const Prompt& m_prompt;
  const LoadPlan& m_plan;
  /// When the request was due; late sending counts as waiting.
  TimePoint m_due;
  LoadStats& m_stats;
  std::string m_text;
  TimePoint m_last{};
  bool m_begun = false;
};

}  // namespace detail

/// Runs one plan against one target.
template <LoadTarget T>
class Runner {
 public:
  /// All must outlive the runner.
  Runner(T& target, const LoadPlan& plan, const PromptPool& pool,
         LoadStats& stats)
      : m_target(target), m_plan(plan), m_pool(pool), m_stats(stats) {}

  /// Returns when the last answer has ended.
  void Run() {
    m_started = Now();
    if (m_plan.mode == LoopMode::kClosed) {
      for (int64_t i = 0; i < m_plan.connections; ++i) SendNext(Now());
    } else {
      SendAtRate();
    }
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_open == 0; });
    m_stats.SetElapsed(Now() - m_started);
  }

 private:
  static TimePoint Now() { return SteadyClock().Now(); }

  void SendAtRate() {
    std::mt19937_64 random(m_plan.seed);
    std::exponential_distribution<> gap(m_plan.rate);
    TimePoint due = m_started;
    do {
      const std::chrono::duration<double> wait(gap(random));
      due += std::chrono::duration_cast<Duration>(wait);
      std::this_thread::sleep_until(due);
    } while (SendNext(due));
  }

  /// Sends one request; false if the plan is done.
  bool SendNext(TimePoint due) {
    int64_t index = 0;
    {
      std::scoped_lock lock(m_mutex);
      const bool enough = m_plan.requests > 0 && m_sent >= m_plan.requests;
      const bool late = m_plan.duration > Duration::zero() &&
                        due - m_started >= m_plan.duration;
      if (enough || late) return false;
      index = m_sent++;
      ++m_open;
    }
    const Prompt& prompt = m_pool.Pick(static_cast<uint64_t>(index));
    auto exchange =
        std::make_shared<detail::Exchange>(prompt, m_plan, due, m_stats);
    m_target.Send(
        prompt, {[exchange](std::string_view text) { exchange->OnText(text); },
                 [this, exchange](const Result<void>& outcome) {
                   exchange->OnDone(outcome);
                   OnEnded();
                 }});
    return true;
  }

  void OnEnded() {
    if (m_plan.mode == LoopMode::kClosed) SendNext(Now());
    // Notified under the lock: after it, `Run` may return and this be gone.
    std::scoped_lock lock(m_mutex);
    --m_open;
    m_changed.notify_all();
  }

  T& m_target;
  const LoadPlan& m_plan;
  const PromptPool& m_pool;
  LoadStats& m_stats;
  TimePoint m_started{};
  std::mutex m_mutex;
  std::condition_variable m_changed;
  int64_t m_sent = 0;
  int64_t m_open = 0;
};

}  // namespace peridotshelf::load
