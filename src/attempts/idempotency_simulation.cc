/// Compares two methods of running an unrepeatable call at most once, in
/// simulated time: claims on the platform's log, and an owner side for each
/// key. Prints a table; the same seed gives the same figures.
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
constexpr Duration kSimulatedTime = std::chrono::minutes(10);
/// One-way latency between failure domains, and within a failure domain.
constexpr Duration kCrossDomainLatency = microseconds(1500);
constexpr Duration kSameDomainLatency = microseconds(50);
/// Append rate of the log, per second, and the round-trip time to it.
constexpr int64_t kLogAppendsPerSecond = 300;
constexpr Duration kLogRoundTrip = milliseconds(3);
/// A call without an answer from the log within this time is refused.
constexpr Duration kCallerTimeout = seconds(2);
constexpr Duration kOutageBegin = seconds(200);
constexpr Duration kOutageEnd = seconds(260);
/// Restart interval of each side, and its down time per restart.
constexpr Duration kRestartInterval = seconds(300);
constexpr Duration kDownTime = seconds(1);
/// Fraction of calls that are retried with the same key, and the delay.
constexpr double kRetryFraction = 0.05;
constexpr Duration kRetryDelay = seconds(1);
constexpr int64_t kStartWallMs = 1'000'000'000'000;

const TimePoint kStart{std::chrono::hours(24)};
const std::vector<HostId> kHosts{HostId("a"), HostId("b"), HostId("c")};

struct Call {
  TimePoint at;
  TimePoint issued_at;
  int64_t key = 0;
  bool is_retry = false;
  int domain = 0;
};

struct Statistics {
  /// Latency added to each call by the method.
  std::vector<Duration> added_latencies;
  int64_t appends = 0;
  int64_t refused = 0;
  int64_t refused_in_outage = 0;
  int64_t unknown = 0;
  int64_t replayed = 0;
  std::map<int64_t, int64_t> runs;

  double QuantileMs(double q) {
    if (added_latencies.empty()) return 0;
    const auto rank = static_cast<size_t>(
        q * static_cast<double>(added_latencies.size() - 1));
    std::nth_element(
        added_latencies.begin(),
        added_latencies.begin() + static_cast<std::ptrdiff_t>(rank),
        added_latencies.end());
    return duration<double, std::milli>(added_latencies[rank]).count();
  }
  int64_t MaxRunsPerKey() const {
    int64_t max_runs = 0;
    for (const auto& [key, count] : runs) max_runs = std::max(max_runs, count);
    return max_runs;
  }
};

std::vector<Call> MakeCalls(double per_second, std::mt19937_64& random) {
  std::exponential_distribution<double> gap(per_second);
  std::uniform_int_distribution<int> domain(0, 2);
  std::bernoulli_distribution draw_retry(kRetryFraction);
  std::vector<Call> calls;
  TimePoint at = kStart;
  for (int64_t key = 0; at < kStart + kSimulatedTime; ++key) {
    at += std::chrono::duration_cast<Duration>(duration<double>(gap(random)));
    calls.push_back({at, at, key, false, domain(random)});
    if (!draw_retry(random)) continue;
    calls.push_back({at + kRetryDelay, at, key, true, domain(random)});
  }
  std::sort(calls.begin(), calls.end(),
            [](const Call& a, const Call& b) { return a.at < b.at; });
  return calls;
}

bool IsInOutage(TimePoint at) {
  return at >= kStart + kOutageBegin && at < kStart + kOutageEnd;
}

/// Appends a claim before the run and the outcome after it. The first claim of
/// a key by log offset wins, and retried calls read its outcome.
Statistics SimulateLogClaims(const std::vector<Call>& calls) {
  Statistics statistics;
  const Duration service = Duration(seconds(1)) / kLogAppendsPerSecond;
  TimePoint log_idle_at = kStart;
  for (const Call& call : calls) {
    if (IsInOutage(call.at)) {
      ++statistics.refused;
      ++statistics.refused_in_outage;
      continue;
    }
    const TimePoint begin = std::max(call.at, log_idle_at);
    const Duration added_latency = begin + service - call.at + kLogRoundTrip;
    if (added_latency > kCallerTimeout) {
      ++statistics.refused;
      continue;
    }
    log_idle_at = begin + service;
    ++statistics.appends;
    statistics.added_latencies.push_back(added_latency);
    if (statistics.runs.contains(call.key)) {
      ++statistics.replayed;
      continue;
    }
    ++statistics.runs[call.key];
    // The append of the outcome is queued at the log too.
    log_idle_at += service;
    ++statistics.appends;
  }
  return statistics;
}

