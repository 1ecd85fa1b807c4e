#include <utility>

#include "peer_exchange_impl.h"

namespace peridotshelf::gateway {

void PeerExchange::Impl::AddEvacuations(wire::EntryLoad& load) const {
  if (!evacuations) return;
  if (const auto report = evacuations->MakeReport(SteadyClock().Now())) {
    WriteEvacuations(*report, load);
  }
}

void PeerExchange::Impl::ReportEvacuations() {
  are_evacuations_new = true;
  FlushNow();
}

void PeerExchange::Impl::ApplyEvacuations(const wire::EntryLoad& load) {
  if (!evacuations) return;
  const auto report = ReadEvacuations(load);
  if (!report) return;
  on_evacuations(evacuations->ApplyReport(*report, SteadyClock().Now()));
}

void PeerExchange::ShareEvacuations(
    std::shared_ptr<discovery::Evacuations> evacuations,
    std::function<void(const discovery::Evacuations::Changes&)> on_changes) {
  m_impl->evacuations = std::move(evacuations);
  m_impl->on_evacuations = std::move(on_changes);
}

void PeerExchange::ReportEvacuations() { m_impl->ReportEvacuations(); }

}  // namespace peridotshelf::gateway
