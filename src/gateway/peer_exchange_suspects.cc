#include <algorithm>
#include <iterator>
#include <utility>

#include "peer_exchange_impl.h"

namespace peridotshelf::gateway {
namespace {

/// Suspects per datagram, and peers to which some are repeated with each full
/// report: their number does not grow with the fleet.
constexpr size_t kMaxSuspectsPerDatagram = 32;
constexpr size_t kPeersToRepeatSuspects = 4;
/// A change is sent a second time after this delay, in case that it was lost.
constexpr Duration kSuspectResendDelay = std::chrono::milliseconds(50);

}  // namespace

std::string PeerExchange::Impl::EncodeSuspects(
    std::span<const quarantine::SuspectRecord> records) {
  const TimePoint now = SteadyClock().Now();
  wire::EntryLoad load = MakeReport();
  for (const auto& record : records) {
    load.suspects.push_back(ToWire(record, now));
  }
  return Encode(load);
}

void PeerExchange::Impl::ReportSuspects() {
  if (!suspects) return;
  const auto records = suspects->TakeChanged();
  for (size_t begin = 0; begin < records.size();
       begin += kMaxSuspectsPerDatagram) {
    const std::vector<quarantine::SuspectRecord> part(
        records.begin() + static_cast<std::ptrdiff_t>(begin),
        records.begin() +
            static_cast<std::ptrdiff_t>(
                std::min(records.size(), begin + kMaxSuspectsPerDatagram)));
    SendToLive(EncodeSuspects(part));
    threads.RunAfter(kSuspectResendDelay, [self = shared_from_this(), part] {
      if (!self->is_stopped) self->SendToLive(self->EncodeSuspects(part));
    });
  }
}

void PeerExchange::Impl::RepeatSuspects() {
  if (!suspects || suspects->size() == 0) return;
  std::vector<Peer*> live;
  for (auto& [address, peer] : peers) {
    if (peer.is_live) live.push_back(&peer);
  }
  std::vector<Peer*> chosen;
  std::sample(live.begin(), live.end(), std::back_inserter(chosen),
              kPeersToRepeatSuspects, random);
  if (chosen.empty()) return;
  const std::string bytes = EncodeSuspects(
      suspects->NextToRepeat(kMaxSuspectsPerDatagram, SteadyClock().Now()));
  for (Peer* peer : chosen) SendTo(*peer, bytes);
}

void PeerExchange::Impl::ApplySuspects(const wire::EntryLoad& load) {
  if (!suspects || load.suspects.empty()) return;
  const TimePoint now = SteadyClock().Now();
  std::vector<quarantine::SuspectRecord> records;
  records.reserve(load.suspects.size());
  for (const wire::CrashSuspect& suspect : load.suspects) {
    records.push_back(FromWire(suspect, now));
  }
  on_quarantine(suspects->Apply(records, now));
}

void PeerExchange::Impl::SendQuarantined(Peer& peer) {
  if (!suspects || suspects->CountQuarantined() == 0) return;
  SendTo(peer, EncodeSuspects(suspects->Quarantined(kMaxSuspectsPerDatagram)));
}

void PeerExchange::ShareSuspects(
    std::shared_ptr<quarantine::CrashQuarantine> suspects,
    std::function<void(std::span<const quarantine::SuspectId>)> on_quarantine) {
  m_impl->suspects = std::move(suspects);
  m_impl->on_quarantine = std::move(on_quarantine);
}

void PeerExchange::ReportSuspects() { m_impl->ReportSuspects(); }

quarantine::EntryTurn PeerExchange::Turn() const {
  const std::string own = m_impl->options.local_address.ToString();
  const auto before = std::count_if(
      m_impl->peers.begin(), m_impl->peers.end(), [&own](const auto& item) {
        return item.second.is_live && item.first < own;
      });
  return {static_cast<size_t>(before), CountLiveEntries()};
}

}  // namespace peridotshelf::gateway
