#include "peridotshelf/scheduling/engine_rate_limits.h"

#include <algorithm>
#include <cmath>

namespace peridotshelf::scheduling {
namespace {

constexpr Duration kMinWindow = std::chrono::seconds(4);
/// An engine is asked at least this often, in requests per second; otherwise
/// the end of a limit of 0 would never be learned.
constexpr double kMinPerSecond = 0.1;
/// Time constant of the demand.
constexpr Duration kDemandTime = std::chrono::seconds(2);
/// Demand that pauses for longer must be reported anew: what peers know of it
/// has decayed.
constexpr Duration kMaxDemandPause = std::chrono::seconds(2);
/// Factor on the expected requests of contenders, since their number varies.
constexpr double kContentionMargin = 1.3;
/// Requests that all entries with unreported demand together may be expected to
/// send, beyond one second's worth of the limit.
constexpr double kUnreportedRequests = 3;
/// Demand of a peer that is assumed while it may be unreported, in requests per
/// second.
constexpr double kAssumedDemand = 4;
/// The demand of a peer that has not reported it for longer is unknown.
constexpr Duration kMaxDemandAge = std::chrono::seconds(3);
/// A refused entry tries again after this time at the latest, so that its
/// demand does not grow with the number of its waiting requests.
constexpr Duration kMaxRetryInterval = std::chrono::milliseconds(100);
/// Statements of two entries closer than this cannot be ordered: their ages are
/// reported late by the time that a report takes.
constexpr Duration kStatementSlack = std::chrono::milliseconds(50);
/// Peers are told of the end of a limit for this long.
constexpr Duration kEndedLimitMemory = std::chrono::seconds(10);

double ToSeconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

double EngineRateLimits::Rate::At(TimePoint now) const {
  return per_second *
         std::exp(-ToSeconds(now - updated_at) / ToSeconds(kDemandTime));
}

void EngineRateLimits::Rate::Note(TimePoint now) {
  per_second = At(now) + 1 / ToSeconds(kDemandTime);
  updated_at = now;
}

Duration EngineRateLimits::Engine::Window() const {
  // A limit below one request in the shortest window needs a longer one.
  const Duration one_request = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / per_second.value_or(1)));
  return std::max(kMinWindow, one_request);
}

int64_t EngineRateLimits::Engine::Expire(std::deque<Sends>& sends,
                                         TimePoint now) const {
  const Duration window = Window();
  while (!sends.empty() && now - sends.front().at >= window) sends.pop_front();
  int64_t count = 0;
  for (const Sends& entry : sends) count += entry.count;
  return count;
}

double EngineRateLimits::Engine::PeerDemand(TimePoint now) const {
  double demand_per_second = 0;
  for (const auto& [address, peer] : peers) {
    if (now - peer.reported_at < kMaxDemandAge) {
      demand_per_second += peer.demand_per_second;
    }
  }
  return demand_per_second;
}

EngineRateLimits::Engine* EngineRateLimits::Find(std::string_view engine) {
  const auto found = m_engines.find(std::string(engine));
  return found == m_engines.end() ? nullptr : &found->second;
}

const EngineRateLimits::Engine* EngineRateLimits::Find(
    std::string_view engine) const {
  const auto found = m_engines.find(std::string(engine));
  return found == m_engines.end() ? nullptr : &found->second;
}

double EngineRateLimits::Engine::LocalShare(TimePoint now) const {
  // An entry without recent demand counts like one with its first request.
  const double local = std::max(demand.At(now), 1 / ToSeconds(kDemandTime));
  return local / (local + PeerDemand(now));
}

bool EngineRateLimits::Engine::IsDemandNew(TimePoint now) const {
  return now - last_demand_at > kMaxDemandPause;
}

void EngineRateLimits::Engine::NoteDemand(TimePoint now) {
  if (IsDemandNew(now)) demand_since = now;
  last_demand_at = now;
  demand.Note(now);
}

double EngineRateLimits::Engine::AdmissionProbability(
    double remaining, const LimitSharers& sharers, TimePoint now) const {
  if (remaining < 1) return 0;
  if (sharers.peers == 0) return 1;
  const double delay = ToSeconds(sharers.report_delay);
  // Requests that peers would send before this one is known to them.
  const double contenders = 1 + kContentionMargin * PeerDemand(now) * delay;
  const double probability = std::min(1.0, remaining / contenders);
  if (now - demand_since >= sharers.report_delay) return probability;
  const double assumed_contenders =
      1 + static_cast<double>(sharers.peers) *
              std::max(demand.At(now), kAssumedDemand) * delay;
  return std::min(probability,
                  (*per_second + kUnreportedRequests) / assumed_contenders);
}

bool EngineRateLimits::NoteAnswer(const std::string& engine,
                                  std::optional<double> per_second,
                                  TimePoint sent_at, TimePoint now) {
  if (!per_second) {
    Engine* known = Find(engine);
    // The response to an earlier request may be older than the limit.
    if (known == nullptr || !known->per_second || sent_at < known->stated_at) {
      return false;
    }
    known->per_second.reset();
    known->stated_at = now;
    return true;
  }
  Engine& limited = m_engines[engine];
  const double limit = std::max(*per_second, kMinPerSecond);
  const bool is_changed = limited.per_second != limit;
  limited.per_second = limit;
  limited.stated_at = now;
  return is_changed;
}

