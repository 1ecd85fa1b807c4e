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

void LoadBoard::Put(const std::string& engine, const Work& work) {
  if (Work* existing = Find(engine, work.id)) {
    *existing = work;
    return;
  }
  m_own[engine].push_back(work);
}

Work* LoadBoard::Find(const std::string& engine, uint64_t id) {
  const auto found = m_own.find(engine);
  if (found == m_own.end()) return nullptr;
  for (Work& work : found->second) {
    if (work.id == id) return &work;
  }
  return nullptr;
}

void LoadBoard::Remove(const std::string& engine, uint64_t id) {
  const auto found = m_own.find(engine);
  if (found == m_own.end()) return;
  std::erase_if(found->second, [id](const Work& w) { return w.id == id; });
  if (found->second.empty()) m_own.erase(found);
}

std::span<const Work> LoadBoard::OwnAt(std::string_view engine) const {
  const auto found = m_own.find(std::string(engine));
  if (found == m_own.end()) return {};
  return found->second;
}

std::vector<std::string> LoadBoard::OwnEngines() const {
  std::vector<std::string> engines;
  engines.reserve(m_own.size());
  for (const auto& [engine, works] : m_own) engines.push_back(engine);
  return engines;
}

void LoadBoard::SetPeer(const std::string& peer, const std::string& engine,
                        std::vector<Work> works) {
  if (works.empty()) {
    m_peers[peer].erase(engine);
  } else {
    m_peers[peer][engine] = std::move(works);
  }
}

void LoadBoard::DropPeer(const std::string& peer) { m_peers.erase(peer); }

EngineLoad LoadBoard::LoadOf(std::string_view engine, TimePoint now) const {
  EngineLoad load;
  const std::string key(engine);
  for (const Work& work : OwnAt(engine)) Add(load, work, now);
  for (const auto& [peer, works] : m_peers) {
    const auto found = works.find(key);
    if (found == works.end()) continue;
    for (const Work& work : found->second) {
      if (work.end + kPeerOverrun > now) Add(load, work, now);
    }
  }
  return load;
}

}  // namespace peridotshelf::scheduling
