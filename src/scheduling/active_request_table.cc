#include "peridotshelf/scheduling/load_board.h"

#include <algorithm>

namespace peridotshelf::scheduling {
namespace {

/// How long after its predicted end a peer's work still counts.
constexpr Duration kPeerOverrun = std::chrono::seconds(2);

void Add(EngineLoad& load, const Work& work, TimePoint now) {
  if (work.reading) {
    load.backlog_ms = std::max(load.backlog_ms, MillisOf(work.read_end - now));
  }
  load.memory_tokens += work.memory_tokens;
  if (work.is_part) {
    ++load.parts;
    return;
  }
  ++load.running;
  load.context_tokens += work.memory_tokens;
  load.ends.push_back(work.end);
  load.writers.push_back(
      {work.max_pause_ms, work.patience_ms, work.is_late, work.value});
}

}  // namespace

std::vector<Work>* LoadBoard::FindWorks(std::string_view engine,
                                        std::string_view sender) {
  const auto at_engine = m_engines.find(engine);
  if (at_engine == m_engines.end()) return nullptr;
  const auto works = at_engine->second.find(sender);
  return works == at_engine->second.end() ? nullptr : &works->second;
}

void LoadBoard::Erase(const std::string& engine, std::string_view sender) {
  const auto at_engine = m_engines.find(engine);
  if (at_engine == m_engines.end()) return;
  const auto works = at_engine->second.find(sender);
  if (works != at_engine->second.end()) at_engine->second.erase(works);
  if (at_engine->second.empty()) m_engines.erase(at_engine);
}

void LoadBoard::Put(const std::string& engine, const Work& work) {
  if (Work* existing = Find(engine, work.id)) {
    *existing = work;
    return;
  }
  m_engines[engine][std::string(kSelf)].push_back(work);
}

Work* LoadBoard::Find(const std::string& engine, uint64_t id) {
  std::vector<Work>* works = FindWorks(engine, kSelf);
  if (works == nullptr) return nullptr;
  for (Work& work : *works) {
    if (work.id == id) return &work;
  }
  return nullptr;
}

void LoadBoard::Remove(const std::string& engine, uint64_t id) {
  std::vector<Work>* works = FindWorks(engine, kSelf);
  if (works == nullptr) return;
  std::erase_if(*works, [id](const Work& w) { return w.id == id; });
  if (works->empty()) Erase(engine, kSelf);
}

std::span<const Work> LoadBoard::OwnAt(std::string_view engine) const {
  const auto at_engine = m_engines.find(engine);
  if (at_engine == m_engines.end()) return {};
  const auto works = at_engine->second.find(kSelf);
  if (works == at_engine->second.end()) return {};
  return works->second;
}

std::vector<std::string> LoadBoard::OwnEngines() const {
  std::vector<std::string> engines;
  for (const auto& [engine, by_sender] : m_engines) {
    if (by_sender.contains(kSelf)) engines.push_back(engine);
  }
  return engines;
}

void LoadBoard::SetPeer(const std::string& peer, const std::string& engine,
                        std::vector<Work> works) {
  if (works.empty()) {
    Erase(engine, peer);
  } else {
    m_engines[engine][peer] = std::move(works);
  }
}

void LoadBoard::DropPeer(const std::string& peer) {
  std::vector<std::string> engines;
  for (const auto& [engine, by_sender] : m_engines) {
    if (by_sender.contains(peer)) engines.push_back(engine);
  }
  for (const std::string& engine : engines) Erase(engine, peer);
}

EngineLoad LoadBoard::LoadOf(std::string_view engine, TimePoint now) const {
  EngineLoad load;
  const auto at_engine = m_engines.find(engine);
  if (at_engine == m_engines.end()) return load;
  for (const auto& [sender, works] : at_engine->second) {
    for (const Work& work : works) {
      // Own work ends when its request does, however late.
      if (sender != kSelf && work.end + kPeerOverrun <= now) continue;
      Add(load, work, now);
    }
  }
  return load;
}

}  // namespace peridotshelf::scheduling
