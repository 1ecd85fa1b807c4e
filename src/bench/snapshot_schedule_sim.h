/// A virtual-time model of a fleet that shares the duty to append snapshots,
/// to compare ways of choosing who does it.
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

/// The fleet and what happens to it. Times are in seconds.
struct SnapshotWorld {
  std::string_view name;
  size_t processes = 20;
  double hours = 24;
  /// Time between snapshots that is aimed for.
  double interval = 600;
  /// Fraction of processes that cannot reach the log at all.
  double cut_off = 0;
  /// Restarts and pauses of one process in a day.
  double restarts_per_day = 0;
  double pauses_per_day = 0;
  double pause = 60;
  /// The log is down for `outage` seconds every `outage_period`; 0 for never.
  double outage_period = 0;
  double outage = 600;
  uint64_t seed = 1;
};

/// What one run came to.
struct SnapshotTally {
  int64_t snapshots = 0;
  /// Other appends that the way needs.
  int64_t other_appends = 0;
  /// Snapshots that came before half of the interval had passed.
  int64_t doubled = 0;
  double worst_gap = 0;
  double mean_gap = 0;
};

/// One process of the model.
struct SnapshotProcess {
  uint64_t id = 0;
  bool cut_off = false;
  double born = 0;
  double paused_until = 0;
  /// The newest snapshot it has seen, and when.
  int64_t seen_snapshot = 0;
  double seen_at = 0;
  /// For induction: whom it takes for the leader, and until when.
  uint64_t leader = 0;
  double leader_until = 0;
  /// Records reach a process in the log's order.
  double last_delivery = 0;
  /// Timers set before the newest one are void.
  int64_t timer = 0;
};

/// A whole number that looks random but depends on `a` and `b` alone.
inline uint64_t Mix(uint64_t a, uint64_t b) {
  uint64_t x = a * 0x9E3779B97F4A7C15ULL + b;
  x ^= x >> 30U;
  x *= 0xBF58476D1CE4E5B9ULL;
  x ^= x >> 27U;
  x *= 0x94D049BB133111EBULL;
  return x ^ (x >> 31U);
}

/// Runs a fleet under one way of sharing the duty.
///
/// `Way` offers Delay(process, processes, world, random): seconds after seeing
/// a snapshot until the process appends one unless it sees a newer first; and
/// kClaims: whether processes also claim to lead.
template <class Way>
class SnapshotFleet {
 public:
  explicit SnapshotFleet(const SnapshotWorld& world)
      : m_world(world), m_random(world.seed) {}

