// The evacuations of failure domains among the operator's records.
#include <utility>

#include "peridotshelf/events/log.h"
#include "peridotshelf/store_follower.h"

namespace peridotshelf::program {
namespace {

using discovery::EvacuationChange;
using discovery::Evacuations;
using events::EventId;

void LogEvacuation(const EvacuationChange& change) {
  events::Log(change.has_started ? EventId::kEvacuationStarted
                                 : EventId::kEvacuationEnded,
              {{"failure_domain", change.domain.value()},
               {"source", std::string(discovery::ToString(change.source))},
               {"age_ms", ToMilliseconds(change.age)},
               {"epoch", change.position.epoch},
               {"offset", change.position.offset}});
}

}  // namespace

void StoreFollower::ShareEvacuations() {
  m_peers.ShareEvacuations(m_evacuations,
                           [this](const Evacuations::Changes& changes) {
                             NoteEvacuations(changes);
                           });
}

gateway::TopicPosition StoreFollower::OperatorPosition() const {
  return {m_configuration_follower.epoch(),
          m_configuration_follower.next_offset()};
}

size_t StoreFollower::CountEvacuatedDomains() const {
  return m_evacuations->FindEvacuated(SteadyClock().Now()).size();
}

void StoreFollower::ApplyAllEvacuations(
    const std::vector<KeyedRecord>& records) {
  std::vector<FailureDomain> domains;
  for (const KeyedRecord& record : records) {
    auto domain = deployment::FindEvacuatedDomain(record.key);
    if (domain && record.value) domains.push_back(std::move(*domain));
  }
  if (NoteEvacuations(m_evacuations->ApplyFullRead(OperatorPosition(), domains,
                                                   SteadyClock().Now()))) {
    m_peers.ReportEvacuations();
  }
}

void StoreFollower::ApplyEvacuationChanges(
    const std::vector<KeyedRecord>& records) {
  std::vector<discovery::EvacuationRecord> changes;
  for (const KeyedRecord& record : records) {
    auto domain = deployment::FindEvacuatedDomain(record.key);
    if (!domain) continue;
    changes.push_back({std::move(*domain), !record.value.has_value()});
  }
  if (NoteEvacuations(m_evacuations->ApplyChanges(OperatorPosition(), changes,
                                                  SteadyClock().Now()))) {
    // Peers that cannot read the store learn of it from this entry.
    m_peers.ReportEvacuations();
  }
}

bool StoreFollower::NoteEvacuations(const Evacuations::Changes& changes) {
  // A hold may begin or be extended without a change.
  ScheduleHoldEnd();
  if (changes.empty()) return false;
  for (const EvacuationChange& change : changes) LogEvacuation(change);
  m_engines.SetEvacuatedDomains(
      m_evacuations->FindEvacuated(SteadyClock().Now()));
  m_callbacks.on_evacuations();
  return true;
}

void StoreFollower::ScheduleHoldEnd() {
  const auto next = m_evacuations->NextHoldEnd();
  if (!next || (m_hold_check_at && *m_hold_check_at <= *next)) return;
  m_hold_check_at = next;
  m_threads.RunAfter(*next - SteadyClock().Now(), [this] {
    m_hold_check_at.reset();
    NoteEvacuations(m_evacuations->EndHolds(SteadyClock().Now()));
  });
}

}  // namespace peridotshelf::program
