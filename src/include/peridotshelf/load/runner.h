/// Sends requests in a closed loop (the end of an answer triggers the next
/// request) or an open loop (requests arrive at a fixed mean rate, however long
/// answers take) and measures the answers.
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

/// Whether a new request waits for the end of an earlier one.
enum class LoopMode { kClosed, kOpen };

/// How many requests to send, and when.
struct LoadPlan {
  LoopMode mode = LoopMode::kClosed;
  /// Closed loop: number of concurrent requests.
  int64_t connections = 8;
  /// Open loop: mean requests per second; the gaps between them are
  /// exponential.
  double rate = 100;
  /// The run stops sending when it reaches either limit; zero means no limit.
  int64_t requests = 1000;
  Duration duration{};
  uint64_t seed = 1;
  int64_t max_tokens = 16;
  /// Whether to compare answers with those of the simulated engine.
  bool check_answers = true;
};

namespace detail {

/// Measures one request. Its callbacks are called one at a time.
class Exchange {
 public:
  Exchange(const Prompt& prompt, const LoadPlan& plan, TimePoint due,
           LoadStats& stats)
      : m_prompt(prompt), m_plan(plan), m_due(due), m_stats(stats) {}

  /// Handles a piece of the answer.
  void OnText(std::string_view text);
  /// Handles the end of the answer.
  void OnDone(const Result<void>& outcome);

 private:
  const Prompt& m_prompt;
  const LoadPlan& m_plan;
  /// Scheduled send time. Latency counts from here, so that a delay of the
  /// sender is included.
  TimePoint m_due;
  LoadStats& m_stats;
  std::string m_text;
  TimePoint m_last_text_at{};
  bool m_has_text = false;
};

}  // namespace detail

/// Runs a load plan against a target.
template <LoadTarget T>
class Runner {
 public:
  /// All arguments must outlive the runner.
  Runner(T& target, const LoadPlan& plan, const PromptPool& pool,
         LoadStats& stats)
      : m_target(target), m_plan(plan), m_pool(pool), m_stats(stats) {}

  /// Sends all requests and blocks until the last answer has ended.
  void Run() {
    m_started = Now();
    if (m_plan.mode == LoopMode::kClosed) {
      for (int64_t i = 0; i < m_plan.connections; ++i) SendNext(Now());
    } else {
      SendAtRate();
    }
    std::unique_lock lock(m_mutex);
    m_request_ended.wait(lock, [this] { return m_open_requests == 0; });
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

  /// Sends one request. Returns false if a limit of the plan is reached.
  bool SendNext(TimePoint due) {
    int64_t index = 0;
    {
      std::scoped_lock lock(m_mutex);
      const bool all_sent = m_plan.requests > 0 && m_sent >= m_plan.requests;
      const bool time_is_up = m_plan.duration > Duration::zero() &&
                              due - m_started >= m_plan.duration;
      if (all_sent || time_is_up) return false;
      index = m_sent++;
      ++m_open_requests;
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
    // Notify under the lock: once it is released, `Run` may return and this
    // object may be destroyed.
    std::scoped_lock lock(m_mutex);
    --m_open_requests;
    m_request_ended.notify_all();
  }

  T& m_target;
  const LoadPlan& m_plan;
  const PromptPool& m_pool;
  LoadStats& m_stats;
  TimePoint m_started{};
  std::mutex m_mutex;
  std::condition_variable m_request_ended;
  int64_t m_sent = 0;
  int64_t m_open_requests = 0;
};

}  // namespace peridotshelf::load