  SnapshotTally Run() {
    const double end = m_world.hours * 3600;
    for (size_t i = 0; i < m_world.processes; ++i) Begin(i, 0);
    m_started = true;
    for (size_t i = 0; i < m_world.processes; ++i) SetTimer(i, 0);
    PlanFaults(end);
    while (!m_events.empty() && m_events.top().at < end) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.at;
      Handle(event);
    }
    NoteGap(end);
    const auto gaps = static_cast<double>(m_tally.snapshots + 1);
    m_tally.mean_gap = end / gaps;
    return m_tally;
  }

 private:
  enum class Kind {
    kSnapshotTimer,
    kClaimTimer,
    kSeeSnapshot,
    kSeeClaim,
    kRestart,
    kPause
  };
  struct Event {
    double at;
    Kind kind;
    size_t process;
    int64_t value;
    uint64_t author;
    /// Events of one moment happen in the order in which they were added.
    uint64_t sequence;
    bool operator>(const Event& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };
  static constexpr double kClaimInterval = 5;
  static constexpr double kClaimLapse = 15;
  static constexpr double kRetryBound = 60;

  double Draw(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(m_random);
  }
  bool LogIsDown(double at) const {
    if (m_world.outage_period <= 0) return false;
    const double into = std::fmod(at, m_world.outage_period);
    return at > m_world.outage_period && into < m_world.outage;
  }
  void Add(double at, Kind kind, size_t process, int64_t value = 0,
           uint64_t author = 0) {
    m_events.push({at, kind, process, value, author, m_sequence++});
  }

  void Begin(size_t i, double at) {
    if (m_processes.size() <= i) m_processes.resize(i + 1);
    SnapshotProcess& process = m_processes[i];
    const int64_t timer = process.timer;
    process = SnapshotProcess{};
    process.timer = timer + 1;
    process.id = Mix(m_next_id++, m_world.seed);
    const auto index = static_cast<double>(i);
    process.cut_off = std::floor((index + 1) * m_world.cut_off) !=
                      std::floor(index * m_world.cut_off);
    process.born = m_started ? at : -kClaimLapse;
    process.seen_snapshot = m_snapshot;
    process.seen_at = at;
    if (m_started) SetTimer(i, at);
    if constexpr (Way::kClaims) {
      Add(at + Draw(kClaimLapse, 2 * kClaimLapse), Kind::kClaimTimer, i,
          process.timer);
    }
  }

  void PlanFaults(double end) {
    const double day = 24 * 3600;
    for (size_t i = 0; i < m_world.processes; ++i) {
      PlanFor(i, Kind::kRestart, m_world.restarts_per_day / day, end);
      PlanFor(i, Kind::kPause, m_world.pauses_per_day / day, end);
    }
  }
  void PlanFor(size_t i, Kind kind, double rate, double end) {
    if (rate <= 0) return;
    std::exponential_distribution<double> wait(rate);
    for (double at = wait(m_random); at < end; at += wait(m_random)) {
      Add(at, kind, i);
    }
  }

  void SetTimer(size_t i, double from) {
    SnapshotProcess& process = m_processes[i];
    const double delay =
        Way::Delay(process, m_processes, m_world, from, m_random);
    Add(from + delay, Kind::kSnapshotTimer, i, process.timer);
  }

  void Handle(const Event& event) {
    SnapshotProcess& process = m_processes[event.process];
    const bool sleeps = m_now < process.paused_until;
    switch (event.kind) {
      case Kind::kRestart:
        return Begin(event.process, m_now);
      case Kind::kPause:
        process.paused_until = m_now + m_world.pause;
        return;
      case Kind::kSnapshotTimer:
        // A sleeper's timer runs as soon as it wakes, before what it missed.
        if (sleeps) return Delay(event, process.paused_until);
        return FireSnapshot(event.process, event.value);
      case Kind::kClaimTimer:
        if (sleeps) return Delay(event, process.paused_until);
        return FireClaim(event.process, event.value);
      case Kind::kSeeSnapshot:
        if (sleeps) return Delay(event, process.paused_until + 0.1);
        return SeeSnapshot(event.process, event.value);
      case Kind::kSeeClaim:
        if (sleeps) return Delay(event, process.paused_until + 0.1);
        return SeeClaim(event.process, event.author);
    }
  }
  void Delay(Event event, double until) {
    event.at = until;
    event.sequence = m_sequence++;
    m_events.push(event);
  }

  void FireSnapshot(size_t i, int64_t timer) {
    SnapshotProcess& process = m_processes[i];
    if (timer != process.timer) return;
    const bool leads = !Way::kClaims || process.leader == process.id;
    if (!leads) return Add(m_now + 1, Kind::kSnapshotTimer, i, timer);
    if (process.cut_off || LogIsDown(m_now)) {
      return Add(m_now + Draw(0, kRetryBound), Kind::kSnapshotTimer, i, timer);
    }
    NoteGap(m_now);
    ++m_tally.snapshots;
    ++m_snapshot;
    m_last_at = m_now;
    // Until it sees its own record it must not append again.
    Add(m_now + kRetryBound, Kind::kSnapshotTimer, i, timer);
    Spread(Kind::kSeeSnapshot, m_snapshot, 0);
  }
  void NoteGap(double at) {
    const double gap = at - m_last_at;
    m_tally.worst_gap = std::max(m_tally.worst_gap, gap);
    if (m_tally.snapshots > 0 && gap < m_world.interval / 2) ++m_tally.doubled;
  }
  void Spread(Kind kind, int64_t value, uint64_t author) {
    for (size_t i = 0; i < m_processes.size(); ++i) {
      SnapshotProcess& process = m_processes[i];
      if (process.cut_off) continue;
      process.last_delivery =
          std::max(process.last_delivery, m_now + Draw(0.02, 0.3));
      Add(process.last_delivery, kind, i, value, author);
    }
  }
  void SeeSnapshot(size_t i, int64_t snapshot) {
    SnapshotProcess& process = m_processes[i];
    if (snapshot <= process.seen_snapshot) return;
    process.seen_snapshot = snapshot;
    process.seen_at = m_now;
    ++process.timer;
    SetTimer(i, m_now);
    if constexpr (Way::kClaims) SetClaimTimer(i);
  }

  void SetClaimTimer(size_t i) {
    SnapshotProcess& process = m_processes[i];
    const bool leads = process.leader == process.id;
    const double delay =
        leads ? kClaimInterval : Draw(kClaimLapse, 2 * kClaimLapse);
    Add(m_now + delay, Kind::kClaimTimer, i, process.timer);
  }
  void FireClaim(size_t i, int64_t timer) {
    SnapshotProcess& process = m_processes[i];
    if (timer != process.timer) return;
    const bool leads = process.leader == process.id;
    const bool lapsed = m_now >= process.leader_until;
    if ((leads || lapsed) && !process.cut_off && !LogIsDown(m_now)) {
      ++m_tally.other_appends;
      Spread(Kind::kSeeClaim, 0, process.id);
    }
    SetClaimTimer(i);
  }
  void SeeClaim(size_t i, uint64_t author) {
    SnapshotProcess& process = m_processes[i];
    const bool lapsed = m_now >= process.leader_until;
    if (!lapsed && author != process.leader) return;
    process.leader = author;
    process.leader_until = m_now + kClaimLapse;
  }

  SnapshotWorld m_world;
  std::mt19937_64 m_random;
  std::vector<SnapshotProcess> m_processes;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  double m_now = 0;
  double m_last_at = 0;
  int64_t m_snapshot = 0;
  /// All first processes exist, and so do their views of each other.
  bool m_started = false;
  uint64_t m_next_id = 1;
  uint64_t m_sequence = 0;
  SnapshotTally m_tally;
};

