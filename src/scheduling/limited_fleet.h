/// Simulation of entries that share the limit of one engine.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "peridotshelf/scheduling/engine_rate_limits.h"
#include "peridotshelf/scheduling/fleet_view.h"
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
  /// Each entry gets more requests than it may try.
  kRush,
};

/// What happens to a fleet, in seconds after its start.
struct FleetEvents {
  /// The engine is cold instead of stating a limit, at these times. Reports
  /// then reach all peers, as the exchange sends them.
  struct Cold {
    double from = 0;
    double until = 0;
  };
  std::vector<Cold> cold;
  /// Fraction of the datagrams that is lost.
  double loss = 0;
  /// The first `cut_off` entries and the others do not hear each other.
  size_t cut_off = 0;
  double cut_from = 0;
  double cut_until = 0;
  /// The last `starting` entries start at this time.
  size_t starting = 0;
  double start_at = 0;
};

/// Entries that send requests to one limited engine and report to each other,
/// in virtual time. Changes reach up to 32 peers in rotation after 50 ms, and
/// all peers once a second.
class LimitedFleet {
 public:
  LimitedFleet(size_t entries, double limit, Demand demand, uint64_t seed,
               FleetEvents events = {})
      : m_limit(limit),
        m_demand(demand),
        m_events(std::move(events)),
        m_random(seed),
        m_sharers{entries - 1, ReportDelay(entries)},
        m_entries_count(entries),
        m_waiting(entries),
        m_next_receiver(entries) {
    for (size_t i = 0; i < entries; ++i) {
      m_entries.push_back(std::make_unique<EngineRateLimits>(seed + i));
      if (!IsColdFleet()) {
        m_entries.back()->NoteAnswer(kEngine, limit, kSimulationStart,
                                     kSimulationStart);
      }
      // Entries that do not start later have run for long and know each other.
      m_views.emplace_back(IsLateEntry(i)
                               ? At(m_events.start_at)
                               : kSimulationStart - std::chrono::minutes(1),
                           kStartTime);
      m_heard_at.emplace_back(entries,
                              IsLateEntry(i) ? TimePoint{} : kSimulationStart);
      m_names.push_back(std::to_string(i));
      m_report_phase.push_back(static_cast<int>(m_random() % kTicksPerSecond));
    }
  }

  void Run(int run_seconds) {
    const int ticks = run_seconds * kTicksPerSecond;
    for (int tick = 0; tick < ticks; ++tick) {
      m_now = kSimulationStart + tick * kTick;
      TurnCold();
      Deliver();
      for (size_t i = 0; i < m_entries.size(); ++i) {
        if (IsLateEntry(i) && m_now < At(m_events.start_at)) continue;
        if (tick % kTicksPerSecond == m_report_phase[i]) {
          Report(i, SIZE_MAX);
          Sharers(i);
        }
        SendRequests(i, tick);
      }
    }
  }

  /// Most requests within any `window`.
  size_t CountInBusiestWindow(Duration window = std::chrono::seconds(4)) const {
    size_t busiest = 0;
    size_t begin = 0;
    for (size_t end = 0; end < m_sends.size(); ++end) {
      while (m_sends[end] - m_sends[begin] >= window) ++begin;
      busiest = std::max(busiest, end - begin + 1);
    }
    return busiest;
  }
  /// Like `UsedSince`, from `from` to `until` seconds after the start.
  double UsedBetween(double from, double until) const {
    const auto sent =
        std::lower_bound(m_sends.begin(), m_sends.end(), At(until)) -
        std::lower_bound(m_sends.begin(), m_sends.end(), At(from));
    return static_cast<double>(sent) / (until - from) / Usable();
  }
  /// Fraction of the limit, or of the demand if that is lower, that was used
  /// since `from` after the start.
  double UsedSince(Duration from) const {
    const auto first = std::lower_bound(m_sends.begin(), m_sends.end(),
                                        kSimulationStart + from);
    const double span =
        std::chrono::duration<double>(m_now - kSimulationStart - from).count();
    return static_cast<double>(m_sends.end() - first) / span / Usable();
  }

 private:
  struct Message {
    TimePoint due{};
    size_t from = 0;
    /// `kAll` for all others.
    size_t to = 0;
    std::optional<RateLimitReport> report;
  };

  static constexpr size_t kAll = SIZE_MAX;
  static constexpr Duration kStartTime = std::chrono::seconds(2);
  static constexpr Duration kSilence = std::chrono::seconds(2);
  static constexpr Duration kPeerTimeout = std::chrono::milliseconds(3500);

