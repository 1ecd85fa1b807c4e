/// Simulates, in virtual time, processes that append snapshots to a shared log
/// under different strategies for choosing which process appends.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <queue>
#include <random>
#include <string_view>
#include <tuple>
#include <vector>

namespace peridotshelf::bench {

/// The processes and the faults injected. Times are in seconds.
struct SnapshotScenario {
  std::string_view name;
  size_t processes = 20;
  double hours = 24;
  /// Target time between snapshots.
  double interval = 600;
  /// Fraction of processes that cannot reach the log.
  double partitioned_fraction = 0;
  /// Restarts and pauses of one process per day.
  double restarts_per_day = 0;
  double pauses_per_day = 0;
  double pause = 60;
  /// The log is down for `outage` seconds in every `outage_period`; 0 for
  /// never.
  double outage_period = 0;
  double outage = 600;
  uint64_t seed = 1;
};

/// Results of one run.
struct SnapshotStats {
  int64_t snapshots = 0;
  /// Other appends that the strategy needs.
  int64_t other_appends = 0;
  /// Snapshots less than half an interval after the previous one.
  int64_t duplicates = 0;
  double max_gap = 0;
  double mean_gap = 0;
};

/// A simulated process.
struct SnapshotProcess {
  uint64_t id = 0;
  bool is_partitioned = false;
  double started_at = 0;
  double paused_until = 0;
  /// The newest snapshot that it received, and when.
  int64_t received_snapshot = 0;
  double received_at = 0;
  /// InductionByClaims: ID of the known leader, and when its claim expires.
  uint64_t leader = 0;
  double leader_until = 0;
  /// Time of the last delivery; records are delivered in the log's order.
  double last_delivery = 0;
  /// Number of the current timer; events of earlier timers are ignored.
  int64_t timer = 0;
};

/// Returns a hash of `a` and `b`.
inline uint64_t HashPair(uint64_t a, uint64_t b) {
  uint64_t x = a * 0x9E3779B97F4A7C15ULL + b;
  x ^= x >> 30U;
  x *= 0xBF58476D1CE4E5B9ULL;
  x ^= x >> 27U;
  x *= 0x94D049BB133111EBULL;
  return x ^ (x >> 31U);
}

/// Simulates all processes under one strategy.
///
/// `Strategy::Delay(process, processes, scenario, now, random)` returns the
/// seconds from the receipt of a snapshot until the process appends the next
/// snapshot, unless it receives a newer one before. `Strategy::kClaims` is true
/// if processes also append leadership claims.
template <class Strategy>
class SnapshotFleet {
 public:
  explicit SnapshotFleet(const SnapshotScenario& scenario)
      : m_scenario(scenario), m_random(scenario.seed) {}

  SnapshotStats Run() {
    const double end = m_scenario.hours * 3600;
    for (size_t i = 0; i < m_scenario.processes; ++i) StartProcess(i, 0);
    m_is_initialized = true;
    for (size_t i = 0; i < m_scenario.processes; ++i) SetTimer(i, 0);
    ScheduleFaults(end);
    while (!m_events.empty() && m_events.top().at < end) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.at;
      Handle(event);
    }
    RecordGap(end);
    const auto gaps = static_cast<double>(m_stats.snapshots + 1);
    m_stats.mean_gap = end / gaps;
    return m_stats;
  }

 private:
  enum class Kind {
    kSnapshotTimer,
    kClaimTimer,
    kReceiveSnapshot,
    kReceiveClaim,
    kRestart,
    kPause
  };
  struct Event {
    double at;
    Kind kind;
    size_t process;
    int64_t value;
    uint64_t author;
    /// Orders events of the same time by insertion.
    uint64_t sequence;
    bool operator>(const Event& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };
  static constexpr double kClaimInterval = 5;
  static constexpr double kClaimTtl = 15;
  static constexpr double kMaxRetryDelay = 60;

  double DrawUniform(double min, double max) {
    return std::uniform_real_distribution<double>(min, max)(m_random);
  }
  bool IsLogDown(double at) const {
    if (m_scenario.outage_period <= 0) return false;
    const double elapsed = std::fmod(at, m_scenario.outage_period);
    return at > m_scenario.outage_period && elapsed < m_scenario.outage;
  }
  void AddEvent(double at, Kind kind, size_t process, int64_t value = 0,
                uint64_t author = 0) {
    m_events.push({at, kind, process, value, author, m_sequence++});
  }