/// Each process waits for the interval and a random part of another half.
struct JitteredTimer {
  static constexpr std::string_view kName = "jittered timer";
  static constexpr bool kClaims = false;
  static double Delay(const SnapshotProcess& /*process*/,
                      const std::vector<SnapshotProcess>& /*processes*/,
                      const SnapshotWorld& world, double /*now*/,
                      std::mt19937_64& random) {
    return std::uniform_real_distribution<double>(world.interval,
                                                  world.interval * 1.5)(random);
  }
};

/// Each process waits for the interval and a step for every member that goes
/// before it in the order of hashes of member and snapshot.
struct Rendezvous {
  static constexpr std::string_view kName = "rendezvous on members";
  static constexpr bool kClaims = false;
  static constexpr double kStep = 5;
  /// How long members take to hear of a restart.
  static constexpr double kMembershipLag = 10;
  static double Delay(const SnapshotProcess& process,
                      const std::vector<SnapshotProcess>& processes,
                      const SnapshotWorld& world, double now,
                      std::mt19937_64& /*random*/) {
    const auto snapshot = static_cast<uint64_t>(process.seen_snapshot);
    const uint64_t own = Mix(process.id, snapshot);
    int64_t rank = 0;
    for (const SnapshotProcess& other : processes) {
      const bool known = now - other.born >= kMembershipLag;
      if (known && Mix(other.id, snapshot) < own) ++rank;
    }
    return world.interval + kStep * static_cast<double>(rank);
  }
};

/// Processes claim on the log to lead and the leader appends: the paper's
/// induction without a broker that assigns partitions.
struct InductionByClaims {
  static constexpr std::string_view kName = "induction by claims";
  static constexpr bool kClaims = true;
  static double Delay(const SnapshotProcess& /*process*/,
                      const std::vector<SnapshotProcess>& /*processes*/,
                      const SnapshotWorld& world, double /*now*/,
                      std::mt19937_64& /*random*/) {
    return world.interval;
  }
};

}  // namespace peridotshelf::bench