  static TimePoint At(double seconds_after_start) {
    return kSimulationStart +
           std::chrono::duration_cast<Duration>(
               std::chrono::duration<double>(seconds_after_start));
  }
  bool IsColdFleet() const { return !m_events.cold.empty(); }
  bool IsLateEntry(size_t entry) const {
    return entry + m_events.starting >= m_entries_count;
  }
  bool AreSeparated(size_t a, size_t b) const {
    return m_now >= At(m_events.cut_from) && m_now < At(m_events.cut_until) &&
           (a < m_events.cut_off) != (b < m_events.cut_off);
  }
  bool IsLost(size_t from, size_t to) {
    if (AreSeparated(from, to)) return true;
    if (m_events.loss <= 0) return false;
    return std::uniform_real_distribution<double>(0, 1)(m_random) <
           m_events.loss;
  }
  void TurnCold() {
    for (const FleetEvents::Cold& cold : m_events.cold) {
      if (m_now != At(cold.from)) continue;
      for (auto& entry : m_entries) {
        entry->SetColdLimit(kEngine, {m_limit, {}, At(cold.until)});
      }
    }
  }
  LimitSharers Sharers(size_t entry) {
    if (!IsColdFleet()) return m_sharers;
    HeardPeers peers;
    peers.addresses = m_entries.size() - 1;
    for (size_t i = 0; i < m_entries.size(); ++i) {
      if (i == entry) continue;
      const Duration silence = m_now - m_heard_at[entry][i];
      peers.live += silence < kPeerTimeout ? 1 : 0;
      peers.heard += silence < kSilence ? 1 : 0;
    }
    LimitSharers sharers = m_sharers;
    sharers.peers = peers.live;
    sharers.report_delay = kBatchDelay + kTransit;
    sharers.silent_peers = m_views[entry].CountSilent(peers, m_now);
    sharers.fleet_peers = peers.heard + sharers.silent_peers;
    sharers.is_starting = m_views[entry].IsStarting(peers, m_now);
    return sharers;
  }

  static constexpr Duration kTick = std::chrono::milliseconds(20);
  static constexpr int kTicksPerSecond = 50;
  static constexpr size_t kMaxReceivers = 32;
  static constexpr Duration kTransit = std::chrono::milliseconds(50);
  static constexpr Duration kBatchDelay = std::chrono::milliseconds(20);
  static constexpr double kRequestsPerEntry = 4;
  static constexpr double kRushPerEntry = 50;
  static constexpr int kSurgeAtSecond = 8;

  static Duration ReportDelay(size_t entries) {
    return entries - 1 <= kMaxReceivers ? kTransit
                                        : kTransit + std::chrono::seconds(1);
  }

  /// Returns the limit, or the demand if that is lower, per second.
  double Usable() const {
    double wanted = 0;
    for (size_t i = 0; i < m_entries.size(); ++i) {
      wanted += RequestsPerSecond(i, kSurgeAtSecond * kTicksPerSecond);
    }
    return std::min(m_limit, wanted);
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
      case Demand::kRush:
        return kRushPerEntry;
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
    if (waiting.empty()) return;
    const LimitSharers sharers = Sharers(entry);
    const bool is_demand_new = limits.IsDemandNew(kEngine, m_now);
    while (!waiting.empty()) {
      if (limits.TryAdmit(kEngine, sharers, m_now)) {
        limits.NoteSent(kEngine, m_now);
        m_sends.push_back(m_now);
        Report(entry, kMaxReceivers);
      } else if (m_now - waiting.front() < patience) {
        break;
      }
      waiting.pop_front();
    }
    // The gateway reports new demand within the batch delay.
    if (IsColdFleet() && is_demand_new) Report(entry, kMaxReceivers);
  }

  void Report(size_t from, size_t receivers) {
    const auto report = m_entries[from]->MakeReport(kEngine, m_now);
    if (IsColdFleet()) {
      m_messages.push_back({m_now + kTransit, from, kAll, report});
      return;
    }
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
      const bool is_to_all = message.to == kAll;
      const size_t first = is_to_all ? 0 : message.to;
      const size_t last = is_to_all ? m_entries.size() - 1 : message.to;
      for (size_t to = first; to <= last; ++to) {
        if (to == message.from || IsLost(message.from, to)) continue;
        m_heard_at[to][message.from] = m_now;
        if (!message.report) continue;
        m_entries[to]->ApplyReport(m_names[message.from], kEngine,
                                   *message.report, m_now);
      }
    }
    m_messages.erase(
        m_messages.begin(),
        m_messages.begin() + static_cast<std::ptrdiff_t>(delivered));
  }

  double m_limit;
  Demand m_demand;
  FleetEvents m_events;
  std::mt19937_64 m_random;
  LimitSharers m_sharers;
  TimePoint m_now{};
  std::vector<std::unique_ptr<EngineRateLimits>> m_entries;
  size_t m_entries_count = 0;
  std::vector<FleetView> m_views;
  /// When an entry, by the first index, heard of another one.
  std::vector<std::vector<TimePoint>> m_heard_at;
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
