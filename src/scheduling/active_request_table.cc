#include "peridotshelf/scheduling/active_request_table.h"

#include <algorithm>

namespace peridotshelf::scheduling {
namespace {

/// How long after its predicted end a peer's work still counts.
constexpr Duration kPeerOverrun = std::chrono::seconds(2);

void Add(EngineLoad& load, const ActiveRequest& work, TimePoint now) {
  if (work.reading) {
    load.backlog_ms =
        std::max(load.backlog_ms, ToMillis(work.prefill_end - now));
  }
  load.memory_tokens += work.memory_tokens;
  if (work.is_part) {
    ++load.parts;
    return;
  }
  ++load.running;
  load.context_tokens += work.memory_tokens;
  load.ends.push_back(work.end);
  load.decoding_requests.push_back(
      {work.max_pause_ms, work.patience_ms, work.is_late, work.value});
}

}  // namespace

std::vector<ActiveRequest>* ActiveRequestTable::FindWorks(
    std::string_view engine, std::string_view sender) {
  const auto at_engine = m_engines.find(engine);
  if (at_engine == m_engines.end()) return nullptr;
  const auto works = at_engine->second.find(sender);
  return works == at_engine->second.end() ? nullptr : &works->second;
}

void ActiveRequestTable::Erase(const std::string& engine,
                               std::string_view sender) {
  const auto at_engine = m_engines.find(engine);
  if (at_engine == m_engines.end()) return;
  const auto works = at_engine->second.find(sender);
  if (works != at_engine->second.end()) at_engine->second.erase(works);
  if (at_engine->second.empty()) m_engines.erase(at_engine);
}

void ActiveRequestTable::Put(const std::string& engine,
                             const ActiveRequest& work) {
  if (ActiveRequest* existing = Find(engine, work.id)) {
    *existing = work;
    return;
  }
  m_engines[engine][std::string(kSelf)].push_back(work);
}

ActiveRequest* ActiveRequestTable::Find(const std::string& engine,
                                        uint64_t id) {
  std::vector<ActiveRequest>* works = FindWorks(engine, kSelf);
  if (works == nullptr) return nullptr;
  for (ActiveRequest& work : *works) {
    if (work.id == id) return &work;
  }
  return nullptr;
}

void ActiveRequestTable::Remove(const std::string& engine, uint64_t id) {
  std::vector<ActiveRequest>* works = FindWorks(engine, kSelf);
  if (works == nullptr) return;
  std::erase_if(*works, [id](const ActiveRequest& w) { return w.id == id; });
  if (works->empty()) Erase(engine, kSelf);
}

std::span<const ActiveRequest> ActiveRequestTable::LocalRequestsAt(
    std::string_view engine) const {
  const auto at_engine = m_engines.find(engine);
  if (at_engine == m_engines.end()) return {};
  const auto works = at_engine->second.find(kSelf);
  if (works == at_engine->second.end()) return {};
  return works->second;
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
                                         std::vector<ActiveRequest> works) {
  if (works.empty()) {
    Erase(engine, peer);
  } else {
    m_engines[engine][peer] = std::move(works);
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
  for (const auto& [sender, works] : at_engine->second) {
    for (const ActiveRequest& work : works) {
      // Own work ends when its request does, however late.
      if (sender != kSelf && work.end + kPeerOverrun <= now) continue;
      Add(load, work, now);
    }
  }
  return load;
}

}  // namespace peridotshelf::scheduling
