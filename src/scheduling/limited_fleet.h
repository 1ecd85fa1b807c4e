/// Simulation of entries that share the limit of one engine.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "peridotshelf/scheduling/engine_rate_limits.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::scheduling {

inline constexpr const char* kEngine = "e@1";
inline constexpr TimePoint kSimulationStart{std::chrono::hours(1)};

/// How callers' requests arrive at the entries.
enum class Demand {
  /// Each entry gets several requests per second.
  kEverywhere,
  /// All entries together get twice the limit.
  kSparse,
  /// The same, by callers that wait for 3 s.
  kSparseWaiting,
  /// One entry gets all requests.
  kOneEntry,
  /// No requests at first, then several per second at each entry.
  kSurge,
};

/// Entries that send requests to one limited engine and report to each other,
/// in virtual time. Changes reach up to 32 peers in rotation after 50 ms, and
/// all peers once a second.
class LimitedFleet {
 public:
  LimitedFleet(size_t entries, double limit, Demand demand, uint64_t seed)
      : m_limit(limit),
        m_demand(demand),
        m_random(seed),
        m_sharers{entries - 1, ReportDelay(entries)},
        m_waiting(entries),
        m_next_receiver(entries) {
    for (size_t i = 0; i < entries; ++i) {
      m_entries.push_back(std::make_unique<EngineRateLimits>(seed + i));
      m_entries.back()->NoteAnswer(kEngine, limit, kSimulationStart,
                                   kSimulationStart);
      m_names.push_back(std::to_string(i));
      m_report_phase.push_back(static_cast<int>(m_random() % kTicksPerSecond));
    }
  }

  void Run(int run_seconds) {
    const int ticks = run_seconds * kTicksPerSecond;
    for (int tick = 0; tick < ticks; ++tick) {
      m_now = kSimulationStart + tick * kTick;
      Deliver();
      for (size_t i = 0; i < m_entries.size(); ++i) {
        if (tick % kTicksPerSecond == m_report_phase[i]) Report(i, SIZE_MAX);
        SendRequests(i, tick);
      }
    }
  }

  /// Most requests within any 4 s.
  size_t CountInBusiestWindow() const {
    size_t busiest = 0;
    size_t begin = 0;
    for (size_t end = 0; end < m_sends.size(); ++end) {
      while (m_sends[end] - m_sends[begin] >= std::chrono::seconds(4)) ++begin;
      busiest = std::max(busiest, end - begin + 1);
    }
    return busiest;
  }
  /// Fraction of the limit, or of the demand if that is lower, that was used
  /// since `from` after the start.
  double UsedSince(Duration from) const {
    const auto first = std::lower_bound(m_sends.begin(), m_sends.end(),
                                        kSimulationStart + from);
    const double span =
        std::chrono::duration<double>(m_now - kSimulationStart - from).count();
    double wanted = 0;
    for (size_t i = 0; i < m_entries.size(); ++i) {
      wanted += RequestsPerSecond(i, kSurgeAtSecond * kTicksPerSecond);
    }
    return static_cast<double>(m_sends.end() - first) / span /
           std::min(m_limit, wanted);
  }

 private:
  struct Message {
    TimePoint due{};
    size_t from = 0;
    size_t to = 0;
    RateLimitReport report;
  };

  static constexpr Duration kTick = std::chrono::milliseconds(20);
  static constexpr int kTicksPerSecond = 50;
  static constexpr size_t kMaxReceivers = 32;
  static constexpr Duration kTransit = std::chrono::milliseconds(50);
  static constexpr double kRequestsPerEntry = 4;
  static constexpr int kSurgeAtSecond = 8;

  static Duration ReportDelay(size_t entries) {
    return entries - 1 <= kMaxReceivers ? kTransit
                                        : kTransit + std::chrono::seconds(1);
  }

