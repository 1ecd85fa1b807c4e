#include "peridotshelf/scheduling/active_request_table.h"

#include <algorithm>

namespace peridotshelf::scheduling {
namespace {

/// Time after its predicted end for which a peer's request still counts.
constexpr Duration kPeerOverrun = std::chrono::seconds(2);

/// First events are overdue this long after their predicted time, and after
/// half of the time that their prefill takes: predictions are exceeded by less
/// than that unless the engine does other work.
constexpr Millis kOverdueSlackMs = 250;
constexpr double kOverduePrefillShare = 0.5;

/// Sums over the pending prefills of one engine.
struct PrefillSums {
  Millis remaining_ms = 0;
  Millis latest_end_ms = 0;
};

/// Returns the engine time that a prefill still needs. Prefills run one after
/// the other, so before its own share of the time it waits for others.
Millis RemainingPrefill(const ActiveRequest& request, TimePoint now) {
  const Millis left = ToMillis(request.prefill_end - now);
  return std::clamp(left, 0.0, request.prefill_ms);
}

/// Returns how long the first event of a request is overdue; 0 if it is not.
Millis ComputeOverdue(const ActiveRequest& request, TimePoint now) {
  if (!request.is_prefilling || !request.first_event_at) return 0;
  const Millis late_ms = ToMillis(now - *request.first_event_at);
  const Millis slack_ms =
      kOverdueSlackMs + kOverduePrefillShare * request.prefill_ms;
  return late_ms > slack_ms ? late_ms : 0;
}

void AddToLoad(EngineLoad& load, PrefillSums& sums,
               const ActiveRequest& request, TimePoint now) {
  if (request.is_prefilling) {
    sums.remaining_ms += RemainingPrefill(request, now);
    sums.latest_end_ms =
        std::max(sums.latest_end_ms, ToMillis(request.prefill_end - now));
  }
  load.overdue_ms = std::max(load.overdue_ms, ComputeOverdue(request, now));
  load.memory_tokens += request.memory_tokens;
  if (request.is_prefill_shard) {
    ++load.prefill_shards;
    return;
  }
  ++load.running;
  load.context_tokens += request.memory_tokens;
  load.predicted_ends.push_back(request.end);
  load.decoding_requests.push_back({request.max_pause_ms,
                                    request.caller_timeout_ms,
                                    request.missed_objective, request.value});
}

}  // namespace

std::vector<ActiveRequest>* ActiveRequestTable::FindRequests(
    std::string_view engine, std::string_view sender) {
  const auto at_engine = m_engines.find(engine);
  if (at_engine == m_engines.end()) return nullptr;
  const auto requests = at_engine->second.find(sender);
  return requests == at_engine->second.end() ? nullptr : &requests->second;
}

void ActiveRequestTable::Erase(const std::string& engine,
                               std::string_view sender) {
  const auto at_engine = m_engines.find(engine);
  if (at_engine == m_engines.end()) return;
  const auto requests = at_engine->second.find(sender);
  if (requests != at_engine->second.end()) at_engine->second.erase(requests);
  if (at_engine->second.empty()) m_engines.erase(at_engine);
}

void ActiveRequestTable::Put(const std::string& engine,
                             const ActiveRequest& request) {
  if (ActiveRequest* existing = Find(engine, request.id)) {
    *existing = request;
    return;
  }
  m_engines[engine][std::string(kSelf)].push_back(request);
}

ActiveRequest* ActiveRequestTable::Find(const std::string& engine,
                                        uint64_t id) {
  std::vector<ActiveRequest>* requests = FindRequests(engine, kSelf);
  if (requests == nullptr) return nullptr;
  for (ActiveRequest& request : *requests) {
    if (request.id == id) return &request;
  }
  return nullptr;
}

void ActiveRequestTable::Remove(const std::string& engine, uint64_t id) {
  std::vector<ActiveRequest>* requests = FindRequests(engine, kSelf);
  if (requests == nullptr) return;
  std::erase_if(*requests, [id](const ActiveRequest& request) {
    return request.id == id;
  });
  if (requests->empty()) Erase(engine, kSelf);
}

std::span<const ActiveRequest> ActiveRequestTable::LocalRequestsAt(
    std::string_view engine) const {
  const auto at_engine = m_engines.find(engine);
  if (at_engine == m_engines.end()) return {};
  const auto requests = at_engine->second.find(kSelf);
  if (requests == at_engine->second.end()) return {};
  return requests->second;
}

std::vector<std::string> ActiveRequestTable::EnginesWithLocalRequests() const {
  std::vector<std::string> engines;
  for (const auto& [engine, by_sender] : m_engines) {
    if (by_sender.contains(kSelf)) engines.push_back(engine);
  }
  return engines;
}

void ActiveRequestTable::SetPeerRequests(const std::string& peer,
                                         const std::string& engine,
                                         std::vector<ActiveRequest> requests) {
  if (requests.empty()) {
    Erase(engine, peer);
  } else {
    m_engines[engine][peer] = std::move(requests);
  }
}

void ActiveRequestTable::RemovePeer(const std::string& peer) {
  std::vector<std::string> engines;
  for (const auto& [engine, by_sender] : m_engines) {
    if (by_sender.contains(peer)) engines.push_back(engine);
  }
  for (const std::string& engine : engines) Erase(engine, peer);
}

EngineLoad ActiveRequestTable::ComputeLoad(std::string_view engine,
                                           TimePoint now) const {
  EngineLoad load;
  const auto at_engine = m_engines.find(engine);
  if (at_engine == m_engines.end()) return load;
  PrefillSums sums;
  for (const auto& [sender, requests] : at_engine->second) {
    for (const ActiveRequest& request : requests) {
      // A local request stays until it is removed, however late it is.
      if (sender != kSelf && request.end + kPeerOverrun <= now) continue;
      AddToLoad(load, sums, request, now);
    }
  }
  load.backlog_ms = std::max(sums.remaining_ms, sums.latest_end_ms);
  return load;
}

}  // namespace peridotshelf::scheduling
