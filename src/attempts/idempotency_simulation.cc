/// Compares two ways to run an unrepeatable call at most once, in virtual
/// time: claims on the platform's log, and a home side for each key. Prints a
/// table; the same seed gives the same figures.
#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "peridotshelf/attempts/idempotency_table.h"
#include "peridotshelf/attempts/key_owner.h"

namespace peridotshelf::attempts {
namespace {

using std::chrono::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kSeed = 20261203;
constexpr Duration kLength = std::chrono::minutes(10);
/// One way between failure domains, and within one.
constexpr Duration kFarHop = microseconds(1500);
constexpr Duration kNearHop = microseconds(50);
/// The log: appends a second, and the round trip to it.
constexpr int64_t kLogAppendsPerSecond = 300;
constexpr Duration kLogRoundTrip = milliseconds(3);
/// A caller that gets no answer from the log in this time is refused.
constexpr Duration kPatience = seconds(2);
constexpr Duration kOutageBegin = seconds(200);
constexpr Duration kOutageEnd = seconds(260);
/// Each side restarts this often and is down this long.
constexpr Duration kRestartInterval = seconds(300);
constexpr Duration kDownTime = seconds(1);
/// Callers that repeat their key, and how much later.
constexpr double kRepeatFraction = 0.05;
constexpr Duration kRepeatDelay = seconds(1);
constexpr int64_t kWallAtStart = 1'000'000'000'000;

const TimePoint kStart{std::chrono::hours(24)};
const std::vector<HostId> kHosts{HostId("a"), HostId("b"), HostId("c")};

struct Call {
  TimePoint at;
  TimePoint issued_at;
  int64_t key = 0;
  bool repeat = false;
  int domain = 0;
};

struct Tally {
  std::vector<Duration> added;
  int64_t appends = 0;
  int64_t refused = 0;
  int64_t refused_in_outage = 0;
  int64_t unknown = 0;
  int64_t replayed = 0;
  std::map<int64_t, int64_t> runs;

  double QuantileMs(double q) {
    if (added.empty()) return 0;
    const auto rank =
        static_cast<size_t>(q * static_cast<double>(added.size() - 1));
    std::nth_element(added.begin(),
                     added.begin() + static_cast<std::ptrdiff_t>(rank),
                     added.end());
    return duration<double, std::milli>(added[rank]).count();
  }
  int64_t MostRuns() const {
    int64_t most = 0;
    for (const auto& [key, count] : runs) most = std::max(most, count);
    return most;
  }
};

std::vector<Call> MakeCalls(double per_second, std::mt19937_64& random) {
  std::exponential_distribution<double> gap(per_second);
  std::uniform_int_distribution<int> domain(0, 2);
  std::bernoulli_distribution repeats(kRepeatFraction);
  std::vector<Call> calls;
  TimePoint at = kStart;
  for (int64_t key = 0; at < kStart + kLength; ++key) {
    at += std::chrono::duration_cast<Duration>(duration<double>(gap(random)));
    calls.push_back({at, at, key, false, domain(random)});
    if (!repeats(random)) continue;
    calls.push_back({at + kRepeatDelay, at, key, true, domain(random)});
  }
  std::sort(calls.begin(), calls.end(),
            [](const Call& a, const Call& b) { return a.at < b.at; });
  return calls;
}

bool InOutage(TimePoint at) {
  return at >= kStart + kOutageBegin && at < kStart + kOutageEnd;
}

/// A claim is appended before the run and its outcome after it; the first
/// claim of a key by offset wins, and repeats read the outcome.
Tally SimulateLogClaims(const std::vector<Call>& calls) {
  Tally tally;
  const Duration service = Duration(seconds(1)) / kLogAppendsPerSecond;
  TimePoint free_at = kStart;
  for (const Call& call : calls) {
    if (InOutage(call.at)) {
      ++tally.refused;
      ++tally.refused_in_outage;
      continue;
    }
    const TimePoint begin = std::max(call.at, free_at);
    const Duration added = begin + service - call.at + kLogRoundTrip;
    if (added > kPatience) {
      ++tally.refused;
      continue;
    }
    free_at = begin + service;
    ++tally.appends;
    tally.added.push_back(added);
    if (tally.runs.contains(call.key)) {
      ++tally.replayed;
      continue;
    }
    ++tally.runs[call.key];
    // The outcome takes its place in the log's queue too.
    free_at += service;
    ++tally.appends;
  }
  return tally;
}

/// The home side of each key judges it; sides restart in turn.
class HomeSides {
 public:
  Tally Simulate(const std::vector<Call>& calls) {
    for (size_t i = 0; i < kHosts.size(); ++i) Restart(i, kStart);
    for (size_t i = 0; i < kHosts.size(); ++i) {
      // Before the first call all sides are older than the window.
      m_sides[i].up_at = kStart - std::chrono::hours(1);
      m_sides[i].table = MakeTable(m_sides[i].up_at);
      m_sides[i].next_restart =
          kStart + seconds(100) * static_cast<int64_t>(i + 1);
    }
    for (const Call& call : calls) Judge(call);
    return std::move(m_tally);
  }