std::optional<double> EngineRateLimits::FindLimit(
    std::string_view engine) const {
  const Engine* known = Find(engine);
  return known == nullptr ? std::nullopt : known->per_second;
}

bool EngineRateLimits::TryAdmit(const std::string& engine,
                                const LimitSharers& sharers, TimePoint now) {
  Engine* limited = Find(engine);
  if (limited == nullptr) return true;
  const bool is_cold = limited->IsCold(now);
  const bool has_stated = limited->per_second.has_value();
  if (!is_cold && !has_stated) return true;
  if (has_stated && now < limited->next_try_at) return false;
  if (is_cold && now < limited->cold->next_try_at) return false;
  limited->NoteDemand(now);
  if (is_cold && !AdmitCold(*limited, sharers, now)) return false;
  return !has_stated || AdmitStated(*limited, sharers, now);
}

bool EngineRateLimits::AdmitStated(Engine& limited, const LimitSharers& sharers,
                                   TimePoint now) {
  const int64_t sent = limited.Expire(limited.local_sends, now) +
                       limited.Expire(limited.peer_sends, now);
  const double allowed =
      std::floor(*limited.per_second * ToSeconds(limited.Window()));
  const double remaining = allowed - static_cast<double>(sent);
  std::uniform_real_distribution<double> draw(0, 1);
  if (draw(m_random) < limited.AdmissionProbability(remaining, sharers, now)) {
    if (sharers.peers > 0) {
      // Peers send their shares of what is left before they hear of this one.
      const double local_share =
          std::max(1.0, remaining * limited.LocalShare(now));
      limited.next_try_at = now + std::chrono::duration_cast<Duration>(
                                      sharers.report_delay / local_share);
    }
    return true;
  }
  limited.next_try_at = now + std::min(kMaxRetryInterval, sharers.report_delay);
  return false;
}

void EngineRateLimits::NoteSent(const std::string& engine, TimePoint now) {
  Engine* limited = Find(engine);
  if (limited == nullptr) return;
  ++limited->sent;
  limited->local_sends.push_back({now, 1});
}

bool EngineRateLimits::IsDemandNew(std::string_view engine,
                                   TimePoint now) const {
  const Engine* limited = Find(engine);
  return limited != nullptr && limited->IsDemandNew(now);
}

double EngineRateLimits::ExpectedShare(std::string_view engine,
                                       TimePoint now) const {
  const Engine* limited = Find(engine);
  if (limited == nullptr) return 0;
  const auto per_second = limited->TargetRate(now);
  return per_second ? *per_second * limited->LocalShare(now) : 0;
}

std::vector<std::string> EngineRateLimits::EnginesToReport(TimePoint now) {
  std::erase_if(m_engines, [now](const auto& item) {
    return !item.second.per_second && !item.second.IsCold(now) &&
           now - item.second.stated_at > kEndedLimitMemory;
  });
  std::vector<std::string> engines;
  for (const auto& [engine, state] : m_engines) {
    const bool has_ended_limit = now - state.stated_at <= kEndedLimitMemory;
    if (has_ended_limit || state.IsWorthReporting(now)) {
      engines.push_back(engine);
    }
  }
  return engines;
}

std::optional<RateLimitReport> EngineRateLimits::MakeReport(
    std::string_view engine, TimePoint now) {
  Engine* known = Find(engine);
  if (known == nullptr) return std::nullopt;
  RateLimitReport report;
  report.per_second = known->per_second;
  report.stated_at = known->stated_at;
  report.sent = known->sent;
  report.recently_sent = known->Expire(known->local_sends, now);
  report.demand_per_second = known->demand.At(now);
  return report;
}

bool EngineRateLimits::ApplyReport(const std::string& peer,
                                   const std::string& engine,
                                   const RateLimitReport& report,
                                   TimePoint now) {
  if (!report.per_second && Find(engine) == nullptr) return false;
  Engine& known = m_engines[engine];
  const auto [found, is_new_peer] = known.peers.try_emplace(peer);
  const int64_t newly_sent = is_new_peer || report.sent < found->second.sent
                                 ? report.recently_sent
                                 : report.sent - found->second.sent;
  found->second = {report.sent, report.demand_per_second, now};
  if (newly_sent > 0) known.peer_sends.push_back({now, newly_sent});
  if (report.stated_at - known.stated_at <= kStatementSlack) return false;
  const bool is_changed = known.per_second != report.per_second;
  known.per_second = report.per_second;
  if (known.per_second) {
    known.per_second = std::max(*known.per_second, kMinPerSecond);
  }
  known.stated_at = report.stated_at;
  return is_changed;
}

void EngineRateLimits::RemovePeer(const std::string& peer) {
  for (auto& [engine, state] : m_engines) state.peers.erase(peer);
}

}  // namespace peridotshelf::scheduling