  void StartProcess(size_t i, double at) {
    if (m_processes.size() <= i) m_processes.resize(i + 1);
    SnapshotProcess& process = m_processes[i];
    const int64_t timer = process.timer;
    process = SnapshotProcess{};
    process.timer = timer + 1;
    process.id = HashPair(m_next_id++, m_scenario.seed);
    const auto index = static_cast<double>(i);
    process.is_partitioned =
        std::floor((index + 1) * m_scenario.partitioned_fraction) !=
        std::floor(index * m_scenario.partitioned_fraction);
    process.started_at = m_is_initialized ? at : -kClaimTtl;
    process.received_snapshot = m_latest_snapshot;
    process.received_at = at;
    if (m_is_initialized) SetTimer(i, at);
    if constexpr (Strategy::kClaims) {
      AddEvent(at + DrawUniform(kClaimTtl, 2 * kClaimTtl), Kind::kClaimTimer, i,
               process.timer);
    }
  }

  void ScheduleFaults(double end) {
    const double day = 24 * 3600;
    for (size_t i = 0; i < m_scenario.processes; ++i) {
      ScheduleFault(i, Kind::kRestart, m_scenario.restarts_per_day / day, end);
      ScheduleFault(i, Kind::kPause, m_scenario.pauses_per_day / day, end);
    }
  }
  void ScheduleFault(size_t i, Kind kind, double rate, double end) {
    if (rate <= 0) return;
    std::exponential_distribution<double> wait(rate);
    for (double at = wait(m_random); at < end; at += wait(m_random)) {
      AddEvent(at, kind, i);
    }
  }

  void SetTimer(size_t i, double from) {
    SnapshotProcess& process = m_processes[i];
    const double delay =
        Strategy::Delay(process, m_processes, m_scenario, from, m_random);
    AddEvent(from + delay, Kind::kSnapshotTimer, i, process.timer);
  }

  void Handle(const Event& event) {
    SnapshotProcess& process = m_processes[event.process];
    const bool is_paused = m_now < process.paused_until;
    switch (event.kind) {
      case Kind::kRestart:
        return StartProcess(event.process, m_now);
      case Kind::kPause:
        process.paused_until = m_now + m_scenario.pause;
        return;
      case Kind::kSnapshotTimer:
        // A paused process runs its timer as soon as it resumes, before it
        // receives the records that it missed.
        if (is_paused) return Postpone(event, process.paused_until);
        return OnSnapshotTimer(event.process, event.value);
      case Kind::kClaimTimer:
        if (is_paused) return Postpone(event, process.paused_until);
        return OnClaimTimer(event.process, event.value);
      case Kind::kReceiveSnapshot:
        if (is_paused) return Postpone(event, process.paused_until + 0.1);
        return ReceiveSnapshot(event.process, event.value);
      case Kind::kReceiveClaim:
        if (is_paused) return Postpone(event, process.paused_until + 0.1);
        return ReceiveClaim(event.process, event.author);
    }
  }
  void Postpone(Event event, double until) {
    event.at = until;
    event.sequence = m_sequence++;
    m_events.push(event);
  }

  void OnSnapshotTimer(size_t i, int64_t timer) {
    SnapshotProcess& process = m_processes[i];
    if (timer != process.timer) return;
    const bool is_leader = !Strategy::kClaims || process.leader == process.id;
    if (!is_leader) return AddEvent(m_now + 1, Kind::kSnapshotTimer, i, timer);
    if (process.is_partitioned || IsLogDown(m_now)) {
      return AddEvent(m_now + DrawUniform(0, kMaxRetryDelay),
                      Kind::kSnapshotTimer, i, timer);
    }
    RecordGap(m_now);
    ++m_stats.snapshots;
    ++m_latest_snapshot;
    m_last_snapshot_at = m_now;
    // The process must not append again before it receives its own record.
    AddEvent(m_now + kMaxRetryDelay, Kind::kSnapshotTimer, i, timer);
    Broadcast(Kind::kReceiveSnapshot, m_latest_snapshot, 0);
  }
  void RecordGap(double at) {
    const double gap = at - m_last_snapshot_at;
    m_stats.max_gap = std::max(m_stats.max_gap, gap);
    if (m_stats.snapshots > 0 && gap < m_scenario.interval / 2)
      ++m_stats.duplicates;
  }
  void Broadcast(Kind kind, int64_t value, uint64_t author) {
    for (size_t i = 0; i < m_processes.size(); ++i) {
      SnapshotProcess& process = m_processes[i];
      if (process.is_partitioned) continue;
      process.last_delivery =
          std::max(process.last_delivery, m_now + DrawUniform(0.02, 0.3));
      AddEvent(process.last_delivery, kind, i, value, author);
    }
  }
  void ReceiveSnapshot(size_t i, int64_t snapshot) {
    SnapshotProcess& process = m_processes[i];
    if (snapshot <= process.received_snapshot) return;
    process.received_snapshot = snapshot;
    process.received_at = m_now;
    ++process.timer;
    SetTimer(i, m_now);
    if constexpr (Strategy::kClaims) SetClaimTimer(i);
  }