  double RequestsPerSecond(size_t entry, int tick) const {
    const auto entries = static_cast<double>(m_entries.size());
    switch (m_demand) {
      case Demand::kEverywhere:
        return kRequestsPerEntry;
      case Demand::kSparse:
      case Demand::kSparseWaiting:
        return 2 * m_limit / entries;
      case Demand::kOneEntry:
        return entry == 0 ? 10 * m_limit : 0;
      case Demand::kSurge:
        return tick < kSurgeAtSecond * kTicksPerSecond ? 0 : kRequestsPerEntry;
    }
    return 0;
  }

  void SendRequests(size_t entry, int tick) {
    std::poisson_distribution<int> arrivals(RequestsPerSecond(entry, tick) /
                                            kTicksPerSecond);
    EngineRateLimits& limits = *m_entries[entry];
    const int count =
        RequestsPerSecond(entry, tick) > 0 ? arrivals(m_random) : 0;
    std::deque<TimePoint>& waiting = m_waiting[entry];
    waiting.insert(waiting.end(), static_cast<size_t>(count), m_now);
    const Duration patience = m_demand == Demand::kSparseWaiting
                                  ? std::chrono::seconds(3)
                                  : Duration::zero();
    while (!waiting.empty()) {
      if (limits.TryAdmit(kEngine, m_sharers, m_now)) {
        limits.NoteSent(kEngine, m_now);
        m_sends.push_back(m_now);
        Report(entry, kMaxReceivers);
      } else if (m_now - waiting.front() < patience) {
        return;
      }
      waiting.pop_front();
    }
  }

  void Report(size_t from, size_t receivers) {
    const auto report = m_entries[from]->MakeReport(kEngine, m_now);
    const size_t others = m_entries.size() - 1;
    for (size_t i = 0; i < std::min(others, receivers); ++i) {
      size_t& next = m_next_receiver[from];
      next = (next + 1) % m_entries.size();
      if (next == from) next = (next + 1) % m_entries.size();
      m_messages.push_back({m_now + kTransit, from, next, *report});
    }
  }

  void Deliver() {
    size_t delivered = 0;
    while (delivered < m_messages.size() &&
           m_messages[delivered].due <= m_now) {
      const Message& message = m_messages[delivered++];
      m_entries[message.to]->ApplyReport(m_names[message.from], kEngine,
                                         message.report, m_now);
    }
    m_messages.erase(
        m_messages.begin(),
        m_messages.begin() + static_cast<std::ptrdiff_t>(delivered));
  }

  double m_limit;
  Demand m_demand;
  std::mt19937_64 m_random;
  LimitSharers m_sharers;
  TimePoint m_now{};
  std::vector<std::unique_ptr<EngineRateLimits>> m_entries;
  std::vector<std::string> m_names;
  std::vector<std::deque<TimePoint>> m_waiting;
  std::vector<int> m_report_phase;
  std::vector<size_t> m_next_receiver;
  std::deque<Message> m_messages;
  std::vector<TimePoint> m_sends;
};

/// Runs a fleet and asserts that the engine gets at most one and a half times
/// its limit and 5 requests in any 4 s, and that half of the limit is used.
inline void CheckFleet(size_t entries, double limit, Demand demand,
                       uint64_t seed) {
  constexpr int kSeconds = 36;
  constexpr double kMinUsed = 0.5;
  LimitedFleet fleet(entries, limit, demand, seed);
  fleet.Run(kSeconds);
  const size_t busiest = fleet.CountInBusiestWindow();
  const double used = fleet.UsedSince(std::chrono::seconds(16));
  const auto allowed = static_cast<size_t>(std::floor(1.5 * limit * 4 + 5));
  std::ostringstream text;
  text << entries << " entries, limit " << limit << ", demand "
       << static_cast<int>(demand) << ", seed " << seed << ": " << busiest
       << " in 4 s, allowed " << allowed << "; used " << used;
  CPPUNIT_ASSERT_MESSAGE(text.str(), busiest <= allowed);
  CPPUNIT_ASSERT_MESSAGE(text.str(), used >= kMinUsed);
}

}  // namespace peridotshelf::scheduling