/// The owner side of each key handles its calls; sides restart in turn.
class KeyOwnerSides {
 public:
  Statistics Simulate(const std::vector<Call>& calls) {
    for (size_t i = 0; i < kHosts.size(); ++i) Restart(i, kStart);
    for (size_t i = 0; i < kHosts.size(); ++i) {
      // All sides have been up for longer than the retry window before the
      // first call.
      m_sides[i].up_at = kStart - std::chrono::hours(1);
      m_sides[i].table = MakeTable(m_sides[i].up_at);
      m_sides[i].next_restart =
          kStart + seconds(100) * static_cast<int64_t>(i + 1);
    }
    for (const Call& call : calls) ProcessCall(call);
    return std::move(m_statistics);
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
        kStartWallMs + ToMilliseconds(start - kStart));
  }
  void Restart(size_t i, TimePoint at) {
    m_sides[i].up_at = at + kDownTime;
    m_sides[i].table = MakeTable(m_sides[i].up_at);
    m_sides[i].next_restart = at + kRestartInterval;
  }
  void ProcessCall(const Call& call) {
    const std::string key = "key" + std::to_string(call.key);
    const HostId key_owner = FindKeyOwner(key, kHosts);
    const auto i = static_cast<size_t>(key_owner.value()[0] - 'a');
    Side& side = m_sides[i];
    if (call.at >= side.next_restart) Restart(i, side.next_restart);
    if (call.at < side.up_at) {
      ++m_statistics.refused;
      return;
    }
    side.table->Tick(call.at);
    IdempotentCall idempotent_call;
    idempotent_call.key = key;
    idempotent_call.issued_at_ms =
        kStartWallMs + ToMilliseconds(call.issued_at - kStart);
    const ClaimResult claim =
        side.table->Claim(idempotent_call, side.up_at, call.at);
    // Without key owners, the call would stay in the caller's failure domain.
    const bool is_cross_domain = static_cast<int>(i) != call.domain;
    m_statistics.added_latencies.push_back(
        is_cross_domain ? 2 * (kCrossDomainLatency - kSameDomainLatency)
                        : Duration::zero());
    if (!claim) {
      ++m_statistics.unknown;
      if (IsInOutage(call.at)) ++m_statistics.refused_in_outage;
    } else if (*claim) {
      ++m_statistics.replayed;
    } else {
      ++m_statistics.runs[call.key];
      side.table->Finish(key, StoredAnswer{});
    }
  }

  std::array<Side, 3> m_sides;
  Statistics m_statistics;
};

void PrintRow(const char* method, double per_second, size_t calls,
              Statistics statistics) {
  const double simulated_seconds = duration<double>(kSimulatedTime).count();
  std::printf(
      "%-10s %6.0f %8zu %9.2f %9.2f %9.1f %8lld %8lld %9lld %8lld %5lld\n",
      method, per_second, calls, statistics.QuantileMs(0.5),
      statistics.QuantileMs(0.99),
      static_cast<double>(statistics.appends) / simulated_seconds,
      static_cast<long long>(statistics.refused),            // NOLINT
      static_cast<long long>(statistics.refused_in_outage),  // NOLINT
      static_cast<long long>(statistics.unknown),            // NOLINT
      static_cast<long long>(statistics.replayed),           // NOLINT
      static_cast<long long>(statistics.MaxRunsPerKey()));   // NOLINT
}

void PrintComparison() {
  std::printf("%-10s %6s %8s %9s %9s %9s %8s %8s %9s %8s %5s\n", "way",
              "call/s", "calls", "p50 ms", "p99 ms", "append/s", "refused",
              "outage", "unknown", "replayed", "runs");
  for (const double per_second : {2.0, 50.0, 140.0, 200.0, 1000.0}) {
    std::mt19937_64 random(kSeed);
    const std::vector<Call> calls = MakeCalls(per_second, random);
    PrintRow("log", per_second, calls.size(), SimulateLogClaims(calls));
    PrintRow("home", per_second, calls.size(), KeyOwnerSides().Simulate(calls));
  }
}

}  // namespace
}  // namespace peridotshelf::attempts

int main() { peridotshelf::attempts::PrintComparison(); }
