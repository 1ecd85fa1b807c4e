#include <algorithm>
#include <set>
#include <utility>

#include "peer_exchange_impl.h"

namespace peridotshelf::gateway {
namespace {

using discovery::ColdBelief;
using discovery::ColdSource;

/// What an entry has read of cold engines goes into one more full report, since
/// the first datagram may be lost.
constexpr Duration kColdNewsTime = std::chrono::milliseconds(1200);

}  // namespace

bool PeerExchange::Impl::AddLimit(wire::EntryLoad& load,
                                  const std::string& engine,
                                  ColdReport cold_report) const {
  if (!rate_limits) return false;
  const TimePoint now = SteadyClock().Now();
  const auto report = rate_limits->MakeReport(engine, now);
  const ColdBelief* cold =
      cold_engines ? cold_engines->FindCold(engine, now) : nullptr;
  // What a peer told is not passed on: its age grows with each report, and two
  // entries would take each other's for newer.
  if (cold != nullptr && cold_report != ColdReport::kAll &&
      cold->source == ColdSource::kPeer) {
    cold = nullptr;
  }
  if (!report && cold == nullptr) return false;
  load.limits.push_back(
      ToWire(engine, report.value_or(scheduling::RateLimitReport{}), now));
  if (cold != nullptr) AddToWire(*cold, now, load.limits.back());
  return true;
}

void PeerExchange::Impl::AddAllLimits(wire::EntryLoad& load,
                                      ColdReport cold_report) const {
  if (!rate_limits) return;
  const TimePoint now = SteadyClock().Now();
  const auto limited = rate_limits->EnginesToReport(now);
  std::set<std::string> engines(limited.begin(), limited.end());
  if (cold_engines) {
    for (std::string& engine : cold_engines->FindAllCold(now)) {
      const ColdBelief* cold = cold_engines->FindCold(engine, now);
      const bool is_news =
          cold->is_news && now - cold->known_at < kColdNewsTime;
      if (is_news || cold_report == ColdReport::kAll) {
        engines.insert(std::move(engine));
      }
    }
  }
  for (const std::string& engine : engines) {
    AddLimit(load, engine, cold_report);
  }
}

void PeerExchange::Impl::ApplyLimits(const std::string& peer,
                                     const wire::EntryLoad& load) {
  if (!rate_limits) return;
  const TimePoint now = SteadyClock().Now();
  for (const wire::EngineLimit& limit : load.limits) {
    if (!IsEngineKey(limit.engine)) continue;
    const auto cold = ReadColdBelief(limit, now);
    if (cold && cold_engines && cold_engines->NotePeer(limit.engine, *cold)) {
      on_cold_change(limit.engine);
    }
    if (rate_limits->ApplyReport(peer, limit.engine, FromWire(limit, now),
                                 now)) {
      on_limit_change(limit.engine);
    }
  }
}

scheduling::LimitSharers PeerExchange::Impl::MakeSharers() {
  const TimePoint now = SteadyClock().Now();
  scheduling::HeardPeers heard;
  heard.addresses = peers.size();
  for (const auto& [address, peer] : peers) {
    if (!peer.is_live) continue;
    ++heard.live;
    if (now - peer.last_received_at < options.silence_time) ++heard.heard;
  }
  scheduling::LimitSharers sharers;
  sharers.peers = heard.live;
  sharers.report_delay = options.batch_delay + options.transit_time;
  sharers.silent_peers = fleet_view.CountSilent(heard, now);
  sharers.fleet_peers = heard.heard + sharers.silent_peers;
  sharers.is_starting = fleet_view.IsStarting(heard, now);
  return sharers;
}

void PeerExchange::ShareRateLimits(
    std::shared_ptr<scheduling::EngineRateLimits> limits,
    std::function<void(const std::string&)> on_change) {
  m_impl->rate_limits = std::move(limits);
  m_impl->on_limit_change = std::move(on_change);
}

void PeerExchange::ShareColdEngines(
    std::shared_ptr<discovery::ColdEngines> cold_engines,
    std::function<void(const std::string&)> on_change) {
  m_impl->cold_engines = std::move(cold_engines);
  m_impl->on_cold_change = std::move(on_change);
}

scheduling::LimitSharers PeerExchange::LimitSharers() const {
  return m_impl->MakeSharers();
}

}  // namespace peridotshelf::gateway