 private:
  struct Side {
    std::unique_ptr<IdempotencyTable> table;
    TimePoint up_at;
    TimePoint next_restart;
  };

  static std::unique_ptr<IdempotencyTable> MakeTable(TimePoint start) {
    return std::make_unique<IdempotencyTable>(
        IdempotencyOptions{}, start,
        kWallAtStart + ToMilliseconds(start - kStart));
  }
  void Restart(size_t i, TimePoint at) {
    m_sides[i].up_at = at + kDownTime;
    m_sides[i].table = MakeTable(m_sides[i].up_at);
    m_sides[i].next_restart = at + kRestartInterval;
  }
  void Judge(const Call& call) {
    const std::string key = "key" + std::to_string(call.key);
    const HostId key_owner = FindKeyOwner(key, kHosts);
    const auto i = static_cast<size_t>(key_owner.value()[0] - 'a');
    Side& side = m_sides[i];
    if (call.at >= side.next_restart) Restart(i, side.next_restart);
    if (call.at < side.up_at) {
      ++m_tally.refused;
      return;
    }
    side.table->Tick(call.at);
    IdempotentCall once;
    once.key = key;
    once.issued_at_ms = kWallAtStart + ToMilliseconds(call.issued_at - kStart);
    const ClaimResult verdict = side.table->Claim(once, side.up_at, call.at);
    // A backend server in the caller's own domain would have been near.
    const bool far = static_cast<int>(i) != call.domain;
    m_tally.added.push_back(far ? 2 * (kFarHop - kNearHop) : Duration::zero());
    if (!verdict) {
      ++m_tally.unknown;
      if (InOutage(call.at)) ++m_tally.refused_in_outage;
    } else if (*verdict) {
      ++m_tally.replayed;
    } else {
      ++m_tally.runs[call.key];
      side.table->Finish(key, StoredAnswer{});
    }
  }

  std::array<Side, 3> m_sides;
  Tally m_tally;
};

void Print(const char* way, double per_second, size_t calls, Tally tally) {
  const double length_s = duration<double>(kLength).count();
  std::printf(
      "%-10s %6.0f %8zu %9.2f %9.2f %9.1f %8lld %8lld %9lld %8lld %5lld\n", way,
      per_second, calls, tally.QuantileMs(0.5), tally.QuantileMs(0.99),
      static_cast<double>(tally.appends) / length_s,
      static_cast<long long>(tally.refused),            // NOLINT
      static_cast<long long>(tally.refused_in_outage),  // NOLINT
      static_cast<long long>(tally.unknown),            // NOLINT
      static_cast<long long>(tally.replayed),           // NOLINT
      static_cast<long long>(tally.MostRuns()));        // NOLINT
}

void Compare() {
  std::printf("%-10s %6s %8s %9s %9s %9s %8s %8s %9s %8s %5s\n", "way",
              "call/s", "calls", "p50 ms", "p99 ms", "append/s", "refused",
              "outage", "unknown", "replayed", "runs");
  for (const double per_second : {2.0, 50.0, 140.0, 200.0, 1000.0}) {
    std::mt19937_64 random(kSeed);
    const std::vector<Call> calls = MakeCalls(per_second, random);
    Print("log", per_second, calls.size(), SimulateLogClaims(calls));
    Print("home", per_second, calls.size(), HomeSides().Simulate(calls));
  }
}

}  // namespace
}  // namespace peridotshelf::attempts

int main() { peridotshelf::attempts::Compare(); }