  void SetClaimTimer(size_t i) {
    SnapshotProcess& process = m_processes[i];
    const bool is_leader = process.leader == process.id;
    const double delay =
        is_leader ? kClaimInterval : DrawUniform(kClaimTtl, 2 * kClaimTtl);
    AddEvent(m_now + delay, Kind::kClaimTimer, i, process.timer);
  }
  void OnClaimTimer(size_t i, int64_t timer) {
    SnapshotProcess& process = m_processes[i];
    if (timer != process.timer) return;
    const bool is_leader = process.leader == process.id;
    const bool is_expired = m_now >= process.leader_until;
    if ((is_leader || is_expired) && !process.is_partitioned &&
        !IsLogDown(m_now)) {
      ++m_stats.other_appends;
      Broadcast(Kind::kReceiveClaim, 0, process.id);
    }
    SetClaimTimer(i);
  }
  void ReceiveClaim(size_t i, uint64_t author) {
    SnapshotProcess& process = m_processes[i];
    const bool is_expired = m_now >= process.leader_until;
    if (!is_expired && author != process.leader) return;
    process.leader = author;
    process.leader_until = m_now + kClaimTtl;
  }

  SnapshotScenario m_scenario;
  std::mt19937_64 m_random;
  std::vector<SnapshotProcess> m_processes;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  double m_now = 0;
  double m_last_snapshot_at = 0;
  int64_t m_latest_snapshot = 0;
  /// Whether all initial processes exist and know each other.
  bool m_is_initialized = false;
  uint64_t m_next_id = 1;
  uint64_t m_sequence = 0;
  SnapshotStats m_stats;
};

/// Each process waits for a random time from 1 to 1.5 intervals.
struct JitteredTimer {
  static constexpr std::string_view kName = "jittered timer";
  static constexpr bool kClaims = false;
  static double Delay(const SnapshotProcess& /*process*/,
                      const std::vector<SnapshotProcess>& /*processes*/,
                      const SnapshotScenario& scenario, double /*now*/,
                      std::mt19937_64& random) {
    return std::uniform_real_distribution<double>(
        scenario.interval, scenario.interval * 1.5)(random);
  }
};

/// Each process waits for the interval plus `kRankDelay` for every member that
/// precedes it in the order of the hashes of member and snapshot.
struct Rendezvous {
  static constexpr std::string_view kName = "rendezvous on members";
  static constexpr bool kClaims = false;
  static constexpr double kRankDelay = 5;
  /// Seconds until the other members learn of a restart.
  static constexpr double kMembershipLag = 10;
  static double Delay(const SnapshotProcess& process,
                      const std::vector<SnapshotProcess>& processes,
                      const SnapshotScenario& scenario, double now,
                      std::mt19937_64& /*random*/) {
    const auto snapshot = static_cast<uint64_t>(process.received_snapshot);
    const uint64_t process_hash = HashPair(process.id, snapshot);
    int64_t rank = 0;
    for (const SnapshotProcess& other : processes) {
      const bool is_known = now - other.started_at >= kMembershipLag;
      if (is_known && HashPair(other.id, snapshot) < process_hash) ++rank;
    }
    return scenario.interval + kRankDelay * static_cast<double>(rank);
  }
};

/// Processes append leadership claims to the log, and the leader appends the
/// snapshots: the paper's induction without a broker that assigns partitions.
struct InductionByClaims {
  static constexpr std::string_view kName = "induction by claims";
  static constexpr bool kClaims = true;
  static double Delay(const SnapshotProcess& /*process*/,
                      const std::vector<SnapshotProcess>& /*processes*/,
                      const SnapshotScenario& scenario, double /*now*/,
                      std::mt19937_64& /*random*/) {
    return scenario.interval;
  }
};

}  // namespace peridotshelf::bench
