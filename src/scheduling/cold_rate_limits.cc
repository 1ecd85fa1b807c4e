#include <algorithm>
#include <cmath>
#include <utility>

#include "peridotshelf/scheduling/engine_rate_limits.h"

namespace peridotshelf::scheduling {
namespace {

constexpr Duration kColdWindow = std::chrono::seconds(1);
/// The mean number of requests in a window stays below the bound by this many
/// standard deviations, since each entry decides by chance.
constexpr double kBoundMargin = 5;
/// An entry may send this much more than its part of the known demand earns,
/// since others may not use theirs.
constexpr double kShareMargin = 1.2;
/// Part of a limit that an entry uses while it does not know of any other. All
/// entries of a fleet of the target size may start together.
constexpr double kStartingShare = 1.0 / 400;
/// An entry whose demand has decayed to less has not tried for so long that it
/// reports anew before it tries again.
constexpr double kMinReportedDemand = 0.1;
/// As in engine_rate_limits.cc: older reports of demand are not relied on.
constexpr Duration kMaxDemandAge = std::chrono::seconds(3);
constexpr Duration kMaxRetryInterval = std::chrono::milliseconds(100);

double ToSeconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

/// Returns the number of requests in a window at which their usual variation
/// stays within the bound of the limit.
double TargetCount(const ColdLimit& limit) {
  const double bound =
      limit.per_second * limit.bound.overshoot + limit.bound.slack;
  // The largest x with x + kBoundMargin * sqrt(x) <= bound.
  const double root =
      (std::sqrt(kBoundMargin * kBoundMargin + 4 * std::max(bound, 0.0)) -
       kBoundMargin) /
      2;
  return std::min(root * root, limit.per_second);
}

/// Returns the number of entries that may send, this one included.
double CountEntries(const LimitSharers& sharers) {
  return 1 + static_cast<double>(std::max(sharers.peers, sharers.fleet_peers));
}

/// Returns the part of a limit that belongs to the entries that this one hears.
double ShareOfGroup(const LimitSharers& sharers) {
  if (sharers.is_starting) return kStartingShare;
  return 1 - static_cast<double>(sharers.silent_peers) / CountEntries(sharers);
}

bool IsAlone(const LimitSharers& sharers) {
  return sharers.peers == 0 && sharers.fleet_peers == 0 && !sharers.is_starting;
}

template <class Sends>
double CountInWindow(const Sends& sends, TimePoint now) {
  int64_t count = 0;
  for (auto it = sends.rbegin(); it != sends.rend(); ++it) {
    if (now - it->at >= kColdWindow) break;
    count += it->count;
  }
  return static_cast<double>(count);
}

}  // namespace

bool EngineRateLimits::Engine::IsCold(TimePoint now) const {
  return cold && now < cold->limit.until;
}

bool EngineRateLimits::Engine::IsWorthReporting(TimePoint now) const {
  return per_second || demand.At(now) >= kMinReportedDemand ||
         CountInWindow(local_sends, now) > 0;
}

size_t EngineRateLimits::Engine::CountPeersWithDemand(TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(peers.begin(), peers.end(), [now](const auto& item) {
        return now - item.second.reported_at < kMaxDemandAge &&
               item.second.demand_per_second >= kMinReportedDemand;
      }));
}

void EngineRateLimits::SetColdLimit(const std::string& engine,
                                    const ColdLimit& limit) {
  Engine& limited = m_engines[engine];
  if (!limited.cold) limited.cold = Cold();
  limited.cold->limit = limit;
}

void EngineRateLimits::EndColdLimit(std::string_view engine) {
  Engine* known = Find(engine);
  if (known != nullptr) known->cold.reset();
}

bool EngineRateLimits::IsCold(std::string_view engine, TimePoint now) const {
  const Engine* known = Find(engine);
  return known != nullptr && known->IsCold(now);
}

bool EngineRateLimits::MayTryCold(std::string_view engine,
                                  TimePoint now) const {
  const Engine* known = Find(engine);
  return known == nullptr || !known->IsCold(now) ||
         now >= known->cold->next_try_at;
}

std::optional<double> EngineRateLimits::Engine::TargetRate(
    TimePoint now) const {
  if (!IsCold(now)) return per_second;
  const double target = TargetCount(cold->limit);
  return per_second ? std::min(*per_second, target) : target;
}

bool EngineRateLimits::AdmitCold(Engine& limited, const LimitSharers& sharers,
                                 TimePoint now) {
  Cold& cold = *limited.cold;
  const double local = CountInWindow(limited.local_sends, now);
  const double count = local + CountInWindow(limited.peer_sends, now);
  if (IsAlone(sharers)) {
    return count < std::max(1.0, std::floor(cold.limit.per_second));
  }
  const double entries = CountEntries(sharers);
  const Duration delay = sharers.report_delay;
  const double allowed = TargetCount(cold.limit) * ShareOfGroup(sharers);
  const double left = allowed - count;
  const double part = kShareMargin * allowed * limited.LocalShare(now);
  std::uniform_real_distribution<double> draw(0, 1);
  double probability = 0;
  double tries_in_delay = 1;
  if (allowed < 1) {
    // Less than one request in a window: spread over its report delays.
    probability = left * ToSeconds(delay) / ToSeconds(kColdWindow);
  } else if (now - limited.demand_since < delay) {
    probability = left / entries;
    tries_in_delay = left / entries;
  } else if (local < std::max(1.0, std::floor(part + draw(m_random)))) {
    const auto contenders =
        1 + static_cast<double>(limited.CountPeersWithDemand(now));
    probability = left / contenders;
    // Less than one request in a window is earned by the time that passes.
    const Duration earned_in =
        std::min(kColdWindow, now - std::exchange(cold.last_try_at, now));
    if (part < 1) {
      probability = std::min(
          probability, part * ToSeconds(earned_in) / ToSeconds(kColdWindow));
    }
    tries_in_delay = left * limited.LocalShare(now);
  }
  if (draw(m_random) < probability) {
    cold.next_try_at = now + std::chrono::duration_cast<Duration>(
                                 delay / std::max(1.0, tries_in_delay));
    return true;
  }
  cold.next_try_at = now + std::min(kMaxRetryInterval, delay);
  return false;
}

}  // namespace peridotshelf::scheduling
